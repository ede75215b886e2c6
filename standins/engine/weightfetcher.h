#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmon::standins {

/// Fetches weights from the platform's weight store, on threads of its own; each fetch is repeated
/// until it succeeds.
class weight_fetcher
{
public:
  weight_fetcher(std::string aPlatformUrl, std::uint64_t aBytes);
  /// Stops; fetches that have not ended are dropped.
  ~weight_fetcher();

  void Fetch(const std::string& aModel, const std::string& aVersion, std::function<void()> aDone);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::standins
