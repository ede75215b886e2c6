#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <optional>
#include <unordered_map>

namespace persimmon::standins {

/// What an engine instance is doing.
enum class engine_state
{
  idle,
  loading,
  ready,
  draining
};

/// Name of a state as `GET /state` writes it.
const char*
StateName(engine_state aState);

/// Returns the state of that name, if any.
std::optional<engine_state>
ParseState(std::string_view aName);

/// What an instance last told of itself.
struct member_report
{
  instance_id instance;
  incarnation life;
  group_id group;
  generation version;
  engine_state state = engine_state::idle;
  time_point heardAt;
  /// False while the instance is paused: it has not been missed yet, but nothing runs with it.
  bool working = true;
};

/// What a head knows of its members.
enum class group_presence
{
  /// Every member works in the expected life, group and generation.
  whole,
  /// A member does not work, but has not been missed yet.
  stalled,
  /// A member is gone or in another life.
  lost,
  /// A member was ordered into another group, generation or state.
  changed
};

/// The newest reports of instances by their address; an instance that is known to be dead has none.
class member_board
{
public:
  void Report(const endpoint& aAddress, const member_report& aReport)
  {
    mReports[aAddress] = aReport;
  }

  void Forget(const endpoint& aAddress) { mReports.erase(aAddress); }

  [[nodiscard]] std::optional<member_report> Find(const endpoint& aAddress) const
  {
    const auto found = mReports.find(aAddress);
    return found == mReports.end() ? std::nullopt : std::optional(found->second);
  }

private:
  std::unordered_map<endpoint, member_report> mReports;
};

} // namespace persimmon::standins
