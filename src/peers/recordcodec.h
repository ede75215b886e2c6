#pragma once

#include "peers/member.h"
#include "peers/messagestore.h"
#include "peers/nametable.h"
#include "peers/storeposition.h"

#include <optional>

namespace persimmon::peers {

/// First record of a link; identifies the sender.
struct hello_record
{
  member self;
  /// True for a placer, which exchanges messages but is not a member.
  bool leaf = false;
};

/// Name and version of a document or table that the sender stores, or in a pull requests.
struct announce_record
{
  applied_message::object_kind kind = applied_message::object_kind::document;
  std::string name;
  revision version;

  auto operator<=>(const announce_record&) const = default;
};

/// State of the sender, sent periodically; also keeps the link alive.
struct summary_record
{
  /// message_store::Hash() of the sender.
  std::uint64_t hash = 0;
  /// member_list::Hash() of the sender.
  std::uint64_t members = 0;
  /// mesh_status::caughtUp of the sender.
  bool caughtUp = false;
  /// mesh_core::IsStarting() of the sender.
  bool starting = false;
};

/// Hash of the versions of all documents and tables that a router applies.
struct applied_hash_record
{
  router_id router;
  /// Grows with every change of the hash, also over restarts of the router.
  std::uint64_t stamp = 0;
  std::uint64_t hash = 0;
};

/// Encodes and parses the records of one link. The Parse functions return nothing for a malformed
/// record.
class record_codec
{
public:
  wire_record Encode(const hello_record& aRecord);
  wire_record Encode(const member& aRecord, wire_frame& aFrame);
  wire_record Encode(const announce_record& aRecord, record_kind aKind, wire_frame& aFrame);
  wire_record Encode(const summary_record& aRecord);
  wire_record Encode(const applied_hash_record& aRecord, wire_frame& aFrame);
  wire_record Encode(const told_position& aRecord, time_point aNow);
  /// Encodes a record whose only field is a router: prune or graft.
  wire_record Encode(const router_id& aRouter, record_kind aKind, wire_frame& aFrame);
  /// Encodes any type of message, including the body of a document or table.
  wire_record Encode(const versioned_message& aEntry, time_point aNow, wire_frame& aFrame);

  /// Adds the names of a received frame. Returns false if the peer exceeds kMaxLinkNames.
  bool AddNames(const wire_frame& aFrame) { return mReader.AddNames(aFrame); }
  [[nodiscard]] std::optional<hello_record> ParseHello(const wire_record& aRecord) const;
  [[nodiscard]] std::optional<member> ParseMember(const wire_record& aRecord) const;
  [[nodiscard]] std::optional<announce_record> ParseAnnounce(const wire_record& aRecord) const;
  [[nodiscard]] std::optional<summary_record> ParseSummary(const wire_record& aRecord) const;
  [[nodiscard]] std::optional<applied_hash_record> ParseAppliedHash(
    const wire_record& aRecord) const;
  /// Parses a position; the time that the record has travelled is not known and counts as none.
  [[nodiscard]] std::optional<told_position> ParsePosition(const wire_record& aRecord,
                                                           time_point aNow) const;
  [[nodiscard]] std::optional<router_id> ParseRouter(const wire_record& aRecord) const;
  [[nodiscard]] std::optional<versioned_message> ParseMessage(const wire_record& aRecord,
                                                              time_point aNow) const;

private:
  name_writer mWriter;
  name_reader mReader;
};

} // namespace persimmon::peers
