#include "peers/messagestore.h"

#include "base/hash.h"
#include "base/random.h"
#include "peers/wireframe.h"

#include <algorithm>
#include <fmt/format.h>
#include <initializer_list>
#include <string_view>

namespace persimmon::peers {
namespace {

constexpr duration kPresenceRetention = 10_s;
constexpr duration kCustomerLoadRetention = 60_s;
constexpr duration kModelLoadRetention = 10_s;
constexpr duration kLeavingRetention = 3600_s;
/// As long as a crash counts against a request.
constexpr duration kCrashRetention = 300_s;
/// As long as the longest quarantine.
constexpr duration kQuarantineRetention = 86400_s;
/// As long as routers remember a limit that nobody states any more.
constexpr duration kRateLimitRetention = 600_s;
/// Bytes of a frame that stay free for the names and other fields of a record with a text.
constexpr std::size_t kTextReserve = 2048;
constexpr std::size_t kMaxTextBytes = kMaxFrameBytes - kTextReserve;
constexpr std::uint64_t kHalfStampRange = (kStampMask + 1) / 2;

template<typename... Cases>
struct overloaded : Cases...
{
  using Cases::operator()...;
};
template<typename... Cases>
overloaded(Cases...) -> overloaded<Cases...>;

bool
HasStamp(const mesh_message& aMessage)
{
  return std::holds_alternative<presence_message>(aMessage) ||
         std::holds_alternative<customer_load_message>(aMessage) ||
         std::holds_alternative<model_load_message>(aMessage);
}

/// Returns how long a message is stored after its observation; zero for messages that never expire.
duration
RetentionOf(const mesh_message& aMessage)
{
  return std::visit(overloaded{
                      [](const presence_message&) { return kPresenceRetention; },
                      [](const customer_load_message&) { return kCustomerLoadRetention; },
                      [](const model_load_message&) { return kModelLoadRetention; },
                      [](const crash_message&) { return kCrashRetention; },
                      [](const quarantine_message&) { return kQuarantineRetention; },
                      [](const leaving_message&) { return kLeavingRetention; },
                      [](const rate_limit_message&) { return kRateLimitRetention; },
                      [](const auto&) { return duration{}; },
                    },
                    aMessage);
}

store_result
Compare(const versioned_message& aEntry, const versioned_message& aKnown)
{
  if (aEntry.version == aKnown.version) {
    return store_result::same;
  }
  if (HasStamp(aEntry.message)) {
    const std::uint64_t ahead = (aEntry.version - aKnown.version) & kStampMask;
    return ahead < kHalfStampRange ? store_result::newer : store_result::older;
  }
  return aEntry.version > aKnown.version ? store_result::newer : store_result::older;
}

/// Returns whether all texts are names that a peer takes.
bool
AreNames(std::initializer_list<std::string_view> aNames)
{
  return std::all_of(aNames.begin(), aNames.end(), [](std::string_view aName) {
    return !aName.empty() && aName.size() <= kMaxNameBytes;
  });
}

} // namespace

bool
IsSendable(const mesh_message& aMessage)
{
  return std::visit(
    overloaded{
      [](const document_message& aValue) {
        return AreNames({ aValue.service.value }) && aValue.text.size() <= kMaxTextBytes;
      },
      [](const table_message& aValue) {
        return AreNames({ aValue.domain.value }) && aValue.text.size() <= kMaxTextBytes;
      },
      [](const presence_message& aValue) {
        return AreNames({ aValue.group.value, aValue.observer.value });
      },
      [](const leaving_message& aValue) { return AreNames({ aValue.instance.value }); },
      [](const crash_message&) { return true; },
      [](const quarantine_message&) { return true; },
      [](const rate_limit_message& aValue) { return AreNames({ aValue.upstream.value }); },
      [](const customer_load_message& aValue) {
        return AreNames({ aValue.router.value, aValue.service.value, aValue.customer.value });
      },
      [](const model_load_message& aValue) {
        return AreNames({ aValue.observer.value, aValue.service.value, aValue.model });
      },
      [](const applied_message& aValue) {
        return AreNames({ aValue.router.value, aValue.name });
      },
    },
    aMessage);
}

subject_id
SubjectOf(const mesh_message& aMessage)
{
  const std::string key = std::visit(
    overloaded{
      [](const document_message& aValue) { return "d\n" + aValue.service.value; },
      [](const table_message& aValue) { return "t\n" + aValue.domain.value; },
      [](const presence_message& aValue) {
        return fmt::format("p\n{}\n{}", aValue.group.value, aValue.observer.value);
      },
      [](const leaving_message& aValue) { return "l\n" + aValue.instance.value; },
      [](const crash_message& aValue) {
        return fmt::format("c\n{}\n{}", aValue.fingerprint, aValue.crash);
      },
      [](const quarantine_message& aValue) { return fmt::format("q\n{}", aValue.fingerprint); },
      [](const rate_limit_message& aValue) {
        return fmt::format("r\n{}\n{}", aValue.upstream.value, aValue.incarnationId.value);
      },
      [](const customer_load_message& aValue) {
        return fmt::format(
          "h\n{}\n{}\n{}", aValue.router.value, aValue.service.value, aValue.customer.value);
      },
      [](const model_load_message& aValue) {
        return fmt::format(
          "m\n{}\n{}\n{}", aValue.observer.value, aValue.service.value, aValue.model);
      },
      [](const applied_message& aValue) {
        return fmt::format(
          "a\n{}\n{}\n{}", aValue.router.value, static_cast<int>(aValue.kind), aValue.name);
      },
    },
    aMessage);
  return { HashText(key) };
}

subject_id
SubjectOf(applied_message::object_kind aKind, const std::string& aName)
{
  if (aKind == applied_message::object_kind::document) {
    return SubjectOf(document_message{ { aName }, {}, {} });
  }
  return SubjectOf(table_message{ { aName }, {}, {} });
}

message_priority
PriorityOf(const mesh_message& aMessage)
{
  return std::visit(overloaded{
                      [](const document_message& aValue) {
                        return aValue.isUrgent ? message_priority::urgent_version
                                               : message_priority::version;
                      },
                      [](const table_message&) { return message_priority::version; },
                      [](const presence_message& aValue) {
                        return aValue.complete && !aValue.isRecovery ? message_priority::presence
                                                                     : message_priority::leaving;
                      },
                      [](const leaving_message&) { return message_priority::leaving; },
                      [](const crash_message&) { return message_priority::suspect_request; },
                      [](const quarantine_message&) { return message_priority::suspect_request; },
                      [](const rate_limit_message&) { return message_priority::leaving; },
                      [](const customer_load_message&) { return message_priority::customer_load; },
                      [](const model_load_message&) { return message_priority::leaving; },
                      [](const applied_message&) { return message_priority::applied; },
                    },
                    aMessage);
}

bool
IsPlatformObject(const mesh_message& aMessage)
{
  return std::holds_alternative<document_message>(aMessage) ||
         std::holds_alternative<table_message>(aMessage);
}

bool
IsInitialState(const mesh_message& aMessage)
{
  return std::holds_alternative<leaving_message>(aMessage) ||
         std::holds_alternative<crash_message>(aMessage) ||
         std::holds_alternative<quarantine_message>(aMessage) ||
         std::holds_alternative<rate_limit_message>(aMessage);
}

std::uint64_t
VersionOf(const mesh_message& aMessage)
{
  return std::visit(overloaded{
                      [](const document_message& aValue) { return aValue.version.value; },
                      [](const table_message& aValue) { return aValue.version.value; },
                      [](const leaving_message& aValue) { return aValue.incarnationId.value; },
                      [](const crash_message& aValue) { return aValue.Version(); },
                      [](const quarantine_message& aValue) { return aValue.Version(); },
                      [](const rate_limit_message& aValue) { return aValue.sequence; },
                      [](const applied_message& aValue) { return aValue.version.value; },
                      [](const auto&) -> std::uint64_t { return 0; },
                    },
                    aMessage);
}

router_id
OriginOf(const mesh_message& aMessage)
{
  return std::visit(overloaded{
                      [](const presence_message& aValue) { return aValue.observer; },
                      [](const customer_load_message& aValue) { return aValue.router; },
                      [](const model_load_message& aValue) { return aValue.observer; },
                      [](const applied_message& aValue) { return aValue.router; },
                      [](const auto&) { return router_id{}; },
                    },
                    aMessage);
}

duration
AgeOf(const mesh_message& aMessage)
{
  return std::visit(overloaded{
                      [](const presence_message& aValue) { return aValue.age; },
                      [](const crash_message& aValue) { return aValue.age; },
                      [](const quarantine_message& aValue) { return aValue.age; },
                      [](const rate_limit_message& aValue) { return aValue.age; },
                      [](const customer_load_message& aValue) { return aValue.age; },
                      [](const model_load_message& aValue) { return aValue.age; },
                      [](const auto&) { return duration{}; },
                    },
                    aMessage);
}

std::uint64_t
VersionHash(subject_id aSubject, std::uint64_t aVersion)
{
  random_source mix(aSubject.value ^ (aVersion * 0x9e3779b97f4a7c15ULL));
  return mix.Next();
}

store_result
message_store::StoreIfNewer(const versioned_message& aEntry, time_point aNow)
{
  const subject_id subject = SubjectOf(aEntry.message);
  const auto found = mMessages.find(subject);
  if (found == mMessages.end()) {
    mMessages.emplace(subject, aEntry).first->second.storeSequence = ++mLastStoreSequence;
  } else {
    const duration retention = RetentionOf(aEntry.message);
    const bool expired = retention > duration{} && aNow - found->second.observedAt > retention;
    const store_result result = expired ? store_result::newer : Compare(aEntry, found->second);
    if (result != store_result::newer) {
      return result;
    }
    if (IsPlatformObject(found->second.message)) {
      mHash ^= VersionHash(subject, found->second.version);
    }
    found->second = aEntry;
    found->second.storeSequence = ++mLastStoreSequence;
  }
  if (IsPlatformObject(aEntry.message)) {
    mHash ^= VersionHash(subject, aEntry.version);
  }
  return store_result::newer;
}

const versioned_message*
message_store::Find(subject_id aSubject) const
{
  const auto found = mMessages.find(aSubject);
  return found == mMessages.end() ? nullptr : &found->second;
}

void
message_store::Erase(subject_id aSubject)
{
  const auto found = mMessages.find(aSubject);
  if (found == mMessages.end()) {
    return;
  }
  if (IsPlatformObject(found->second.message)) {
    mHash ^= VersionHash(aSubject, found->second.version);
  }
  mMessages.erase(found);
}

void
message_store::Expire(time_point aNow)
{
  std::vector<subject_id> old;
  for (const auto& [subject, entry] : mMessages) {
    const duration retention = RetentionOf(entry.message);
    if (retention > duration{} && aNow - entry.observedAt > retention) {
      old.push_back(subject);
    }
  }
  for (const subject_id subject : old) {
    Erase(subject);
  }
}

void
message_store::ForEach(
  const std::function<void(subject_id, const versioned_message&)>& aVisit) const
{
  for (const auto& [subject, entry] : mMessages) {
    aVisit(subject, entry);
  }
}

} // namespace persimmon::peers
