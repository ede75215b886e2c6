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
struct give_order
{
  order_id id;
  endpoint address;
  engine_order order;
};

/// Ask an instance for its state.
struct ask_report
{
  instance_id instance;
  endpoint address;
};

/// Tell the operator what was decided.
struct note_decision
{
  enum class what
  {
    formed,
    opened,
    abandoned,
    released,
    closing,
    freed,
    adopted
  };

  what decision = what::formed;
  group_id group;
  generation epoch;
  routes::model_name model;
  /// Input that decided, such as the member that was lost.
  std::string cause;
};

/// Tell the operator which instances serve nobody and are in no group that forms.
struct note_idle
{
  std::size_t count = 0;
  /// By domain: what each one holds.
  std::string text;
};

using assembly_action = std::variant<give_order, ask_report, note_decision, note_idle>;

/// Name of a decision for logs.
const char*
DecisionName(note_decision::what aDecision);

} // namespace persimmon::assembly
