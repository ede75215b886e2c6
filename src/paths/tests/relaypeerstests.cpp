#include "paths/relaypeers.h"

#include "base/random.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::paths;

namespace {

constexpr time_point kNow{ 100'000 };
const relay_peer kNear{ { "near" }, { "east" }, { "10.0.0.1:1" } };
const relay_peer kFar{ { "far" }, { "west" }, { "10.0.0.2:1" } };
const relay_peer kOther{ { "other" }, { "west" }, { "10.0.0.3:1" } };

} // namespace

// clang-format off
TEST_GROUP(relay_peers)
{
  relay_peers peers{ zone_name{ "east" } };

  void setup() override { peers.SetPeers({ kNear, kFar, kOther }); }

  std::string Selected(const std::set<router_id>& aTried = {}, time_point aNow = kNow)
  {
    const auto peer = peers.Select(aTried, 1, aNow);
    return peer ? peer->id.value : "none";
  }
};
// clang-format on

TEST(relay_peers, PeerOfTheOwnZoneComesFirst)
{
  STRCMP_EQUAL("near", Selected().c_str());
}

// Guards against all processes that take the last of many equal peers.
TEST(relay_peers, EqualPeersAreTakenEquallyOften)
{
  constexpr std::size_t kPeers = 30;
  constexpr std::size_t kSelections = 3000;
  std::vector<relay_peer> many;
  for (std::size_t i = 0; i < kPeers; ++i) {
    const zone_name zone{ i % 3 == 0 ? "east" : "west" };
    many.push_back({ { std::to_string(i) }, zone, { std::to_string(i) } });
  }
  peers.SetPeers(many);
  std::map<router_id, std::size_t> taken;
  random_source random(1);
  for (std::size_t i = 0; i < kSelections; ++i) {
    ++taken[peers.Select({}, random.Next(), kNow)->id];
  }
  CHECK_EQUAL(kPeers / 3, taken.size());
  for (const auto& [id, count] : taken) {
    CHECK(count * taken.size() < 2 * kSelections);
  }
}

TEST(relay_peers, TriedPeersAreLeftOut)
{
  STRCMP_EQUAL("none", Selected({ kNear.id, kFar.id, kOther.id }).c_str());
  STRCMP_EQUAL("far", Selected({ kNear.id, kOther.id }).c_str());
}

// Guards against calls that try cut off peers again and again while another one reaches upstreams.
TEST(relay_peers, PeerThatConnectsComesBeforeUnknownOnes)
{
  peers.OnConnected(kFar.id, kNow);
  STRCMP_EQUAL("far", Selected().c_str());
  CHECK(peers.IsProven(kFar.id, kNow + 4_s));
  CHECK(!peers.IsProven(kFar.id, kNow + 6_s));
}

TEST(relay_peers, PeerThatFailsComesLastForAWhile)
{
  peers.OnConnected(kNear.id, kNow);
  peers.OnFailed(kNear.id, kNow);
  CHECK(Selected() != "near");
  STRCMP_EQUAL("near", Selected({ kFar.id, kOther.id }).c_str());
  STRCMP_EQUAL("near", Selected({}, kNow + 6_s).c_str());
}

// Guards against the only peer that reaches upstreams never being tried.
TEST(relay_peers, PeerThatFailedFirstIsTriedAgainFirst)
{
  peers.OnFailed(kFar.id, kNow);
  peers.OnFailed(kNear.id, kNow + 10_ms);
  peers.OnFailed(kOther.id, kNow + 20_ms);
  STRCMP_EQUAL("far", Selected({}, kNow + 30_ms).c_str());
}

// Guards against a peer that has lost its own path and is taken at its word that upstreams are
// gone.
TEST(relay_peers, PeerThatMissesSeveralUpstreamsIsNotProven)
{
  peers.OnConnected(kNear.id, kNow);
  peers.OnMissed(kNear.id, kNow);
  CHECK(peers.IsProven(kNear.id, kNow));
  peers.OnMissed(kNear.id, kNow);
  CHECK(!peers.IsProven(kNear.id, kNow));
}

TEST(relay_peers, BusyPeersAreRelieved)
{
  for (const relay_peer& peer : { kNear, kFar }) {
    peers.OnConnected(peer.id, kNow);
  }
  for (int i = 0; i < 3; ++i) {
    peers.OnStarted(kNear.id);
  }
  STRCMP_EQUAL("far", Selected().c_str());
  peers.OnEnded(kNear.id);
  peers.OnEnded(kNear.id);
  STRCMP_EQUAL("near", Selected().c_str());
}

TEST(relay_peers, PeerAtANewAddressIsUnknown)
{
  peers.OnConnected(kFar.id, kNow);
  relay_peer moved = kFar;
  moved.address = { "10.0.0.9:1" };
  peers.SetPeers({ kNear, moved });
  CHECK(!peers.IsProven(kFar.id, kNow));
}
