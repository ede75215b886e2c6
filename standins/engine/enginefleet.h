#pragma once

#include "base/ids.h"
#include "history/historywriter.h"
#include "standins/engine/engineinstance.h"

#include <memory>
#include <string>

namespace persimmon::standins {

struct fleet_options
{
  engine_options engine;
  domain_name domain;
  zone_name zone;
  std::size_t instances = 1;
  std::string ip;
  /// Port of the first instance, the others follow; 0 takes free ones.
  std::uint16_t basePort = 0;
  std::string platformUrl;
  endpoint control;
  /// Bytes of weights that each instance fetches for a load; 0 for none.
  std::uint64_t weightBytes = 0;
  std::size_t threads = 2;
};

/// The instances of one stand-in engine process, all of one fabric domain.
class engine_fleet
{
public:
  engine_fleet(const fleet_options& aOptions, history::history_writer& aHistory);
  /// Stops.
  ~engine_fleet();

  /// Starts to listen and tells the platform of the instances. Returns false with LastReason().
  bool Start();
  [[nodiscard]] const std::string& LastReason() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::standins
