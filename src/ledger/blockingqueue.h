#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace persimmon::ledger {

/// A queue between threads.
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

  /// Waits for an item; returns nothing after Close().
  std::optional<Item> Pop()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mClosed || !mItems.empty(); });
    if (mClosed) {
      return std::nullopt;
    }
    std::optional<Item> item(std::move(mItems.front()));
    mItems.pop_front();
    return item;
  }

  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mChanged.notify_all();
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<Item> mItems;
  bool mClosed = false;
};

} // namespace persimmon::ledger
