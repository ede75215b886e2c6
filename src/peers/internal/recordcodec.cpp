#include "peers/recordcodec.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

/// Resolution of encoded ages, in milliseconds.
constexpr std::int64_t kAgeStepMs = 10;
/// Larger ages are encoded as this value, in milliseconds.
constexpr std::int64_t kMaxAgeMs = 7200LL * 1000;
/// Bit in the flags of a presence record for presence_message::whole.
constexpr std::uint64_t kWhole = 1;
constexpr std::uint64_t kMaxCount = UINT32_MAX;

constexpr std::uint64_t
Number(record_kind aKind)
{
  return static_cast<std::uint64_t>(aKind);
}

std::uint64_t
AgeSteps(duration aAge)
{
  return static_cast<std::uint64_t>(std::clamp<std::int64_t>(aAge.ms, 0, kMaxAgeMs) / kAgeStepMs);
}

duration
AgeOfSteps(std::uint64_t aSteps)
{
  return { static_cast<std::int64_t>(std::min<std::uint64_t>(aSteps, kMaxAgeMs / kAgeStepMs)) *
           kAgeStepMs };
}

/// Reads the fields of a record in order. A field that is missing or has the wrong type, or a number
/// above its bound, makes the record invalid.
class field_reader
{
public:
  field_reader(const wire_record& aRecord, const name_reader& aNames)
    : mRecord(aRecord)
    , mNames(aNames)
  {
  }

  std::uint64_t Number(std::uint64_t aHighest = UINT64_MAX)
  {
    const wire_value* field = Next();
    const auto* number = field == nullptr ? nullptr : std::get_if<std::uint64_t>(field);
    mGood = mGood && number != nullptr && *number <= aHighest;
    return mGood ? *number : 0;
  }

  std::uint32_t Count() { return static_cast<std::uint32_t>(Number(kMaxCount)); }

  std::string Text(std::size_t aLongest)
  {
    const wire_value* field = Next();
    const auto* text = field == nullptr ? nullptr : std::get_if<std::string>(field);
    mGood = mGood && text != nullptr && text->size() <= aLongest;
    return mGood ? *text : std::string();
  }

  std::string Name()
  {
    std::string name = NameOrEmpty();
    mGood = mGood && !name.empty();
    return name;
  }

  std::string NameOrEmpty()
  {
    const wire_value* field = Next();
    const std::string* name = field == nullptr ? nullptr : mNames.Find(*field);
    mGood = mGood && name != nullptr;
    return mGood ? *name : std::string();
  }

  [[nodiscard]] bool Good() const { return mGood; }
  /// Returns whether another field follows, such as a field that only later versions send.
  [[nodiscard]] bool HasMore() const { return mNext < mRecord.fields.size(); }

private:
  const wire_value* Next()
  {
    return mNext < mRecord.fields.size() ? &mRecord.fields[mNext++] : nullptr;
  }

  const wire_record& mRecord;
  const name_reader& mNames;
  std::size_t mNext = 0;
  bool mGood = true;
};

template<typename Result>
std::optional<Result>
IfGood(const field_reader& aFields, Result aResult)
{
  if (!aFields.Good()) {
    return std::nullopt;
  }
  return aResult;
}

applied_message::subject
SubjectKind(std::uint64_t aNumber)
{
  return aNumber == 0 ? applied_message::subject::document : applied_message::subject::table;
}

/// Encodes each type of message as a record.
class message_writer
{
public:
  message_writer(name_writer& aNames, wire_frame& aFrame, const mesh_fact& aFact, time_point aNow)
    : mNames(aNames)
    , mFrame(aFrame)
    , mStamp(aFact.version & kStampMask)
    , mAge(AgeSteps(aNow - aFact.observedAt))
  {
  }

  wire_record operator()(const document_message& aIt)
  {
    return { Number(record_kind::body), { 0ULL, Refer(aIt.service), aIt.version.value, aIt.text } };
  }
  wire_record operator()(const table_message& aIt)
  {
    return { Number(record_kind::body), { 1ULL, Refer(aIt.domain), aIt.version.value, aIt.text } };
  }
  wire_record operator()(const presence_message& aIt)
  {
    return { Number(record_kind::presence),
             { Refer(aIt.group),
               Refer(aIt.observer),
               mStamp,
               mAge,
               aIt.version.value,
               aIt.whole ? kWhole : 0ULL,
               std::uint64_t{ aIt.running },
               std::uint64_t{ aIt.queued },
               std::uint64_t{ aIt.pacePercent } } };
  }
  wire_record operator()(const leaving_message& aIt)
  {
    return { Number(record_kind::leaving), { Refer(aIt.instance), aIt.life.value, mAge } };
  }
  wire_record operator()(const suspect_message& aIt)
  {
    return {
      Number(record_kind::suspect),
      { aIt.fingerprint, std::uint64_t{ aIt.deaths }, aIt.quarantined ? 1ULL : 0ULL, mAge }
    };
  }
  wire_record operator()(const share_message& aIt)
  {
    return { Number(record_kind::share),
             { Refer(aIt.router),
               Refer(aIt.service),
               Refer(aIt.customer),
               mStamp,
               mAge,
               std::uint64_t{ aIt.running },
               std::uint64_t{ aIt.waiting } } };
  }
  wire_record operator()(const applied_message& aIt)
  {
    return { Number(record_kind::applied),
             { Refer(aIt.router),
               static_cast<std::uint64_t>(aIt.what),
               mNames.Refer(aIt.name, mFrame),
               aIt.version.value } };
  }

private:
  template<typename Tag>
  wire_value Refer(const text_id<Tag>& aId)
  {
    return mNames.Refer(aId.value, mFrame);
  }

  name_writer& mNames;
  wire_frame& mFrame;
  std::uint64_t mStamp;
  std::uint64_t mAge;
};

mesh_message
ReadBody(field_reader& aFields)
{
  const auto what = SubjectKind(aFields.Number());
  const std::string name = aFields.Name();
  const revision version{ aFields.Number() };
  std::string text = aFields.Text(kMaxFrameBytes);
  if (what == applied_message::subject::document) {
    return document_message{ { name }, version, std::move(text) };
  }
  return table_message{ { name }, version, std::move(text) };
}

mesh_fact
ReadPresence(field_reader& aFields, time_point aNow)
{
  presence_message read;
  read.group = { aFields.Name() };
  read.observer = { aFields.Name() };
  const std::uint64_t stamp = aFields.Number(kStampMask);
  read.age = AgeOfSteps(aFields.Number());
  read.version = { aFields.Number() };
  read.whole = (aFields.Number() & kWhole) != 0;
  read.running = aFields.Count();
  read.queued = aFields.Count();
  // Routers of an older version do not send this field.
  read.pacePercent = aFields.HasMore() ? aFields.Count() : kExpectedPace;
  return { read, stamp, aNow - read.age };
}

mesh_fact
ReadShare(field_reader& aFields, time_point aNow)
{
  share_message read;
  read.router = { aFields.Name() };
  read.service = { aFields.Name() };
  read.customer = { aFields.Name() };
  const std::uint64_t stamp = aFields.Number(kStampMask);
  read.age = AgeOfSteps(aFields.Number());
  read.running = aFields.Count();
  read.waiting = aFields.Count();
  return { read, stamp, aNow - read.age };
}

mesh_fact
ReadSuspect(field_reader& aFields, time_point aNow)
{
  suspect_message read;
  read.fingerprint = aFields.Number();
  read.deaths = aFields.Count();
  read.quarantined = aFields.Number() != 0;
  read.age = AgeOfSteps(aFields.Number());
  return { read, VersionOf(read), aNow - read.age };
}

mesh_fact
ReadLeaving(field_reader& aFields, time_point aNow)
{
  leaving_message read;
  read.instance = { aFields.Name() };
  read.life = { aFields.Number() };
  return { read, read.life.value, aNow - AgeOfSteps(aFields.Number()) };
}

mesh_fact
ReadApplied(field_reader& aFields, time_point aNow)
{
  applied_message read;
  read.router = { aFields.Name() };
  read.what = SubjectKind(aFields.Number());
  read.name = aFields.Name();
  read.version = { aFields.Number() };
  return { read, read.version.value, aNow };
}

} // namespace

wire_record
record_codec::Render(const hello_record& aRecord)
{
  const member& self = aRecord.self;
  return { Number(record_kind::hello),
           { self.id.value,
             self.life,
             self.sequence,
             self.zone.value,
             self.address.value,
             aRecord.leaf ? 1ULL : 0ULL } };
}

wire_record
record_codec::Render(const member& aRecord, wire_frame& aFrame)
{
  return { Number(record_kind::member),
           { mWriter.Refer(aRecord.id.value, aFrame),
             aRecord.life,
             aRecord.sequence,
             static_cast<std::uint64_t>(aRecord.state),
             mWriter.Refer(aRecord.zone.value, aFrame),
             mWriter.Refer(aRecord.address.value, aFrame) } };
}

wire_record
record_codec::Render(const announce_record& aRecord, record_kind aKind, wire_frame& aFrame)
{
  return { Number(aKind),
           { static_cast<std::uint64_t>(aRecord.what),
             mWriter.Refer(aRecord.name, aFrame),
             aRecord.version.value } };
}

wire_record
record_codec::Render(const summary_record& aRecord)
{
  return { Number(record_kind::summary),
           { aRecord.hash, aRecord.members, aRecord.listed ? 1ULL : 0ULL } };
}

wire_record
record_codec::Render(const applied_hash_record& aRecord, wire_frame& aFrame)
{
  return { Number(record_kind::applied_hash),
           { mWriter.Refer(aRecord.router.value, aFrame), aRecord.stamp, aRecord.hash } };
}

wire_record
record_codec::Render(const router_id& aRouter, record_kind aKind, wire_frame& aFrame)
{
  return { Number(aKind), { mWriter.Refer(aRouter.value, aFrame) } };
}

wire_record
record_codec::Render(const mesh_fact& aFact, time_point aNow, wire_frame& aFrame)
{
  message_writer writer(mWriter, aFrame, aFact, aNow);
  return std::visit(writer, aFact.message);
}

std::optional<hello_record>
record_codec::ParseHello(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  hello_record read;
  read.self.id = { fields.Text(kMaxNameBytes) };
  read.self.life = fields.Number();
  read.self.sequence = fields.Number();
  read.self.zone = { fields.Text(kMaxNameBytes) };
  read.self.address = { fields.Text(kMaxNameBytes) };
  read.leaf = fields.Number() != 0;
  if (read.self.id.Empty()) {
    return std::nullopt;
  }
  return IfGood(fields, read);
}

std::optional<member>
record_codec::ParseMember(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  member read;
  read.id = { fields.Name() };
  read.life = fields.Number();
  read.sequence = fields.Number();
  read.state =
    static_cast<member_state>(fields.Number(static_cast<std::uint64_t>(member_state::dead)));
  read.zone = { fields.NameOrEmpty() };
  read.address = { fields.NameOrEmpty() };
  return IfGood(fields, read);
}

std::optional<announce_record>
record_codec::ParseAnnounce(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  announce_record read;
  read.what = SubjectKind(fields.Number());
  read.name = fields.Name();
  read.version = { fields.Number() };
  return IfGood(fields, read);
}

std::optional<summary_record>
record_codec::ParseSummary(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  summary_record read;
  read.hash = fields.Number();
  read.members = fields.Number();
  read.listed = fields.Number() != 0;
  return IfGood(fields, read);
}

std::optional<applied_hash_record>
record_codec::ParseAppliedHash(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  applied_hash_record read;
  read.router = { fields.Name() };
  read.stamp = fields.Number();
  read.hash = fields.Number();
  return IfGood(fields, read);
}

std::optional<router_id>
record_codec::ParseRouter(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  return IfGood(fields, router_id{ fields.Name() });
}

std::optional<mesh_fact>
record_codec::ParseFact(const wire_record& aRecord, time_point aNow) const
{
  field_reader fields(aRecord, mReader);
  mesh_fact read;
  switch (static_cast<record_kind>(aRecord.kind)) {
    case record_kind::body: {
      mesh_message message = ReadBody(fields);
      const std::uint64_t version = VersionOf(message);
      read = { std::move(message), version, aNow };
      break;
    }
    case record_kind::presence:
      read = ReadPresence(fields, aNow);
      break;
    case record_kind::leaving:
      read = ReadLeaving(fields, aNow);
      break;
    case record_kind::suspect:
      read = ReadSuspect(fields, aNow);
      break;
    case record_kind::share:
      read = ReadShare(fields, aNow);
      break;
    case record_kind::applied:
      read = ReadApplied(fields, aNow);
      break;
    default:
      return std::nullopt;
  }
  return IfGood(fields, std::move(read));
}

} // namespace persimmon::peers
