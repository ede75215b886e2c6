#include "standins/engine/enginefleet.h"

namespace persimmon::standins {
namespace {

constexpr duration kMemberPeriod{ 100 };

} // namespace

engine_fleet::engine_fleet(const fleet_settings& aSettings,
                           const engine_options& aOptions,
                           std::uint64_t aWeightBytes,
                           history::history_writer& aHistory)
  : mOptions(aOptions)
  , mHistory(aHistory)
  , mPoller(mBoard)
  , mFleet(aSettings)
{
  if (aWeightBytes > 0) {
    mWeights = std::make_unique<weight_fetcher>(aSettings.platformUrl, aWeightBytes);
  }
  mOptions.fetchesWeights = aWeightBytes > 0;
}

engine_fleet::~engine_fleet()
{
  mFleet.Stop();
  // Its threads call the hosts.
  mWeights.reset();
}

bool
engine_fleet::Start()
{
  const bool started =
    mFleet.Start([this](const instance_id& aInstance, std::function<void(bool)> aOnAlive) {
      return MakeHost(aInstance, std::move(aOnAlive));
    });
  mFleet.Timers().Every(kMemberPeriod, [this] { UpdatePoller(); });
  return started;
}

std::unique_ptr<engine_host>
engine_fleet::MakeHost(const instance_id& aInstance, std::function<void(bool)> aOnAlive)
{
  host_callbacks callbacks;
  callbacks.onAlive = std::move(aOnAlive);
  callbacks.onFetch =
    [this](const std::string& aModel, const std::string& aVersion, std::function<void()> aDone) {
      mWeights->Fetch(aModel, aVersion, std::move(aDone));
    };
  return std::make_unique<engine_host>(mOptions, aInstance, mBoard, mHistory, std::move(callbacks));
}

void
engine_fleet::UpdatePoller()
{
  std::set<endpoint> remote;
  mFleet.ForEach(
    [&remote](engine_host& aHost, const endpoint&) { remote.merge(aHost.HeardAddresses()); });
  mFleet.ForEach([&remote](engine_host&, const endpoint& aAddress) { remote.erase(aAddress); });
  mPoller.SetAddresses(std::move(remote));
}

} // namespace persimmon::standins
