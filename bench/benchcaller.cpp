#include "benchcaller.h"

#include "instantengine.h"

#include <charconv>
#include <fmt/format.h>
#include <future>

namespace persimmon::bench {
namespace {

constexpr std::string_view kStampMark = "\"content\":\"";
constexpr std::string_view kEndMark = "data: [DONE]";

void
TakeBytes(call_measure& aMeasure, std::string_view aBytes, bool aStreamed)
{
  const std::int64_t now = NowNs();
  if (aMeasure.firstByteNs == 0) {
    aMeasure.firstByteNs = now;
  }
  for (std::size_t at = aBytes.find(kStampMark); at != std::string_view::npos;
       at = aBytes.find(kStampMark, at + 1)) {
    std::int64_t stamp = 0;
    const char* begin = aBytes.data() + at + kStampMark.size();
    std::from_chars(begin, aBytes.data() + aBytes.size(), stamp);
    aMeasure.tokenDelaysNs.push_back(now - stamp);
  }
  aMeasure.whole = aMeasure.whole || !aStreamed || aBytes.find(kEndMark) != std::string_view::npos;
}

} // namespace

bench_caller::bench_caller(std::size_t aThreads)
  : mClient(aThreads)
{
}

void
bench_caller::Start(const endpoint& aAddress,
                    bool aStreamed,
                    std::function<void(const call_measure&)> aDone)
{
  upstream::upstream_call call;
  call.address = aAddress;
  call.method = "POST";
  call.target = "/v1/chat/completions";
  call.headers = { { "Authorization", "Bearer bench-key" },
                   { "Content-Type", "application/json" },
                   { "Persimmon-Attempt", "direct" } };
  call.body = fmt::format(
    R"({{"model":"bench-llm","stream":{},"messages":[{{"role":"user","content":"call {}"}}]}})",
    aStreamed,
    ++mCalls);
  const auto measure = std::make_shared<call_measure>();
  measure->startNs = NowNs();
  mClient.Loop(mCalls).Start(
    std::move(call),
    { [](const upstream::response_head&) {},
      [measure, aStreamed](std::string_view aBytes) { TakeBytes(*measure, aBytes, aStreamed); },
      [measure, done = std::move(aDone)](const upstream::call_outcome& aOutcome) {
        measure->endNs = NowNs();
        measure->whole = measure->whole && aOutcome.end == upstream::call_end::whole;
        done(*measure);
      } });
}

call_measure
bench_caller::Call(const endpoint& aAddress, bool aStreamed)
{
  std::promise<call_measure> done;
  Start(aAddress, aStreamed, [&done](const call_measure& aMeasure) { done.set_value(aMeasure); });
  return done.get_future().get();
}

} // namespace persimmon::bench
