#include "peers/internal/meshcoreimplementation.h"

#include <algorithm>

// Tracks and disseminates which versions each router applies.

namespace persimmon::peers {
namespace {

/// A router's hash is sent after this time without another applied version.
constexpr duration kAppliedSettle = 5_s;
/// Maximum time from the first unsent applied version until the hash is sent.
constexpr duration kAppliedLongest = 15_s;
/// Replaces kAppliedSettle after many versions at once, which are not sent individually.
constexpr duration kManyAppliedSettle = 1_s;
/// Maximum number of versions applied within one timer interval that are sent individually.
constexpr std::size_t kMostSingleVersions = 8;
/// Resolution of the stamps of applied hashes, in milliseconds.
constexpr std::uint64_t kHashStampStepMs = 1000;

} // namespace

void
mesh_core::implementation::CompareHash(const applied_hash_record& aRecord)
{
  if (aRecord.hash == facts.Hash()) {
    covered[aRecord.router] = facts.LastAccepted();
  }
}

void
mesh_core::implementation::UpdateOwnHash(const applied_message& aMessage)
{
  const subject_id subject = SubjectOf(aMessage.what, aMessage.name);
  applied_hash_record& own = appliedHashes[options.self];
  own.router = options.self;
  const auto known = mOwnApplied.find(subject);
  if (known != mOwnApplied.end()) {
    own.hash ^= HashOfVersion(subject, known->second);
  }
  mOwnApplied[subject] = aMessage.version.value;
  own.hash ^= HashOfVersion(subject, aMessage.version.value);
  CompareHash(own);
  if (!mAppliedChanged) {
    mAppliedFirstAt = now;
  }
  mAppliedChanged = true;
  mAppliedChangedAt = now;
  mAppliedUnsent.push_back(SubjectOf(aMessage));
}

void
mesh_core::implementation::SpreadOwnApplied()
{
  // Many versions at once, such as after a start, are disseminated only by the hash.
  if (mAppliedUnsent.size() > kMostSingleVersions) {
    mAppliedMany = true;
    mAppliedUnsent.clear();
  }
  for (const subject_id subject : mAppliedUnsent) {
    if (const mesh_fact* fact = facts.Find(subject)) {
      QueueForOthers(*fact, std::nullopt);
    }
  }
  mAppliedUnsent.clear();
}

bool
mesh_core::implementation::TakeAppliedHash(link_state& aLink, const wire_record& aRecord)
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
      aLink.appliedHashes.Remove(update->router);
      TookDuplicate(aLink, update->router);
    }
    return true;
  }
  appliedHashes[update->router] = *update;
  CompareHash(*update);
  aLink.appliedHashes.Remove(update->router);
  HeardOrigin(update->router, aLink.id);
  SpreadAppliedHash(update->router, aLink.id);
  return true;
}

void
mesh_core::implementation::SpreadAppliedHash(const router_id& aRouter,
                                             std::optional<link_id> aExcept)
{
  for (auto& [id, link] : links) {
    if (id != aExcept && link.greeted && link.prunedByPeer.count(aRouter) == 0) {
      link.appliedHashes.Add(aRouter);
    }
  }
}

void
mesh_core::implementation::SettleAppliedHash()
{
  const duration settle = mAppliedMany ? kManyAppliedSettle : kAppliedSettle;
  const bool settled =
    now - mAppliedChangedAt >= settle || now - mAppliedFirstAt >= kAppliedLongest;
  if (!mAppliedChanged || !settled) {
    return;
  }
  mAppliedChanged = false;
  mAppliedMany = false;
  applied_hash_record& own = appliedHashes[options.self];
  const std::uint64_t age = options.life + static_cast<std::uint64_t>((now - mStartedAt).ms);
  own.stamp = std::max(own.stamp + 1, age / kHashStampStepMs);
  SpreadAppliedHash(options.self, std::nullopt);
}

void
mesh_core::implementation::ExpireApplied()
{
  std::vector<subject_id> redundant;
  facts.ForEach([&](subject_id aSubject, const mesh_fact& aFact) {
    const auto* applied = std::get_if<applied_message>(&aFact.message);
    if (applied == nullptr) {
      return;
    }
    const auto cover = covered.find(applied->router);
    const mesh_fact* held = facts.Find(SubjectOf(applied->what, applied->name));
    if (held != nullptr && cover != covered.end() && held->acceptedAs <= cover->second) {
      redundant.push_back(aSubject);
    }
  });
  for (const subject_id subject : redundant) {
    facts.Erase(subject);
  }
}

} // namespace persimmon::peers
