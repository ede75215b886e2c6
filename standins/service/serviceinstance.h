#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "standins/service/servicefaults.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::standins {

struct service_options
{
  service_name service;
  /// Time that a call runs.
  duration delay{ 5 };
  /// Calls that run at once; more are refused.
  std::size_t maxRunning = 64;
};

/// One call to a plain service.
struct service_call
{
  /// Distinguishes the calls of one process.
  std::uint64_t number = 0;
  attempt_id attempt;
  request_id request;
  idempotency_key key;
  std::string method;
  std::string path;
  std::string body;
  /// Filled in by the instance.
  incarnation life;
  time_point doneAt;
};

/// What becomes of a call at once.
enum class call_verdict
{
  /// It runs; Tick() returns it when it is done.
  runs,
  /// Too many calls run: it is refused and has not run.
  refused,
  /// Its connection is dropped and it has not run.
  dropped,
  /// It runs, and the instance dies of it.
  crashes
};

/// A call that ran to its end.
struct finished_call
{
  service_call call;
  /// Its connection is dropped instead of answered.
  bool dropped = false;
};

/// One instance of a plain service: which calls run, and for how long. It has no clock, threads or
/// connections of its own.
class service_instance
{
public:
  service_instance(const service_options& aOptions, instance_id aInstance, std::uint64_t aSeed);

  call_verdict Submit(service_call aCall, time_point aNow);
  /// Returns the calls that are done.
  std::vector<finished_call> Tick(time_point aNow);
  /// Ends this life. Returns the calls that were cut off.
  std::vector<service_call> Die();
  /// Begins a new life.
  void Return();
  void Apply(const service_faults& aPlan);

  [[nodiscard]] bool IsDead() const { return mDead; }
  [[nodiscard]] incarnation Life() const { return mLife; }
  [[nodiscard]] std::size_t Running() const { return mRunning.size(); }
  [[nodiscard]] const instance_id& Instance() const { return mInstance; }

private:
  bool Happens(std::int64_t aPercent);

  service_options mOptions;
  instance_id mInstance;
  incarnation mLife{ 1 };
  bool mDead = false;
  random_source mRandom;
  service_faults mPlan;
  std::vector<service_call> mRunning;
};

} // namespace persimmon::standins
