#pragma once

#include <cstddef>

namespace persimmon::admission {

/// The slots of the groups of one model that a router may fill without asking. All routers know the
/// same groups and routers, so each works out its own share: the slots of all groups are put in one
/// row, the first of each group, then the second of each and so on, and the row is cut into as many
/// pieces as there are routers. A router that keeps to its share finds each slot free, however old
/// its news of the groups is, and its slots are spread over as many groups as possible.
class slot_shares
{
public:
  slot_shares() = default;
  /// aRouter is the position of the router among aRouters, in an order that all of them know.
  slot_shares(std::size_t aRouter,
              std::size_t aRouters,
              std::size_t aGroups,
              std::size_t aSlotsPerGroup);

  /// Returns how many slots of all groups are this router's.
  [[nodiscard]] std::size_t Total() const { return mEnd - mBegin; }
  /// Returns how many slots of a group are this router's; aGroup is its position among the groups.
  [[nodiscard]] std::size_t OfGroup(std::size_t aGroup) const;

private:
  std::size_t mGroups = 0;
  /// The router's piece of the row.
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
};

} // namespace persimmon::admission
