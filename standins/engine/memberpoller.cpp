#include "standins/engine/memberpoller.h"

#include "platform/httpclient.h"
#include "standins/engine/enginestatus.h"

#include <chrono>
#include <condition_variable>
#include <thread>

namespace persimmon::standins {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{ 100 };
constexpr duration kPollTimeout{ 50 };
constexpr int kOk = 200;

} // namespace

struct member_poller::implementation
{
  shared_board& board;
  std::mutex mutex;
  std::condition_variable changed;
  std::set<endpoint> addresses;
  bool stopping = false;
  std::thread thread;

  explicit implementation(shared_board& aBoard)
    : board(aBoard)
  {
  }

  bool Wait()
  {
    std::unique_lock lock(mutex);
    return !changed.wait_for(lock, kPollPeriod, [this] { return stopping; });
  }

  std::set<endpoint> Addresses()
  {
    const std::lock_guard lock(mutex);
    return addresses;
  }

  void Run()
  {
    platform::http_client client;
    while (Wait()) {
      for (const endpoint& address : Addresses()) {
        Poll(client, address);
      }
    }
  }

  void Poll(platform::http_client& aClient, const endpoint& aAddress)
  {
    platform::http_request request;
    request.url = "http://" + aAddress.value + "/state";
    request.timeout = kPollTimeout;
    const time_point asked = steady_clock().Now();
    const auto response = aClient.Send(request);
    if (!response) {
      if (aClient.LastFailure() == platform::http_failure::not_sent) {
        board.Forget(aAddress);
      }
      return;
    }
    const auto report = ParseMemberReport(response->body, asked);
    if (response->status == kOk && report) {
      board.Report(aAddress, *report);
    }
  }
};

member_poller::member_poller(shared_board& aBoard)
  : mImplementation(std::make_unique<implementation>(aBoard))
{
  mImplementation->thread = std::thread([this] { mImplementation->Run(); });
}

member_poller::~member_poller()
{
  {
    const std::lock_guard lock(mImplementation->mutex);
    mImplementation->stopping = true;
  }
  mImplementation->changed.notify_one();
  mImplementation->thread.join();
}

void
member_poller::SetAddresses(std::set<endpoint> aAddresses)
{
  const std::lock_guard lock(mImplementation->mutex);
  mImplementation->addresses = std::move(aAddresses);
}

} // namespace persimmon::standins
