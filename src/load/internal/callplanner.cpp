#include "load/callplanner.h"

#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace persimmon::load {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr std::uint64_t kPriorities = 8;
constexpr std::uint64_t kVocabulary = 997;
constexpr std::int64_t kLongestStayMs = 400;

} // namespace

idempotency_key
MakeUuidV7(time_point aEpochTime, random_source& aRandom)
{
  constexpr std::uint64_t kTimeMask = 0xffffffffffffULL;
  constexpr std::uint64_t kVersion = 0x7000;
  constexpr std::uint64_t kVariant = 0x8000;
  const std::uint64_t time = static_cast<std::uint64_t>(aEpochTime.ms) & kTimeMask;
  const std::uint64_t high = aRandom.Next();
  const std::uint64_t low = aRandom.Next();
  return { fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
                       time >> 16,
                       time & 0xffff,
                       kVersion | (high & 0x0fff),
                       kVariant | ((high >> 16) & 0x3fff),
                       low & kTimeMask) };
}

call_planner::call_planner(load_mix aMix,
                           std::uint64_t aSeed,
                           time_point aEpochStart,
                           std::uint64_t aFirst,
                           std::uint64_t aStep)
  : mMix(std::move(aMix))
  , mRandom(aSeed + aFirst)
  , mEpochStart(aEpochStart)
  , mNumber(aFirst)
  , mStep(aStep)
{
}

std::optional<planned_call>
call_planner::Next()
{
  const double gap =
    -std::log(1 - mRandom.NextDouble()) * static_cast<double>(mStep) / mMix.rate * kMsPerSecond;
  mAfterMs += gap;
  planned_call call;
  call.after.ms = static_cast<std::int64_t>(mAfterMs);
  if (call.after >= mMix.length) {
    return std::nullopt;
  }
  call.number = mNumber;
  mNumber += mStep;
  const load_customer& customer = ChooseCustomer();
  call.customer = customer.name;
  call.customerKey = customer.key;
  call.deadline = mMix.deadline;
  call.priority = static_cast<int>(mRandom.Below(kPriorities));
  const bool bothKinds = !mMix.models.empty() && !mMix.services.empty();
  call.plain = bothKinds ? mRandom.Chance(mMix.plainShare) : mMix.models.empty();
  if (call.plain) {
    FillPlainCall(call);
  } else {
    FillModelCall(call);
  }
  return call;
}

void
call_planner::FillModelCall(planned_call& aCall)
{
  aCall.service = mMix.models[mRandom.Below(mMix.models.size())];
  aCall.streamed = mRandom.Chance(mMix.streamedShare);
  aCall.method = "POST";
  aCall.path = "/v1/chat/completions";
  const nlohmann::json body = {
    { "model", aCall.service.value },
    { "stream", aCall.streamed },
    { "max_tokens", 1 + mRandom.Below(mMix.maxTokens) },
    { "messages",
      { { { "role", "system" }, { "content", Prompt(mRandom.Below(mMix.prefixes)) } },
        { { "role", "user" }, { "content", fmt::format("Check claim {}.", aCall.number) } } } }
  };
  aCall.body = body.dump();
  if (mRandom.Chance(mMix.leaveShare)) {
    aCall.leaveAfter = duration{ static_cast<std::int64_t>(mRandom.Below(kLongestStayMs)) };
  }
}

void
call_planner::FillPlainCall(planned_call& aCall)
{
  aCall.service = mMix.services[mRandom.Below(mMix.services.size())];
  const std::string base = fmt::format("/services/{}", aCall.service.value);
  if (!mRandom.Chance(mMix.onceShare)) {
    aCall.method = "GET";
    // No two lookups are the same, so that one's answer cannot pass for another's.
    aCall.path = fmt::format("{}/lookups/{}", base, aCall.number);
    return;
  }
  aCall.method = "POST";
  aCall.path = base + "/ledger/allocations";
  aCall.body = nlohmann::json{ { "family", aCall.number }, { "tent", mRandom.NextHex() } }.dump();
  aCall.key = MakeUuidV7(mEpochStart + aCall.after, mRandom);
  aCall.duplicate = mRandom.Chance(mMix.duplicateShare);
}

const load_customer&
call_planner::ChooseCustomer()
{
  // The square makes the first customers large.
  const double place = mRandom.NextDouble() * mRandom.NextDouble();
  const auto index = static_cast<std::size_t>(place * static_cast<double>(mMix.customers.size()));
  return mMix.customers[index];
}

std::string
call_planner::Prompt(std::uint64_t aNumber)
{
  random_source words(aNumber);
  std::string text = fmt::format("Prefix {}:", aNumber);
  for (std::uint64_t word = 0; word < mMix.prefixWords; ++word) {
    text += fmt::format(" word{}", words.Below(kVocabulary));
  }
  return text;
}

} // namespace persimmon::load
