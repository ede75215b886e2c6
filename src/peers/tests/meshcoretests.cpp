#include "peers/meshcore.h"

#include "peers/tests/mocks/memorymesh.h"
#include "peers/wireframe.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::peers;

namespace {

constexpr std::uint64_t kSeed = 6;
constexpr std::size_t kRouters = 9;
const std::string kService = "verifier-llm";

mesh_message
Document(std::uint64_t aRevision)
{
  return document_message{ { kService }, { aRevision }, "text-" + std::to_string(aRevision) };
}

} // namespace

// clang-format off
TEST_GROUP(mesh_core)
{
  memory_mesh mesh{ kSeed };
  std::map<std::size_t, std::vector<mesh_message>> delivered;

  void setup() override
  {
    mesh.onDeliver = [this](std::size_t aNode, const mesh_message& aMessage, time_point) {
      delivered[aNode].push_back(aMessage);
    };
    for (std::size_t i = 0; i < kRouters; ++i) {
      mesh.Add(3);
    }
    CHECK(mesh.RunUntil(10_s, [this] { return mesh.HasAgreedOnMembers(); }).has_value());
  }

  bool AllHold(const mesh_message& aMessage, std::size_t aFirst = 0, std::size_t aEnd = kRouters)
  {
    for (std::size_t i = aFirst; i < aEnd; ++i) {
      const auto held = mesh.Core(i).FindObject(applied_message::object_kind::document, kService);
      if (!held || *held != aMessage) {
        return false;
      }
    }
    return true;
  }
};
// clang-format on

TEST(mesh_core, PublishedDocumentReachesEveryRouter)
{
  mesh.Publish(4, Document(10));
  CHECK(mesh.RunUntil(1_s, [this] { return AllHold(Document(10)); }).has_value());
  CHECK(delivered[4].empty());
  CHECK_EQUAL(1, delivered[0].size());
}

TEST(mesh_core, OlderDocumentDoesNotReplaceNewerDocument)
{
  mesh.Publish(0, Document(10));
  mesh.Run(1_s);
  mesh.Publish(5, Document(9));
  mesh.Run(5_s);
  CHECK(AllHold(Document(10)));
}

TEST(mesh_core, DocumentReachesAllRoutersAfterPartitionHeals)
{
  mesh.Cut([](std::size_t aFrom, std::size_t aTo) { return (aFrom < 4) != (aTo < 4); });
  mesh.Run(10_s);
  CHECK_EQUAL(4, mesh.Core(0).LiveRouters().size());
  CHECK_EQUAL(5, mesh.Core(8).LiveRouters().size());
  mesh.Publish(0, Document(11));
  mesh.Run(2_s);
  CHECK(AllHold(Document(11), 0, 4));
  CHECK_FALSE(
    mesh.Core(8).FindObject(applied_message::object_kind::document, kService).has_value());
  mesh.Heal();
  CHECK(mesh.RunUntil(15_s, [this] { return mesh.HasAgreedOnMembers() && AllHold(Document(11)); })
          .has_value());
}

TEST(mesh_core, CrashedRouterIsRemovedAndRejoinsAfterRestart)
{
  mesh.Kill(3);
  CHECK(mesh.RunUntil(8_s, [this] { return mesh.HasAgreedOnMembers(); }).has_value());
  mesh.Restart(3);
  CHECK(mesh.RunUntil(8_s, [this] { return mesh.HasAgreedOnMembers(); }).has_value());
}

TEST(mesh_core, RouterThatStopsWithoutClosingConnectionsIsDeclaredDead)
{
  mesh.Kill(3, true);
  CHECK(mesh.RunUntil(12_s, [this] { return mesh.HasAgreedOnMembers(); }).has_value());
}

TEST(mesh_core, UnreachableLiveRouterRefutesSuspicion)
{
  // Router 3 loses its links to all but one peer for less than the timeout of a suspicion.
  mesh.Cut([](std::size_t aFrom, std::size_t aTo) {
    return (aFrom == 3 && aTo != 0) || (aTo == 3 && aFrom != 0);
  });
  mesh.Run(4_s);
  mesh.Heal();
  CHECK(mesh.RunUntil(10_s, [this] { return mesh.HasAgreedOnMembers(); }).has_value());
}

TEST(mesh_core, RouterCatchesUpOnlyFromCaughtUpPeer)
{
  mesh.Publish(0, Document(10));
  mesh.Run(2_s);
  CHECK_FALSE(mesh.Core(8).Status(mesh.Now()).caughtUp);
  mesh.Feed(0, store_state_changed{ true, true });
  mesh.Run(5_s);
  CHECK(mesh.Core(8).Status(mesh.Now()).caughtUp);
  mesh.Kill(8);
  mesh.Run(1_s);
  mesh.Restart(8);
  CHECK_FALSE(mesh.Core(8).Status(mesh.Now()).caughtUp);
  CHECK(
    mesh.RunUntil(5_s, [this] { return mesh.Core(8).Status(mesh.Now()).caughtUp; }).has_value());
  CHECK(AllHold(Document(10)));
}

TEST(mesh_core, RolloutListsRoutersThatDoNotApplyVersion)
{
  mesh.Publish(0, Document(10));
  mesh.Run(1_s);
  const auto subject = applied_message::object_kind::document;
  for (std::size_t i = 0; i + 1 < kRouters; ++i) {
    mesh.Publish(i, applied_message{ mesh.IdOf(i), subject, kService, { 10 } });
  }
  mesh.Run(2_s);
  rollout_status status = mesh.Core(2).RolloutOf(subject, kService, { 10 });
  CHECK_EQUAL(kRouters - 1, status.applied);
  CHECK_EQUAL(kRouters, status.live);
  CHECK(status.notApplied == std::vector<router_id>{ mesh.IdOf(8) });
  mesh.Publish(8, applied_message{ mesh.IdOf(8), subject, kService, { 10 } });
  mesh.Run(2_s);
  CHECK_EQUAL(kRouters, mesh.Core(2).RolloutOf(subject, kService, { 10 }).applied);
}

TEST(mesh_core, RestartedRouterLearnsVersionsAppliedByOthers)
{
  const auto subject = applied_message::object_kind::document;
  mesh.Publish(0, Document(10));
  mesh.Run(1_s);
  for (std::size_t i = 0; i < kRouters; ++i) {
    mesh.Publish(i, applied_message{ mesh.IdOf(i), subject, kService, { 10 } });
  }
  mesh.Run(10_s);
  mesh.Kill(5);
  mesh.Run(1_s);
  mesh.Restart(5);
  mesh.Run(10_s);
  const rollout_status status = mesh.Core(5).RolloutOf(subject, kService, { 10 });
  CHECK_EQUAL(kRouters - 1, status.applied);
  CHECK(status.notApplied == std::vector<router_id>{ mesh.IdOf(5) });
}

TEST(mesh_core, LeafExchangesMessagesButIsNotAMember)
{
  const std::size_t leaf = mesh.AddLeaf(2);
  mesh.Run(2_s);
  CHECK(mesh.HasAgreedOnMembers());
  mesh.Publish(leaf, table_message{ { "domain-1" }, { 7 }, "table" });
  mesh.Publish(6, leaving_message{ { "i1" }, { 3 } });
  mesh.Run(2_s);
  CHECK(delivered[8] ==
          (std::vector<mesh_message>{ leaving_message{ { "i1" }, { 3 } },
                                      table_message{ { "domain-1" }, { 7 }, "table" } }) ||
        delivered[8].size() == 2);
  CHECK_EQUAL(1, delivered[leaf].size());
  mesh.Kill(2);
  mesh.Run(1_s);
  mesh.Restart(2);
  CHECK(mesh.RunUntil(10_s, [&] { return mesh.Core(leaf).Status(mesh.Now()).peers.size() == 1; })
          .has_value());
}

TEST(mesh_core, LeavingMessageIsSentBeforeQueuedCustomerLoad)
{
  for (std::uint32_t i = 0; i < 20000; ++i) {
    mesh.Publish(0,
                 customer_load_message{
                   mesh.IdOf(0), { "s" }, { "customer-" + std::to_string(i) }, i, 0, {} });
  }
  mesh.Run(500_ms);
  mesh.Publish(0, leaving_message{ { "i9" }, { 1 } });
  const auto receivedLeaving = [this] {
    const auto& got = delivered[8];
    return std::find(got.begin(), got.end(), mesh_message(leaving_message{ { "i9" }, { 1 } })) !=
           got.end();
  };
  CHECK(mesh.RunUntil(1_s, receivedLeaving).has_value());
  CHECK(mesh.Core(0).Status(mesh.Now()).counters.waiting.back() > 1000);
}

TEST(mesh_core, PresenceMessagesStayWithinByteBudget)
{
  constexpr std::uint64_t kBudgetPerSecond = 3000;
  constexpr std::uint64_t kSeconds = 60;
  for (std::uint64_t second = 0; second < kSeconds; ++second) {
    for (std::size_t i = 0; i < kRouters; ++i) {
      for (int group = 0; group < 12; ++group) {
        mesh.Publish(
          i,
          presence_message{ { "group-" + std::to_string(group) }, { 1 }, mesh.IdOf(i), {}, true });
      }
    }
    mesh.Run(1_s);
  }
  for (std::size_t i = 0; i < kRouters; ++i) {
    CHECK(mesh.Core(i).Status(mesh.Now()).counters.bytesSent < kBudgetPerSecond * kSeconds);
  }
}

TEST(mesh_core, IsolatedRouterKeepsDocumentsAndCountsOnlyItselfAsLive)
{
  mesh.Publish(0, Document(10));
  mesh.Run(1_s);
  mesh.Cut([](std::size_t aFrom, std::size_t aTo) { return aFrom == 8 || aTo == 8; });
  mesh.Run(60_s);
  CHECK(mesh.Core(8).LiveRouters() == std::vector<router_id>{ mesh.IdOf(8) });
  CHECK(AllHold(Document(10), 8, 9));
  mesh.Publish(0, document_message{ { kService }, { 11 }, "" });
  mesh.Heal();
  CHECK(
    mesh
      .RunUntil(
        15_s,
        [this] {
          return mesh.HasAgreedOnMembers() && AllHold(document_message{ { kService }, { 11 }, "" });
        })
      .has_value());
}

TEST(mesh_core, RetiredDocumentStaysRetiredAfterOutdatedRouterReconnects)
{
  mesh.Publish(0, Document(10));
  mesh.Run(1_s);
  mesh.Cut([](std::size_t aFrom, std::size_t aTo) { return aFrom == 8 || aTo == 8; });
  mesh.Run(1_s);
  const mesh_message retired = document_message{ { kService }, { 12 }, "" };
  mesh.Publish(0, retired);
  mesh.Run(10_s);
  mesh.Publish(8, Document(10));
  mesh.Heal();
  mesh.Run(15_s);
  CHECK(AllHold(retired));
}

TEST(mesh_core, LinkClosedBeforeHelloCountsAsFailedDial)
{
  mesh_options options;
  options.self = { "self" };
  options.seeds = { { "10.0.0.9:1" } };
  mesh_core core(options, {});
  int dials = 0;
  for (time_point now; now < time_point{ 10000 }; now = now + 50_ms) {
    for (const mesh_action& action : core.Handle(timer_fired{}, now)) {
      if (const auto* open = std::get_if<open_link>(&action)) {
        ++dials;
        core.Handle(link_opened{ open->link, true }, now);
        core.Handle(link_closed{ open->link }, now);
      }
    }
  }
  CHECK(dials > 1);
  CHECK(dials <= 12);
}

// Guards against crashes of different routers that replace each other, and against a withdrawal
// that is dropped as older than the crash.
TEST(mesh_core, CrashesOfDifferentRoutersAndTheirWithdrawalReachEveryRouter)
{
  const crash_message first{ 7, 1, 2, true, false, {} };
  const crash_message second{ 7, 2, 1, false, false, {} };
  mesh.Publish(0, first);
  mesh.Publish(1, second);
  mesh.Publish(2, quarantine_message{ 7, 1, false, {} });
  mesh.Run(1_s);
  CHECK_EQUAL(3, delivered[8].size());
  crash_message withdrawn = first;
  withdrawn.withdrawn = true;
  mesh.Publish(3, withdrawn);
  mesh.Publish(3, quarantine_message{ 7, 1, true, {} });
  mesh.Run(1_s);
  CHECK_EQUAL(5, delivered[8].size());
  const auto& last = std::get<crash_message>(
    *std::find_if(delivered[8].begin() + 3, delivered[8].end(), [](const mesh_message& aMessage) {
      return std::holds_alternative<crash_message>(aMessage);
    }));
  CHECK(last.withdrawn);
  CHECK_EQUAL(first.crash, last.crash);
  CHECK_EQUAL(first.weight, last.weight);
  CHECK(last.isolates);
}

// Guards against a limit that some routers never hear of, and against an end of it that an earlier
// statement undoes.
TEST(mesh_core, LimitsOfUpstreamsAndTheirEndReachEveryRouter)
{
  const rate_limit_message limited{ { "i-1" }, { 5 }, 1, request_rate{ 1900 }, {} };
  mesh.Publish(0, limited);
  mesh.Run(1_s);
  CHECK_EQUAL(1, delivered[8].size());
  const auto first = std::get<rate_limit_message>(delivered[8].front());
  CHECK(limited.limit == first.limit);
  CHECK(limited.upstream == first.upstream);
  CHECK(limited.incarnationId == first.incarnationId);
  CHECK(first.age < 1_s);
  mesh.Publish(1, rate_limit_message{ { "i-1" }, { 5 }, 2, std::nullopt, {} });
  mesh.Publish(2, limited);
  mesh.Run(1_s);
  CHECK_EQUAL(2, delivered[8].size());
  CHECK_FALSE(std::get<rate_limit_message>(delivered[8].back()).limit.has_value());
}

// Guards against a model whose load nobody knows while other news waits, so that all routers send
// to groups that are full.
TEST(mesh_core, LoadOfAModelReachesEveryRouterBesideAFloodOfOtherNews)
{
  for (std::uint32_t i = 0; i < 20000; ++i) {
    mesh.Publish(
      0, presence_message{ { "group-" + std::to_string(i) }, { 1 }, mesh.IdOf(0), {}, true });
  }
  mesh.Run(500_ms);
  const auto reachesAll = [this](std::uint32_t aCalls) {
    for (std::size_t i = 1; i < kRouters; ++i) {
      const auto& got = delivered[i];
      const bool isThere = std::any_of(got.begin(), got.end(), [aCalls](const auto& aMessage) {
        const auto* load = std::get_if<model_load_message>(&aMessage);
        return load != nullptr && load->model == "m" && load->calls == aCalls && load->slots == 600;
      });
      if (!isThere) {
        return false;
      }
    }
    return true;
  };
  for (const std::uint32_t calls : { 700U, 20U }) {
    mesh.Publish(0, model_load_message{ mesh.IdOf(0), { "s" }, "m", calls, 600, {} });
    CHECK(mesh.RunUntil(1_s, [&] { return reachesAll(calls); }).has_value());
    mesh.Run(100_ms);
  }
}

// Guards against a group that stays marked at all routers but the one that has asked its members.
TEST(mesh_core, RecoveryOfAGroupReachesEveryRouter)
{
  mesh.Publish(0, presence_message{ { "g" }, { 1 }, mesh.IdOf(0), {}, true });
  mesh.Run(1_s);
  presence_message recovery{ { "g" }, { 1 }, mesh.IdOf(0), {}, true };
  recovery.isRecovery = true;
  mesh.Publish(0, recovery);
  mesh.Run(500_ms);
  for (std::size_t i = 1; i < kRouters; ++i) {
    const auto& got = delivered[i];
    CHECK(std::any_of(got.begin(), got.end(), [](const auto& aMessage) {
      const auto* presence = std::get_if<presence_message>(&aMessage);
      return presence != nullptr && presence->complete && presence->isRecovery;
    }));
  }
}

// Guards against a process that starts while the store shows an older copy and serves by it: it
// must first hold what its peers hold.
TEST(mesh_core, StartEndsOnceThePeersDocumentsAreHeld)
{
  mesh.Publish(0, Document(20));
  mesh.Run(1_s);
  mesh.Kill(3);
  mesh.Restart(3);
  mesh.Publish(3, Document(10));
  CHECK(mesh.Core(3).IsStarting());
  CHECK(mesh.RunUntil(1_s, [this] { return !mesh.Core(3).IsStarting(); }).has_value());
  CHECK(AllHold(Document(20), 3, 4));
}

// Guards against a process that holds its peers' documents from the store at once, ends its start
// and sends calls to an instance that the peers know to be leaving, or calls that crash instances.
TEST(mesh_core, StartEndsOnceThePeersStatementsAndQuarantinesAreKnown)
{
  const std::vector<mesh_message> state = { leaving_message{ { "i1" }, { 3 } },
                                            quarantine_message{ 7, 1, false, {} } };
  mesh.Publish(0, Document(20));
  for (const mesh_message& message : state) {
    mesh.Publish(0, message);
  }
  mesh.Run(1_s);
  mesh.Kill(3);
  mesh.Restart(3);
  delivered[3].clear();
  mesh.Publish(3, Document(20));
  CHECK(mesh.RunUntil(1_s, [this] { return !mesh.Core(3).IsStarting(); }).has_value());
  for (const mesh_message& message : state) {
    CHECK(std::any_of(delivered[3].begin(), delivered[3].end(), [&](const auto& aGot) {
      return aGot.index() == message.index();
    }));
  }
}

// Guards against calls that wait for the end of a start and are then held to an older copy, or are
// answered late: the end is told once, right after the last of what the peers know.
TEST(mesh_core, EndOfTheStartIsToldRightAfterWhatThePeersKnow)
{
  mesh.Publish(0, Document(10));
  mesh.Run(2_s);
  mesh.Kill(3);
  delivered.clear();
  std::vector<std::size_t> ended;
  std::vector<mesh_message> known;
  mesh.onStartEnded = [&](std::size_t aNode) {
    ended.push_back(aNode);
    known = delivered[aNode];
  };
  mesh.Restart(3);
  CHECK(mesh.RunUntil(1_s, [this] { return !mesh.Core(3).IsStarting(); }).has_value());
  CHECK(ended == std::vector<std::size_t>{ 3 });
  CHECK(std::find(known.begin(), known.end(), Document(10)) != known.end());
  mesh.Run(3_s);
  UNSIGNED_LONGS_EQUAL(1, ended.size());
}

// Guards against processes that wait for each other when all start at about the same time.
TEST(mesh_core, RoutersThatStartTogetherEndTheirStart)
{
  for (std::size_t i = 0; i < kRouters; ++i) {
    mesh.Kill(i);
  }
  for (std::size_t i = 0; i < kRouters; ++i) {
    mesh.Restart(i);
  }
  const auto noneStarts = [this] {
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (mesh.Core(i).IsStarting()) {
        return false;
      }
    }
    return true;
  };
  CHECK(mesh.RunUntil(2_s, noneStarts).has_value());
}

// Guards against processes that start a little after others and wait for a summary that these send
// only a second after the end of their own start: the first one ends it after half a second.
TEST(mesh_core, RoutersThatStartAfterOneAnotherEndTheirStartWithTheFirst)
{
  constexpr duration kStep = 40_ms;
  for (std::size_t i = 0; i < kRouters; ++i) {
    mesh.Kill(i);
  }
  for (std::size_t i = 0; i < kRouters; ++i) {
    mesh.Restart(i);
    mesh.Run(kStep);
  }
  const auto noneStarts = [this] {
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (mesh.Core(i).IsStarting()) {
        return false;
      }
    }
    return true;
  };
  CHECK(mesh.RunUntil(500_ms, noneStarts).has_value());
}

// Guards against calls that come too late to all processes when all start together, such as after
// the power of all machines was away, though a store that never lost anything tells all there is.
TEST(mesh_core, RoutersThatStartTogetherBesideAStoreThatNeverCameBackServeAtOnce)
{
  for (std::size_t i = 0; i < kRouters; ++i) {
    mesh.Kill(i);
  }
  for (std::size_t i = 0; i < kRouters; ++i) {
    mesh.Restart(i);
    mesh.Feed(i, store_age_known{ true });
  }
  const auto noneStarts = [this] {
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (mesh.Core(i).IsStarting()) {
        return false;
      }
    }
    return true;
  };
  CHECK(mesh.RunUntil(150_ms, noneStarts).has_value());
}

// Guards against processes that wait for a second and more since the machines of their seeds
// started a little later and did not answer the first dial.
TEST(mesh_core, StartEndsSoonThoughTheFirstDialsWereLost)
{
  for (std::size_t i = 0; i < kRouters; ++i) {
    mesh.Kill(i);
  }
  mesh.Cut([](std::size_t, std::size_t) { return true; });
  for (std::size_t i = 0; i < kRouters; ++i) {
    mesh.Restart(i);
    mesh.Feed(i, store_age_known{ true });
  }
  mesh.Run(80_ms);
  mesh.Heal();
  const auto noneStarts = [this] {
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (mesh.Core(i).IsStarting()) {
        return false;
      }
    }
    return true;
  };
  CHECK(mesh.RunUntil(250_ms, noneStarts).has_value());
}

// Guards against processes that wait for seeds whose machines have no power: none of them answers,
// and beside a store that never lost anything none is needed.
TEST(mesh_core, StartEndsSoonThoughNoSeedRunsBesideAStoreThatNeverCameBack)
{
  for (std::size_t i = 0; i < kRouters; ++i) {
    mesh.Kill(i);
  }
  mesh.Cut([](std::size_t, std::size_t) { return true; });
  mesh.Restart(3);
  mesh.Restart(4);
  mesh.Feed(3, store_age_known{ true });
  mesh.Feed(4, store_age_known{ false });
  mesh.Run(100_ms);
  CHECK(mesh.Core(3).IsStarting());
  mesh.Run(120_ms);
  CHECK_FALSE(mesh.Core(3).IsStarting());
  CHECK(mesh.Core(4).IsStarting());
}

// Guards against processes that start together and serve before a seed that went on running, and
// may know more, has answered them.
TEST(mesh_core, RoutersThatStartTogetherWaitForASeedThatHasNotAnswered)
{
  constexpr std::size_t kRunning = 2;
  const auto forEachStarted = [](const auto& aFunction) {
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (i != kRunning) {
        aFunction(i);
      }
    }
  };
  forEachStarted([this](std::size_t aRouter) { mesh.Kill(aRouter); });
  mesh.Cut([](std::size_t aFrom, std::size_t aTo) { return aFrom == kRunning || aTo == kRunning; });
  forEachStarted([this](std::size_t aRouter) {
    mesh.Restart(aRouter);
    mesh.Feed(aRouter, store_age_known{ true });
  });
  mesh.Run(300_ms);
  forEachStarted([this](std::size_t aRouter) { CHECK(mesh.Core(aRouter).IsStarting()); });
}

// Guards against a process that waits for ever for peers that it cannot reach.
TEST(mesh_core, StartEndsWithoutReachablePeers)
{
  mesh.Kill(3);
  mesh.Cut([](std::size_t aFrom, std::size_t aTo) { return aFrom == 3 || aTo == 3; });
  mesh.Restart(3);
  mesh.Run(1_s);
  CHECK(mesh.Core(3).IsStarting());
  CHECK(mesh.RunUntil(1_s, [this] { return !mesh.Core(3).IsStarting(); }).has_value());
}

// Guards against a process whose clock went back at its restart and whom its peers take for its
// former life: it must be a member again, and its leaving be believed.
TEST(mesh_core, ProcessOlderThanItsFormerLifeIsAMember)
{
  for (const std::int64_t back : { 2400, 3600'000, 86400'000 }) {
    mesh.Kill(4);
    mesh.Restart(4);
    CHECK(mesh.RunUntil(12_s, [this] { return mesh.HasAgreedOnMembers(); }).has_value());
    mesh.Kill(4);
    CHECK(mesh.RunUntil(12_s, [this] { return mesh.HasAgreedOnMembers(); }).has_value());
    mesh.Restart(4, duration{ -back });
    CHECK(mesh.RunUntil(12_s, [this] { return mesh.HasAgreedOnMembers(); }).has_value());
    mesh.Feed(4, stop_requested{});
    mesh.Kill(4);
    CHECK(mesh.RunUntil(1_s, [this] { return mesh.HasAgreedOnMembers(); }).has_value());
  }
}

// Guards against routers that start together and know nobody but their seeds, which have no bytes
// left for telling all of them of all others.
TEST(mesh_core, RoutersMeetThoughTheirSeedsHaveNoBytesLeft)
{
  memory_mesh large{ kSeed };
  mesh_options starved;
  starved.bytesPerSecond = 0;
  starved.burstBytes = 0;
  for (std::size_t i = 0; i < 100; ++i) {
    large.Add(3, i < 3 ? starved : mesh_options{});
  }
  CHECK(large.RunUntil(15_s, [&] { return large.HasAgreedOnMembers(); }).has_value());
}

// Guards against a name from outside that makes peers refuse each other's frames, so that they hear
// no more news of anything.
TEST(mesh_core, MessageThatPeersWouldRefuseIsNotSent)
{
  for (const std::string& name : { std::string(), std::string(kMaxNameBytes + 1, 'x') }) {
    mesh.Publish(0, document_message{ { name }, { 3 }, "{}" });
    mesh.Publish(0, presence_message{ { name }, { 1 }, mesh.IdOf(0), {}, true });
    mesh.Publish(0, leaving_message{ { name }, { 1 } });
  }
  mesh.Publish(0, document_message{ { "large" }, { 3 }, std::string(kMaxFrameBytes, 'x') });
  mesh.Publish(0, Document(10));
  CHECK(mesh.RunUntil(1_s, [this] { return AllHold(Document(10)); }).has_value());
  mesh.Run(3_s);
  UNSIGNED_LONGS_EQUAL(7, mesh.Core(0).Status(mesh.Now()).counters.unsendable);
  for (std::size_t node = 0; node < kRouters; ++node) {
    UNSIGNED_LONGS_EQUAL(0, mesh.Core(node).Status(mesh.Now()).counters.badFrames);
  }
}

// Guards against a text from outside that ends the links by which it is handed on.
TEST(mesh_core, TextThatIsNoUtf8ReachesEveryRouter)
{
  const mesh_message document =
    document_message{ { kService }, { 10 }, "{\"zone\":\"\xed\xa0\x80\xff\"}" };
  mesh.Publish(0, document);
  CHECK(mesh.RunUntil(1_s, [&] { return AllHold(document); }).has_value());
}
