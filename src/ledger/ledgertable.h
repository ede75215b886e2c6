#pragma once

#include "base/failurereason.h"
#include "ledger/ledgerrecord.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::ledger {

/// The records of one shard object.
struct ledger_table
{
  std::map<record_id, ledger_record> records;
  /// Bytes of the answers kept.
  std::size_t responseBytes = 0;

  bool operator==(const ledger_table&) const = default;

  /// Returns a record, or nullptr.
  [[nodiscard]] const ledger_record* Find(const record_id& aRecord) const;
  /// Closes a record and keeps the answer when it is small enough and the table has room for it.
  void Close(const record_id& aRecord,
             record_state aOutcome,
             const std::optional<stored_response>& aResponse);
};

enum class table_error
{
  none,
  not_json,
  /// Written in a format that this version does not know.
  unknown_format,
  bad_member
};

using table_reason = failure_reason<table_error>;

/// Parses the value of a shard object.
std::optional<ledger_table>
ParseLedgerTable(std::string_view aText, table_reason& aReason);

/// Returns the value of a shard object.
std::string
RenderLedgerTable(const ledger_table& aTable);

} // namespace persimmon::ledger
