#include "ctl/documentcommands.h"

#include "platform/tests/mocks/memoryobjectstore.h"

#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace persimmon;
using namespace persimmon::ctl;

namespace {

service_document
SampleDocument(std::int64_t aReplicas)
{
  service_document document;
  document.service = { "verifier-llm" };
  document.model = { "verifier", "", "v3" };
  document.capacity = { aReplicas, 1, 4 };
  return document;
}

} // namespace

// clang-format off
TEST_GROUP(document_commands)
{
  platform::memory_object_store::content content;
  platform::memory_object_store store{ content };
  std::ostringstream out;
  std::ostringstream err;
  document_commands<platform::memory_object_store> commands{ store, { out, err } };
  revision accepted;
};
// clang-format on

TEST(document_commands, ConflictingEditIsReportedAndChangesNothing)
{
  CHECK_EQUAL(done, commands.Apply(SampleDocument(2), {}, accepted));
  const revision base = accepted;
  CHECK_EQUAL(done, commands.Apply(SampleDocument(3), { base }, accepted));
  CHECK_EQUAL(conflict, commands.Apply(SampleDocument(5), { base }, accepted));
  STRCMP_CONTAINS("/capacity/replicas: 3 -> 5", out.str().c_str());
  CHECK_EQUAL(3, commands.Read({ "verifier-llm" })->document.capacity.replicas);
}

TEST(document_commands, WriteWithLostReplyIsReportedAsAccepted)
{
  store.loseNextReply = true;
  CHECK_EQUAL(done, commands.Apply(SampleDocument(2), {}, accepted));
  CHECK(accepted == content.last);
}

TEST(document_commands, UnreachableStoreIsReportedAsNothingChanged)
{
  store.down = true;
  CHECK_EQUAL(failed, commands.Apply(SampleDocument(2), {}, accepted));
  STRCMP_CONTAINS("nothing was changed", err.str().c_str());
}

TEST(document_commands, RetireKeepsTheDocumentMarkedAsRetired)
{
  commands.Apply(SampleDocument(2), {}, accepted);
  CHECK_EQUAL(done, commands.Retire({ "verifier-llm" }, accepted));
  CHECK(commands.Read({ "verifier-llm" })->document.retired);
}
