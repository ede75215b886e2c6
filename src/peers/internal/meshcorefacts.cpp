#include "peers/internal/meshcoreimplementation.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

constexpr duration kPullRetry = 1_s;
constexpr duration kRepairInterval = 5_s;
/// Differences in a row before a difference counts as more than messages under way.
constexpr int kDifferencesBeforeRepair = 2;
/// A group that had evidence and then none for this long may have lost its observers' paths.
constexpr duration kStarvation = 2500_ms;
/// A group without evidence for this long is gone.
constexpr duration kGroupRetention = 10_s;
/// Times in a row that another link must be faster than an origin's path to take its place; a
/// hasty change could close a circle.
constexpr int kOvertakesBeforeSwitch = 3;
/// A router's hash goes out when nothing was applied for this long, or this long after the first.
constexpr duration kAppliedSettle = 5_s;
constexpr duration kAppliedLongest = 15_s;
/// The same after many versions at once, which are not told one by one.
constexpr duration kManyAppliedSettle = 1_s;
/// Versions applied within one interval that are told one by one.
constexpr std::size_t kMostSingleVersions = 8;
constexpr std::int64_t kStampStepMs = 50;
constexpr std::uint64_t kHashStampStepMs = 1000;
/// Stands for all origins in a graft.
constexpr const char* kAllOrigins = "*";

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
  // The dialling side tells first; the other then knows what is left to tell.
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
mesh_core::implementation::CompareHash(const applied_hash_record& aRecord)
{
  if (aRecord.hash == facts.Hash()) {
    covered[aRecord.router] = facts.LastAccepted();
  }
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
    // Versions applied are told by the origin's hash below.
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

void
mesh_core::implementation::UpdateOwnHash(const applied_message& aMessage)
{
  const subject_id subject = SubjectOf(aMessage.what, aMessage.name);
  applied_hash_record& own = appliedHashes[options.self];
  own.router = options.self;
  const auto known = mOwnApplied.find(subject);
  if (known != mOwnApplied.end()) {
    own.hash ^= HashOfVersion(subject, known->second);
  }
  mOwnApplied[subject] = aMessage.version.value;
  own.hash ^= HashOfVersion(subject, aMessage.version.value);
  CompareHash(own);
  if (!mAppliedChanged) {
    mAppliedFirstAt = now;
  }
  mAppliedChanged = true;
  mAppliedChangedAt = now;
  mAppliedUnsent.push_back(SubjectOf(aMessage));
}

void
mesh_core::implementation::SpreadOwnApplied()
{
  // Many at once, as after a start, are told by the hash alone.
  if (mAppliedUnsent.size() > kMostSingleVersions) {
    mAppliedMany = true;
    mAppliedUnsent.clear();
  }
  for (const subject_id subject : mAppliedUnsent) {
    if (const mesh_fact* fact = facts.Find(subject)) {
      QueueForOthers(*fact, std::nullopt);
    }
  }
  mAppliedUnsent.clear();
}

bool
mesh_core::implementation::TakeAppliedHash(link_state& aLink, const wire_record& aRecord)
{
  const auto update = aLink.codec.ParseAppliedHash(aRecord);
  if (!update) {
    return false;
  }
  const auto known = appliedHashes.find(update->router);
  if (update->router == options.self) {
    return true;
  }
  if (known != appliedHashes.end() && known->second.stamp >= update->stamp) {
    if (known->second.stamp == update->stamp) {
      aLink.appliedHashes.Remove(update->router);
      TookDuplicate(aLink, update->router);
    }
    return true;
  }
  appliedHashes[update->router] = *update;
  CompareHash(*update);
  aLink.appliedHashes.Remove(update->router);
  HeardOrigin(update->router, aLink.id);
  SpreadAppliedHash(update->router, aLink.id);
  return true;
}

void
mesh_core::implementation::SpreadAppliedHash(const router_id& aRouter,
                                             std::optional<link_id> aExcept)
{
  for (auto& [id, link] : links) {
    if (id != aExcept && link.greeted && link.prunedByPeer.count(aRouter) == 0) {
      link.appliedHashes.Add(aRouter);
    }
  }
}

void
mesh_core::implementation::SettleAppliedHash()
{
  const duration settle = mAppliedMany ? kManyAppliedSettle : kAppliedSettle;
  const bool settled =
    now - mAppliedChangedAt >= settle || now - mAppliedFirstAt >= kAppliedLongest;
  if (!mAppliedChanged || !settled) {
    return;
  }
  mAppliedChanged = false;
  mAppliedMany = false;
  applied_hash_record& own = appliedHashes[options.self];
  const std::uint64_t age = options.life + static_cast<std::uint64_t>((now - mStartedAt).ms);
  own.stamp = std::max(own.stamp + 1, age / kHashStampStepMs);
  SpreadAppliedHash(options.self, std::nullopt);
}

void
mesh_core::implementation::ExpireApplied()
{
  std::vector<subject_id> redundant;
  facts.ForEach([&](subject_id aSubject, const mesh_fact& aFact) {
    const auto* applied = std::get_if<applied_message>(&aFact.message);
    if (applied == nullptr) {
      return;
    }
    const auto cover = covered.find(applied->router);
    const mesh_fact* held = facts.Find(SubjectOf(applied->what, applied->name));
    if (held != nullptr && cover != covered.end() && held->acceptedAs <= cover->second) {
      redundant.push_back(aSubject);
    }
  });
  for (const subject_id subject : redundant) {
    facts.Erase(subject);
  }
}

} // namespace persimmon::peers
