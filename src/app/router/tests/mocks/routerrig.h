#pragma once

#include "app/router/callerfront.h"
#include "app/router/exchange.h"
#include "app/router/meshbridge.h"
#include "app/router/requestloops.h"
#include "base/hash.h"
#include "entry/httpserver.h"
#include "upstream/upstreamclient.h"

#include <atomic>
#include <fmt/format.h>
#include <functional>
#include <string>
#include <vector>

namespace persimmon::router {

/// The request path of a router without its watcher: upstreams and documents are set by hand, and
/// the ledger's store cannot be reached.
class router_rig
{
public:
  using handler = entry::request_handler;

  /// Serves the model "llm" with one group for each handler, and the plain service "desk" on the
  /// first one.
  explicit router_rig(const std::vector<handler>& aUpstreams)
  {
    for (const handler& one : aUpstreams) {
      mAddresses.push_back(*mUpstreamServer.Listen({ "127.0.0.1:0" }, one));
    }
    ApplyDocuments();
    ApplyGroups();
    mReady.informed = true;
    mAddress = *mServer.Listen(
      { "127.0.0.1:0" },
      [this](entry::server_request aRequest, std::shared_ptr<entry::responder> aTo) {
        mFront.Handle(std::move(aRequest), std::move(aTo));
      });
  }

  ~router_rig() { mLoops.Stop(); }

  [[nodiscard]] const endpoint& Address() const { return mAddress; }
  [[nodiscard]] const endpoint& UpstreamAddress(std::size_t aIndex) const
  {
    return mAddresses[aIndex];
  }
  entry::http_server& Upstreams() { return mUpstreamServer; }
  request_registry& Registry() { return mRegistry; }
  cluster_board& Board() { return mBoard; }

  /// Tells the router what an observer saw of a group.
  void Observe(std::size_t aIndex, bool aWhole)
  {
    peers::presence_message presence;
    presence.group.value = fmt::format("g{}", aIndex);
    presence.version.value = 1;
    presence.observer.value = "observer";
    presence.complete = aWhole;
    // Far ahead, so that the evidence does not expire within a test.
    mBoard.Apply(presence, steady_clock().Now() + kAhead * ++mObservations);
  }

private:
  static constexpr duration kAhead = 3600_s;

  void ApplyDocuments()
  {
    const std::string customers =
      fmt::format(R"("customers":[{{"name":"newsroom","key_sha256":"{}"}}])", Sha256Hex("key"));
    const std::string model =
      R"({"service":"llm","kind":"model","model":{"name":"m","version":"v1"},)"
      R"("capacity":{"replicas":2,"instances_per_replica":1},)"
      R"("limits":{"retry_percent":100},)" +
      customers + "}";
    const std::string plain =
      R"({"service":"desk","kind":"plain",)" + customers +
      R"(,"calls":[{"method":"POST","path":"/corrections","idempotent":false}]})";
    const time_point now = steady_clock().Now();
    mBoard.Apply(peers::document_message{ { "llm" }, { 1 }, model }, now);
    mBoard.Apply(peers::document_message{ { "desk" }, { 2 }, plain }, now);
    platform::listed_instance instance;
    instance.id.value = "desk-0";
    instance.address = mAddresses.front();
    instance.incarnation.value = 1;
    instance.service.value = "desk";
    mBoard.Apply(std::vector{ instance }, now);
  }

  void ApplyGroups()
  {
    placement::domain_table table;
    table.domain.value = "d";
    table.owner.value = "p";
    table.lastWrite.value = "w";
    for (std::size_t i = 0; i < mAddresses.size(); ++i) {
      placement::group group;
      group.id.value = fmt::format("g{}", i);
      group.service.value = "llm";
      group.model = { "m", "", "v1" };
      group.state = placement::group_state::serving;
      group.version.value = 1;
      group.zone.value = "z";
      group.members.push_back({ { fmt::format("i{}", i) }, mAddresses[i], { 1 } });
      table.groups.push_back(std::move(group));
    }
    mBoard.Apply(peers::table_message{ { "d" }, { 3 }, placement::RenderDomainTable(table) },
                 steady_clock().Now());
    for (std::size_t i = 0; i < mAddresses.size(); ++i) {
      Observe(i, true);
    }
  }

  request_loops mLoops{ 2 };
  readiness mReady;
  std::int64_t mObservations = 0;
  std::vector<endpoint> mAddresses;
  endpoint mAddress;
  history::history_writer mHistory{ "", "r" };
  metrics_registry mMetrics;
  decision_log mDecisions{ 64 };
  request_registry mRegistry;
  suspect_board mSuspects{ [](const poison::suspicion_changes&) {} };
  call_ledger mLedger{ { "r" }, "http://127.0.0.1:1", mMetrics };
  cluster_board mBoard{ { "r" },
                        { "z" },
                        mHistory,
                        [this](const std::vector<routing::admission_action>& aActions) {
                          mRegistry.CarryOut(aActions);
                        } };
  death_prober mProber{ mBoard, *mLoops.Pointers().front() };
  exchange_context mContext{ { "r" },   mHistory, mMetrics,  mDecisions,
                             mRegistry, mLedger,  mSuspects, mProber };
  entry::http_server mUpstreamServer{ entry::server_options{} };
  upstream::upstream_client mUpstreams{ mLoops.Pointers() };
  caller_front mFront{ { "z" }, 1U << 20U, mBoard, mReady, mUpstreams, mContext };
  entry::http_server mServer{ { .loops = mLoops.Pointers() } };
};

} // namespace persimmon::router
