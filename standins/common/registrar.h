#pragma once

#include "platform/instancelist.h"

#include <memory>
#include <string>
#include <vector>

namespace persimmon::standins {

/// Tells the stand-in platform of instances, on a thread of its own; each change is repeated until
/// the platform has taken it.
class registrar
{
public:
  explicit registrar(std::string aPlatformUrl);
  /// Stops; changes that were not yet taken are lost.
  ~registrar();

  void Add(const std::vector<platform::listed_instance>& aInstances);
  void Remove(const std::vector<instance_id>& aInstances);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::standins
