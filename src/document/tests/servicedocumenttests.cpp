#include "document/servicedocument.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

namespace {

constexpr const char* kModelDocument = R"({
  "service": "verifier-llm",
  "model": {"name": "verifier", "adapter": "rw", "version": "v3"},
  "capacity": {"replicas": 3, "minimum": 2, "instances_per_replica": 4},
  "customers": [{"name": "newsroom", "key_sha256":
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", "weight": 4}],
  "calls": [{"method": "POST", "path": "/drafts", "idempotent": true}]
})";

std::string
ParseErrorOf(const std::string& aText)
{
  document_reason parseError;
  return ParseServiceDocument(aText, parseError) ? "" : parseError.detail;
}

std::string
Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  aText.replace(aText.find(aFrom), aFrom.size(), aTo);
  return aText;
}

} // namespace

// clang-format off
TEST_GROUP(document){};
// clang-format on

TEST(document, RenderedDocumentParsesToAnEqualDocument)
{
  document_reason parseError;
  const auto first = ParseServiceDocument(kModelDocument, parseError);
  CHECK(first.has_value());
  const auto second = ParseServiceDocument(RenderServiceDocument(*first), parseError);
  CHECK(second.has_value());
  CHECK(*first == *second);
}

TEST(document, ErrorStatesPathFoundValueAndExpectedValue)
{
  STRCMP_EQUAL(
    "$.capacity.replicas: found \"3\", expected a whole number from 0 to 10000",
    ParseErrorOf(Replaced(kModelDocument, "\"replicas\": 3", "\"replicas\": \"3\"")).c_str());
  STRCMP_EQUAL("$.capacity.minimum: found 4, expected at most capacity.replicas",
               ParseErrorOf(Replaced(kModelDocument, "\"minimum\": 2", "\"minimum\": 4")).c_str());
  STRCMP_EQUAL("$.model.version: found nothing, expected a value",
               ParseErrorOf(Replaced(kModelDocument, ", \"version\": \"v3\"", "")).c_str());
  STRCMP_EQUAL("$.colour: found \"red\", expected no such member",
               ParseErrorOf(Replaced(kModelDocument, "{", "{\"colour\": \"red\", ")).c_str());
  CHECK(ParseErrorOf("{").starts_with("$: found a syntax error"));
  CHECK(ParseErrorOf("[]").starts_with("$: found []"));
}

TEST(document, CompareListsEachMemberThatDiffers)
{
  document_reason parseError;
  const auto before = ParseServiceDocument(kModelDocument, parseError);
  auto after = before;
  after->capacity.replicas = 5;
  const auto lines = CompareServiceDocuments(*before, *after);
  CHECK_EQUAL(1, lines.size());
  STRCMP_EQUAL("/capacity/replicas: 3 -> 5", lines[0].c_str());
}

TEST(document, CallRulesOverrideTheMethodsDefault)
{
  document_reason parseError;
  const auto document = ParseServiceDocument(kModelDocument, parseError);
  CHECK(IsIdempotentCall(*document, "POST", "/drafts/7"));
  CHECK_FALSE(IsIdempotentCall(*document, "POST", "/corrections"));
  CHECK(IsIdempotentCall(*document, "GET", "/corrections"));
}

// Guards against a customer whose key every caller has that sends none.
TEST(document, HashOfAnEmptyKeyIsRejected)
{
  const std::string error =
    ParseErrorOf(Replaced(kModelDocument,
                          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
                          "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"));
  CHECK(error.starts_with("$.customers[0].key_sha256: "));
}
