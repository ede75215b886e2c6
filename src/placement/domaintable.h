#pragma once

#include "base/failurereason.h"
#include "base/ids.h"
#include "document/modelspec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::placement {

enum class group_state
{
  /// Members are assigned; the group is incomplete or waits for a load slot.
  forming,
  /// Orders are sent; members load weights and join.
  loading,
  /// Every member reported the expected generation; routers may send requests.
  serving,
  /// Refuses new requests; requests in flight finish.
  draining
};

/// An instance in a group, with the incarnation in which it was assigned.
struct group_member
{
  instance_id instance;
  endpoint address;
  incarnation incarnationId;

  bool operator==(const group_member&) const = default;
};

/// Instances that together serve one replica. The first member is the head, which receives the
/// requests.
struct group
{
  group_id id;
  service_name service;
  model_spec model;
  group_state state = group_state::forming;
  generation version;
  zone_name zone;
  std::vector<group_member> members;
  /// Number of members without the weights when the group was formed or repaired; counts against
  /// the load slots.
  std::uint64_t loads = 0;

  bool operator==(const group&) const = default;
};

/// The groups of one fabric domain. It is replaced as a whole by a conditional update, so that no
/// instance can be in two groups.
struct domain_table
{
  domain_id domain;
  placer_id owner;
  fencing_token token;
  /// Identifies the write that created this version, to distinguish a lost reply from a lost write.
  write_id lastWrite;
  std::vector<group> groups;
  /// Instances of the domain that may not be assigned to groups: lost or temporarily excluded.
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

using table_reason = failure_reason<table_error>;

/// Returns the name of a state as written in tables, logs and mesh messages.
const char*
StateName(group_state aState);

/// Parses a table. Returns nothing and sets aReason when the text is invalid or an instance is in
/// two groups.
std::optional<domain_table>
ParseDomainTable(std::string_view aText, table_reason& aReason);

/// Renders the table as JSON without whitespace.
std::string
RenderDomainTable(const domain_table& aTable);

/// Returns the first instance that occurs in two groups or twice in one group, if any.
std::optional<instance_id>
FindSharedInstance(const domain_table& aTable);

} // namespace persimmon::placement
