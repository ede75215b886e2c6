#include "allocationcount.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{ 0 };

} // namespace

void*
operator new(std::size_t aSize)
{
  allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

std::uint64_t
persimmon::bench::CountAllocations()
{
  return allocations.load(std::memory_order_relaxed);
}
