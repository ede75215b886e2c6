#include "standins/engine/memberboard.h"

#include <array>

namespace persimmon::standins {
namespace {

constexpr std::array kStates = { engine_state::idle,
                                 engine_state::loading,
                                 engine_state::ready,
                                 engine_state::draining };

} // namespace

const char*
StateName(engine_state aState)
{
  switch (aState) {
    case engine_state::idle:
      return "idle";
    case engine_state::loading:
      return "loading";
    case engine_state::ready:
      return "ready";
    case engine_state::draining:
      return "draining";
  }
  return "unknown";
}

std::optional<engine_state>
ParseState(std::string_view aName)
{
  for (const engine_state state : kStates) {
    if (aName == StateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

} // namespace persimmon::standins
