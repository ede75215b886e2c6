#pragma once

#include "peers/messages.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace persimmon::peers {

/// Hash that identifies the object of a message. A newer message on a subject replaces the older.

using subject_id = number_id<struct subject_tag>;

/// Mask of the 16-bit stamps of presence and customer load messages. Stamps wrap and are compared
/// by serial number arithmetic.
constexpr std::uint64_t kStampMask = 0xffff;

/// A message and the version that orders it among messages on the same subject.
struct versioned_message
{
  mesh_message message;
  /// Revision, incarnation, number of quarantines or the origin's stamp, depending on the message
  /// type.
  std::uint64_t version = 0;
  /// Time of the observation on this router's clock.
  time_point observedAt;
  /// Sequence number assigned by the store; grows with every message that it accepts.
  std::uint64_t storeSequence = 0;
};

/// Sending order when the byte budget is short; lower values are sent first.
enum class message_priority : std::uint8_t
{
  /// Versions that a promise depends on; sent at the end of the event that brings them.
  urgent_version,
  version,
  leaving,
  suspect_request,
  member,
  presence,
  /// Versions that a router applies.
  applied,
  customer_load
};
constexpr std::size_t kPriorityCount = 8;

/// Age of an offered message relative to the stored message on its subject.
enum class store_result
{
  newer,
  same,
  older
};

/// Returns whether peers take a message: they close the link of a peer that sends names that are
/// empty or too long, or a text that no frame holds.
bool
IsSendable(const mesh_message& aMessage);

/// Returns the subject of a message.
subject_id
SubjectOf(const mesh_message& aMessage);

/// Returns the sending priority of a message.
message_priority
PriorityOf(const mesh_message& aMessage);

/// Returns whether the message is a document or table of the platform. Their bodies are sent only
/// on request.
bool
IsPlatformObject(const mesh_message& aMessage);

/// Returns whether a process that joins the mesh is told the message at once: what upstreams have
/// stated and what is known of crashes goes on holding, and nobody says it again.
bool
IsInitialState(const mesh_message& aMessage);

/// Returns the version that the message contains; 0 for presence and customer load messages, which
/// contain none.
std::uint64_t
VersionOf(const mesh_message& aMessage);

/// Returns the only router that can have created the message; empty if any router can create it.
router_id
OriginOf(const mesh_message& aMessage);

/// Returns the age of the message when it was sent; zero for message types without an age.
duration
AgeOf(const mesh_message& aMessage);

/// Stores the newest message on each subject.
class message_store
{
public:
  /// Stores a message if it is newer than the stored message on its subject or that has expired.
  store_result StoreIfNewer(const versioned_message& aEntry, time_point aNow);
  /// Returns the stored message on a subject; nullptr if there is none.
  [[nodiscard]] const versioned_message* Find(subject_id aSubject) const;
  /// Removes messages past their retention; documents, tables and applied versions never expire.
  void Expire(time_point aNow);
  void Erase(subject_id aSubject);
  void ForEach(const std::function<void(subject_id, const versioned_message&)>& aVisit) const;
  /// Hash of the versions of all documents and tables; equal on routers that hold the same
  /// versions.
  [[nodiscard]] std::uint64_t Hash() const { return mHash; }
  /// versioned_message::storeSequence of the message stored last; 0 if none was stored.
  [[nodiscard]] std::uint64_t LastStoreSequence() const { return mLastStoreSequence; }
  [[nodiscard]] std::size_t Size() const { return mMessages.size(); }

private:
  std::unordered_map<subject_id, versioned_message> mMessages;
  std::uint64_t mHash = 0;
  std::uint64_t mLastStoreSequence = 0;
};

/// Returns the subject of the document or table with this name.
subject_id
SubjectOf(applied_message::object_kind aKind, const std::string& aName);

/// Returns the contribution of one subject's version to message_store::Hash().
std::uint64_t
VersionHash(subject_id aSubject, std::uint64_t aVersion);

} // namespace persimmon::peers
