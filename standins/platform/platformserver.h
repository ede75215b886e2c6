#pragma once

#include "base/clock.h"
#include "entry/responder.h"
#include "entry/serverrequest.h"
#include "history/historywriter.h"

#include <memory>

namespace persimmon::standins {

struct platform_options
{
  duration listLag{ 1000 };
  /// Changes kept for watches.
  std::size_t historyLength = 10000;
  /// Rate of the weight store; 0 for no limit.
  std::uint64_t weightBytesPerSecond = 0;
  /// Seed of the lost replies.
  std::uint64_t seed = 1;
};

/// The stand-in platform behind an HTTP server.
class platform_server
{
public:
  platform_server(const platform_options& aOptions, history::history_writer& aHistory);
  ~platform_server();

  /// Handles one call; does not block.
  void Handle(const entry::server_request& aRequest,
              const std::shared_ptr<entry::responder>& aResponder);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::standins
