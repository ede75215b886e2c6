#pragma once

#include "base/random.h"
#include "peers/tests/mocks/memorymesh.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::bench {

/// What the routers of one region tell each other, per second.
struct mesh_workload_options
{
  std::size_t routers = 9;
  std::size_t groups = 4;
  std::uint64_t seed = 1;
  /// Interval of an observer's polls of a group's head.
  duration pollInterval{ 500 };
  /// Changes of a customer's share that a router tells a second.
  double sharesPerSecond = 0.5;
  /// Changes of documents and tables a second.
  double versionsPerSecond = 0.6;
  /// Documents and tables in force.
  std::size_t subjects = 120;
  std::size_t documentBytes = 2000;
  /// Only router 0 hears of versions from the platform; otherwise all do.
  bool oneReachesStore = false;
};

/// Mesh cores with the traffic of a region, on a simulated clock. Each router applies what it
/// learns at once and says so.
class mesh_workload
{
public:
  explicit mesh_workload(const mesh_workload_options& aOptions);

  /// Starts all routers and runs until they agree on who lives.
  duration Start();
  /// Runs with the traffic going on.
  void Run(duration aSpan);
  /// Writes one version at the platform; returns its name and revision.
  peers::applied_message WriteVersion();
  /// Runs until every router that is up holds a version; nothing after the limit.
  std::optional<duration> RunUntilHeld(const peers::applied_message& aVersion, duration aLimit);
  /// Runs until every router that is up holds all versions and agrees on who lives.
  std::optional<duration> RunUntilConverged(duration aLimit);
  /// Runs until every router that is up has had a message of aNode delivered.
  std::optional<duration> RunUntilDelivered(const peers::mesh_message& aMessage,
                                            std::size_t aNode,
                                            duration aLimit);
  /// Ages of the newest evidence that each router has of each group.
  [[nodiscard]] std::vector<std::int64_t> PresenceAges() const;
  /// Starts a router again, with nothing in its memory.
  void Restart(std::size_t aRouter);

  [[nodiscard]] peers::memory_mesh& Mesh() { return mMesh; }

private:
  void Delivered(std::size_t aNode, const peers::mesh_message& aMessage);
  void Apply(std::size_t aNode, peers::applied_message aVersion);
  void Poll(std::size_t aRouter);
  void Share(std::size_t aRouter);
  bool Holds(std::size_t aRouter, const peers::applied_message& aVersion);
  template<typename Condition>
  std::optional<duration> RunUntil(duration aLimit, const Condition& aCondition);

  struct evidence
  {
    std::vector<time_point> seen;
  };

  mesh_workload_options mOptions;
  random_source mRandom;
  peers::memory_mesh mMesh;
  time_point mNextPoll;
  time_point mNextVersion;
  std::uint64_t mRevision = 100;
  std::vector<std::uint64_t> mVersions;
  std::vector<evidence> mEvidence;
  std::vector<std::size_t> mWaiting;
  std::optional<peers::mesh_message> mTraced;
  std::vector<bool> mTraceSeen;
};

} // namespace persimmon::bench
