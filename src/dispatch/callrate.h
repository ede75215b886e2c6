#pragma once

#include "base/clock.h"

namespace persimmon::dispatch {

/// How many calls come in a second, from those of the last seconds. Pure.
class call_rate
{
public:
  void Note(time_point aNow);
  [[nodiscard]] double PerSecond(time_point aNow) const;

private:
  [[nodiscard]] double Decayed(time_point aNow) const;

  double mSum = 0;
  time_point mAt;
};

} // namespace persimmon::dispatch
