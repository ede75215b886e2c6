#include "standins/engine/prefixcache.h"

#include "base/hash.h"

namespace persimmon::standins {

std::size_t
prefix_cache::Use(std::string_view aPrompt)
{
  std::size_t computed = 0;
  std::uint64_t block = 0;
  for (std::size_t start = 0; start < aPrompt.size(); start += kBlockBytes) {
    // A block's name depends on all before it, since attention does.
    block = HashText(aPrompt.substr(start, kBlockBytes), block);
    computed += Touch(block) ? 0 : 1;
  }
  return computed;
}

void
prefix_cache::Clear()
{
  mOrder.clear();
  mBlocks.clear();
}

bool
prefix_cache::Touch(std::uint64_t aBlock)
{
  const auto found = mBlocks.find(aBlock);
  if (found != mBlocks.end()) {
    mOrder.splice(mOrder.begin(), mOrder, found->second);
    return true;
  }
  mOrder.push_front(aBlock);
  mBlocks[aBlock] = mOrder.begin();
  if (mOrder.size() > mCapacity) {
    mBlocks.erase(mOrder.back());
    mOrder.pop_back();
  }
  return false;
}

} // namespace persimmon::standins
