#include "peers/internal/meshcoreimplementation.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

/// Time until an unanswered pull is sent to the next holder.
constexpr duration kPullRetry = 1_s;
/// Minimum time between two repairs of a link.
constexpr duration kRepairInterval = 5_s;
/// Number of consecutive differing summaries that start a repair; a single difference may be due
/// to messages in flight.
constexpr int kDifferencesBeforeRepair = 2;
/// Members that a new peer is told at once. They suffice to link to others, who tell it the rest,
/// when this process has many new peers and no bytes left.
constexpr std::size_t kFirstMembers = 12;
/// Resolution of message stamps, in milliseconds.
constexpr std::int64_t kStampStepMs = 50;

} // namespace

void
mesh_core::implementation::On(const frame_received& aEvent)
{
  const auto found = links.find(aEvent.link);
  if (found == links.end()) {
    return;
  }
  link_state& link = found->second;
  ++counters.framesReceived;
  counters.bytesReceived += aEvent.bytes.size();
  frame_reason error;
  const auto frame = DecodeFrame(aEvent.bytes, error);
  if (!frame || !link.codec.AddNames(*frame)) {
    ++counters.badFrames;
    CloseLink(aEvent.link, link_close_reason::bad_frame, frame ? "too many names" : error.detail);
    return;
  }
  link.lastReceivedAt = now;
  for (const wire_record& record : frame->records) {
    const bool valid = HandleRecord(link, record);
    if (links.find(aEvent.link) == links.end()) {
      return;
    }
    if (!valid) {
      ++counters.badFrames;
      CloseLink(aEvent.link,
                link_close_reason::bad_frame,
                "bad record of kind " + std::to_string(record.kind));
      return;
    }
  }
  UpdateStart();
  SendImmediateFrames();
}

bool
mesh_core::implementation::HandleRecord(link_state& aLink, const wire_record& aRecord)
{
  const auto kind = static_cast<record_kind>(std::min<std::uint64_t>(aRecord.kind, UINT8_MAX));
  if (!aLink.helloReceived && kind != record_kind::hello) {
    return false;
  }
  switch (kind) {
    case record_kind::hello:
      return HandleHello(aLink, aRecord);
    case record_kind::member: {
      const auto update = aLink.codec.ParseMember(aRecord);
      if (update) {
        MergeMember(*update, aLink.id);
      }
      return update.has_value();
    }
    case record_kind::summary:
      return HandleSummary(aLink, aRecord);
    case record_kind::announce:
      return HandleAnnounce(aLink, aRecord);
    case record_kind::pull:
      return HandlePull(aLink, aRecord);
    case record_kind::body:
    case record_kind::presence:
    case record_kind::leaving:
    case record_kind::crash:
    case record_kind::quarantine:
    case record_kind::rate_limit:
    case record_kind::customer_load:
    case record_kind::model_load:
    case record_kind::applied:
      return HandleMessage(aLink, aRecord);
    case record_kind::applied_hash:
      return HandleAppliedHash(aLink, aRecord);
    case record_kind::prune:
      return HandlePrune(aLink, aRecord);
    case record_kind::graft:
      return HandleGraft(aLink, aRecord);
    case record_kind::store_position:
      return HandlePosition(aLink, aRecord);
  }
  ++counters.unknownRecords;
  return true;
}

bool
mesh_core::implementation::HandleSummary(link_state& aLink, const wire_record& aRecord)
{
  const auto summary = aLink.codec.ParseSummary(aRecord);
  if (!summary) {
    return false;
  }
  if (summary->caughtUp && summary->hash == messages.Hash()) {
    caughtUp = true;
  }
  ExchangeStartState(aLink, *summary);
  ++aLink.summariesReceived;
  const bool equal = summary->hash == messages.Hash() && summary->members == members.Hash();
  aLink.consecutiveDifferences = equal ? 0 : aLink.consecutiveDifferences + 1;
  // The dialling side sends its state first; the accepting side then sends only what still differs.
  const bool firstExchange = aLink.summariesReceived == (aLink.outgoing ? 1 : 2);
  const bool persistent = aLink.consecutiveDifferences >= kDifferencesBeforeRepair &&
                          now - aLink.lastRepairAt > kRepairInterval;
  if (firstExchange) {
    QueueInitialState(aLink);
    if (summary->members != members.Hash()) {
      SendSomeMembers(aLink);
    }
  }
  if (firstExchange || persistent) {
    QueueDifferences(aLink, *summary);
  }
  return true;
}

void
mesh_core::implementation::QueueInitialState(link_state& aLink)
{
  messages.ForEach([&](subject_id aSubject, const versioned_message& aEntry) {
    if (!aLink.stateSent && IsInitialState(aEntry.message)) {
      QueueMessage(aLink, aSubject, aEntry);
    }
  });
  if (!aLink.outgoing) {
    for (const auto& [router, hash] : appliedHashes) {
      aLink.pendingAppliedHashes.Add(router);
    }
  }
}

void
mesh_core::implementation::SendSomeMembers(link_state& aLink)
{
  std::vector<router_id> live = members.LiveRouters();
  for (std::size_t sent = 0; sent < kFirstMembers && !live.empty(); ++sent) {
    const std::size_t drawn = mRandom.Below(live.size());
    Append(aLink, aLink.codec.Encode(*members.Find(live[drawn]), aLink.frame));
    live.erase(live.begin() + static_cast<std::ptrdiff_t>(drawn));
  }
  aLink.sendImmediately = true;
}

void
mesh_core::implementation::QueueDifferences(link_state& aLink, const summary_record& aSummary)
{
  aLink.lastRepairAt = now;
  aLink.consecutiveDifferences = 0;
  if (aSummary.hash != messages.Hash()) {
    messages.ForEach([&](subject_id aSubject, const versioned_message& aEntry) {
      if (IsPlatformObject(aEntry.message)) {
        QueueMessage(aLink, aSubject, aEntry);
      }
    });
  }
  if (aSummary.members != members.Hash()) {
    for (const auto& [id, entry] : members.All()) {
      if (entry.state != member_state::dead) {
        aLink.pendingMembers.Add(id);
      }
    }
  }
}

bool
mesh_core::implementation::HandleAnnounce(link_state& aLink, const wire_record& aRecord)
{
  const auto announced = aLink.codec.ParseAnnounce(aRecord);
  if (!announced) {
    return false;
  }
  const subject_id subject = SubjectOf(announced->kind, announced->name);
  const versioned_message* held = messages.Find(subject);
  if (held != nullptr && held->version >= announced->version.value) {
    if (held->version == announced->version.value) {
      aLink.RemovePending(subject);
    } else {
      QueueMessage(aLink, subject, *held);
    }
    return true;
  }
  missing_version& missing = mMissing[subject];
  if (announced->version > missing.record.version) {
    missing = {
      *announced, {}, now + (mWatchUpToDate ? options.pullDelay : duration{}), ++mAnnouncements
    };
  }
  if (announced->version == missing.record.version) {
    missing.holders.push_back(aLink.id);
  }
  SendDuePulls();
  return true;
}

void
mesh_core::implementation::SendDuePulls()
{
  for (auto& [subject, missing] : mMissing) {
    if (missing.holders.empty() || now < missing.nextPullAt) {
      continue;
    }
    link_state& holder = links.at(missing.holders.front());
    std::rotate(missing.holders.begin(), missing.holders.begin() + 1, missing.holders.end());
    missing.nextPullAt = now + kPullRetry;
    Append(holder, holder.codec.Encode(missing.record, record_kind::pull, holder.frame));
    holder.sendImmediately = true;
  }
}

void
mesh_core::implementation::SendImmediateFrames()
{
  SendUrgent();
  for (auto& [id, link] : links) {
    if (link.sendImmediately) {
      SendFrame(link);
    }
  }
}

bool
mesh_core::implementation::HandlePull(link_state& aLink, const wire_record& aRecord)
{
  const auto asked = aLink.codec.ParseAnnounce(aRecord);
  if (!asked) {
    return false;
  }
  const subject_id subject = SubjectOf(asked->kind, asked->name);
  const versioned_message* held = messages.Find(subject);
  if (held == nullptr) {
    return true;
  }
  wire_record body = aLink.codec.Encode(*held, now, aLink.frame);
  counters.bodyBytesSent += EncodedSize(body);
  Append(aLink, std::move(body));
  aLink.sendImmediately = true;
  return true;
}

bool
mesh_core::implementation::HandleMessage(link_state& aLink, const wire_record& aRecord)
{
  const auto entry = aLink.codec.ParseMessage(aRecord, now);
  if (!entry) {
    return false;
  }
  const subject_id subject = SubjectOf(entry->message);
  const router_id origin = OriginOf(entry->message);
  if (origin == options.self) {
    return true;
  }
  switch (messages.StoreIfNewer(*entry, now)) {
    case store_result::newer:
      aLink.RemovePending(subject);
      RecordOriginLink(origin, aLink.id);
      if (const auto* presence = std::get_if<presence_message>(&entry->message)) {
        RecordPresence(*presence, entry->observedAt);
      }
      ++counters.messagesDelivered;
      actions.push_back(deliver_message{ entry->message, aLink.peer });
      DisseminateAccepted(*entry, aLink.id);
      break;
    case store_result::same:
      ++counters.duplicates;
      aLink.RemovePending(subject);
      PruneDuplicatePath(aLink, origin);
      break;
    case store_result::older:
      QueueMessage(aLink, subject, *messages.Find(subject));
      break;
  }
  return true;
}

void
mesh_core::implementation::DisseminateAccepted(const versioned_message& aEntry,
                                               std::optional<link_id> aFrom)
{
  const subject_id subject = SubjectOf(aEntry.message);
  const auto missing = mMissing.find(subject);
  if (missing != mMissing.end() && missing->second.record.version.value <= aEntry.version) {
    mMissing.erase(missing);
  }
  if (IsPlatformObject(aEntry.message)) {
    for (const auto& [router, record] : appliedHashes) {
      UpdateCoverage(record);
    }
  }
  QueueMessageForOthers(aEntry, aFrom);
}

void
mesh_core::implementation::QueueMessage(link_state& aLink,
                                        subject_id aSubject,
                                        const versioned_message& aEntry)
{
  if (!aLink.helloReceived || IsHeldByPeer(aLink, aEntry)) {
    return;
  }
  const router_id origin = OriginOf(aEntry.message);
  if (!origin.Empty() && aLink.prunedByPeer.count(origin) != 0) {
    return;
  }
  aLink.pendingMessages[static_cast<std::size_t>(PriorityOf(aEntry.message))].Add(aSubject);
}

void
mesh_core::implementation::QueueMessageForOthers(const versioned_message& aEntry,
                                                 std::optional<link_id> aFrom)
{
  const subject_id subject = SubjectOf(aEntry.message);
  for (auto& [id, link] : links) {
    if (id != aFrom) {
      QueueMessage(link, subject, aEntry);
    }
  }
}

std::uint64_t
mesh_core::implementation::NextStamp()
{
  const auto age = static_cast<std::uint64_t>((now - mStartedAt).ms);
  mLastStamp = std::max(mLastStamp + 1, (options.startedAtMs + age) / kStampStepMs);
  return mLastStamp & kStampMask;
}

bool
mesh_core::implementation::IsPresenceNeeded(const presence_message& aMessage) const
{
  const auto found = mGroups.find(aMessage.group);
  if (found == mGroups.end()) {
    return true;
  }
  const group_evidence& state = found->second;
  const bool changed = state.complete != aMessage.complete || state.version != aMessage.version;
  return changed || aMessage.isRecovery || now - state.observedAt >= options.presenceInterval;
}

void
mesh_core::implementation::On(const publish_requested& aEvent)
{
  if (!IsSendable(aEvent.message)) {
    ++counters.unsendable;
    return;
  }
  versioned_message entry{ aEvent.message, VersionOf(aEvent.message), now - AgeOf(aEvent.message) };
  if (const auto* presence = std::get_if<presence_message>(&aEvent.message)) {
    if (!IsPresenceNeeded(*presence)) {
      return;
    }
    RecordPresence(*presence, entry.observedAt);
    entry.version = NextStamp();
  } else if (std::holds_alternative<customer_load_message>(aEvent.message) ||
             std::holds_alternative<model_load_message>(aEvent.message)) {
    entry.version = NextStamp();
  }
  if (messages.StoreIfNewer(entry, now) != store_result::newer) {
    return;
  }
  const auto* applied = std::get_if<applied_message>(&aEvent.message);
  if (applied != nullptr && applied->router == options.self) {
    UpdateOwnAppliedHash(*applied);
    return;
  }
  DisseminateAccepted(entry, std::nullopt);
  SendImmediateFrames();
}

} // namespace persimmon::peers
