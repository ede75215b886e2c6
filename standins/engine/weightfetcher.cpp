#include "standins/engine/weightfetcher.h"

#include "base/json.h"
#include "platform/httpclient.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace persimmon::standins {
namespace {

constexpr std::size_t kThreads = 8;
constexpr duration kFetchTimeout{ 60000 };
constexpr std::chrono::milliseconds kRetryPause{ 500 };
constexpr int kOk = 200;

struct fetch_job
{
  std::string body;
  std::function<void()> done;
};

} // namespace

struct weight_fetcher::implementation
{
  std::string url;
  std::uint64_t bytes = 0;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<fetch_job> jobs;
  bool stopping = false;
  std::vector<std::thread> threads;

  std::optional<fetch_job> Next()
  {
    std::unique_lock lock(mutex);
    changed.wait(lock, [this] { return stopping || !jobs.empty(); });
    if (stopping) {
      return std::nullopt;
    }
    fetch_job job = std::move(jobs.front());
    jobs.pop_front();
    return job;
  }

  bool Pause()
  {
    std::unique_lock lock(mutex);
    return !changed.wait_for(lock, kRetryPause, [this] { return stopping; });
  }

  void Run()
  {
    platform::http_client client;
    while (const auto job = Next()) {
      bool fetched = Send(client, *job);
      while (!fetched && Pause()) {
        fetched = Send(client, *job);
      }
      if (fetched) {
        job->done();
      }
    }
  }

  bool Send(platform::http_client& aClient, const fetch_job& aJob) const
  {
    platform::http_request request;
    request.method = "POST";
    request.url = url + "/weights";
    request.body = aJob.body;
    request.timeout = kFetchTimeout;
    const auto response = aClient.Send(request);
    return response && response->status == kOk;
  }
};

weight_fetcher::weight_fetcher(std::string aPlatformUrl, std::uint64_t aBytes)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->url = std::move(aPlatformUrl);
  mImplementation->bytes = aBytes;
  for (std::size_t i = 0; i < kThreads; ++i) {
    mImplementation->threads.emplace_back([this] { mImplementation->Run(); });
  }
}

weight_fetcher::~weight_fetcher()
{
  {
    const std::lock_guard lock(mImplementation->mutex);
    mImplementation->stopping = true;
  }
  mImplementation->changed.notify_all();
  for (std::thread& thread : mImplementation->threads) {
    thread.join();
  }
}

void
weight_fetcher::Fetch(const std::string& aModel,
                      const std::string& aVersion,
                      std::function<void()> aDone)
{
  const nlohmann::json body = { { "model", aModel },
                                { "version", aVersion },
                                { "bytes", mImplementation->bytes } };
  {
    const std::lock_guard lock(mImplementation->mutex);
    mImplementation->jobs.push_back({ body.dump(), std::move(aDone) });
  }
  mImplementation->changed.notify_one();
}

} // namespace persimmon::standins
