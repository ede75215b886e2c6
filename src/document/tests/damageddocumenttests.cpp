#include "base/tests/mutatedtext.h"
#include "document/servicedocument.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

namespace {

constexpr int kMutations = 20000;
constexpr std::uint64_t kSeed = 20261203;

constexpr std::string_view kDocument = R"({
  "service": "verifier-llm", "kind": "model",
  "model": { "name": "verifier", "adapter": "rw", "version": "v3" },
  "capacity": { "replicas": 2, "minimum": 1, "instances_per_replica": 4 },
  "limits": { "concurrency_per_upstream": 32, "queue": 128, "retry_percent": 10 },
  "priority": 10,
  "customers": [{ "name": "newsroom",
    "key_sha256": "2359b3f927b510a2d50033b4375c7ffce1c8931775e11e6342c38f22b3142cf2", "weight": 4 }],
  "calls": [{ "method": "POST", "path": "/corrections", "idempotent": false }] })";

} // namespace

// clang-format off
TEST_GROUP(damaged_document){};
// clang-format on

TEST(damaged_document, UnmutatedDocumentParses)
{
  document_reason parseError;
  CHECK_TEXT(ParseServiceDocument(kDocument, parseError).has_value(), parseError.detail.c_str());
}

TEST(damaged_document, MutatedDocumentRoundTripsOrIsRejectedWithAReason)
{
  random_source random(kSeed);
  for (int count = 0; count < kMutations; ++count) {
    const std::string text = MutatedText(kDocument, random);
    document_reason parseError;
    const auto document = ParseServiceDocument(text, parseError);
    if (!document) {
      CHECK_TEXT(parseError.code != document_error::none && !parseError.detail.empty(),
                 text.c_str());
      continue;
    }
    const auto reparsed = ParseServiceDocument(RenderServiceDocument(*document), parseError);
    CHECK_TEXT(reparsed == document, text.c_str());
  }
}
