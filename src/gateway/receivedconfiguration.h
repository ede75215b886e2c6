#pragma once

#include "base/ids.h"
#include "routes/routetable.h"

#include <memory>
#include <string>
#include <string_view>

namespace persimmon::gateway {

/// Text of a configuration and where it comes from.
struct received_configuration
{
  std::string text;
  /// Revision of the store's object, or the operator's version when a peer told it.
  revision version;
  /// `store` or `peer`.
  const char* source = kFromStore;

  static constexpr const char* kFromStore = "store";
  static constexpr const char* kFromPeer = "peer";
  [[nodiscard]] bool IsFromStore() const { return std::string_view(source) == kFromStore; }
};

/// A configuration as it is put in force, or why it cannot be.
struct parsed_configuration
{
  /// nullptr when the text could not be parsed.
  std::shared_ptr<const routes::route_table> table;
  std::string problem;
};

} // namespace persimmon::gateway
