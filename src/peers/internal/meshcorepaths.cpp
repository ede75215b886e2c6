#include "peers/internal/meshcoreimplementation.h"

#include <algorithm>

// Dissemination paths: for each origin, the link over which its messages are received.

namespace persimmon::peers {
namespace {

/// Time without a presence message after which the paths of a group's observers may be broken.
constexpr duration kStarvation = 2500_ms;
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
mesh_core::implementation::HeardOrigin(const router_id& aOrigin, link_id aFrom)
{
  if (aOrigin.Empty()) {
    return;
  }
  origin_state& origin = mOrigins[aOrigin];
  const bool orphan = links.find(origin.parent) == links.end();
  if (orphan) {
    origin.parent = aFrom;
  }
  if (origin.parent == aFrom) {
    origin.overtakes = 0;
  } else if (links.at(aFrom).prunedByUs.count(aOrigin) == 0) {
    origin.challenger = aFrom;
  }
}

void
mesh_core::implementation::TookDuplicate(link_state& aLink, const router_id& aOrigin)
{
  const auto found = mOrigins.find(aOrigin);
  if (aOrigin.Empty() || found == mOrigins.end()) {
    return;
  }
  origin_state& origin = found->second;
  if (origin.parent == aLink.id) {
    ++origin.overtakes;
    if (origin.overtakes < kOvertakesBeforeSwitch || links.count(origin.challenger) == 0) {
      return;
    }
    origin.parent = origin.challenger;
    origin.overtakes = 0;
  }
  if (!aLink.prunedByUs.insert(aOrigin).second) {
    return;
  }
  Append(aLink, aLink.codec.Render(aOrigin, record_kind::prune, aLink.frame));
}

bool
mesh_core::implementation::TakePrune(link_state& aLink, const wire_record& aRecord)
{
  const auto origin = aLink.codec.ParseRouter(aRecord);
  if (origin) {
    aLink.prunedByPeer.insert(*origin);
  }
  return origin.has_value();
}

bool
mesh_core::implementation::TakeGraft(link_state& aLink, const wire_record& aRecord)
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
  facts.ForEach([&](subject_id aSubject, const mesh_fact& aFact) {
    const router_id from = OriginOf(aFact.message);
    // Applied versions are covered by the origin's hash, which is queued below.
    const bool single = !std::holds_alternative<applied_message>(aFact.message);
    if (single && !from.Empty() && (all || from == *origin)) {
      Queue(aLink, aSubject, aFact);
    }
  });
  for (const auto& [router, hash] : appliedHashes) {
    if (all || router == *origin) {
      aLink.appliedHashes.Add(router);
    }
  }
  return true;
}

void
mesh_core::implementation::GraftOrigin(const router_id& aOrigin)
{
  for (auto& [id, link] : links) {
    if (link.prunedByUs.erase(aOrigin) != 0) {
      Append(link, link.codec.Render(aOrigin, record_kind::graft, link.frame));
    }
  }
}

void
mesh_core::implementation::GraftOrphans(link_id aClosed)
{
  std::vector<router_id> orphans;
  for (const auto& [origin, state] : mOrigins) {
    if (state.parent == aClosed) {
      orphans.push_back(origin);
    }
  }
  for (const router_id& origin : orphans) {
    mOrigins.erase(origin);
    GraftOrigin(origin);
  }
}

void
mesh_core::implementation::GraftStarved()
{
  std::erase_if(mGroups, [this](const auto& aEntry) {
    return now - aEntry.second.observedAt > kGroupRetention;
  });
  for (auto& [group, state] : mGroups) {
    const bool starved = now - state.observedAt > kStarvation;
    if (starved && now - state.graftedAt > kGroupRetention && state.observer != options.self) {
      state.graftedAt = now;
      mOrigins.erase(state.observer);
      GraftOrigin(state.observer);
    }
  }
}

void
mesh_core::implementation::NoteGroup(const presence_message& aMessage, time_point aObservedAt)
{
  group_evidence& state = mGroups[aMessage.group];
  if (aObservedAt >= state.observedAt) {
    state.observedAt = aObservedAt;
    state.observer = aMessage.observer;
    state.whole = aMessage.whole;
    state.version = aMessage.version;
  }
}

} // namespace persimmon::peers
