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
    return { applied_message::object_kind::document, document->service.value, document->version };
  }
  const auto& table = std::get<table_message>(aMessage);
  return { applied_message::object_kind::table, table.domain.value, table.version };
}

} // namespace

void
mesh_core::implementation::Append(link_state& aLink, wire_record aRecord)
{
  const std::size_t size = EncodedSize(aRecord);
  const std::size_t names = aLink.frame.names.size() * kMaxNameBytes;
  const std::size_t total = aLink.frameBytes + size + names + kFrameReserve;
  const bool full = total > kMaxFrameBytes || aLink.frame.records.size() >= kMaxFrameRecords;
  if (full && !aLink.frame.records.empty()) {
    // The names that this record introduced are sent with the preceding frame.
    SendFrame(aLink);
  }
  const bool isBody = aRecord.kind == static_cast<std::uint64_t>(record_kind::body);
  mBudget -= isBody ? 0 : static_cast<std::int64_t>(size);
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
  aLink.sendImmediately = false;
}

void
mesh_core::implementation::SendSummaries()
{
  for (auto& [id, link] : links) {
    // A peer that is starting takes any summary but the first as the end of the state, which is
    // sent to it once its hello has arrived.
    if (link.helloReceived && now - link.lastSummaryAt >= options.summaryInterval) {
      link.lastSummaryAt = now;
      Append(
        link,
        link.codec.Encode(summary_record{ messages.Hash(), members.Hash(), caughtUp, starting }));
    }
  }
}

void
mesh_core::implementation::Flush(bool aBulk)
{
  mBudget += options.bytesPerSecond * (now - mBudgetUpdatedAt).ms / 1000;
  mBudget = std::clamp(mBudget, -options.maxDebtBytes, options.burstBytes);
  mBudgetUpdatedAt = now;
  QueueOwnApplied();
  PublishSettledHash();
  const auto bulkStart = static_cast<std::size_t>(message_priority::presence);
  const std::size_t end = aBulk ? kPriorityCount : bulkStart;
  for (std::size_t priority = 0; priority < end; ++priority) {
    FlushPriority(priority);
  }
  for (auto& [id, link] : links) {
    if (!link.frame.records.empty()) {
      mBudget -= static_cast<std::int64_t>(kFrameOverhead);
      SendFrame(link);
    }
  }
}

void
mesh_core::implementation::FlushPriority(std::size_t aPriority)
{
  bool sent = true;
  while (sent && mBudget > 0) {
    sent = false;
    for (auto& [id, link] : links) {
      if (mBudget > 0 && AppendNextAndCharge(link, aPriority)) {
        sent = true;
      }
    }
  }
}

void
mesh_core::implementation::SendUrgent()
{
  constexpr auto kUrgent = static_cast<std::size_t>(message_priority::urgent_version);
  for (auto& [id, link] : links) {
    // What is late breaks a promise, so that debt is accepted, but not without end.
    while (!link.PendingOf(message_priority::urgent_version).Empty() &&
           mBudget > -options.maxDebtBytes && AppendNextAndCharge(link, kUrgent)) {
      link.sendImmediately = true;
    }
  }
}

bool
mesh_core::implementation::AppendNextAndCharge(link_state& aLink, std::size_t aPriority)
{
  const std::size_t names = aLink.frame.names.size();
  const std::size_t frames = counters.framesSent;
  const std::int64_t before = mBudget;
  const bool sent = AppendNextPending(aLink, aPriority);
  const std::size_t first = counters.framesSent == frames ? names : 0;
  mBudget -= static_cast<std::int64_t>(SizeOfNames(aLink.frame, first));
  counters.bytesByPriority[aPriority] += static_cast<std::uint64_t>(before - mBudget);
  return sent;
}

bool
mesh_core::implementation::AppendNextPending(link_state& aLink, std::size_t aPriority)
{
  if (aPriority <= static_cast<std::size_t>(message_priority::version) && AwaitsPosition(aLink)) {
    return false;
  }
  if (const auto subject = aLink.pendingMessages[aPriority].Pop()) {
    const versioned_message* entry = messages.Find(*subject);
    const bool isHeld = entry != nullptr && IsHeldByPeer(aLink, *entry);
    if (entry != nullptr && !isHeld && aLink.prunedByPeer.count(OriginOf(entry->message)) == 0) {
      Append(aLink, EncodeEntry(aLink, *entry));
    }
    return true;
  }
  if (aPriority == static_cast<std::size_t>(message_priority::member)) {
    return AppendNextMember(aLink);
  }
  return aPriority == static_cast<std::size_t>(message_priority::applied) &&
         AppendNextAppliedHash(aLink);
}

bool
mesh_core::implementation::AppendNextMember(link_state& aLink)
{
  if (const auto router = aLink.pendingMembers.Pop()) {
    if (const member* entry = members.Find(*router)) {
      Append(aLink, aLink.codec.Encode(*entry, aLink.frame));
    }
    return true;
  }
  return false;
}

bool
mesh_core::implementation::AppendNextAppliedHash(link_state& aLink)
{
  if (const auto router = aLink.pendingAppliedHashes.Pop()) {
    const auto hash = appliedHashes.find(*router);
    if (hash != appliedHashes.end()) {
      Append(aLink, aLink.codec.Encode(hash->second, aLink.frame));
    }
    return true;
  }
  return false;
}

wire_record
mesh_core::implementation::EncodeEntry(link_state& aLink, const versioned_message& aEntry)
{
  if (IsPlatformObject(aEntry.message)) {
    return aLink.codec.Encode(AnnounceOf(aEntry.message), record_kind::announce, aLink.frame);
  }
  return aLink.codec.Encode(aEntry, now, aLink.frame);
}

} // namespace persimmon::peers
