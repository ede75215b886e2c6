#include "peers/internal/meshcoreimplementation.h"

#include <algorithm>

// Dissemination paths: for each origin, the link over which its messages are received.

namespace persimmon::peers {
namespace {

/// Time without a presence message after which the paths of a group's observers may be broken.
constexpr duration kStalePresenceAge = 2500_ms;
/// Time without a presence message after which a group is forgotten; also the minimum interval
/// between two grafts for a group.
constexpr duration kGroupRetention = 10_s;
/// Number of consecutive messages for which another link must be faster than an origin's path
/// before it replaces the path. A premature switch could create a cycle.
constexpr int kOvertakesBeforeSwitch = 3;
/// Wildcard in a graft record that matches all origins.
constexpr const char* kAllOrigins = "*";

} // namespace

void
mesh_core::implementation::RecordOriginLink(const router_id& aOrigin, link_id aFrom)
{
  if (aOrigin.Empty()) {
    return;
  }
  origin_state& origin = mOrigins[aOrigin];
  const bool hasNoParent = links.find(origin.parent) == links.end();
  if (hasNoParent) {
    origin.parent = aFrom;
  }
  if (origin.parent == aFrom) {
    origin.consecutiveOvertakes = 0;
  } else if (links.at(aFrom).prunedByUs.count(aOrigin) == 0) {
    origin.fasterLink = aFrom;
  }
}

void
mesh_core::implementation::PruneDuplicatePath(link_state& aLink, const router_id& aOrigin)
{
  const auto found = mOrigins.find(aOrigin);
  if (aOrigin.Empty() || found == mOrigins.end()) {
    return;
  }
  origin_state& origin = found->second;
  if (origin.parent == aLink.id) {
    ++origin.consecutiveOvertakes;
    if (origin.consecutiveOvertakes < kOvertakesBeforeSwitch ||
        links.count(origin.fasterLink) == 0) {
      return;
    }
    origin.parent = origin.fasterLink;
    origin.consecutiveOvertakes = 0;
  }
  if (!aLink.prunedByUs.insert(aOrigin).second) {
    return;
  }
  Append(aLink, aLink.codec.Encode(aOrigin, record_kind::prune, aLink.frame));
}

bool
mesh_core::implementation::HandlePrune(link_state& aLink, const wire_record& aRecord)
{
  const auto origin = aLink.codec.ParseRouter(aRecord);
  if (origin) {
    aLink.prunedByPeer.insert(*origin);
  }
  return origin.has_value();
}

bool
mesh_core::implementation::HandleGraft(link_state& aLink, const wire_record& aRecord)
{
  const auto origin = aLink.codec.ParseRouter(aRecord);
  if (!origin) {
    return false;
  }
  const bool all = origin->value == kAllOrigins;
  if (all) {
    aLink.prunedByPeer.clear();
  } else {
    aLink.prunedByPeer.erase(*origin);
  }
  messages.ForEach([&](subject_id aSubject, const versioned_message& aEntry) {
    const router_id from = OriginOf(aEntry.message);
    // Applied versions are covered by the origin's hash, which is queued below.
    const bool isPublishedByOrigin = !std::holds_alternative<applied_message>(aEntry.message);
    if (isPublishedByOrigin && !from.Empty() && (all || from == *origin)) {
      QueueMessage(aLink, aSubject, aEntry);
    }
  });
  for (const auto& [router, hash] : appliedHashes) {
    if (all || router == *origin) {
      aLink.pendingAppliedHashes.Add(router);
    }
  }
  return true;
}

void
mesh_core::implementation::GraftOrigin(const router_id& aOrigin)
{
  for (auto& [id, link] : links) {
    if (link.prunedByUs.erase(aOrigin) != 0) {
      Append(link, link.codec.Encode(aOrigin, record_kind::graft, link.frame));
    }
  }
}

void
mesh_core::implementation::GraftOriginsOfLink(link_id aClosed)
{
  std::vector<router_id> origins;
  for (const auto& [origin, state] : mOrigins) {
    if (state.parent == aClosed) {
      origins.push_back(origin);
    }
  }
  for (const router_id& origin : origins) {
    mOrigins.erase(origin);
    GraftOrigin(origin);
  }
}

void
mesh_core::implementation::GraftStaleGroups()
{
  std::erase_if(mGroups, [this](const auto& aEntry) {
    return now - aEntry.second.observedAt > kGroupRetention;
  });
  for (auto& [group, state] : mGroups) {
    const bool stale = now - state.observedAt > kStalePresenceAge;
    if (stale && now - state.graftedAt > kGroupRetention && state.observer != options.self) {
      state.graftedAt = now;
      mOrigins.erase(state.observer);
      GraftOrigin(state.observer);
    }
  }
}

void
mesh_core::implementation::RecordPresence(const presence_message& aMessage, time_point aObservedAt)
{
  group_evidence& state = mGroups[aMessage.group];
  if (aObservedAt >= state.observedAt) {
    state.observedAt = aObservedAt;
    state.observer = aMessage.observer;
    state.complete = aMessage.complete;
    state.version = aMessage.version;
  }
}

} // namespace persimmon::peers
