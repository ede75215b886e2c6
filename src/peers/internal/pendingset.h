#pragma once

#include <deque>
#include <optional>
#include <unordered_set>

namespace persimmon::peers {

/// First-in, first-out queue that contains each item at most once.
template<typename Item>
class pending_set
{
public:
  void Add(const Item& aItem)
  {
    if (mWaiting.insert(aItem).second) {
      mOrder.push_back(aItem);
    }
  }

  void Remove(const Item& aItem) { mWaiting.erase(aItem); }

  /// Removes and returns the oldest item; empty if there is none.
  std::optional<Item> Take()
  {
    while (!mOrder.empty()) {
      const Item item = mOrder.front();
      mOrder.pop_front();
      if (mWaiting.erase(item) != 0) {
        return item;
      }
    }
    return std::nullopt;
  }

  [[nodiscard]] bool Contains(const Item& aItem) const { return mWaiting.count(aItem) != 0; }
  [[nodiscard]] std::size_t Size() const { return mWaiting.size(); }

private:
  std::deque<Item> mOrder;
  std::unordered_set<Item> mWaiting;
};

} // namespace persimmon::peers
