#pragma once

#include "history/historywriter.h"
#include "standins/common/fleet.h"
#include "standins/engine/enginehost.h"
#include "standins/engine/memberpoller.h"
#include "standins/engine/weightfetcher.h"

#include <memory>

namespace persimmon::standins {

/// The instances of one stand-in engine process, all of one fabric domain.
class engine_fleet
{
public:
  /// aWeightBytes is what each instance fetches from the platform for a load; 0 for nothing.
  engine_fleet(const fleet_settings& aSettings,
               const engine_options& aOptions,
               std::uint64_t aWeightBytes,
               history::history_writer& aHistory);
  /// Stops.
  ~engine_fleet();

  /// Starts to listen and tells the platform of the instances. Failures are logged.
  bool Start();

private:
  std::unique_ptr<engine_host> MakeHost(const instance_id& aInstance,
                                        std::function<void(bool)> aOnAlive);
  void UpdatePoller();

  engine_options mOptions;
  history::history_writer& mHistory;
  shared_board mBoard;
  std::unique_ptr<weight_fetcher> mWeights;
  member_poller mPoller;
  fleet<engine_host> mFleet;
};

} // namespace persimmon::standins
