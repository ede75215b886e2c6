#include "peers/internal/meshcoreimplementation.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

/// Time after which processes that only know others which are starting too end their start, when
/// the store may show an older copy or a seed has not answered.
constexpr duration kAllStartingTime = 500_ms;
/// Interval at which a starting process dials the seeds to which it has no link, also when an
/// earlier dial is still in progress: TCP sends the first packet again only after a second, too
/// late for a seed whose machine is starting as well.
constexpr duration kStartDialInterval = 100_ms;
/// Time without a link, while each seed is dialled at intervals, after which none is taken to run
/// beside a store that never came back from an older copy. A seed that runs answers far sooner.
constexpr duration kSilentSeedsTime = 150_ms;
/// Longest start, when no peer can be reached or the bodies do not arrive.
constexpr duration kMaxStartTime = 1500_ms;

} // namespace

void
mesh_core::implementation::ExchangeStartState(link_state& aLink, const summary_record& aSummary)
{
  aLink.peerStarting = aSummary.starting;
  if (starting && !aSummary.starting) {
    // Equal documents are no proof that the rest of the state has arrived. Only the first summary
    // of a link, which comes with the hello, precedes the peer's state.
    mReceivedState = mReceivedState || aLink.summariesReceived > 0;
  }
  if (!starting && aSummary.starting && !aLink.stateSent) {
    SendState(aLink);
  }
}

void
mesh_core::implementation::SendState(link_state& aLink)
{
  aLink.stateSent = true;
  messages.ForEach([&](subject_id, const versioned_message& aEntry) {
    // A store that never came back from an older copy tells the peer as much of its objects.
    const bool isInStore = mStoreNeverRestored && IsRevisioned(aEntry.message);
    const bool isNeeded = IsPlatformObject(aEntry.message) || IsInitialState(aEntry.message);
    if (isNeeded && !isInStore && !IsHeldByPeer(aLink, aEntry)) {
      Append(aLink, EncodeEntry(aLink, aEntry));
    }
  });
  Append(aLink,
         aLink.codec.Encode(summary_record{ messages.Hash(), members.Hash(), caughtUp, starting }));
  aLink.sendImmediately = true;
}

void
mesh_core::implementation::DialSeedsAtStart()
{
  if (!starting || options.leaf || now < mNextStartDialAt) {
    return;
  }
  mNextStartDialAt = now + kStartDialInterval;
  const std::vector<endpoint> seeds = mSeeds;
  for (const endpoint& seed : seeds) {
    const bool mayDial = mFailedDials.count(seed) == 0 || mDialer.MayDial(seed, now);
    if (seed != options.address && mayDial && !IsLinkedTo(seed)) {
      Dial(seed);
    }
  }
}

bool
mesh_core::implementation::IsLinkedTo(const endpoint& aAddress) const
{
  return std::any_of(links.begin(), links.end(), [&](const auto& aEntry) {
    const member* peer = members.Find(aEntry.second.peer);
    const auto dialled = mOutgoingAddresses.find(aEntry.first);
    return aEntry.second.helloReceived &&
           ((peer != nullptr && peer->address == aAddress) ||
            (dialled != mOutgoingAddresses.end() && dialled->second == aAddress));
  });
}

bool
mesh_core::implementation::HaveSeedsAnswered() const
{
  return std::all_of(mSeeds.begin(), mSeeds.end(), [this](const endpoint& aSeed) {
    return aSeed == options.address || mFailedDials.count(aSeed) != 0 || IsLinkedTo(aSeed);
  });
}

bool
mesh_core::implementation::StartsWithOthers() const
{
  const bool linked = std::any_of(
    links.begin(), links.end(), [](const auto& aEntry) { return aEntry.second.helloReceived; });
  const bool allStarting = std::all_of(
    links.begin(), links.end(), [](const auto& aEntry) { return aEntry.second.peerStarting; });
  const bool hellosReceived = std::all_of(
    links.begin(), links.end(), [](const auto& aEntry) { return aEntry.second.helloReceived; });
  if (!linked || !allStarting) {
    return false;
  }
  // What the store shows is then as new as anything that a peer could know of it.
  const bool storeSuffices = mStoreNeverRestored && hellosReceived && HaveSeedsAnswered();
  return storeSuffices || now - mStartedAt >= kAllStartingTime;
}

bool
mesh_core::implementation::StartsAlone() const
{
  return mStoreNeverRestored && links.empty() && now - mStartedAt >= kSilentSeedsTime;
}

void
mesh_core::implementation::UpdateStart()
{
  if (!starting) {
    return;
  }
  const bool linked = std::any_of(
    links.begin(), links.end(), [](const auto& aEntry) { return aEntry.second.helloReceived; });
  const duration age = now - mStartedAt;
  const bool hasPeers = linked || !mSeeds.empty();
  const bool synchronised = mReceivedState && mMissing.empty();
  if (options.leaf || !hasPeers || synchronised || StartsWithOthers() || StartsAlone() ||
      age >= kMaxStartTime) {
    EndStart();
  }
}

void
mesh_core::implementation::EndStart()
{
  starting = false;
  actions.emplace_back(std::in_place_type<start_ended>);
  for (auto& [id, link] : links) {
    if (link.helloReceived && link.peerStarting && !link.stateSent) {
      SendState(link);
    }
  }
}

} // namespace persimmon::peers
