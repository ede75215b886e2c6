#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/log.h"
#include "placement/engineorder.h"
#include "placement/memberstate.h"
#include "platform/instancelist.h"
#include "platform/storedobject.h"
#include "platform/storeerror.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Input events and output actions of the placer's decision logic. Each component handles the
/// events that concern it and ignores the others.
namespace persimmon::placement {

/// A timer tick.
struct time_passed
{};

/// Result of a list of the objects of one kind; `list` is empty when the call failed.
struct objects_listed
{
  std::string kind;
  std::optional<platform::object_list> list;
};

/// A watch reported changes.
struct objects_changed
{
  std::vector<platform::object_change> changes;
};

/// Result of a read. Without an object, `error` is not_found or the cause of the failure.
struct object_read
{
  platform::object_key key;
  std::optional<platform::stored_object> object;
  platform::store_error error = platform::store_error::none;
};

/// Result of a conditional update; without a version, `error` is the cause of the failure.
struct object_written
{
  platform::object_key key;
  std::optional<revision> version;
  platform::store_error error = platform::store_error::none;
};

/// The platform's list of instances, which may be out of date, was read.
struct instances_listed
{
  std::vector<platform::listed_instance> instances;
};

/// Result of a read of an instance's state; `state` is empty when the read failed.
struct member_read
{
  instance_id instance;
  std::optional<member_state> state;
  /// The connection was refused: no process listens at the address. Only set without a state.
  bool refused = false;
};

/// Result of an order.
struct order_done
{
  instance_id instance;
  order_kind kind = order_kind::load;
  order_outcome outcome = order_outcome::unknown;
};

/// All live routers have applied at least this version of a domain's table.
struct table_applied
{
  domain_id domain;
  revision version;
};

using placement_event = std::variant<time_passed,
                                     objects_listed,
                                     objects_changed,
                                     object_read,
                                     object_written,
                                     instances_listed,
                                     member_read,
                                     order_done,
                                     table_applied>;

/// Writes an object by conditional update; answered by object_written. At most one write per object
/// is in flight.
struct write_object
{
  platform::object_key key;
  std::string value;
  platform::write_condition condition;
};

/// Deletes an object by conditional update; answered by object_written.
struct delete_object
{
  platform::object_key key;
  revision expected;
};

/// Reads an object; answered by object_read.
struct read_object
{
  platform::object_key key;
};

/// Lists the objects of one kind; answered by objects_listed.
struct list_objects
{
  std::string kind;
};

/// Sends an order, unless the boot clock has reached `notAfter` just before the send; answered by
/// order_done.
struct send_order
{
  instance_id instance;
  endpoint address;
  engine_order order;
  time_point notAfter;
};

/// Reads an instance's state; answered by member_read.
struct read_member
{
  instance_id instance;
  endpoint address;
};

/// Logs a decision. Fields that do not apply are empty.
struct log_decision
{
  log_event event;
  std::string domain;
  std::string group;
  std::string service;
  std::string detail;
};

using placement_action = std::variant<write_object,
                                      delete_object,
                                      read_object,
                                      list_objects,
                                      send_order,
                                      read_member,
                                      log_decision>;

using placement_actions = std::vector<placement_action>;

/// Kinds of objects that the placer watches or writes.
constexpr const char* kServiceKind = "service";
constexpr const char* kDomainKind = "domain";
constexpr const char* kLeaseKind = "lease";
constexpr const char* kPlanKind = "plan";
constexpr const char* kStatusKind = "status";

} // namespace persimmon::placement
