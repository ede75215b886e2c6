#pragma once

#include "peers/messages.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace persimmon::peers {

/// What a message speaks of; a newer message on the same subject replaces the older one.
using subject_id = number_id<struct subject_tag>;

/// Stamps of presence and shares count within 16 bits and wrap (serial number arithmetic).
constexpr std::uint64_t kStampMask = 0xffff;

/// A message together with what orders it among others on its subject.
struct mesh_fact
{
  mesh_message message;
  /// Revision, life, number of deaths or the origin's stamp, by the kind of message.
  std::uint64_t version = 0;
  /// When it was observed, on this router's clock.
  time_point observedAt;
  /// Grows with every fact that the store takes in; set by the store.
  std::uint64_t acceptedAs = 0;
};

/// The place of a kind of message when bytes are short; lower goes first.
enum class message_worth : std::uint8_t
{
  version,
  leaving,
  suspect,
  member,
  presence,
  /// Which versions a router applies.
  applied,
  share
};
constexpr std::size_t kWorthCount = 7;

enum class offer_result
{
  newer,
  same,
  older
};

subject_id
SubjectOf(const mesh_message& aMessage);

message_worth
WorthOf(const mesh_message& aMessage);

/// True for documents and tables, whose bodies travel only when asked for.
bool
IsVersioned(const mesh_message& aMessage);

/// Version of a message whose kind carries one itself; presence and shares have none.
std::uint64_t
VersionOf(const mesh_message& aMessage);

/// Router that made the message, where only one router can; empty otherwise.
router_id
OriginOf(const mesh_message& aMessage);

/// Age that a message had when it was sent; zero for kinds without one.
duration
AgeOf(const mesh_message& aMessage);

/// The newest message on each subject.
class fact_store
{
public:
  /// Keeps the fact if it is newer than what is known on its subject.
  offer_result Offer(const mesh_fact& aFact, time_point aNow);
  [[nodiscard]] const mesh_fact* Find(subject_id aSubject) const;
  /// Drops what is too old to be of use; documents, tables and versions stay.
  void Expire(time_point aNow);
  void Erase(subject_id aSubject);
  void ForEach(const std::function<void(subject_id, const mesh_fact&)>& aVisit) const;
  /// Hash over the versions of all documents and tables, equal on routers that hold the same.
  [[nodiscard]] std::uint64_t Hash() const { return mHash; }
  /// mesh_fact::acceptedAs of the fact taken in last.
  [[nodiscard]] std::uint64_t LastAccepted() const { return mAccepted; }
  [[nodiscard]] std::size_t Size() const { return mFacts.size(); }

private:
  std::unordered_map<subject_id, mesh_fact> mFacts;
  std::uint64_t mHash = 0;
  std::uint64_t mAccepted = 0;
};

/// Subject of the document or table of that name.
subject_id
SubjectOf(applied_message::subject aWhat, const std::string& aName);

/// One subject's part in fact_store::Hash().
std::uint64_t
HashOfVersion(subject_id aSubject, std::uint64_t aVersion);

} // namespace persimmon::peers
