#pragma once

#include "history/historywriter.h"
#include "load/loadmix.h"
#include "load/loadstatistics.h"

#include <memory>
#include <string>
#include <vector>

namespace persimmon::load {

struct load_options
{
  load_mix mix;
  /// Base addresses of routers, `http://ip:port`; calls go round them in turn.
  std::vector<std::string> routers;
  std::uint64_t seed = 1;
  std::size_t threads = 2;
};

/// Makes the calls of a mix on several threads and records what became of them.
class load_runner
{
public:
  /// The writer must outlive the runner.
  load_runner(load_options aOptions, history::history_writer& aHistory);
  /// Waits for the end.
  ~load_runner();

  void Start();
  /// Returns true while calls are planned or open.
  [[nodiscard]] bool IsRunning() const;
  /// Returns what was seen so far.
  [[nodiscard]] load_statistics Statistics() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::load
