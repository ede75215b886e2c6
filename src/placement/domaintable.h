#pragma once

#include "base/ids.h"
#include "base/reason.h"
#include "document/modelspec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::placement {

enum class group_state
{
  /// Members are chosen; orders go out.
  forming,
  /// Members load weights and join.
  loading,
  /// Every member was read back in the expected generation; requests may come.
  serving,
  /// No new requests; those in flight finish.
  draining
};

/// One instance in a group, in the life in which it was chosen.
struct group_member
{
  instance_id instance;
  endpoint address;
  incarnation life;

  bool operator==(const group_member&) const = default;
};

/// Instances that together serve one replica. The first member is the head, which takes requests.
struct group
{
  group_id id;
  service_name service;
  model_spec model;
  group_state state = group_state::forming;
  generation version;
  zone_name zone;
  std::vector<group_member> members;
  /// Members that had to fetch the weights when the group was formed; orders the load slots.
  std::uint64_t loads = 0;

  bool operator==(const group&) const = default;
};

/// The groups of one fabric domain. One conditional update changes it as a whole, so that no
/// instance can be in two groups.
struct domain_table
{
  domain_name domain;
  placer_id owner;
  fencing_token token;
  /// Names the write that brought this version, to tell a lost reply from a lost write.
  write_id lastWrite;
  std::vector<group> groups;
  /// Instances of the domain that no group may be given: unreachable, or kept out for a while.
  std::vector<instance_id> absent;

  bool operator==(const domain_table&) const = default;
};

enum class table_error
{
  none,
  not_json,
  bad_member,
  instance_in_two_groups
};

using table_reason = reason<table_error>;

/// Name of a state as tables, logs and the mesh write it.
const char*
StateName(group_state aState);

/// Parses a table; one that has an instance in two groups is refused.
std::optional<domain_table>
ParseDomainTable(std::string_view aText, table_reason& aReason);

/// Returns the table as JSON without white space.
std::string
RenderDomainTable(const domain_table& aTable);

/// Returns the first instance that stands in two groups (or twice in one), if any.
std::optional<instance_id>
FindSharedInstance(const domain_table& aTable);

} // namespace persimmon::placement
