#include "standins/common/registrar.h"

#include "platform/httpclient.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace persimmon::standins {
namespace {

constexpr std::chrono::milliseconds kRetryPause{ 200 };
constexpr duration kCallTimeout{ 2000 };
constexpr int kOk = 200;

struct pending_call
{
  std::string path;
  std::string body;
};

} // namespace

struct registrar::implementation
{
  std::string url;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<pending_call> calls;
  bool stopping = false;
  std::thread thread;

  void Push(pending_call aCall)
  {
    {
      const std::lock_guard lock(mutex);
      calls.push_back(std::move(aCall));
    }
    changed.notify_one();
  }

  void Run()
  {
    platform::http_client client;
    std::unique_lock lock(mutex);
    while (!stopping) {
      if (calls.empty()) {
        changed.wait(lock);
        continue;
      }
      const pending_call call = calls.front();
      lock.unlock();
      const bool taken = Send(client, call);
      lock.lock();
      if (taken) {
        calls.pop_front();
      } else {
        changed.wait_for(lock, kRetryPause);
      }
    }
  }

  bool Send(platform::http_client& aClient, const pending_call& aCall) const
  {
    platform::http_request request;
    request.method = "POST";
    request.url = url + aCall.path;
    request.body = aCall.body;
    request.timeout = kCallTimeout;
    const auto response = aClient.Send(request);
    return response && response->status == kOk;
  }
};

registrar::registrar(std::string aPlatformUrl)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->url = std::move(aPlatformUrl);
  mImplementation->thread = std::thread([this] { mImplementation->Run(); });
}

registrar::~registrar()
{
  {
    const std::lock_guard lock(mImplementation->mutex);
    mImplementation->stopping = true;
  }
  mImplementation->changed.notify_one();
  mImplementation->thread.join();
}

void
registrar::Add(const std::vector<platform::listed_instance>& aInstances)
{
  mImplementation->Push({ "/control/instances", platform::RenderInstanceList(aInstances) });
}

void
registrar::Remove(const std::vector<instance_id>& aInstances)
{
  nlohmann::json ids = nlohmann::json::array();
  for (const instance_id& instance : aInstances) {
    ids.push_back(instance.value);
  }
  mImplementation->Push({ "/control/instances/remove", nlohmann::json{ { "ids", ids } }.dump() });
}

} // namespace persimmon::standins
