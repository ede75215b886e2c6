#pragma once

#include <string>

namespace persimmon {

/// What a model service runs. The adapter may be empty.
struct model_spec
{
  std::string model;
  std::string adapter;
  std::string version;

  bool operator==(const model_spec&) const = default;
};

} // namespace persimmon
