#pragma once

#include <string>

namespace persimmon {

/// The model that a service runs. An empty adapter means none.
struct model_spec
{
  std::string model;
  std::string adapter;
  std::string version;

  bool operator==(const model_spec&) const = default;
};

} // namespace persimmon
