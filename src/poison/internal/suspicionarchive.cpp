#include "poison/suspicionarchive.h"

#include "poison/promptpartfingerprint.h"
#include "poison/promptparttable.h"
#include "poison/suspicionlog.h"
#include "poison/suspiciontable.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <vector>

namespace persimmon::poison {
namespace {

using json = nlohmann::json;

duration
LifetimeOf(const peers::crash_message&)
{
  return kSuspectLifetime;
}

duration
LifetimeOf(const peers::quarantine_message& aMessage)
{
  return QuarantineLifetime(aMessage.count) + kQuarantineMemory;
}

template<typename Map>
bool
MergeMap(Map& aInto, const Map& aFrom)
{
  bool changed = false;
  for (const auto& [key, offered] : aFrom) {
    const auto [position, inserted] = aInto.try_emplace(key, offered);
    const bool later = offered.message.Version() > position->second.message.Version();
    if (later) {
      position->second = offered;
    }
    changed = changed || inserted || later;
  }
  return changed;
}

/// Drops the oldest entries that aSelects returns true for, above a limit.
template<typename Map, typename Select>
void
DropOldest(Map& aMap, std::size_t aLimit, const Select& aSelects)
{
  std::vector<typename Map::iterator> selected;
  for (auto current = aMap.begin(); current != aMap.end(); ++current) {
    if (aSelects(current->second.message)) {
      selected.push_back(current);
    }
  }
  std::sort(selected.begin(), selected.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->second.at < aRight->second.at;
  });
  for (std::size_t i = 0; i + aLimit < selected.size(); ++i) {
    aMap.erase(selected[i]);
  }
}

/// Drops what has expired, then the oldest above the limits: parts of prompts have one of their
/// own, so that they don't displace requests.
template<typename Map>
void
TrimMap(Map& aMap, time_point aWallTime)
{
  std::erase_if(aMap, [aWallTime](const auto& aPair) {
    return aPair.second.at + LifetimeOf(aPair.second.message) <= aWallTime;
  });
  DropOldest(aMap, kMaxLastingParts, [](const auto& aMessage) {
    return IsPromptPart(aMessage.fingerprint);
  });
  DropOldest(
    aMap, kMaxStored, [](const auto& aMessage) { return !IsPromptPart(aMessage.fingerprint); });
}

/// Returns the age of a time on the wall clock, which may have jumped.
duration
AgeOf(time_point aAt, time_point aWallTime)
{
  return std::max(aWallTime - aAt, duration{});
}

/// Returns a member of type Value, or its default when it is missing or of another type.
template<typename Value>
Value
MemberOr(const json& aObject, const char* aName, Value aDefault)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return aDefault;
  }
  if constexpr (std::is_same_v<Value, bool>) {
    return found->is_boolean() ? found->template get<bool>() : aDefault;
  } else {
    return found->is_number_integer() ? found->template get<Value>() : aDefault;
  }
}

/// Returns a member that holds a hash as hexadecimal text; 0 when it is missing or malformed. A
/// store may keep JSON numbers as floating point, which cannot hold 64 bits.
std::uint64_t
HexMember(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  const std::string text =
    found != aObject.end() && found->is_string() ? found->get<std::string>() : std::string();
  constexpr int kHexBase = 16;
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, kHexBase);
  return parsed.ec == std::errc{} && parsed.ptr == end ? value : 0;
}

} // namespace

suspicion_archive::suspicion_archive(double aRandom)
  : mDelay{ static_cast<std::int64_t>(static_cast<double>(kMaxStoreDelay.ms) * aRandom) }
{
}

bool
suspicion_archive::Merge(content& aInto, const content& aFrom)
{
  const bool crashes = MergeMap(aInto.crashes, aFrom.crashes);
  const bool quarantines = MergeMap(aInto.quarantines, aFrom.quarantines);
  return crashes || quarantines;
}

void
suspicion_archive::DropExpired(content& aContent, time_point aWallTime)
{
  TrimMap(aContent.crashes, aWallTime);
  TrimMap(aContent.quarantines, aWallTime);
}

suspicion_archive::content
suspicion_archive::MakeContent(const suspicion_changes& aEntries, time_point aWallTime)
{
  content made;
  for (const peers::crash_message& crash : aEntries.crashes) {
    made.crashes[{ crash.fingerprint, crash.crash }] = { crash, aWallTime - crash.age };
  }
  for (const peers::quarantine_message& quarantine : aEntries.quarantines) {
    made.quarantines[{ quarantine.fingerprint, 0 }] = { quarantine, aWallTime - quarantine.age };
  }
  return made;
}

std::string
suspicion_archive::Serialize(const content& aContent)
{
  json crashes = json::array();
  for (const auto& [key, crash] : aContent.crashes) {
    crashes.push_back({ { "fingerprint", FingerprintText(crash.message.fingerprint) },
                        { "crash", FingerprintText(crash.message.crash) },
                        { "weight", crash.message.weight },
                        { "isolates", crash.message.isolates },
                        { "withdrawn", crash.message.withdrawn },
                        { "at", crash.at.ms } });
  }
  json quarantines = json::array();
  for (const auto& [key, quarantine] : aContent.quarantines) {
    quarantines.push_back({ { "fingerprint", FingerprintText(quarantine.message.fingerprint) },
                            { "count", quarantine.message.count },
                            { "lifted", quarantine.message.lifted },
                            { "at", quarantine.at.ms } });
  }
  return json{ { "crashes", crashes }, { "quarantines", quarantines } }.dump();
}

suspicion_archive::content
suspicion_archive::Parse(const std::string& aText)
{
  const json parsed = json::parse(aText, nullptr, false);
  content result;
  if (!parsed.is_object()) {
    return result;
  }
  const auto forEach = [&parsed](const char* aName, const auto& aHandle) {
    const auto list = parsed.find(aName);
    for (const json& item : list != parsed.end() && list->is_array() ? *list : json::array()) {
      if (item.is_object()) {
        aHandle(item, time_point{ MemberOr<std::int64_t>(item, "at", 0) });
      }
    }
  };
  forEach("crashes", [&result](const json& aItem, time_point aAt) {
    peers::crash_message crash;
    crash.fingerprint = HexMember(aItem, "fingerprint");
    crash.crash = HexMember(aItem, "crash");
    crash.weight = std::min(MemberOr<std::uint32_t>(aItem, "weight", 0), kEarlyCrashWeight);
    crash.isolates = MemberOr(aItem, "isolates", false);
    crash.withdrawn = MemberOr(aItem, "withdrawn", false);
    result.crashes[{ crash.fingerprint, crash.crash }] = { crash, aAt };
  });
  forEach("quarantines", [&result](const json& aItem, time_point aAt) {
    peers::quarantine_message quarantine;
    quarantine.fingerprint = HexMember(aItem, "fingerprint");
    quarantine.count = MemberOr<std::uint32_t>(aItem, "count", 0);
    quarantine.lifted = MemberOr(aItem, "lifted", false);
    result.quarantines[{ quarantine.fingerprint, 0 }] = { quarantine, aAt };
  });
  return result;
}

suspicion_changes
suspicion_archive::OnRead(const std::string& aText,
                          std::optional<revision> aVersion,
                          time_point aWallTime)
{
  mRead = true;
  mVersion = aVersion;
  mStored = Parse(aText);
  suspicion_changes read;
  for (const auto& [key, crash] : mStored.crashes) {
    read.crashes.push_back(crash.message);
    read.crashes.back().age = AgeOf(crash.at, aWallTime);
  }
  for (const auto& [key, quarantine] : mStored.quarantines) {
    read.quarantines.push_back(quarantine.message);
    read.quarantines.back().age = AgeOf(quarantine.at, aWallTime);
  }
  return read;
}

std::optional<archive_write>
suspicion_archive::NextWrite(const suspicion_changes& aEntries,
                             bool aUrgent,
                             time_point aNow,
                             time_point aWallTime)
{
  mUrgent = mUrgent || aUrgent;
  if (!mRead || mWriting || (mRetryAt && aNow < *mRetryAt)) {
    return std::nullopt;
  }
  content merged = mStored;
  Merge(merged, MakeContent(aEntries, aWallTime));
  DropExpired(merged, aWallTime);
  content stored = mStored;
  if (!Merge(stored, merged)) {
    mNotBefore.reset();
    mUrgent = false;
    return std::nullopt;
  }
  mNotBefore = mNotBefore.value_or(aNow + mDelay);
  if (!mUrgent && aNow < *mNotBefore) {
    return std::nullopt;
  }
  mUrgent = false;
  mWriting = merged;
  return archive_write{ Serialize(merged), mVersion };
}

void
suspicion_archive::OnWritten(revision aVersion)
{
  if (mWriting) {
    mStored = std::move(*mWriting);
    mVersion = aVersion;
  }
  mWriting.reset();
  mNotBefore.reset();
  mRetryAt.reset();
}

void
suspicion_archive::OnWriteFailed(time_point aNow)
{
  mWriting.reset();
  mNotBefore = aNow + kStoreRetryDelay;
  mRetryAt = mNotBefore;
}

} // namespace persimmon::poison
