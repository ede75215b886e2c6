#include "load/loadrunner.h"

#include "load/internal/loadworker.h"

namespace persimmon::load {

struct load_runner::implementation
{
  load_options options;
  std::vector<std::unique_ptr<load_worker>> workers;
};

load_runner::load_runner(load_options aOptions, history::history_writer& aHistory)
  : mImplementation(std::make_unique<implementation>())
{
  curl_global_init(CURL_GLOBAL_DEFAULT);
  mImplementation->options = std::move(aOptions);
  const time_point epochStart = wall_clock().Now();
  for (std::size_t index = 0; index < mImplementation->options.threads; ++index) {
    mImplementation->workers.push_back(
      std::make_unique<load_worker>(mImplementation->options, aHistory, index, epochStart));
  }
}

load_runner::~load_runner() = default;

void
load_runner::Start()
{
  const time_point start = steady_clock().Now();
  for (const auto& worker : mImplementation->workers) {
    worker->Start(start);
  }
}

bool
load_runner::IsRunning() const
{
  for (const auto& worker : mImplementation->workers) {
    if (worker->IsRunning()) {
      return true;
    }
  }
  return false;
}

load_statistics
load_runner::Statistics() const
{
  load_statistics all;
  for (const auto& worker : mImplementation->workers) {
    all.Merge(worker->Statistics());
  }
  return all;
}

} // namespace persimmon::load
