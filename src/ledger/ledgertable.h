#pragma once

#include "base/failurereason.h"
#include "ledger/ledgerrecord.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::ledger {

/// Contents of one shard object: its records by id.
struct ledger_table
{
  std::map<record_id, ledger_record> records;
  /// Total size of the stored responses, in bytes of JSON.
  std::size_t responseBytes = 0;

  bool operator==(const ledger_table&) const = default;

  /// Returns the record, or nullptr when the table has none with this id.
  [[nodiscard]] const ledger_record* Find(const record_id& aRecord) const;
  /// Sets the state of an existing record. With done, stores the response if it is valid UTF-8,
  /// within the size limits, and fits into kMaxStoredResponseBytes.
  void Close(const record_id& aRecord,
             record_state aOutcome,
             const std::optional<stored_response>& aResponse);
};

/// Why the value of a shard object cannot be parsed.
enum class table_error
{
  none,
  not_json,
  /// Written in a format that this version does not support.
  unknown_format,
  /// A member is missing, or its type or value is invalid.
  bad_member
};

using table_reason = failure_reason<table_error>;

/// Parses the value of a shard object. On failure, returns an empty result and sets aReason.
std::optional<ledger_table>
ParseLedgerTable(std::string_view aText, table_reason& aReason);

/// Renders the table as the value of a shard object.
std::string
RenderLedgerTable(const ledger_table& aTable);

} // namespace persimmon::ledger
