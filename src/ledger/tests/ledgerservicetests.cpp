#include "ledger/ledgerservice.h"

#include "ledger/tests/mocks/sharedstore.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <future>
#include <memory>

using namespace persimmon;
using namespace persimmon::ledger;

namespace {

using service = ledger_service<shared_store, boot_clock, manual_clock>;

const time_point kWallStart{ 1700000000000 };

std::string
KeyAt(time_point aTime, int aNumber)
{
  return fmt::format("{:08x}-{:04x}-7000-8000-{:012x}", aTime.ms >> 16, aTime.ms & 0xffff, aNumber);
}

} // namespace

// clang-format off
TEST_GROUP(ledger_service)
{
  shared_memory_store shared;
  metrics_registry metrics;
  manual_clock wall;
  std::vector<std::unique_ptr<service>> routers;

  void setup() override
  {
    wall.Set(kWallStart);
    AddRouter();
    AddRouter();
  }
  void teardown() override { routers.clear(); }

  void AddRouter()
  {
    ledger_settings settings;
    settings.self = { { fmt::format("r{}", routers.size()) }, 1 };
    settings.seed = routers.size();
    routers.push_back(std::make_unique<service>(
      settings, [this] { return shared_store(shared); }, metrics, boot_clock{}, wall));
  }
  std::future<begin_reply> Begin(std::size_t aRouter, const std::string& aKey, duration aTimeout = 10_s)
  {
    const auto promise = std::make_shared<std::promise<begin_reply>>();
    routers[aRouter]->Begin({ aKey, { "s" }, { "c" }, "d", aTimeout },
                            [promise](const begin_reply& aReply) { promise->set_value(aReply); });
    return promise->get_future();
  }
  begin_verdict Verdict(const std::string& aKey) { return Begin(0, aKey).get().result.verdict; }
  void SetStoreDown(bool aDown)
  {
    const std::lock_guard lock(shared.mutex);
    shared.store.down = aDown;
  }
};
// clang-format on

TEST(ledger_service, EachKeyIsGrantedOnceAcrossSeveralRouters)
{
  constexpr int kKeys = 50;
  for (int i = 0; i < 3; ++i) {
    AddRouter();
  }
  std::vector<std::future<begin_reply>> replies;
  for (int key = 0; key < kKeys; ++key) {
    for (std::size_t router = 0; router < routers.size(); ++router) {
      replies.push_back(Begin(router, KeyAt(kWallStart, key)));
    }
  }
  std::map<record_id, int> grants;
  for (auto& future : replies) {
    const begin_reply reply = future.get();
    if (reply.permit) {
      ++grants[reply.permit->record];
    }
  }
  LONGS_EQUAL(kKeys, grants.size());
  for (const auto& [record, count] : grants) {
    LONGS_EQUAL(1, count);
  }
}

TEST(ledger_service, RepeatAtAnotherRouterGetsTheStoredResponse)
{
  const std::string key = KeyAt(kWallStart, 1);
  const begin_reply first = Begin(0, key).get();
  routers[0]->Close(*first.permit, { record_state::done, stored_response{ 201, "", "slot 4" } });
  CHECK(routers[0]->Flush(10_s));
  const begin_reply repeat = Begin(1, key).get();
  CHECK(repeat.result.verdict == begin_verdict::done);
  STRCMP_EQUAL("slot 4", repeat.result.response->body.c_str());
}

TEST(ledger_service, KeysOutsideTheAcceptedAgeAreRefusedWithoutTheStore)
{
  routers.clear();
  SetStoreDown(true);
  AddRouter();
  const auto executionOf = [&](const std::string& aKey) {
    return Begin(0, aKey).get().result.execution;
  };
  const std::string old = KeyAt(kWallStart - kMaxKeyAge - 1_ms, 1);
  const std::string future = KeyAt(kWallStart + kMaxClockSkew + 1_ms, 1);
  CHECK(Verdict(old) == begin_verdict::key_too_old);
  CHECK(executionOf(old) == execution_status::unknown);
  CHECK(Verdict(future) == begin_verdict::key_in_future);
  CHECK(executionOf(future) == execution_status::unknown);
  CHECK(Verdict("correction-17") == begin_verdict::bad_key);
  CHECK(executionOf("correction-17") == execution_status::not_executed);
}

TEST(ledger_service, StoreOutageIsReportedAtTheTimeout)
{
  SetStoreDown(true);
  const begin_reply reply = Begin(0, KeyAt(kWallStart, 1), 50_ms).get();
  CHECK(reply.result.verdict == begin_verdict::store_unavailable);
  CHECK(reply.result.execution == execution_status::unknown);
  CHECK_FALSE(reply.permit.has_value());
}

TEST(ledger_service, NotRunIsRecordedAfterAStoreOutage)
{
  const std::string key = KeyAt(kWallStart, 1);
  const begin_reply first = Begin(0, key).get();
  SetStoreDown(true);
  routers[0]->Close(*first.permit, { record_state::not_run, {} });
  CHECK_FALSE(routers[0]->Flush(30_ms));
  SetStoreDown(false);
  CHECK(routers[0]->Flush(60_s));
  CHECK(Begin(1, key).get().permit.has_value());
}

TEST(ledger_service, WaitingCallersGetAReplyOnDestruction)
{
  SetStoreDown(true);
  auto reply = Begin(0, KeyAt(kWallStart, 1), 60_s);
  routers.clear();
  CHECK(reply.get().result.verdict == begin_verdict::store_unavailable);
}

TEST(ledger_service, OpenIntentOfAnOldKeyIsReportedAsUnknown)
{
  const std::string key = KeyAt(kWallStart - 3600_s, 1);
  CHECK(Begin(0, key).get().permit.has_value());
  CHECK(Begin(1, key).get().result.verdict == begin_verdict::unknown);
}
