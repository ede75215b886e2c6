#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace persimmon::standins {

/// A cache of prompt prefixes in bounded memory, in blocks; the least recently used go first.
class prefix_cache
{
public:
  /// Bytes of prompt in one block.
  static constexpr std::size_t kBlockBytes = 256;

  explicit prefix_cache(std::size_t aCapacityBlocks)
    : mCapacity(aCapacityBlocks)
  {
  }

  /// Takes in a prompt and returns how many of its blocks had to be computed.
  std::size_t Use(std::string_view aPrompt);
  /// Empties the cache.
  void Clear();

private:
  bool Touch(std::uint64_t aBlock);

  std::size_t mCapacity;
  std::list<std::uint64_t> mOrder;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mBlocks;
};

} // namespace persimmon::standins
