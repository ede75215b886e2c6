#include "peers/factstore.h"

#include "base/hash.h"
#include "base/random.h"

#include <fmt/format.h>

namespace persimmon::peers {
namespace {

constexpr duration kPresenceRetention = 10_s;
constexpr duration kShareRetention = 60_s;
constexpr duration kMarkRetention = 3600_s;
constexpr std::uint64_t kHalfStamps = (kStampMask + 1) / 2;

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
         std::holds_alternative<share_message>(aMessage);
}

/// Returns how long a message is stored after its observation; zero for messages that never expire.
duration
RetentionOf(const mesh_message& aMessage)
{
  return std::visit(overloaded{
                      [](const presence_message&) { return kPresenceRetention; },
                      [](const share_message&) { return kShareRetention; },
                      [](const suspect_message&) { return kMarkRetention; },
                      [](const leaving_message&) { return kMarkRetention; },
                      [](const auto&) { return duration{}; },
                    },
                    aMessage);
}

offer_result
Compare(const mesh_fact& aFact, const mesh_fact& aKnown)
{
  if (aFact.version == aKnown.version) {
    return offer_result::same;
  }
  if (HasStamp(aFact.message)) {
    const std::uint64_t ahead = (aFact.version - aKnown.version) & kStampMask;
    return ahead < kHalfStamps ? offer_result::newer : offer_result::older;
  }
  return aFact.version > aKnown.version ? offer_result::newer : offer_result::older;
}

} // namespace

subject_id
SubjectOf(const mesh_message& aMessage)
{
  const std::string key = std::visit(
    overloaded{
      [](const document_message& aIt) { return "d\n" + aIt.service.value; },
      [](const table_message& aIt) { return "t\n" + aIt.domain.value; },
      [](const presence_message& aIt) {
        return fmt::format("p\n{}\n{}", aIt.group.value, aIt.observer.value);
      },
      [](const leaving_message& aIt) { return "l\n" + aIt.instance.value; },
      [](const suspect_message& aIt) { return fmt::format("s\n{}", aIt.fingerprint); },
      [](const share_message& aIt) {
        return fmt::format(
          "h\n{}\n{}\n{}", aIt.router.value, aIt.service.value, aIt.customer.value);
      },
      [](const applied_message& aIt) {
        return fmt::format("a\n{}\n{}\n{}", aIt.router.value, static_cast<int>(aIt.what), aIt.name);
      },
    },
    aMessage);
  return { HashText(key) };
}

subject_id
SubjectOf(applied_message::subject aWhat, const std::string& aName)
{
  if (aWhat == applied_message::subject::document) {
    return SubjectOf(document_message{ { aName }, {}, {} });
  }
  return SubjectOf(table_message{ { aName }, {}, {} });
}

message_worth
WorthOf(const mesh_message& aMessage)
{
  return std::visit(overloaded{
                      [](const document_message&) { return message_worth::version; },
                      [](const table_message&) { return message_worth::version; },
                      [](const presence_message& aIt) {
                        return aIt.whole ? message_worth::presence : message_worth::leaving;
                      },
                      [](const leaving_message&) { return message_worth::leaving; },
                      [](const suspect_message&) { return message_worth::suspect; },
                      [](const share_message&) { return message_worth::share; },
                      [](const applied_message&) { return message_worth::applied; },
                    },
                    aMessage);
}

bool
IsVersioned(const mesh_message& aMessage)
{
  return std::holds_alternative<document_message>(aMessage) ||
         std::holds_alternative<table_message>(aMessage);
}

std::uint64_t
VersionOf(const mesh_message& aMessage)
{
  return std::visit(overloaded{
                      [](const document_message& aIt) { return aIt.version.value; },
                      [](const table_message& aIt) { return aIt.version.value; },
                      [](const leaving_message& aIt) { return aIt.life.value; },
                      [](const suspect_message& aIt) -> std::uint64_t {
                        return std::uint64_t{ aIt.deaths } * 2 + (aIt.quarantined ? 1 : 0);
                      },
                      [](const applied_message& aIt) { return aIt.version.value; },
                      [](const auto&) -> std::uint64_t { return 0; },
                    },
                    aMessage);
}

router_id
OriginOf(const mesh_message& aMessage)
{
  return std::visit(overloaded{
                      [](const presence_message& aIt) { return aIt.observer; },
                      [](const share_message& aIt) { return aIt.router; },
                      [](const applied_message& aIt) { return aIt.router; },
                      [](const auto&) { return router_id{}; },
                    },
                    aMessage);
}

duration
AgeOf(const mesh_message& aMessage)
{
  return std::visit(overloaded{
                      [](const presence_message& aIt) { return aIt.age; },
                      [](const suspect_message& aIt) { return aIt.age; },
                      [](const share_message& aIt) { return aIt.age; },
                      [](const auto&) { return duration{}; },
                    },
                    aMessage);
}

std::uint64_t
HashOfVersion(subject_id aSubject, std::uint64_t aVersion)
{
  random_source mix(aSubject.value ^ (aVersion * 0x9e3779b97f4a7c15ULL));
  return mix.Next();
}

offer_result
fact_store::Offer(const mesh_fact& aFact, time_point aNow)
{
  const subject_id subject = SubjectOf(aFact.message);
  const auto found = mFacts.find(subject);
  if (found == mFacts.end()) {
    mFacts.emplace(subject, aFact).first->second.acceptedAs = ++mAccepted;
  } else {
    const duration retention = RetentionOf(aFact.message);
    const bool expired = retention > duration{} && aNow - found->second.observedAt > retention;
    const offer_result result = expired ? offer_result::newer : Compare(aFact, found->second);
    if (result != offer_result::newer) {
      return result;
    }
    if (IsVersioned(found->second.message)) {
      mHash ^= HashOfVersion(subject, found->second.version);
    }
    found->second = aFact;
    found->second.acceptedAs = ++mAccepted;
  }
  if (IsVersioned(aFact.message)) {
    mHash ^= HashOfVersion(subject, aFact.version);
  }
  return offer_result::newer;
}

const mesh_fact*
fact_store::Find(subject_id aSubject) const
{
  const auto found = mFacts.find(aSubject);
  return found == mFacts.end() ? nullptr : &found->second;
}

void
fact_store::Erase(subject_id aSubject)
{
  const auto found = mFacts.find(aSubject);
  if (found == mFacts.end()) {
    return;
  }
  if (IsVersioned(found->second.message)) {
    mHash ^= HashOfVersion(aSubject, found->second.version);
  }
  mFacts.erase(found);
}

void
fact_store::Expire(time_point aNow)
{
  std::vector<subject_id> old;
  for (const auto& [subject, fact] : mFacts) {
    const duration retention = RetentionOf(fact.message);
    if (retention > duration{} && aNow - fact.observedAt > retention) {
      old.push_back(subject);
    }
  }
  for (const subject_id subject : old) {
    Erase(subject);
  }
}

void
fact_store::ForEach(const std::function<void(subject_id, const mesh_fact&)>& aVisit) const
{
  for (const auto& [subject, fact] : mFacts) {
    aVisit(subject, fact);
  }
}

} // namespace persimmon::peers
