#include "peers/internal/meshcoreimplementation.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

/// Bytes of a frame beside its records: CBOR heads, layout number and the transport's header.
constexpr std::size_t kFrameOverhead = 12;
/// Bytes that stay free below kMaxFrameBytes.
constexpr std::size_t kFrameReserve = 1024;

/// Returns an upper bound for the encoded size of the names from index aFirst on.
std::size_t
SizeOfNames(const wire_frame& aFrame, std::size_t aFirst)
{
  std::size_t size = 0;
  for (std::size_t i = aFirst; i < aFrame.names.size(); ++i) {
    size += aFrame.names[i].size() + 2;
  }
  return size;
}

announce_record
AnnounceOf(const mesh_message& aMessage)
{
  if (const auto* document = std::get_if<document_message>(&aMessage)) {
    return { applied_message::subject::document, document->service.value, document->version };
  }
  const auto& table = std::get<table_message>(aMessage);
  return { applied_message::subject::table, table.domain.value, table.version };
}

} // namespace

void
mesh_core::implementation::Append(link_state& aLink, wire_record aRecord)
{
  const std::size_t size = EncodedSize(aRecord);
  const std::size_t names = aLink.frame.names.size() * kMaxNameBytes;
  const std::size_t whole = aLink.frameBytes + size + names + kFrameReserve;
  const bool full = whole > kMaxFrameBytes || aLink.frame.records.size() >= kMaxFrameRecords;
  if (full && !aLink.frame.records.empty()) {
    // The names that this record introduced are sent with the preceding frame.
    SendFrame(aLink);
  }
  const bool body = aRecord.kind == static_cast<std::uint64_t>(record_kind::body);
  mBudget -= body ? 0 : static_cast<std::int64_t>(size);
  aLink.frame.records.push_back(std::move(aRecord));
  aLink.frameBytes += size;
}

void
mesh_core::implementation::SendFrame(link_state& aLink)
{
  std::string bytes = EncodeFrame(aLink.frame);
  ++counters.framesSent;
  counters.bytesSent += bytes.size();
  actions.push_back(send_frame{ aLink.id, std::move(bytes) });
  aLink.frame = {};
  aLink.frameBytes = 0;
  aLink.sendNow = false;
}

void
mesh_core::implementation::SendSummaries()
{
  for (auto& [id, link] : links) {
    if (now - link.lastSummary >= options.summaryInterval) {
      link.lastSummary = now;
      Append(link, link.codec.Render(summary_record{ facts.Hash(), members.Hash(), caughtUp }));
    }
  }
}

void
mesh_core::implementation::Flush(bool aBulk)
{
  mBudget += options.bytesPerSecond * (now - mBudgetAt).ms / 1000;
  mBudget = std::min(mBudget, options.burstBytes);
  mBudgetAt = now;
  SpreadOwnApplied();
  SettleAppliedHash();
  const auto bulkStart = static_cast<std::size_t>(message_worth::presence);
  const std::size_t end = aBulk ? kWorthCount : bulkStart;
  for (std::size_t worth = 0; worth < end; ++worth) {
    FlushWorth(worth);
  }
  for (auto& [id, link] : links) {
    if (!link.frame.records.empty()) {
      mBudget -= static_cast<std::int64_t>(kFrameOverhead);
      SendFrame(link);
    }
  }
}

void
mesh_core::implementation::FlushWorth(std::size_t aWorth)
{
  bool sent = true;
  while (sent && mBudget > 0) {
    sent = false;
    for (auto& [id, link] : links) {
      if (mBudget > 0 && SendOne(link, aWorth)) {
        sent = true;
      }
    }
  }
}

bool
mesh_core::implementation::SendOne(link_state& aLink, std::size_t aWorth)
{
  const std::size_t names = aLink.frame.names.size();
  const std::size_t frames = counters.framesSent;
  const std::int64_t before = mBudget;
  const bool sent = SendWaiting(aLink, aWorth);
  const std::size_t first = counters.framesSent == frames ? names : 0;
  mBudget -= static_cast<std::int64_t>(SizeOfNames(aLink.frame, first));
  counters.bytesByWorth[aWorth] += static_cast<std::uint64_t>(before - mBudget);
  return sent;
}

bool
mesh_core::implementation::SendWaiting(link_state& aLink, std::size_t aWorth)
{
  if (const auto subject = aLink.facts[aWorth].Take()) {
    const mesh_fact* fact = facts.Find(*subject);
    if (fact != nullptr && aLink.prunedByPeer.count(OriginOf(fact->message)) == 0) {
      Append(aLink, RenderFact(aLink, *fact));
    }
    return true;
  }
  if (aWorth == static_cast<std::size_t>(message_worth::member)) {
    return SendMember(aLink);
  }
  return aWorth == static_cast<std::size_t>(message_worth::applied) && SendAppliedHash(aLink);
}

bool
mesh_core::implementation::SendMember(link_state& aLink)
{
  if (const auto router = aLink.members.Take()) {
    if (const member* entry = members.Find(*router)) {
      Append(aLink, aLink.codec.Render(*entry, aLink.frame));
    }
    return true;
  }
  return false;
}

bool
mesh_core::implementation::SendAppliedHash(link_state& aLink)
{
  if (const auto router = aLink.appliedHashes.Take()) {
    const auto hash = appliedHashes.find(*router);
    if (hash != appliedHashes.end()) {
      Append(aLink, aLink.codec.Render(hash->second, aLink.frame));
    }
    return true;
  }
  return false;
}

wire_record
mesh_core::implementation::RenderFact(link_state& aLink, const mesh_fact& aFact)
{
  if (IsVersioned(aFact.message)) {
    return aLink.codec.Render(AnnounceOf(aFact.message), record_kind::announce, aLink.frame);
  }
  return aLink.codec.Render(aFact, now, aLink.frame);
}

} // namespace persimmon::peers
