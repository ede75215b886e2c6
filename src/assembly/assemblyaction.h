#pragma once

#include "assembly/engineorder.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace persimmon::assembly {

/// Identifies one sent order; its outcome is reported under the same id.
using order_id = number_id<struct order_id_tag>;

/// Sends an order to an instance, without retries.
struct send_order
{
  order_id id;
  endpoint address;
  engine_order order;
};

/// Queries an instance for its state.
struct probe_instance
{
  instance_id instance;
  endpoint address;
};

/// Logs a decision about a group.
struct record_decision
{
  enum class decision_kind
  {
    /// The group was created and its members will be ordered to join.
    formed,
    /// The head accepts requests.
    opened,
    /// The group failed before it was ordered to open.
    abandoned,
    /// A member or the whole group failed; its members will be ordered to leave.
    released,
    /// The group will be ordered to finish its requests because a member is draining.
    closing,
    /// The group was to be released for a silence, but all its members answer again.
    kept,
    /// The group has ended and its members are free.
    freed,
    /// No member is registered any more. The group is adopted again when one is.
    forgotten,
    /// The group of a former leader was taken over.
    adopted
  };

  decision_kind decision = decision_kind::formed;
  group_id group;
  generation epoch;
  routes::model_name model;
  /// What led to the decision, such as the member that was lost. For a formed group the ids of its
  /// members, for an adopted one its stage; may be empty.
  std::string cause;
};

/// Logs and counts the instances that serve no requests and belong to no group.
struct record_idle_instances
{
  std::size_t count = 0;
  /// For each domain, the newest staged model of each idle instance, and after `>` the model that
  /// it is loading.
  std::string summary;
};

/// Logs that a domain was given to another model.
struct record_moved_domain
{
  domain_id domain;
  routes::model_name model;
  /// Share of each model in the demand, 0 to 1, by which it was decided.
  std::map<routes::model_name, double> demandShares;
};

/// What the caller of a group_controller has to do.
using assembly_action = std::
  variant<send_order, probe_instance, record_decision, record_idle_instances, record_moved_domain>;

/// Returns the name of a decision for logs.
const char*
DecisionName(record_decision::decision_kind aDecision);

} // namespace persimmon::assembly
