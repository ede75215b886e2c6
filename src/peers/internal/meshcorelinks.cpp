#include "peers/internal/meshcoreimplementation.h"

#include "peers/rendezvous.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

/// Interval of link and membership maintenance.
constexpr duration kUpkeepInterval = 100_ms;
constexpr duration kExpiryInterval = 5_s;
/// Mean interval of dials to seeds and dead members.
constexpr duration kProbeInterval = 2_s;
/// Replaces kProbeInterval while this router has no link.
constexpr duration kLonelyProbeInterval = 200_ms;
/// Time from the opening of a link until the peer's hello record must arrive.
constexpr duration kGreetingTimeout = 3_s;
/// Minimum age of a link before it is closed because this router no longer selects its peer.
constexpr duration kLinger = 5_s;
/// Time after which dead members are forgotten.
constexpr duration kDeadRetention = 600_s;
/// Consecutive failed dials after which a member is suspected.
constexpr int kFailuresBeforeSuspicion = 2;

member
SelfOf(const mesh_options& aOptions, time_point aNow)
{
  return {
    aOptions.self,    aOptions.life, 0,   aOptions.leaf ? member_state::dead : member_state::alive,
    aOptions.address, aOptions.zone, aNow
  };
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
  , mBudgetAt(aNow)
  , mNextBulk(aNow + duration{ static_cast<std::int64_t>(
                       mRandom.Below(static_cast<std::uint64_t>(options.bulkInterval.ms))) })
  , mNextProbe(aNow)
  , mNextUpkeep(aNow)
{
}

void
mesh_core::implementation::On(const link_opened& aEvent)
{
  const auto dialled = mDialling.find(aEvent.link);
  if (dialled != mDialling.end()) {
    mDialled[aEvent.link] = dialled->second;
    mDialling.erase(dialled);
  }
  link_state& link = links[aEvent.link];
  link.id = aEvent.link;
  link.outgoing = aEvent.outgoing;
  link.openedAt = now;
  link.lastHeard = now;
  link.lastSummary = now;
  Greet(link);
}

void
mesh_core::implementation::Greet(link_state& aLink)
{
  Append(aLink, aLink.codec.Render(hello_record{ members.Self(), options.leaf }));
  Append(aLink, aLink.codec.Render(summary_record{ facts.Hash(), members.Hash(), caughtUp }));
  SendFrame(aLink);
}

void
mesh_core::implementation::On(const link_closed& aEvent)
{
  const auto dialled = mDialling.find(aEvent.link);
  if (dialled != mDialling.end()) {
    const endpoint address = dialled->second;
    mDialling.erase(dialled);
    DialFailed(address);
    return;
  }
  DropLink(aEvent.link);
}

void
mesh_core::implementation::DialFailed(const endpoint& aAddress)
{
  const int failures = mDialer.Failed(aAddress, now, mRandom);
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
  if (const auto news = members.Suspect(aPeer, now)) {
    actions.push_back(member_changed{ *news });
    SpreadMember(*news, std::nullopt);
  }
}

void
mesh_core::implementation::SpreadMember(const member& aEntry, std::optional<link_id> aExcept)
{
  for (auto& [id, link] : links) {
    if (link.greeted && id != aExcept) {
      link.members.Add(aEntry.id);
    }
  }
}

void
mesh_core::implementation::MergeMember(const member& aUpdate, link_id aFrom)
{
  const member* known = members.Find(aUpdate.id);
  const bool reborn = known != nullptr && known->life < aUpdate.life;
  const auto news = members.Merge(aUpdate, now);
  if (news && aUpdate.id == options.self) {
    // Routers that counted this router as dead may have missed the versions that it applied.
    mAppliedChanged = !mOwnApplied.empty();
    mAppliedFirstAt = now;
    mAppliedChangedAt = now;
    SpreadMember(*news, std::nullopt);
    return;
  }
  if (news) {
    if (reborn) {
      ForgetOrigin(aUpdate.id);
    }
    actions.push_back(member_changed{ *news });
    SpreadMember(*news, aFrom);
    return;
  }
  AnswerOldMember(aUpdate, links.at(aFrom));
}

void
mesh_core::implementation::AnswerOldMember(const member& aUpdate, link_state& aLink)
{
  const member* known = members.Find(aUpdate.id);
  if (known == nullptr || aUpdate.id == options.self) {
    return;
  }
  aLink.members.Remove(aUpdate.id);
  const bool sameLife = known->life == aUpdate.life && known->sequence == aUpdate.sequence;
  if (sameLife && known->state > aUpdate.state) {
    // The peer counts the member as alive, so the member may be able to refute its death. Sending it
    // as suspect triggers a refutation.
    member suspected = *known;
    suspected.state = member_state::suspect;
    Append(aLink, aLink.codec.Render(suspected, aLink.frame));
  } else if (!sameLife) {
    aLink.members.Add(aUpdate.id);
  }
}

void
mesh_core::implementation::ForgetOrigin(const router_id& aRouter)
{
  std::vector<subject_id> old;
  facts.ForEach([&](subject_id aSubject, const mesh_fact& aFact) {
    if (OriginOf(aFact.message) == aRouter) {
      old.push_back(aSubject);
    }
  });
  for (const subject_id subject : old) {
    facts.Erase(subject);
  }
  appliedHashes.erase(aRouter);
  covered.erase(aRouter);
}

bool
mesh_core::implementation::IsLinked(const router_id& aPeer) const
{
  return std::any_of(links.begin(), links.end(), [&aPeer](const auto& aEntry) {
    return aEntry.second.greeted && aEntry.second.peer == aPeer;
  });
}

void
mesh_core::implementation::Close(link_id aLink, link_reason aReason, const std::string& aDetail)
{
  actions.push_back(close_link{ aLink, aReason, aDetail });
  DropLink(aLink);
}

void
mesh_core::implementation::DropLink(link_id aLink)
{
  const auto found = links.find(aLink);
  if (found == links.end()) {
    return;
  }
  const bool greeted = found->second.greeted;
  links.erase(found);
  if (const auto dialled = mDialled.extract(aLink); dialled && !greeted) {
    DialFailed(dialled.mapped());
  }
  for (auto& [subject, wanted] : mWanted) {
    std::erase(wanted.holders, aLink);
  }
  GraftOrphans(aLink);
}

void
mesh_core::implementation::Dial(const endpoint& aAddress)
{
  const link_id link{ mNextLink };
  // Outgoing links have odd numbers; the transport assigns even numbers to accepted links.
  mNextLink += 2;
  mDialer.Dialled(aAddress);
  mDialling[link] = aAddress;
  actions.push_back(open_link{ link, aAddress });
}

std::vector<router_id>
mesh_core::implementation::WantedPeers() const
{
  return options.leaf ? std::vector<router_id>{}
                      : ChoosePeers(options.self, members.Live(), options.peers);
}

void
mesh_core::implementation::DialPeers()
{
  if (options.leaf) {
    if (links.empty() && mDialling.empty()) {
      if (const auto seed = mDialer.Pick(mSeeds, now, mRandom)) {
        Dial(*seed);
      }
    }
    return;
  }
  for (const router_id& peer : WantedPeers()) {
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
mesh_core::implementation::Probe()
{
  if (options.leaf || now < mNextProbe) {
    return;
  }
  const bool lonely = links.empty();
  const duration interval = lonely ? kLonelyProbeInterval : kProbeInterval;
  const auto jitter =
    static_cast<std::int64_t>(static_cast<double>(interval.ms) * mRandom.NextDouble());
  mNextProbe = now + interval / 2 + duration{ jitter };
  if (const auto target = mDialer.Pick(ProbeTargets(), now, mRandom)) {
    Dial(*target);
  }
}

void
mesh_core::implementation::CloseUnneeded()
{
  if (options.leaf) {
    return;
  }
  const std::vector<router_id> wanted = WantedPeers();
  std::vector<link_id> unneeded;
  for (const auto& [id, link] : links) {
    const bool needed = std::find(wanted.begin(), wanted.end(), link.peer) != wanted.end();
    if (link.outgoing && link.greeted && !needed && now - link.openedAt > kLinger) {
      unneeded.push_back(id);
    }
  }
  for (const link_id link : unneeded) {
    Close(link, link_reason::not_needed, "");
  }
}

void
mesh_core::implementation::CloseSilent()
{
  std::vector<std::pair<link_id, router_id>> silent;
  for (const auto& [id, link] : links) {
    const duration patience = link.greeted ? options.linkTimeout : kGreetingTimeout;
    if (now - link.lastHeard > patience) {
      silent.emplace_back(id, link.peer);
    }
  }
  for (const auto& [link, peer] : silent) {
    Close(link, link_reason::silent, "");
    SuspectPeer(peer);
  }
}

bool
mesh_core::implementation::ResolveDuplicate(link_state& aLink)
{
  for (auto& [id, other] : links) {
    if (id == aLink.id || !other.greeted || other.peer != aLink.peer) {
      continue;
    }
    const bool ownWins = options.self < aLink.peer;
    const bool keepOther = other.peerLife == aLink.peerLife &&
                           (other.outgoing == aLink.outgoing || other.outgoing == ownWins);
    const link_id loser = keepOther ? aLink.id : id;
    Close(loser, link_reason::duplicate, "");
    return !keepOther;
  }
  return true;
}

bool
mesh_core::implementation::TakeHello(link_state& aLink, const wire_record& aRecord)
{
  const auto hello = aLink.codec.ParseHello(aRecord);
  if (!hello || aLink.greeted) {
    return false;
  }
  if (hello->self.id == options.self) {
    if (const auto dialled = mDialled.find(aLink.id); dialled != mDialled.end()) {
      std::erase(mSeeds, dialled->second);
    }
    Close(aLink.id, link_reason::self, "");
    return true;
  }
  aLink.peer = hello->self.id;
  aLink.peerLife = hello->self.life;
  aLink.leaf = hello->leaf;
  aLink.greeted = true;
  if (const auto dialled = mDialled.find(aLink.id); dialled != mDialled.end()) {
    mDialer.Connected(dialled->second);
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
  mStoreFresh = aEvent.fresh;
  caughtUp = caughtUp || aEvent.listed;
}

void
mesh_core::implementation::On(const timer_fired&)
{
  if (now >= mNextUpkeep) {
    mNextUpkeep = now + kUpkeepInterval;
    CloseSilent();
    CloseUnneeded();
    DialPeers();
    Probe();
    for (const member& dead : members.DeclareDead(options.suspectPatience, now)) {
      actions.push_back(member_changed{ dead });
      SpreadMember(dead, std::nullopt);
    }
    GraftStarved();
  }
  if (now >= mNextExpiry) {
    mNextExpiry = now + kExpiryInterval;
    members.Forget(kDeadRetention, now);
    facts.Expire(now);
    ExpireApplied();
  }
  AskForWanted();
  SendSummaries();
  const bool bulk = now >= mNextBulk;
  if (bulk) {
    mNextBulk = now + options.bulkInterval;
  }
  Flush(bulk);
}

void
mesh_core::implementation::On(const stop_requested&)
{
  if (!options.leaf) {
    const member self = members.Leave();
    for (auto& [id, link] : links) {
      if (link.greeted) {
        Append(link, link.codec.Render(self, link.frame));
        SendFrame(link);
      }
    }
  }
  while (!links.empty()) {
    Close(links.begin()->first, link_reason::stopping, "");
  }
}

} // namespace persimmon::peers
