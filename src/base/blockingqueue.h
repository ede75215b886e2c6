#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace persimmon {

/// An unbounded FIFO queue between threads. After Close(), Pop() and PopUntil() return no items,
/// not even those that are still queued.
template<typename Item>
class blocking_queue
{
public:
  void Push(Item aItem)
  {
    {
      const std::lock_guard lock(mMutex);
      mItems.push_back(std::move(aItem));
    }
    mChanged.notify_one();
  }

  /// Waits for an item and removes it. Empty when the queue is closed.
  std::optional<Item> Pop()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mClosed || !mItems.empty(); });
    return PopFront();
  }

  /// Waits for an item until a deadline and removes it. Empty when the deadline passed or the queue
  /// is closed.
  template<typename TimePoint>
  std::optional<Item> PopUntil(TimePoint aDeadline)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_until(lock, aDeadline, [this] { return mClosed || !mItems.empty(); });
    return PopFront();
  }

  /// Wakes all waiting threads with an empty result.
  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mChanged.notify_all();
  }

  [[nodiscard]] bool IsClosed()
  {
    const std::lock_guard lock(mMutex);
    return mClosed;
  }

private:
  /// Removes the first item; empty when there is none or the queue is closed. The caller holds the
  /// mutex.
  std::optional<Item> PopFront()
  {
    if (mClosed || mItems.empty()) {
      return std::nullopt;
    }
    Item item = std::move(mItems.front());
    mItems.pop_front();
    return item;
  }

  std::mutex mMutex;
  /// Signalled when an item is pushed or the queue is closed.
  std::condition_variable mChanged;
  std::deque<Item> mItems;
  bool mClosed = false;
};

} // namespace persimmon
