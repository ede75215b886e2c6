#include "app/router/statuspage.h"

#include "app/router/callparser.h"

#include <nlohmann/json.hpp>

namespace persimmon::router {
namespace {

using nlohmann::ordered_json;

ordered_json
UpstreamEntry(const routing::candidate& aCandidate, time_point aNow)
{
  const routing::upstream& target = *aCandidate.target;
  return { { "upstream", target.id.value },
           { "address", target.address.value },
           { "zone", target.zone.value },
           { "generation", target.generation.value },
           { "ineligible", routing::IneligibilityName(aCandidate.IneligibilityAt(aNow)) },
           { "running", aCandidate.load.running },
           { "queued", aCandidate.load.queued } };
}

ordered_json
ServiceEntry(const service_shard& aService, time_point aNow)
{
  const auto view = aService.View();
  ordered_json upstreams = ordered_json::array();
  for (const routing::candidate& candidate : view->candidates) {
    upstreams.push_back(UpstreamEntry(candidate, aNow));
  }
  return { { "service", aService.Name().value },      { "active", view->Active() },
           { "running", aService.Running() },         { "waiting", aService.Waiting() },
           { "eligible", view->EligibleCount(aNow) }, { "upstreams", std::move(upstreams) } };
}

} // namespace

std::string
RenderStatusPage(const status_facts& aFacts, const cluster_board& aBoard, time_point aNow)
{
  ordered_json documents = ordered_json::array();
  ordered_json tables = ordered_json::array();
  for (const peers::applied_message& applied : aBoard.Applied()) {
    if (applied.kind == peers::applied_message::object_kind::document) {
      documents.push_back({ { "service", applied.name }, { "revision", applied.version.value } });
    } else {
      tables.push_back({ { "domain", applied.name }, { "revision", applied.version.value } });
    }
  }
  ordered_json services = ordered_json::array();
  for (const auto& service : aBoard.Services()) {
    services.push_back(ServiceEntry(*service, aNow));
  }
  const ordered_json page{ { "router", aFacts.router.value },
                           { "zone", aFacts.zone.value },
                           { "ready", aFacts.ready },
                           { "in_flight", aFacts.inFlight },
                           { "documents", std::move(documents) },
                           { "tables", std::move(tables) },
                           { "services", std::move(services) } };
  return page.dump(2);
}

std::string
RenderModels(const cluster_board& aBoard, const std::string& aBearerKey)
{
  ordered_json models = ordered_json::array();
  for (const auto& service : aBoard.Services()) {
    const auto view = service->View();
    const bool shown = view->Active() && view->document->document.kind == service_kind::model &&
                       FindCustomer(view->document->document, aBearerKey) != nullptr;
    if (shown) {
      models.push_back({ { "id", service->Name().value },
                         { "object", "model" },
                         { "created", 0 },
                         { "owned_by", "persimmon" } });
    }
  }
  return ordered_json{ { "object", "list" }, { "data", std::move(models) } }.dump();
}

} // namespace persimmon::router
