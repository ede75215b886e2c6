#include "app/router/testcontrol.h"

#include "base/json.h"

namespace persimmon::router {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

std::optional<std::vector<router_id>>
ParseBlockedPeers(const std::string& aBody, json_problem& aProblem)
{
  const auto body = ParseJson(aBody, aProblem);
  if (!body) {
    return std::nullopt;
  }
  json_reader reader(*body, "$", aProblem);
  std::vector<router_id> peers;
  for (const nlohmann::json& peer : reader.List("blocked_peers")) {
    if (!peer.is_string()) {
      reader.Fail("$.blocked_peers", peer.dump(), "a list of routers");
      break;
    }
    peers.push_back({ peer.get<std::string>() });
  }
  return reader.Finish() ? std::optional(peers) : std::nullopt;
}

} // namespace

void
HandleTestControl(const entry::server_request& aRequest,
                  entry::responder& aResponder,
                  const block_peers& aBlockPeers)
{
  if (aRequest.method != "POST" || aRequest.path != "/control/faults") {
    aResponder.Send({ kNotFound, {}, "" });
    return;
  }
  json_problem problem;
  const auto peers = ParseBlockedPeers(aRequest.body.Text(), problem);
  if (!peers) {
    aResponder.Send({ kBadRequest, {}, problem.Text() });
    return;
  }
  aBlockPeers(*peers);
  aResponder.Send({ kOk, {}, "" });
}

} // namespace persimmon::router
