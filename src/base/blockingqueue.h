#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace persimmon {

/// A queue between threads. After Close() nothing more is taken or given.
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

  /// Waits for an item; an empty result means that the queue was closed.
  std::optional<Item> Pop()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mClosed || !mItems.empty(); });
    return Take();
  }

  /// Waits for an item, but not past a moment of the steady clock.
  template<typename TimePoint>
  std::optional<Item> PopUntil(TimePoint aEnd)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_until(lock, aEnd, [this] { return mClosed || !mItems.empty(); });
    return Take();
  }

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
  std::optional<Item> Take()
  {
    if (mClosed || mItems.empty()) {
      return std::nullopt;
    }
    Item item = std::move(mItems.front());
    mItems.pop_front();
    return item;
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<Item> mItems;
  bool mClosed = false;
};

} // namespace persimmon
