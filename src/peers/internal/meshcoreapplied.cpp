#include "peers/internal/meshcoreimplementation.h"

#include <algorithm>

// Tracks and disseminates which versions each router applies.

namespace persimmon::peers {
namespace {

/// A router's hash is sent after this time without another applied version.
constexpr duration kAppliedSettleTime = 5_s;
/// Maximum time from the first unsent applied version until the hash is sent.
constexpr duration kMaxAppliedDelay = 15_s;
/// Replaces kAppliedSettleTime after many versions at once, which are not sent individually.
constexpr duration kManyAppliedSettleTime = 1_s;
/// Maximum number of versions applied within one timer interval that are sent individually.
constexpr std::size_t kMaxSingleVersions = 8;
/// Resolution of the stamps of applied hashes, in milliseconds.
constexpr std::uint64_t kHashStampStepMs = 1000;

} // namespace

void
mesh_core::implementation::UpdateCoverage(const applied_hash_record& aRecord)
{
  if (aRecord.hash == messages.Hash()) {
    coveredUpTo[aRecord.router] = messages.LastStoreSequence();
  }
}

void
mesh_core::implementation::UpdateOwnAppliedHash(const applied_message& aMessage)
{
  const subject_id subject = SubjectOf(aMessage.kind, aMessage.name);
  applied_hash_record& own = appliedHashes[options.self];
  own.router = options.self;
  const auto known = mOwnAppliedVersions.find(subject);
  if (known != mOwnAppliedVersions.end()) {
    own.hash ^= VersionHash(subject, known->second);
  }
  mOwnAppliedVersions[subject] = aMessage.version.value;
  own.hash ^= VersionHash(subject, aMessage.version.value);
  UpdateCoverage(own);
  if (!mOwnHashChanged) {
    mOwnHashFirstChangedAt = now;
  }
  mOwnHashChanged = true;
  mOwnHashChangedAt = now;
  mUnsentApplied.push_back(SubjectOf(aMessage));
}

void
mesh_core::implementation::QueueOwnApplied()
{
  // Many versions at once, such as after a start, are disseminated only by the hash.
  if (mUnsentApplied.size() > kMaxSingleVersions) {
    mManyApplied = true;
    mUnsentApplied.clear();
  }
  for (const subject_id subject : mUnsentApplied) {
    if (const versioned_message* entry = messages.Find(subject)) {
      QueueMessageForOthers(*entry, std::nullopt);
    }
  }
  mUnsentApplied.clear();
}

bool
mesh_core::implementation::HandleAppliedHash(link_state& aLink, const wire_record& aRecord)
{
  const auto update = aLink.codec.ParseAppliedHash(aRecord);
  if (!update) {
    return false;
  }
  const auto known = appliedHashes.find(update->router);
  if (update->router == options.self) {
    return true;
  }
  if (known != appliedHashes.end() && known->second.stamp >= update->stamp) {
    if (known->second.stamp == update->stamp) {
      aLink.pendingAppliedHashes.Remove(update->router);
      PruneDuplicatePath(aLink, update->router);
    }
    return true;
  }
  appliedHashes[update->router] = *update;
  UpdateCoverage(*update);
  aLink.pendingAppliedHashes.Remove(update->router);
  RecordOriginLink(update->router, aLink.id);
  QueueAppliedHash(update->router, aLink.id);
  return true;
}

void
mesh_core::implementation::QueueAppliedHash(const router_id& aRouter,
                                            std::optional<link_id> aExcept)
{
  for (auto& [id, link] : links) {
    if (id != aExcept && link.helloReceived && link.prunedByPeer.count(aRouter) == 0) {
      link.pendingAppliedHashes.Add(aRouter);
    }
  }
}

void
mesh_core::implementation::PublishSettledHash()
{
  const duration settle = mManyApplied ? kManyAppliedSettleTime : kAppliedSettleTime;
  const bool settled =
    now - mOwnHashChangedAt >= settle || now - mOwnHashFirstChangedAt >= kMaxAppliedDelay;
  if (!mOwnHashChanged || !settled) {
    return;
  }
  mOwnHashChanged = false;
  mManyApplied = false;
  applied_hash_record& own = appliedHashes[options.self];
  const std::uint64_t age = options.startedAtMs + static_cast<std::uint64_t>((now - mStartedAt).ms);
  own.stamp = std::max(own.stamp + 1, age / kHashStampStepMs);
  QueueAppliedHash(options.self, std::nullopt);
}

void
mesh_core::implementation::EraseCoveredApplied()
{
  std::vector<subject_id> redundant;
  messages.ForEach([&](subject_id aSubject, const versioned_message& aEntry) {
    const auto* applied = std::get_if<applied_message>(&aEntry.message);
    if (applied == nullptr) {
      return;
    }
    const auto coverage = coveredUpTo.find(applied->router);
    const versioned_message* held = messages.Find(SubjectOf(applied->kind, applied->name));
    if (held != nullptr && coverage != coveredUpTo.end() &&
        held->storeSequence <= coverage->second) {
      redundant.push_back(aSubject);
    }
  });
  for (const subject_id subject : redundant) {
    messages.Erase(subject);
  }
}

} // namespace persimmon::peers
