#include "peers/internal/meshcoreimplementation.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

/// Positions of peers that wait for announced versions; further ones replace the newest.
constexpr std::size_t kMaxClaims = 16;
/// A position is news to a peer when it is later by this than the one that the peer knows.
constexpr duration kMinAdvance = 100_ms;
/// Longest time for which announcements wait on a new link for the position of the peer.
constexpr duration kPositionWait = 1_s;

} // namespace

void
mesh_core::implementation::On(const store_position_read& aEvent)
{
  const bool isFirst = !mPosition;
  if (isFirst || aEvent.position.asOf >= mPosition->asOf) {
    mPosition = aEvent.position;
    mIsPositionPublished = aEvent.isPublished;
  }
  if (isFirst) {
    // The peers need not announce what this process has read.
    SendPositions();
  }
}

bool
mesh_core::implementation::AwaitsPosition(const link_state& aLink) const
{
  const bool isUnknown = aLink.peerPosition.upTo.value == 0;
  return !options.revisionedPrefix.empty() && isUnknown && now - aLink.openedAt < kPositionWait;
}

bool
mesh_core::implementation::IsRevisioned(const mesh_message& aMessage) const
{
  const auto* document = std::get_if<document_message>(&aMessage);
  // The version of an end follows the object's last change, not the revision of its removal.
  return document != nullptr && !document->text.empty() && !options.revisionedPrefix.empty() &&
         document->service.value.starts_with(options.revisionedPrefix);
}

bool
mesh_core::implementation::IsHeldByPeer(const link_state& aLink,
                                        const versioned_message& aEntry) const
{
  return IsRevisioned(aEntry.message) && aEntry.version <= aLink.peerPosition.upTo.value;
}

void
mesh_core::implementation::RemoveHeldByPeer(link_state& aLink)
{
  for (const message_priority priority :
       { message_priority::urgent_version, message_priority::version }) {
    aLink.pendingMessages[static_cast<std::size_t>(priority)].RemoveIf([&](subject_id aSubject) {
      const versioned_message* entry = messages.Find(aSubject);
      return entry == nullptr || IsHeldByPeer(aLink, *entry);
    });
  }
}

bool
mesh_core::implementation::HandlePosition(link_state& aLink, const wire_record& aRecord)
{
  const auto told = aLink.codec.ParsePosition(aRecord, now);
  if (!told) {
    return false;
  }
  const store_position& position = told->position;
  if (position.asOf > aLink.peerPosition.asOf) {
    aLink.peerPosition = position;
    RemoveHeldByPeer(aLink);
  }
  const time_point known = mPosition ? mPosition->asOf : time_point{ INT64_MIN / 2 };
  const time_point newest = mClaims.empty() ? known : std::max(known, mClaims.back().position.asOf);
  if (!told->isAnnounced || position.asOf <= newest) {
    return true;
  }
  if (mClaims.size() >= kMaxClaims) {
    mClaims.pop_back();
  }
  mClaims.push_back({ position, mAnnouncements });
  return true;
}

void
mesh_core::implementation::ReachClaimedPositions()
{
  std::uint64_t firstMissing = UINT64_MAX;
  for (const auto& [subject, missing] : mMissing) {
    firstMissing = std::min(firstMissing, missing.announcement);
  }
  std::optional<store_position> reached;
  while (!mClaims.empty() && mClaims.front().announcements < firstMissing) {
    reached = mClaims.front().position;
    mClaims.pop_front();
  }
  if (reached && (!mPosition || reached->asOf > mPosition->asOf)) {
    mPosition = *reached;
    mIsPositionPublished = true;
    actions.push_back(store_position_reached{ *reached });
  }
}

void
mesh_core::implementation::SendPositions()
{
  if (!mPosition) {
    return;
  }
  for (auto& [id, link] : links) {
    const time_point known = std::max(link.positionSentAsOf, link.peerPosition.asOf);
    // The first one tells the peer what it need not announce.
    const bool isNews = !link.positionSent || mPosition->asOf - kMinAdvance > known;
    if (link.leaf || !link.helloReceived || !isNews) {
      continue;
    }
    const bool isAnnounced =
      mIsPositionPublished && link.HasComparedState() && !link.HasPendingVersions();
    link.positionSent = true;
    // Repeated until everything is announced, so that the peer can rely on it.
    link.positionSentAsOf = isAnnounced ? mPosition->asOf : link.positionSentAsOf;
    Append(link, link.codec.Encode(told_position{ *mPosition, isAnnounced }, now));
  }
}

} // namespace persimmon::peers
