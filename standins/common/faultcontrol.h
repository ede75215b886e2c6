#pragma once

#include "base/json.h"
#include "entry/responder.h"
#include "entry/serverrequest.h"

#include <functional>
#include <mutex>

namespace persimmon::standins {

/// The `/control/faults` calls of a stand-in. A POST replaces those members of the plan that it
/// gives and leaves the others; GET shows the plan in force. Plan is an aggregate with the static
/// function Parse(json, problem) and the function Render().
template<typename Plan>
class fault_control
{
public:
  /// aApply is called with the earlier and the new plan after each change.
  explicit fault_control(std::function<void(const Plan&, const Plan&)> aApply)
    : mApply(std::move(aApply))
  {
  }

  /// Returns a copy of the plan in force.
  [[nodiscard]] Plan Current() const
  {
    const std::lock_guard lock(mMutex);
    return mPlan;
  }

  void Handle(const entry::server_request& aRequest, entry::responder& aResponder)
  {
    if (aRequest.method != "POST") {
      aResponder.Send({ kOk, JsonHeaders(), Current().Render().dump() });
      return;
    }
    json_problem problem;
    const std::optional<Plan> next = Change(aRequest.body, problem);
    if (!next) {
      const nlohmann::json body = { { "reason", "bad_request" }, { "detail", problem.Text() } };
      aResponder.Send({ kBadRequest, JsonHeaders(), body.dump() });
      return;
    }
    aResponder.Send({ kOk, JsonHeaders(), next->Render().dump() });
  }

private:
  static constexpr int kOk = 200;
  static constexpr int kBadRequest = 400;

  static std::vector<entry::server_header> JsonHeaders()
  {
    return { { "Content-Type", "application/json" } };
  }

  std::optional<Plan> Change(const std::string& aBody, json_problem& aProblem)
  {
    const std::lock_guard changing(mChangeMutex);
    const auto change = ParseJson(aBody, aProblem);
    if (!change) {
      return std::nullopt;
    }
    const Plan before = Current();
    nlohmann::json merged = before.Render();
    if (change->is_object()) {
      merged.update(*change);
    } else {
      merged = *change;
    }
    std::optional<Plan> next = Plan::Parse(merged, aProblem);
    if (next) {
      {
        const std::lock_guard lock(mMutex);
        mPlan = *next;
      }
      mApply(before, *next);
    }
    return next;
  }

  std::function<void(const Plan&, const Plan&)> mApply;
  std::mutex mChangeMutex;
  mutable std::mutex mMutex;
  Plan mPlan;
};

} // namespace persimmon::standins
