#include "peers/internal/meshcoreimplementation.h"

#include "peers/rendezvous.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

/// Interval of link and membership maintenance.
constexpr duration kMaintenanceInterval = 100_ms;
constexpr duration kExpiryInterval = 5_s;
/// Mean interval of dials to seeds and dead members.
constexpr duration kProbeInterval = 2_s;
/// Replaces kProbeInterval while this router has no link.
constexpr duration kUnlinkedProbeInterval = 200_ms;
/// Time from the opening of a link until the peer's hello record must arrive.
constexpr duration kHelloTimeout = 3_s;
/// Minimum age of a link before it is closed because this router no longer selects its peer.
constexpr duration kMinUnneededLinkAge = 5_s;
/// Time after which dead members are forgotten.
constexpr duration kDeadRetention = 600_s;
/// Consecutive failed dials after which a member is suspected.
constexpr int kFailuresBeforeSuspicion = 2;

member
SelfOf(const mesh_options& aOptions, time_point aNow)
{
  return { aOptions.self,
           aOptions.startedAtMs,
           0,
           aOptions.leaf ? member_state::dead : member_state::alive,
           aOptions.address,
           aOptions.zone,
           aNow,
           aOptions.relay,
           aOptions.processorPercent };
}

} // namespace

mesh_core::implementation::implementation(mesh_options aOptions, time_point aNow)
  : options(std::move(aOptions))
  , now(aNow)
  , members(SelfOf(options, aNow))
  , mRandom(options.randomSeed)
  , mSeeds(options.seeds)
  , mStartedAt(aNow)
  , mBudget(options.burstBytes)
  , mBudgetUpdatedAt(aNow)
  , mNextBulkAt(aNow + duration{ static_cast<std::int64_t>(
                         mRandom.Below(static_cast<std::uint64_t>(options.bulkInterval.ms))) })
  , mNextProbeAt(aNow)
  , mNextMaintenanceAt(aNow)
{
}

void
mesh_core::implementation::On(const link_opened& aEvent)
{
  const auto dialled = mPendingDials.find(aEvent.link);
  if (dialled != mPendingDials.end()) {
    mOutgoingAddresses[aEvent.link] = dialled->second;
    mPendingDials.erase(dialled);
  }
  link_state& link = links[aEvent.link];
  link.id = aEvent.link;
  link.outgoing = aEvent.outgoing;
  link.openedAt = now;
  link.lastReceivedAt = now;
  link.lastSummaryAt = now;
  SendHello(link);
}

void
mesh_core::implementation::SendHello(link_state& aLink)
{
  Append(aLink, aLink.codec.Encode(hello_record{ members.Self(), options.leaf }));
  Append(aLink,
         aLink.codec.Encode(summary_record{ messages.Hash(), members.Hash(), caughtUp, starting }));
  SendFrame(aLink);
}

void
mesh_core::implementation::On(const link_closed& aEvent)
{
  const auto dialled = mPendingDials.find(aEvent.link);
  if (dialled != mPendingDials.end()) {
    const endpoint address = dialled->second;
    mPendingDials.erase(dialled);
    OnDialFailed(address);
    return;
  }
  RemoveLink(aEvent.link);
}

void
mesh_core::implementation::OnDialFailed(const endpoint& aAddress)
{
  const int failures = mDialer.OnFailed(aAddress, now, mRandom);
  if (starting) {
    mFailedDials.insert(aAddress);
  }
  if (failures < kFailuresBeforeSuspicion) {
    return;
  }
  for (const auto& [id, entry] : members.All()) {
    if (entry.address == aAddress) {
      SuspectPeer(id);
      return;
    }
  }
}

void
mesh_core::implementation::SuspectPeer(const router_id& aPeer)
{
  if (IsLinked(aPeer)) {
    return;
  }
  if (const auto changed = members.Suspect(aPeer, now)) {
    actions.push_back(member_changed{ *changed });
    QueueMember(*changed, std::nullopt);
  }
}

void
mesh_core::implementation::QueueMember(const member& aEntry, std::optional<link_id> aExcept)
{
  for (auto& [id, link] : links) {
    if (link.helloReceived && id != aExcept) {
      link.pendingMembers.Add(aEntry.id);
    }
  }
}

void
mesh_core::implementation::MergeMember(const member& aUpdate, link_id aFrom)
{
  const member* known = members.Find(aUpdate.id);
  const bool restarted = known != nullptr && known->startedAtMs < aUpdate.startedAtMs;
  const auto changed = members.Merge(aUpdate, now);
  if (changed && aUpdate.id == options.self) {
    // Routers that counted this router as dead may have missed the versions that it applied.
    mOwnHashChanged = !mOwnAppliedVersions.empty();
    mOwnHashFirstChangedAt = now;
    mOwnHashChangedAt = now;
    QueueMember(*changed, std::nullopt);
    return;
  }
  if (changed) {
    if (restarted) {
      EraseMessagesOfOrigin(aUpdate.id);
    }
    actions.push_back(member_changed{ *changed });
    QueueMember(*changed, aFrom);
    return;
  }
  SendNewerMember(aUpdate, links.at(aFrom));
}

void
mesh_core::implementation::SendNewerMember(const member& aUpdate, link_state& aLink)
{
  const member* known = members.Find(aUpdate.id);
  if (known == nullptr || aUpdate.id == options.self) {
    return;
  }
  aLink.pendingMembers.Remove(aUpdate.id);
  const bool sameEntry = known->startedAtMs == aUpdate.startedAtMs &&
                         known->refutationNumber == aUpdate.refutationNumber;
  if (sameEntry && known->state > aUpdate.state) {
    // The peer counts the member as alive, so the member may be able to refute its death. Sending
    // it as suspect triggers a refutation.
    member suspected = *known;
    suspected.state = member_state::suspect;
    Append(aLink, aLink.codec.Encode(suspected, aLink.frame));
  } else if (!sameEntry) {
    aLink.pendingMembers.Add(aUpdate.id);
  }
}

void
mesh_core::implementation::EraseMessagesOfOrigin(const router_id& aRouter)
{
  std::vector<subject_id> old;
  messages.ForEach([&](subject_id aSubject, const versioned_message& aEntry) {
    if (OriginOf(aEntry.message) == aRouter) {
      old.push_back(aSubject);
    }
  });
  for (const subject_id subject : old) {
    messages.Erase(subject);
  }
  appliedHashes.erase(aRouter);
  coveredUpTo.erase(aRouter);
}

bool
mesh_core::implementation::IsLinked(const router_id& aPeer) const
{
  return std::any_of(links.begin(), links.end(), [&aPeer](const auto& aEntry) {
    return aEntry.second.helloReceived && aEntry.second.peer == aPeer;
  });
}

void
mesh_core::implementation::CloseLink(link_id aLink,
                                     link_close_reason aReason,
                                     const std::string& aDetail)
{
  actions.push_back(close_link{ aLink, aReason, aDetail });
  RemoveLink(aLink);
}

void
mesh_core::implementation::RemoveLink(link_id aLink)
{
  const auto found = links.find(aLink);
  if (found == links.end()) {
    return;
  }
  const bool helloReceived = found->second.helloReceived;
  links.erase(found);
  if (const auto dialled = mOutgoingAddresses.extract(aLink); dialled && !helloReceived) {
    OnDialFailed(dialled.mapped());
  }
  for (auto& [subject, missing] : mMissing) {
    std::erase(missing.holders, aLink);
  }
  GraftOriginsOfLink(aLink);
}

void
mesh_core::implementation::Dial(const endpoint& aAddress)
{
  const link_id link{ mNextLink };
  // Outgoing links have odd numbers; the transport assigns even numbers to accepted links.
  mNextLink += 2;
  mDialer.OnDialStarted(aAddress);
  mPendingDials[link] = aAddress;
  actions.push_back(open_link{ link, aAddress });
}

std::vector<router_id>
mesh_core::implementation::SelectPeers() const
{
  return options.leaf ? std::vector<router_id>{}
                      : ChoosePeers(options.self, members.LiveRouters(), options.peerCount);
}

void
mesh_core::implementation::DialSelectedPeers()
{
  if (options.leaf) {
    if (links.empty() && mPendingDials.empty()) {
      if (const auto seed = mDialer.PickRandom(mSeeds, now, mRandom)) {
        Dial(*seed);
      }
    }
    return;
  }
  for (const router_id& peer : SelectPeers()) {
    const endpoint& address = members.Find(peer)->address;
    if (!IsLinked(peer) && !address.Empty() && mDialer.MayDial(address, now)) {
      Dial(address);
    }
  }
}

std::vector<endpoint>
mesh_core::implementation::ProbeTargets() const
{
  std::set<endpoint> targets(mSeeds.begin(), mSeeds.end());
  for (const auto& [id, entry] : members.All()) {
    if (entry.state == member_state::dead) {
      targets.insert(entry.address);
    }
  }
  for (const auto& [id, entry] : members.All()) {
    if (entry.state != member_state::dead) {
      targets.erase(entry.address);
    }
  }
  targets.erase(options.address);
  targets.erase(endpoint{});
  return { targets.begin(), targets.end() };
}

void
mesh_core::implementation::DialProbeTarget()
{
  if (options.leaf || now < mNextProbeAt) {
    return;
  }
  const bool unlinked = links.empty();
  const duration interval = unlinked ? kUnlinkedProbeInterval : kProbeInterval;
  const auto jitter =
    static_cast<std::int64_t>(static_cast<double>(interval.ms) * mRandom.NextDouble());
  mNextProbeAt = now + interval / 2 + duration{ jitter };
  if (const auto target = mDialer.PickRandom(ProbeTargets(), now, mRandom)) {
    Dial(*target);
  }
}

void
mesh_core::implementation::CloseUnneededLinks()
{
  if (options.leaf) {
    return;
  }
  const std::vector<router_id> selected = SelectPeers();
  std::vector<link_id> unneeded;
  for (const auto& [id, link] : links) {
    const bool needed = std::find(selected.begin(), selected.end(), link.peer) != selected.end();
    if (link.outgoing && link.helloReceived && !needed &&
        now - link.openedAt > kMinUnneededLinkAge) {
      unneeded.push_back(id);
    }
  }
  for (const link_id link : unneeded) {
    CloseLink(link, link_close_reason::not_needed, "");
  }
}

void
mesh_core::implementation::CloseSilentLinks()
{
  std::vector<std::pair<link_id, router_id>> silent;
  for (const auto& [id, link] : links) {
    const duration timeout = link.helloReceived ? options.linkTimeout : kHelloTimeout;
    if (now - link.lastReceivedAt > timeout) {
      silent.emplace_back(id, link.peer);
    }
  }
  for (const auto& [link, peer] : silent) {
    CloseLink(link, link_close_reason::silent, "");
    SuspectPeer(peer);
  }
}

bool
mesh_core::implementation::ResolveDuplicate(link_state& aLink)
{
  for (auto& [id, other] : links) {
    if (id == aLink.id || !other.helloReceived || other.peer != aLink.peer) {
      continue;
    }
    const bool keepOutgoing = options.self < aLink.peer;
    const bool keepOther = other.peerStartedAtMs == aLink.peerStartedAtMs &&
                           (other.outgoing == aLink.outgoing || other.outgoing == keepOutgoing);
    const link_id redundant = keepOther ? aLink.id : id;
    CloseLink(redundant, link_close_reason::duplicate, "");
    return !keepOther;
  }
  return true;
}

bool
mesh_core::implementation::HandleHello(link_state& aLink, const wire_record& aRecord)
{
  const auto hello = aLink.codec.ParseHello(aRecord);
  if (!hello || aLink.helloReceived) {
    return false;
  }
  if (hello->self.id == options.self) {
    if (const auto dialled = mOutgoingAddresses.find(aLink.id);
        dialled != mOutgoingAddresses.end()) {
      std::erase(mSeeds, dialled->second);
    }
    CloseLink(aLink.id, link_close_reason::self, "");
    return true;
  }
  aLink.peer = hello->self.id;
  aLink.peerStartedAtMs = hello->self.startedAtMs;
  aLink.leaf = hello->leaf;
  aLink.helloReceived = true;
  if (const auto dialled = mOutgoingAddresses.find(aLink.id); dialled != mOutgoingAddresses.end()) {
    mDialer.OnConnected(dialled->second);
  }
  if (!ResolveDuplicate(aLink) || hello->leaf) {
    return true;
  }
  member entry = hello->self;
  entry.state = member_state::alive;
  MergeMember(entry, aLink.id);
  return true;
}

void
mesh_core::implementation::On(const seeds_changed& aEvent)
{
  std::set<endpoint> all(options.seeds.begin(), options.seeds.end());
  if (!options.leaf) {
    all.insert(aEvent.addresses.begin(), aEvent.addresses.end());
  }
  mSeeds.assign(all.begin(), all.end());
}

void
mesh_core::implementation::On(const store_state_changed& aEvent)
{
  mWatchUpToDate = aEvent.watchUpToDate;
  caughtUp = caughtUp || aEvent.hasList;
}

void
mesh_core::implementation::On(const store_age_known& aEvent)
{
  mStoreNeverRestored = aEvent.neverRestored;
}

void
mesh_core::implementation::On(const timer_fired&)
{
  DialSeedsAtStart();
  if (now >= mNextMaintenanceAt) {
    mNextMaintenanceAt = now + kMaintenanceInterval;
    CloseSilentLinks();
    CloseUnneededLinks();
    DialSelectedPeers();
    DialProbeTarget();
    for (const member& dead : members.DeclareDead(options.suspectTimeout, now)) {
      actions.push_back(member_changed{ dead });
      QueueMember(dead, std::nullopt);
    }
    GraftStaleGroups();
  }
  if (now >= mNextExpiryAt) {
    mNextExpiryAt = now + kExpiryInterval;
    members.Forget(kDeadRetention, now);
    messages.Expire(now);
    EraseCoveredApplied();
  }
  SendDuePulls();
  UpdateStart();
  SendSummaries();
  ReachClaimedPositions();
  const bool bulk = now >= mNextBulkAt;
  if (bulk) {
    mNextBulkAt = now + options.bulkInterval;
    SendPositions();
  }
  Flush(bulk);
}

void
mesh_core::implementation::On(const stop_requested&)
{
  if (!options.leaf) {
    const member self = members.Leave();
    for (auto& [id, link] : links) {
      if (link.helloReceived) {
        Append(link, link.codec.Encode(self, link.frame));
        SendFrame(link);
      }
    }
  }
  while (!links.empty()) {
    CloseLink(links.begin()->first, link_close_reason::stopping, "");
  }
}

} // namespace persimmon::peers
