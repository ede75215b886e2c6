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

/// What goes into and comes out of the decision logic of the placer. Every core takes the events
/// that concern it and passes over the others.
namespace persimmon::placement {

/// Time has passed.
struct time_passed
{};

/// The objects of one kind were listed; without a list the call failed.
struct objects_listed
{
  std::string kind;
  std::optional<platform::object_list> list;
};

/// A watch told of changes.
struct objects_changed
{
  std::vector<platform::object_change> changes;
};

/// One object was read. Without an object, `error` says not_found or why the call failed.
struct object_read
{
  platform::object_key key;
  std::optional<platform::stored_object> object;
  platform::store_error error = platform::store_error::none;
};

/// A conditional update ended; without a version, `error` says why.
struct object_written
{
  platform::object_key key;
  std::optional<revision> version;
  platform::store_error error = platform::store_error::none;
};

/// The platform's lagging list of instances was read.
struct instances_listed
{
  std::vector<platform::listed_instance> instances;
};

/// An instance was asked for its state.
struct member_read
{
  instance_id instance;
  std::optional<member_state> state;
  /// Without a state: the connection was refused, so that no process listens there.
  bool refused = false;
};

/// An order ended.
struct order_done
{
  instance_id instance;
  order_kind kind = order_kind::load;
  order_outcome outcome = order_outcome::unknown;
};

/// Every live router applies at least this version of a domain's table.
struct table_applied
{
  domain_name domain;
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

/// Write an object by conditional update; object_written answers. One write per object is under
/// way at a time.
struct write_object
{
  platform::object_key key;
  std::string value;
  platform::write_condition condition;
};

/// Delete an object by conditional update; object_written answers.
struct delete_object
{
  platform::object_key key;
  revision expected;
};

/// Read one object; object_read answers.
struct read_object
{
  platform::object_key key;
};

/// List a kind of objects; objects_listed answers.
struct list_objects
{
  std::string kind;
};

/// Send an order, unless the boot clock shows `notAfter` or later just before the send;
/// order_done answers.
struct send_order
{
  instance_id instance;
  endpoint address;
  engine_order order;
  time_point notAfter;
};

/// Ask an instance for its state; member_read answers.
struct read_member
{
  instance_id instance;
  endpoint address;
};

/// A decision for the log. Members that do not apply are empty.
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
