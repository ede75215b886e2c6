#include "app/router/callparser.h"

#include "base/hash.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::router;
using routing::refusal_reason;

namespace {

const std::string kKey = "0192f0c1-2b3c-7abc-8def-0123456789ab";
constexpr std::size_t kBodyLimit = 400;

std::shared_ptr<service_shard>
Shard(const std::string& aName, service_kind aKind, bool aRetired)
{
  auto document = std::make_shared<versioned_document>();
  document->document.service.value = aName;
  document->document.kind = aKind;
  document->document.retired = aRetired;
  document->document.customers.push_back({ { "newsroom" }, Sha256Hex("key"), 1 });
  document->document.calls.push_back({ "POST", "/corrections", false });
  auto view = std::make_shared<routing::service_view>();
  view->document = std::move(document);
  auto shard = std::make_shared<service_shard>(
    service_name{ aName }, router_id{ "r" }, zone_name{ "z" }, 1, time_point{});
  shard->Update(std::move(view), {});
  return shard;
}

std::shared_ptr<service_shard>
Lookup(const service_name& aName)
{
  if (aName.value == "llm") {
    return Shard("llm", service_kind::model, false);
  }
  if (aName.value == "old") {
    return Shard("old", service_kind::model, true);
  }
  return aName.value == "desk" ? Shard("desk", service_kind::plain, false) : nullptr;
}

entry::server_request
Chat(const std::string& aBody)
{
  return { "POST", "/v1/chat/completions", "", { { "authorization", "Bearer key" } }, aBody };
}

entry::server_request
Plain(const std::string& aMethod, const std::string& aPath)
{
  return { aMethod, "/services" + aPath, "", { { "Authorization", "Bearer key" } }, "" };
}

const std::string kGoodChat =
  R"({"model":"llm","stream":true,"messages":[{"role":"user","content":"Is it so?"}]})";

} // namespace

// clang-format off
TEST_GROUP(call_parser)
{
  call_parser parser{ Lookup, kBodyLimit };

  void Refuses(const entry::server_request& aRequest, refusal_reason aReason) const
  {
    call_problem problem;
    CHECK_FALSE(parser.Parse(aRequest, problem).has_value());
    STRCMP_EQUAL(std::string(routing::RefusalEntryFor(aReason).code).c_str(),
                 std::string(routing::RefusalEntryFor(problem.reason).code).c_str());
  }

  void RefusesWithHeader(const std::string& aName,
                         const std::string& aValue,
                         refusal_reason aReason) const
  {
    entry::server_request request = Chat(kGoodChat);
    request.headers.push_back({ aName, aValue });
    Refuses(request, aReason);
  }
};
// clang-format on

TEST(call_parser, TakesACompletion)
{
  entry::server_request request = Chat(kGoodChat);
  request.headers.push_back({ "Priority", "i, u=1" });
  request.headers.push_back({ "Persimmon-Deadline-Ms", "250" });
  call_problem problem;
  const auto call = parser.Parse(request, problem);
  CHECK(call.has_value());
  CHECK(call->streamed && call->idempotent);
  CHECK_EQUAL(1, static_cast<int>(call->priority));
  CHECK(call->deadline == 250_ms);
  STRCMP_EQUAL("newsroom", call->customer.value.c_str());
}

TEST(call_parser, RefusesBodiesThatAreNotInOrder)
{
  Refuses(Chat("{"), refusal_reason::not_json);
  Refuses(Chat("[]"), refusal_reason::bad_member);
  Refuses(Chat(R"({"model":1e999})"), refusal_reason::not_json);
  Refuses(Chat("{\"model\":\"\xC0\xAF\"}"), refusal_reason::invalid_utf8);
  Refuses(Chat("{\"model\":\"\xED\xA0\x80\"}"), refusal_reason::invalid_utf8);
  Refuses(Chat(R"({"model":"llm","model":"llm"})"), refusal_reason::duplicate_member);
  Refuses(Chat(R"({"model":"llm","messages":[{"role":"a","role":"b"}]})"),
          refusal_reason::duplicate_member);
  Refuses(Chat(R"({"messages":[]})"), refusal_reason::missing_member);
  Refuses(Chat(R"({"model":"llm"})"), refusal_reason::missing_member);
  Refuses(Chat(R"({"model":"llm","messages":[]})"), refusal_reason::bad_member);
  Refuses(Chat(R"({"model":"llm","messages":[{"role":"user"}]})"), refusal_reason::missing_member);
  Refuses(Chat(R"({"model":"llm","messages":["user"]})"), refusal_reason::bad_member);
  Refuses(Chat(R"({"model":"llm","stream":"yes","messages":[{"role":"user","content":"a"}]})"),
          refusal_reason::bad_member);
  Refuses(Chat(std::string(kBodyLimit + 1, ' ')), refusal_reason::body_too_large);
}

TEST(call_parser, RefusesUnknownNamesAndCallers)
{
  Refuses(Chat(R"({"model":"nil","messages":[{"role":"user","content":"a"}]})"),
          refusal_reason::unknown_model);
  Refuses(Chat(R"({"model":"desk","messages":[{"role":"user","content":"a"}]})"),
          refusal_reason::unknown_model);
  Refuses(Chat(R"({"model":"old","messages":[{"role":"user","content":"a"}]})"),
          refusal_reason::service_retired);
  Refuses(Plain("GET", "/nil/a"), refusal_reason::unknown_service);
  Refuses(Plain("GET", "/llm/a"), refusal_reason::unknown_service);
  entry::server_request stranger = Chat(kGoodChat);
  stranger.headers.front().value = "Bearer other";
  Refuses(stranger, refusal_reason::unknown_customer);
  stranger.headers.clear();
  Refuses(stranger, refusal_reason::missing_credentials);
  Refuses({ "GET", "/v2", "", {}, "" }, refusal_reason::unknown_path);
  Refuses({ "GET", "/v1/completions", "", {}, "" }, refusal_reason::method_not_allowed);
}

TEST(call_parser, RefusesBadHeaders)
{
  for (const char* deadline : { "0", "-1", "1.5", "soon", "3600001" }) {
    RefusesWithHeader("Persimmon-Deadline-Ms", deadline, refusal_reason::bad_deadline);
  }
  RefusesWithHeader("Priority", "u=8", refusal_reason::bad_priority);
  RefusesWithHeader("Priority", "u=", refusal_reason::bad_priority);
}

TEST(call_parser, CallsThatRunOnceNeedAUuid7)
{
  entry::server_request request = Plain("POST", "/desk/corrections/1");
  Refuses(request, refusal_reason::missing_idempotency_key);
  request.headers.push_back({ "Idempotency-Key", "0192f0c1-2b3c-4abc-8def-0123456789ab" });
  Refuses(request, refusal_reason::bad_idempotency_key);
  request.headers.back().value = '"' + kKey + '"';
  call_problem problem;
  const auto call = parser.Parse(request, problem);
  CHECK_FALSE(call->idempotent);
  STRCMP_EQUAL("/corrections/1", call->target.c_str());
}

TEST(call_parser, CallRulesCannotBePassedByWithOtherSpellings)
{
  for (const char* path : { "/desk//corrections",
                            "/desk/./corrections",
                            "/desk/a/../corrections",
                            "/desk/%63orrections",
                            "/desk/a%2fb",
                            "/desk/%2e%2e/corrections",
                            "/desk/%zz" }) {
    Refuses(Plain("POST", path), refusal_reason::bad_path);
  }
}
