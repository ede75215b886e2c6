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
  frame_reason why;
  const auto frame = DecodeFrame(aEvent.bytes, why);
  if (!frame || !link.codec.Introduce(*frame)) {
    ++counters.badFrames;
    Close(aEvent.link, link_reason::bad_frame, frame ? "too many names" : why.detail);
    return;
  }
  link.lastHeard = now;
  for (const wire_record& record : frame->records) {
    const bool good = TakeRecord(link, record);
    if (links.find(aEvent.link) == links.end()) {
      return;
    }
    if (!good) {
      ++counters.badFrames;
      Close(
        aEvent.link, link_reason::bad_frame, "bad record of kind " + std::to_string(record.kind));
      return;
    }
  }
  SendPrompt();
}

bool
mesh_core::implementation::TakeRecord(link_state& aLink, const wire_record& aRecord)
{
  const auto kind = static_cast<record_kind>(std::min<std::uint64_t>(aRecord.kind, UINT8_MAX));
  if (!aLink.greeted && kind != record_kind::hello) {
    return false;
  }
  switch (kind) {
    case record_kind::hello:
      return TakeHello(aLink, aRecord);
    case record_kind::member: {
      const auto update = aLink.codec.ParseMember(aRecord);
      if (update) {
        MergeMember(*update, aLink.id);
      }
      return update.has_value();
    }
    case record_kind::summary:
      return TakeSummary(aLink, aRecord);
    case record_kind::announce:
      return TakeAnnounce(aLink, aRecord);
    case record_kind::pull:
      return TakePull(aLink, aRecord);
    case record_kind::body:
    case record_kind::presence:
    case record_kind::leaving:
    case record_kind::suspect:
    case record_kind::share:
    case record_kind::applied:
      return TakeFact(aLink, aRecord);
    case record_kind::applied_hash:
      return TakeAppliedHash(aLink, aRecord);
    case record_kind::prune:
      return TakePrune(aLink, aRecord);
    case record_kind::graft:
      return TakeGraft(aLink, aRecord);
  }
  ++counters.unknownRecords;
  return true;
}

bool
mesh_core::implementation::TakeSummary(link_state& aLink, const wire_record& aRecord)
{
  const auto summary = aLink.codec.ParseSummary(aRecord);
  if (!summary) {
    return false;
  }
  if (summary->listed && summary->hash == facts.Hash()) {
    caughtUp = true;
  }
  ++aLink.summaries;
  const bool same = summary->hash == facts.Hash() && summary->members == members.Hash();
  aLink.differences = same ? 0 : aLink.differences + 1;
  // The dialling side sends its state first; the accepting side then sends only what still differs.
  const bool first = aLink.summaries == (aLink.outgoing ? 1 : 2);
  const bool lasting =
    aLink.differences >= kDifferencesBeforeRepair && now - aLink.lastRepair > kRepairInterval;
  if (first) {
    SendMarks(aLink);
  }
  if (first || lasting) {
    Repair(aLink, *summary);
  }
  return true;
}

void
mesh_core::implementation::SendMarks(link_state& aLink)
{
  facts.ForEach([&](subject_id aSubject, const mesh_fact& aFact) {
    const bool mark = std::holds_alternative<leaving_message>(aFact.message) ||
                      std::holds_alternative<suspect_message>(aFact.message);
    if (mark) {
      Queue(aLink, aSubject, aFact);
    }
  });
  if (!aLink.outgoing) {
    for (const auto& [router, hash] : appliedHashes) {
      aLink.appliedHashes.Add(router);
    }
  }
}

void
mesh_core::implementation::Repair(link_state& aLink, const summary_record& aSummary)
{
  aLink.lastRepair = now;
  aLink.differences = 0;
  if (aSummary.hash != facts.Hash()) {
    facts.ForEach([&](subject_id aSubject, const mesh_fact& aFact) {
      if (IsVersioned(aFact.message)) {
        Queue(aLink, aSubject, aFact);
      }
    });
  }
  if (aSummary.members != members.Hash()) {
    for (const auto& [id, entry] : members.All()) {
      if (entry.state != member_state::dead) {
        aLink.members.Add(id);
      }
    }
  }
}

bool
mesh_core::implementation::TakeAnnounce(link_state& aLink, const wire_record& aRecord)
{
  const auto announced = aLink.codec.ParseAnnounce(aRecord);
  if (!announced) {
    return false;
  }
  const subject_id subject = SubjectOf(announced->what, announced->name);
  const mesh_fact* held = facts.Find(subject);
  if (held != nullptr && held->version >= announced->version.value) {
    if (held->version == announced->version.value) {
      aLink.Forget(subject);
    } else {
      Queue(aLink, subject, *held);
    }
    return true;
  }
  wanted_version& wanted = mWanted[subject];
  if (announced->version > wanted.record.version) {
    wanted = { *announced, {}, now + (mStoreFresh ? options.pullGrace : duration{}) };
  }
  if (announced->version == wanted.record.version) {
    wanted.holders.push_back(aLink.id);
  }
  AskForWanted();
  return true;
}

void
mesh_core::implementation::AskForWanted()
{
  for (auto& [subject, wanted] : mWanted) {
    if (wanted.holders.empty() || now < wanted.due) {
      continue;
    }
    link_state& holder = links.at(wanted.holders.front());
    std::rotate(wanted.holders.begin(), wanted.holders.begin() + 1, wanted.holders.end());
    wanted.due = now + kPullRetry;
    Append(holder, holder.codec.Render(wanted.record, record_kind::pull, holder.frame));
    holder.sendNow = true;
  }
}

void
mesh_core::implementation::SendPrompt()
{
  for (auto& [id, link] : links) {
    if (link.sendNow) {
      SendFrame(link);
    }
  }
}

bool
mesh_core::implementation::TakePull(link_state& aLink, const wire_record& aRecord)
{
  const auto asked = aLink.codec.ParseAnnounce(aRecord);
  if (!asked) {
    return false;
  }
  const subject_id subject = SubjectOf(asked->what, asked->name);
  const mesh_fact* held = facts.Find(subject);
  if (held == nullptr) {
    return true;
  }
  wire_record body = aLink.codec.Render(*held, now, aLink.frame);
  counters.bodyBytesSent += EncodedSize(body);
  Append(aLink, std::move(body));
  aLink.sendNow = true;
  return true;
}

bool
mesh_core::implementation::TakeFact(link_state& aLink, const wire_record& aRecord)
{
  const auto fact = aLink.codec.ParseFact(aRecord, now);
  if (!fact) {
    return false;
  }
  const subject_id subject = SubjectOf(fact->message);
  const router_id origin = OriginOf(fact->message);
  if (origin == options.self) {
    return true;
  }
  switch (facts.Offer(*fact, now)) {
    case offer_result::newer:
      aLink.Forget(subject);
      HeardOrigin(origin, aLink.id);
      if (const auto* presence = std::get_if<presence_message>(&fact->message)) {
        NoteGroup(*presence, fact->observedAt);
      }
      ++counters.messagesDelivered;
      actions.push_back(deliver_message{ fact->message, aLink.peer });
      Accepted(*fact, aLink.id);
      break;
    case offer_result::same:
      ++counters.duplicates;
      aLink.Forget(subject);
      TookDuplicate(aLink, origin);
      break;
    case offer_result::older:
      Queue(aLink, subject, *facts.Find(subject));
      break;
  }
  return true;
}

void
mesh_core::implementation::Accepted(const mesh_fact& aFact, std::optional<link_id> aFrom)
{
  const subject_id subject = SubjectOf(aFact.message);
  const auto wanted = mWanted.find(subject);
  if (wanted != mWanted.end() && wanted->second.record.version.value <= aFact.version) {
    mWanted.erase(wanted);
  }
  if (IsVersioned(aFact.message)) {
    for (const auto& [router, record] : appliedHashes) {
      CompareHash(record);
    }
  }
  QueueForOthers(aFact, aFrom);
}

void
mesh_core::implementation::Queue(link_state& aLink, subject_id aSubject, const mesh_fact& aFact)
{
  if (!aLink.greeted) {
    return;
  }
  const router_id origin = OriginOf(aFact.message);
  if (!origin.Empty() && aLink.prunedByPeer.count(origin) != 0) {
    return;
  }
  aLink.facts[static_cast<std::size_t>(WorthOf(aFact.message))].Add(aSubject);
}

void
mesh_core::implementation::QueueForOthers(const mesh_fact& aFact, std::optional<link_id> aFrom)
{
  const subject_id subject = SubjectOf(aFact.message);
  for (auto& [id, link] : links) {
    if (id != aFrom) {
      Queue(link, subject, aFact);
    }
  }
}

std::uint64_t
mesh_core::implementation::NextStamp()
{
  const auto age = static_cast<std::uint64_t>((now - mStartedAt).ms);
  mLastStamp = std::max(mLastStamp + 1, (options.life + age) / kStampStepMs);
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
  const bool changed = state.whole != aMessage.whole || state.version != aMessage.version;
  return changed || now - state.observedAt >= options.presenceInterval;
}

void
mesh_core::implementation::On(const publish_requested& aEvent)
{
  mesh_fact fact{ aEvent.message, VersionOf(aEvent.message), now - AgeOf(aEvent.message) };
  if (const auto* presence = std::get_if<presence_message>(&aEvent.message)) {
    if (!IsPresenceNeeded(*presence)) {
      return;
    }
    NoteGroup(*presence, fact.observedAt);
    fact.version = NextStamp();
  } else if (std::holds_alternative<share_message>(aEvent.message)) {
    fact.version = NextStamp();
  }
  if (facts.Offer(fact, now) != offer_result::newer) {
    return;
  }
  const auto* applied = std::get_if<applied_message>(&aEvent.message);
  if (applied != nullptr && applied->router == options.self) {
    UpdateOwnHash(*applied);
    return;
  }
  Accepted(fact, std::nullopt);
}

} // namespace persimmon::peers
