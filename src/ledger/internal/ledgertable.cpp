#include "ledger/ledgertable.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace persimmon::ledger {
namespace {

using nlohmann::json;

constexpr int kFormatVersion = 1;
constexpr std::size_t kFieldsWithoutResponse = 5;
constexpr std::size_t kFieldsWithResponse = 8;
constexpr int kRecordStateCount = 4;

/// Returns the length of a text encoded as JSON, or an empty result when it is not UTF-8.
std::optional<std::size_t>
EncodedLength(const std::string& aText)
{
  try {
    return json(aText).dump().size();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<std::size_t>
EncodedLength(const stored_response& aResponse)
{
  if (aResponse.body.size() > kMaxStoredBodyBytes ||
      aResponse.contentType.size() > kMaxStoredContentTypeBytes) {
    return std::nullopt;
  }
  const auto type = EncodedLength(aResponse.contentType);
  const auto body = EncodedLength(aResponse.body);
  return type && body ? std::optional(*type + *body) : std::nullopt;
}

/// Assigns an index to each writer of a table, so that a record refers to its writer by index.
class writer_index
{
public:
  std::size_t NumberOf(const writer_identity& aWriter)
  {
    const auto [entry, added] = mNumbers.try_emplace(aWriter, mNumbers.size());
    if (added) {
      mList.push_back({ aWriter.router.value, aWriter.startId });
    }
    return entry->second;
  }

  [[nodiscard]] const json& List() const { return mList; }

private:
  std::map<writer_identity, std::size_t> mNumbers;
  json mList = json::array();
};

json
ToJson(const record_id& aId, const ledger_record& aRecord, writer_index& aWriters)
{
  json value = json::array({ aId.value,
                             aRecord.digest,
                             aWriters.NumberOf(aRecord.attempt.writer),
                             aRecord.attempt.number,
                             static_cast<int>(aRecord.state) });
  if (aRecord.response) {
    value.push_back(aRecord.response->status);
    value.push_back(aRecord.response->contentType);
    value.push_back(aRecord.response->body);
  }
  return value;
}

std::vector<writer_identity>
ParseWriters(const json& aList)
{
  std::vector<writer_identity> writers;
  for (const json& entry : aList) {
    writers.push_back({ { entry.at(0).get<std::string>() }, entry.at(1).get<std::uint64_t>() });
  }
  return writers;
}

record_state
ParseState(const json& aValue)
{
  const int state = aValue.get<int>();
  if (state < 0 || state >= kRecordStateCount) {
    throw std::out_of_range(
      fmt::format("unknown record state {}, expected 0 to {}", state, kRecordStateCount - 1));
  }
  return static_cast<record_state>(state);
}

ledger_record
ParseRecord(const json& aValue, const std::vector<writer_identity>& aWriters)
{
  if (aValue.size() != kFieldsWithoutResponse && aValue.size() != kFieldsWithResponse) {
    throw std::out_of_range(fmt::format("record has {} fields, expected {} or {}",
                                        aValue.size(),
                                        kFieldsWithoutResponse,
                                        kFieldsWithResponse));
  }
  ledger_record record;
  record.digest = aValue.at(1).get<std::string>();
  record.attempt.writer = aWriters.at(aValue.at(2).get<std::size_t>());
  record.attempt.number = aValue.at(3).get<std::uint64_t>();
  record.state = ParseState(aValue.at(4));
  if (aValue.size() == kFieldsWithResponse) {
    record.response = stored_response{ aValue.at(5).get<int>(),
                                       aValue.at(6).get<std::string>(),
                                       aValue.at(7).get<std::string>() };
  }
  return record;
}

void
InsertRecord(ledger_table& aTable, record_id aId, ledger_record aRecord)
{
  if (aRecord.response) {
    aTable.responseBytes += EncodedLength(*aRecord.response).value_or(0);
  }
  const bool added = aTable.records.emplace(std::move(aId), std::move(aRecord)).second;
  if (!added) {
    throw std::out_of_range("duplicate record id");
  }
}

} // namespace

const ledger_record*
ledger_table::Find(const record_id& aRecord) const
{
  const auto found = records.find(aRecord);
  return found == records.end() ? nullptr : &found->second;
}

void
ledger_table::Close(const record_id& aRecord,
                    record_state aOutcome,
                    const std::optional<stored_response>& aResponse)
{
  ledger_record& record = records.at(aRecord);
  record.state = aOutcome;
  if (aOutcome != record_state::done || !aResponse) {
    return;
  }
  const auto length = EncodedLength(*aResponse);
  if (length && responseBytes + *length <= kMaxStoredResponseBytes) {
    record.response = aResponse;
    responseBytes += *length;
  }
}

std::optional<ledger_table>
ParseLedgerTable(std::string_view aText, table_reason& aReason)
{
  const json value = json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    aReason = { table_error::not_json, "the value is not JSON" };
    return std::nullopt;
  }
  try {
    if (value.at("format").get<int>() != kFormatVersion) {
      aReason = { table_error::unknown_format,
                  fmt::format("unsupported table format {}, expected {}",
                              value.at("format").dump(),
                              kFormatVersion) };
      return std::nullopt;
    }
    const auto writers = ParseWriters(value.at("writers"));
    ledger_table table;
    for (const json& entry : value.at("records")) {
      InsertRecord(table, { entry.at(0).get<std::string>() }, ParseRecord(entry, writers));
    }
    return table;
  } catch (const std::exception& exception) {
    aReason = { table_error::bad_member, exception.what() };
    return std::nullopt;
  }
}

std::string
RenderLedgerTable(const ledger_table& aTable)
{
  writer_index writers;
  json records = json::array();
  for (const auto& [id, record] : aTable.records) {
    records.push_back(ToJson(id, record, writers));
  }
  const json value = { { "format", kFormatVersion },
                       { "writers", writers.List() },
                       { "records", std::move(records) } };
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace persimmon::ledger
