#pragma once

#include "standins/engine/sharedboard.h"

#include <memory>
#include <set>

namespace persimmon::standins {

/// Polls `GET /state` of members in other processes, on a thread of its own.
class member_poller
{
public:
  explicit member_poller(shared_board& aBoard);
  ~member_poller();

  /// Sets which addresses to poll from now on.
  void SetAddresses(std::set<endpoint> aAddresses);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::standins
