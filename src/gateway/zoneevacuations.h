#pragma once

#include "base/ids.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::gateway {

/// Prefix of the mesh documents that tell which availability zones are emptied.
constexpr std::string_view kEvacuationDocumentPrefix = "evacuation/";

/// What is known of one availability zone.
struct zone_evacuation
{
  zone_name zone;
  /// Version of the object that asks for it, or of its end.
  revision version;
  bool isEmptied = false;
};

/// Keeps which availability zones are emptied, from lists and changes of the store and from other
/// gateways, in any order. Does no I/O and reads no clock; not thread-safe.
class zone_evacuations
{
public:
  /// Applies a change of one zone. Returns whether it was not known.
  bool Apply(const zone_evacuation& aChange);
  /// Applies a list of all emptied zones as of a revision, and returns what was not known.
  std::vector<zone_evacuation> ApplyList(const std::vector<zone_evacuation>& aListed,
                                         revision aAsOf);
  /// Returns the zones that are emptied.
  [[nodiscard]] std::set<zone_name> Emptied() const;

private:
  std::map<zone_name, zone_evacuation> mZones;
};

} // namespace persimmon::gateway
