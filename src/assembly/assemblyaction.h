#pragma once

#include "assembly/engineorder.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <variant>

namespace persimmon::assembly {

/// One order that was given; its outcome is told under this id.
using order_id = number_id<struct order_id_tag>;

/// Give an order to an instance, once.
struct send_order
{
  order_id id;
  endpoint address;
  engine_order order;
};

/// Ask an instance for its state.
struct probe_instance
{
  instance_id instance;
  endpoint address;
};

/// Tell the operator what was decided.
struct record_decision
{
  enum class decision_kind
  {
    formed,
    opened,
    abandoned,
    released,
    closing,
    freed,
    adopted
  };

  decision_kind decision = decision_kind::formed;
  group_id group;
  generation epoch;
  routes::model_name model;
  /// Input that decided, such as the member that was lost.
  std::string cause;
};

/// Tell the operator which instances serve nobody and are in no group that forms.
struct record_idle_instances
{
  std::size_t count = 0;
  /// By domain: what each one holds.
  std::string summary;
};

using assembly_action =
  std::variant<send_order, probe_instance, record_decision, record_idle_instances>;

/// Name of a decision for logs.
const char*
DecisionName(record_decision::decision_kind aDecision);

} // namespace persimmon::assembly
