#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <mutex>

namespace persimmon::upstream {

/// Memory for what is kept of responses until it is complete, of all calls together, in bytes.
constexpr std::size_t kBodyBudgetBytes = 16U << 20U;
/// What each call may keep, however much others keep, in bytes.
constexpr std::size_t kGuaranteedBodyBytes = 64U << 10U;

/// Largest event of a stream that is kept until it is complete, in bytes.
constexpr std::size_t kMaxEventBytes = 256U << 10U;

/// Divides the memory for incomplete bodies and events of responses among the calls: a call may
/// keep as much as is still free. So a body without end ends its own call and not those of others,
/// and one call alone may keep half of the memory. Thread-safe.
class body_budget
{
public:
  explicit body_budget(std::size_t aTotal = kBodyBudgetBytes)
    : mTotal(aTotal)
  {
  }

  /// Returns whether a call that keeps aKept bytes may keep aMore, and counts them if so.
  bool TryAdd(std::size_t aKept, std::size_t aMore)
  {
    const std::lock_guard lock(mMutex);
    const std::size_t available = mTotal - std::min(mTotal, mUsed);
    if (aKept + aMore > std::max(available, kGuaranteedBodyBytes)) {
      return false;
    }
    mUsed += aMore;
    return true;
  }
  /// Counts bytes as free again.
  void Release(std::size_t aKept)
  {
    const std::lock_guard lock(mMutex);
    mUsed -= std::min(mUsed, aKept);
  }

  [[nodiscard]] std::size_t Used() const
  {
    const std::lock_guard lock(mMutex);
    return mUsed;
  }

private:
  mutable std::mutex mMutex;
  std::size_t mTotal;
  std::size_t mUsed = 0;
};

/// What one call keeps of its response. Destruction gives it back to the budget.
class kept_bytes
{
public:
  /// Without a budget, nothing is bounded.
  explicit kept_bytes(std::shared_ptr<body_budget> aBudget = nullptr)
    : mBudget(std::move(aBudget))
  {
  }
  ~kept_bytes() { Resize(0); }
  kept_bytes(const kept_bytes&) = delete;
  kept_bytes& operator=(const kept_bytes&) = delete;

  /// Counts that the call keeps aBytes now. Returns false, and counts nothing, when it may not.
  bool Resize(std::size_t aBytes)
  {
    if (mBudget && aBytes > mBytes && !mBudget->TryAdd(mBytes, aBytes - mBytes)) {
      return false;
    }
    if (mBudget && aBytes < mBytes) {
      mBudget->Release(mBytes - aBytes);
    }
    mBytes = aBytes;
    return true;
  }

private:
  std::shared_ptr<body_budget> mBudget;
  std::size_t mBytes = 0;
};

} // namespace persimmon::upstream
