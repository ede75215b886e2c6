#include "peers/meshnode.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <chrono>
#include <future>
#include <thread>

using namespace persimmon;
using namespace persimmon::peers;

namespace {

const endpoint kAnyPort{ "127.0.0.1:0" };

/// Polls until a condition holds; the limit of 30 s only ends a hanging test.
bool
Eventually(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 3000; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

} // namespace

// clang-format off
TEST_GROUP(mesh_node)
{
  metrics_registry metrics;
};
// clang-format on

TEST(mesh_node, DeliversMessageToOtherProcess)
{
  mesh_node first({ { "r1" }, { "a" }, kAnyPort, {}, "key" });
  const auto address = first.Start();
  CHECK(address.has_value());
  mesh_node second({ { "r2" }, { "a" }, kAnyPort, { *address }, "key" });
  std::promise<mesh_message> arrived;
  second.SetMessageHandler(
    [&arrived](const mesh_message& aMessage, const router_id&) { arrived.set_value(aMessage); });
  CHECK(second.Start().has_value());
  const mesh_message sent = document_message{ { "s" }, { 4 }, std::string(1U << 20U, 'x') };
  first.Publish(sent);
  CHECK(arrived.get_future().get() == sent);
  CHECK(Eventually([&] { return first.LiveRouters().size() == 2; }));
}

TEST(mesh_node, RefusesPeerWithWrongKey)
{
  mesh_node first({ { "r1" }, { "a" }, kAnyPort, {}, "key" }, &metrics);
  const auto address = first.Start();
  mesh_node second({ { "r2" }, { "a" }, kAnyPort, { *address }, "other" });
  CHECK(second.Start().has_value());
  CHECK(Eventually([&] {
    return metrics.Render().find("persimmon_mesh_refused_total 0") == std::string::npos &&
           metrics.Render().find("persimmon_mesh_refused_total ") != std::string::npos;
  }));
  CHECK(first.Status().peers.empty());
  CHECK(second.Status().peers.empty());
}

TEST(mesh_node, BlockedPeerIsDeclaredDeadAndRejoinsAfterUnblocking)
{
  mesh_node first({ { "r1" }, { "a" }, kAnyPort, {}, "key" });
  const auto address = first.Start();
  mesh_node second({ { "r2" }, { "a" }, kAnyPort, { *address }, "key" });
  CHECK(second.Start().has_value());
  CHECK(Eventually([&] { return first.LiveRouters().size() == 2; }));
  first.BlockPeers({ { "r2" } });
  CHECK(Eventually([&] { return first.LiveRouters().size() == 1; }));
  first.BlockPeers({});
  CHECK(Eventually(
    [&] { return first.LiveRouters().size() == 2 && second.LiveRouters().size() == 2; }));
}

// Guards against a start that waits for a timer before it dials: calls wait for the end of the
// start. The shortest of several starts counts, since the machine may be busy.
TEST(mesh_node, StartBesideARunningPeerEndsSoon)
{
  constexpr duration kSoon = 40_ms;
  constexpr int kMaxStarts = 20;
  mesh_node running({ { "r1" }, { "a" }, kAnyPort, {}, "key" });
  const auto address = running.Start();
  CHECK(address.has_value());
  duration shortest = 1_s;
  for (int i = 0; i < kMaxStarts && shortest >= kSoon; ++i) {
    mesh_node starting({ { "s" + std::to_string(i) }, { "a" }, kAnyPort, { *address }, "key" });
    std::promise<void> ended;
    starting.SetStartHandler([&ended] { ended.set_value(); });
    const time_point begunAt = steady_clock().Now();
    CHECK(starting.Start().has_value());
    ended.get_future().wait();
    shortest = std::min(shortest, steady_clock().Now() - begunAt);
  }
  CHECK(shortest < kSoon);
}

TEST(mesh_node, StartFailsIfAddressIsInUse)
{
  mesh_node first({ { "r1" }, { "a" }, kAnyPort, {}, "key" });
  const auto address = first.Start();
  mesh_node second({ { "r2" }, { "a" }, *address, {}, "key" });
  CHECK_FALSE(second.Start().has_value());
  CHECK_FALSE(second.LastReason().empty());
}
