#pragma once

#include "peers/factstore.h"
#include "peers/member.h"
#include "peers/nametable.h"

#include <optional>

namespace persimmon::peers {

/// First record of a link: who speaks.
struct hello_record
{
  member self;
  /// True for a placer: it sends and receives messages but is no member.
  bool leaf = false;
};

/// Name and version of a document or table that the sender holds.
struct announce_record
{
  applied_message::subject what = applied_message::subject::document;
  std::string name;
  revision version;

  auto operator<=>(const announce_record&) const = default;
};

/// State of the sender, sent at regular times; it keeps the link alive.
struct summary_record
{
  /// fact_store::Hash() of the sender.
  std::uint64_t hash = 0;
  /// member_list::Hash() of the sender.
  std::uint64_t members = 0;
  /// True when the sender's documents came from the platform or from one that had them so.
  bool listed = false;
};

/// All documents and tables that a router applies, as one hash.
struct applied_hash_record
{
  router_id router;
  std::uint64_t stamp = 0;
  std::uint64_t hash = 0;
};

/// Writes and reads the records of one link.
class record_codec
{
public:
  wire_record Render(const hello_record& aRecord);
  wire_record Render(const member& aRecord, wire_frame& aFrame);
  wire_record Render(const announce_record& aRecord, record_kind aKind, wire_frame& aFrame);
  wire_record Render(const summary_record& aRecord);
  wire_record Render(const applied_hash_record& aRecord, wire_frame& aFrame);
  /// For records that only name a router: prune and graft.
  wire_record Render(const router_id& aRouter, record_kind aKind, wire_frame& aFrame);
  /// For every kind of message; the body of a document or table included.
  wire_record Render(const mesh_fact& aFact, time_point aNow, wire_frame& aFrame);

  bool Introduce(const wire_frame& aFrame) { return mReader.Introduce(aFrame); }
  [[nodiscard]] std::optional<hello_record> ParseHello(const wire_record& aRecord) const;
  [[nodiscard]] std::optional<member> ParseMember(const wire_record& aRecord) const;
  [[nodiscard]] std::optional<announce_record> ParseAnnounce(const wire_record& aRecord) const;
  [[nodiscard]] std::optional<summary_record> ParseSummary(const wire_record& aRecord) const;
  [[nodiscard]] std::optional<applied_hash_record> ParseAppliedHash(
    const wire_record& aRecord) const;
  [[nodiscard]] std::optional<router_id> ParseRouter(const wire_record& aRecord) const;
  [[nodiscard]] std::optional<mesh_fact> ParseFact(const wire_record& aRecord,
                                                   time_point aNow) const;

private:
  name_writer mWriter;
  name_reader mReader;
};

} // namespace persimmon::peers
