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
    if (mItems.insert(aItem).second) {
      mOrder.push_back(aItem);
    }
  }

  void Remove(const Item& aItem) { mItems.erase(aItem); }

  /// Removes and returns the oldest item; empty if there is none.
  std::optional<Item> Pop()
  {
    while (!mOrder.empty()) {
      const Item item = mOrder.front();
      mOrder.pop_front();
      if (mItems.erase(item) != 0) {
        return item;
      }
    }
    return std::nullopt;
  }

  /// Removes all items for which aCondition returns true.
  template<typename Condition>
  void RemoveIf(const Condition& aCondition)
  {
    std::erase_if(mItems, aCondition);
  }

  [[nodiscard]] bool Contains(const Item& aItem) const { return mItems.count(aItem) != 0; }
  [[nodiscard]] bool Empty() const { return mItems.empty(); }
  [[nodiscard]] std::size_t Size() const { return mItems.size(); }

private:
  std::deque<Item> mOrder;
  std::unordered_set<Item> mItems;
};

} // namespace persimmon::peers
