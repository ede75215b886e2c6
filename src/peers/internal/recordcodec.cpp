#include "peers/recordcodec.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

/// Resolution of encoded ages, in milliseconds.
constexpr std::int64_t kAgeStepMs = 10;
/// Larger ages are encoded as this value, in milliseconds.
constexpr std::int64_t kMaxAgeMs = 2LL * 86400 * 1000;
/// Bit in the flags of a presence record for presence_message::complete.
constexpr std::uint64_t kComplete = 1;
constexpr std::uint64_t kRecovery = 2;
constexpr std::uint64_t kMaxCount = UINT32_MAX;

constexpr std::uint64_t
KindNumber(record_kind aKind)
{
  return static_cast<std::uint64_t>(aKind);
}

std::uint64_t
EncodeAge(duration aAge)
{
  return static_cast<std::uint64_t>(std::clamp<std::int64_t>(aAge.ms, 0, kMaxAgeMs) / kAgeStepMs);
}

duration
DecodeAge(std::uint64_t aSteps)
{
  return { static_cast<std::int64_t>(std::min<std::uint64_t>(aSteps, kMaxAgeMs / kAgeStepMs)) *
           kAgeStepMs };
}

/// Reads the fields of a record in order. A field that is missing or has the wrong type, or a
/// number above its bound, makes the record invalid.
class field_reader
{
public:
  field_reader(const wire_record& aRecord, const name_reader& aNames)
    : mRecord(aRecord)
    , mNames(aNames)
  {
  }

  std::uint64_t Number(std::uint64_t aMax = UINT64_MAX)
  {
    const wire_value* field = Next();
    const auto* number = field == nullptr ? nullptr : std::get_if<std::uint64_t>(field);
    mValid = mValid && number != nullptr && *number <= aMax;
    return mValid ? *number : 0;
  }

  std::uint32_t Count() { return static_cast<std::uint32_t>(Number(kMaxCount)); }

  std::string Text(std::size_t aMaxBytes)
  {
    const wire_value* field = Next();
    const auto* text = field == nullptr ? nullptr : std::get_if<std::string>(field);
    mValid = mValid && text != nullptr && text->size() <= aMaxBytes;
    return mValid ? *text : std::string();
  }

  std::string Name()
  {
    std::string name = NameOrEmpty();
    mValid = mValid && !name.empty();
    return name;
  }

  std::string NameOrEmpty()
  {
    const wire_value* field = Next();
    const std::string* name = field == nullptr ? nullptr : mNames.Find(*field);
    mValid = mValid && name != nullptr;
    return mValid ? *name : std::string();
  }

  [[nodiscard]] bool IsValid() const { return mValid; }
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
  bool mValid = true;
};

template<typename Result>
std::optional<Result>
IfValid(const field_reader& aFields, Result aResult)
{
  if (!aFields.IsValid()) {
    return std::nullopt;
  }
  return aResult;
}

applied_message::object_kind
ObjectKind(std::uint64_t aNumber)
{
  return aNumber == 0 ? applied_message::object_kind::document
                      : applied_message::object_kind::table;
}

/// Encodes each type of message as a record.
class message_encoder
{
public:
  message_encoder(name_writer& aNames,
                  wire_frame& aFrame,
                  const versioned_message& aEntry,
                  time_point aNow)
    : mNames(aNames)
    , mFrame(aFrame)
    , mStamp(aEntry.version & kStampMask)
    , mAge(EncodeAge(aNow - aEntry.observedAt))
  {
  }

  wire_record operator()(const document_message& aValue)
  {
    return { KindNumber(record_kind::body),
             { 0ULL,
               Intern(aValue.service),
               aValue.version.value,
               aValue.text,
               aValue.isUrgent ? 1ULL : 0ULL } };
  }
  wire_record operator()(const table_message& aValue)
  {
    return { KindNumber(record_kind::body),
             { 1ULL, Intern(aValue.domain), aValue.version.value, aValue.text } };
  }
  wire_record operator()(const presence_message& aValue)
  {
    return { KindNumber(record_kind::presence),
             { Intern(aValue.group),
               Intern(aValue.observer),
               mStamp,
               mAge,
               aValue.version.value,
               (aValue.complete ? kComplete : 0ULL) | (aValue.isRecovery ? kRecovery : 0ULL),
               std::uint64_t{ aValue.running },
               std::uint64_t{ aValue.queued },
               std::uint64_t{ aValue.slowestMemberPercent } } };
  }
  wire_record operator()(const leaving_message& aValue)
  {
    return { KindNumber(record_kind::leaving),
             { Intern(aValue.instance), aValue.incarnationId.value, mAge } };
  }
  wire_record operator()(const crash_message& aValue)
  {
    return { KindNumber(record_kind::crash),
             { aValue.fingerprint,
               aValue.crash,
               std::uint64_t{ aValue.weight },
               aValue.isolates ? 1ULL : 0ULL,
               aValue.withdrawn ? 1ULL : 0ULL,
               mAge } };
  }
  wire_record operator()(const quarantine_message& aValue)
  {
    return {
      KindNumber(record_kind::quarantine),
      { aValue.fingerprint, std::uint64_t{ aValue.count }, aValue.lifted ? 1ULL : 0ULL, mAge }
    };
  }
  wire_record operator()(const rate_limit_message& aValue)
  {
    return { KindNumber(record_kind::rate_limit),
             { Intern(aValue.upstream),
               aValue.incarnationId.value,
               aValue.sequence,
               aValue.limit ? 1ULL : 0ULL,
               aValue.limit.value_or(request_rate{}).milliPerSecond,
               mAge } };
  }
  wire_record operator()(const customer_load_message& aValue)
  {
    return { KindNumber(record_kind::customer_load),
             { Intern(aValue.router),
               Intern(aValue.service),
               Intern(aValue.customer),
               mStamp,
               mAge,
               std::uint64_t{ aValue.running },
               std::uint64_t{ aValue.waiting } } };
  }
  wire_record operator()(const model_load_message& aValue)
  {
    return { KindNumber(record_kind::model_load),
             { Intern(aValue.observer),
               Intern(aValue.service),
               mNames.Intern(aValue.model, mFrame),
               mStamp,
               mAge,
               std::uint64_t{ aValue.calls },
               std::uint64_t{ aValue.slots } } };
  }
  wire_record operator()(const applied_message& aValue)
  {
    return { KindNumber(record_kind::applied),
             { Intern(aValue.router),
               static_cast<std::uint64_t>(aValue.kind),
               mNames.Intern(aValue.name, mFrame),
               aValue.version.value } };
  }

private:
  template<typename Tag>
  wire_value Intern(const text_id<Tag>& aId)
  {
    return mNames.Intern(aId.value, mFrame);
  }

  name_writer& mNames;
  wire_frame& mFrame;
  std::uint64_t mStamp;
  std::uint64_t mAge;
};

mesh_message
ReadBody(field_reader& aFields)
{
  const auto kind = ObjectKind(aFields.Number());
  const std::string name = aFields.Name();
  const revision version{ aFields.Number() };
  std::string text = aFields.Text(kMaxFrameBytes);
  if (kind == applied_message::object_kind::document) {
    // Routers of an older version do not send this field.
    const bool isUrgent = aFields.HasMore() && aFields.Number() != 0;
    return document_message{ { name }, version, std::move(text), isUrgent };
  }
  return table_message{ { name }, version, std::move(text) };
}

versioned_message
ReadPresence(field_reader& aFields, time_point aNow)
{
  presence_message parsed;
  parsed.group = { aFields.Name() };
  parsed.observer = { aFields.Name() };
  const std::uint64_t stamp = aFields.Number(kStampMask);
  parsed.age = DecodeAge(aFields.Number());
  parsed.version = { aFields.Number() };
  const std::uint64_t state = aFields.Number();
  parsed.complete = (state & kComplete) != 0;
  parsed.isRecovery = (state & kRecovery) != 0;
  parsed.running = aFields.Count();
  parsed.queued = aFields.Count();
  // Routers of an older version do not send this field.
  parsed.slowestMemberPercent = aFields.HasMore() ? aFields.Count() : kExpectedMemberPercent;
  return { parsed, stamp, aNow - parsed.age };
}

versioned_message
ReadCustomerLoad(field_reader& aFields, time_point aNow)
{
  customer_load_message parsed;
  parsed.router = { aFields.Name() };
  parsed.service = { aFields.Name() };
  parsed.customer = { aFields.Name() };
  const std::uint64_t stamp = aFields.Number(kStampMask);
  parsed.age = DecodeAge(aFields.Number());
  parsed.running = aFields.Count();
  parsed.waiting = aFields.Count();
  return { parsed, stamp, aNow - parsed.age };
}

versioned_message
ReadModelLoad(field_reader& aFields, time_point aNow)
{
  model_load_message parsed;
  parsed.observer = { aFields.Name() };
  parsed.service = { aFields.Name() };
  parsed.model = aFields.Name();
  const std::uint64_t stamp = aFields.Number(kStampMask);
  parsed.age = DecodeAge(aFields.Number());
  parsed.calls = aFields.Count();
  parsed.slots = aFields.Count();
  return { parsed, stamp, aNow - parsed.age };
}

versioned_message
ReadCrash(field_reader& aFields, time_point aNow)
{
  crash_message parsed;
  parsed.fingerprint = aFields.Number();
  parsed.crash = aFields.Number();
  parsed.weight = aFields.Count();
  parsed.isolates = aFields.Number() != 0;
  parsed.withdrawn = aFields.Number() != 0;
  parsed.age = DecodeAge(aFields.Number());
  return { parsed, VersionOf(parsed), aNow - parsed.age };
}

versioned_message
ReadQuarantine(field_reader& aFields, time_point aNow)
{
  quarantine_message parsed;
  parsed.fingerprint = aFields.Number();
  parsed.count = aFields.Count();
  parsed.lifted = aFields.Number() != 0;
  parsed.age = DecodeAge(aFields.Number());
  return { parsed, VersionOf(parsed), aNow - parsed.age };
}

versioned_message
ReadRateLimit(field_reader& aFields, time_point aNow)
{
  rate_limit_message parsed;
  parsed.upstream = { aFields.Name() };
  parsed.incarnationId = { aFields.Number() };
  parsed.sequence = aFields.Number();
  const bool isLimited = aFields.Number() != 0;
  const request_rate limit{ aFields.Number() };
  parsed.limit = isLimited ? std::optional(limit) : std::nullopt;
  parsed.age = DecodeAge(aFields.Number());
  return { parsed, VersionOf(parsed), aNow - parsed.age };
}

versioned_message
ReadLeaving(field_reader& aFields, time_point aNow)
{
  leaving_message parsed;
  parsed.instance = { aFields.Name() };
  parsed.incarnationId = { aFields.Number() };
  return { parsed, parsed.incarnationId.value, aNow - DecodeAge(aFields.Number()) };
}

versioned_message
ReadApplied(field_reader& aFields, time_point aNow)
{
  applied_message parsed;
  parsed.router = { aFields.Name() };
  parsed.kind = ObjectKind(aFields.Number());
  parsed.name = aFields.Name();
  parsed.version = { aFields.Number() };
  return { parsed, parsed.version.value, aNow };
}

} // namespace

wire_record
record_codec::Encode(const hello_record& aRecord)
{
  const member& self = aRecord.self;
  return { KindNumber(record_kind::hello),
           { self.id.value,
             self.startedAtMs,
             self.refutationNumber,
             self.zone.value,
             self.address.value,
             aRecord.leaf ? 1ULL : 0ULL,
             self.relay.value,
             std::uint64_t{ self.processorPercent } } };
}

wire_record
record_codec::Encode(const member& aRecord, wire_frame& aFrame)
{
  return { KindNumber(record_kind::member),
           { mWriter.Intern(aRecord.id.value, aFrame),
             aRecord.startedAtMs,
             aRecord.refutationNumber,
             static_cast<std::uint64_t>(aRecord.state),
             mWriter.Intern(aRecord.zone.value, aFrame),
             mWriter.Intern(aRecord.address.value, aFrame),
             mWriter.Intern(aRecord.relay.value, aFrame),
             std::uint64_t{ aRecord.processorPercent } } };
}

wire_record
record_codec::Encode(const announce_record& aRecord, record_kind aKind, wire_frame& aFrame)
{
  return { KindNumber(aKind),
           { static_cast<std::uint64_t>(aRecord.kind),
             mWriter.Intern(aRecord.name, aFrame),
             aRecord.version.value } };
}

wire_record
record_codec::Encode(const summary_record& aRecord)
{
  return { KindNumber(record_kind::summary),
           { aRecord.hash,
             aRecord.members,
             aRecord.caughtUp ? 1ULL : 0ULL,
             aRecord.starting ? 1ULL : 0ULL } };
}

wire_record
record_codec::Encode(const applied_hash_record& aRecord, wire_frame& aFrame)
{
  return { KindNumber(record_kind::applied_hash),
           { mWriter.Intern(aRecord.router.value, aFrame), aRecord.stamp, aRecord.hash } };
}

wire_record
record_codec::Encode(const told_position& aRecord, time_point aNow)
{
  return { KindNumber(record_kind::store_position),
           { aRecord.position.upTo.value,
             EncodeAge(aNow - aRecord.position.asOf),
             aRecord.isAnnounced ? 1ULL : 0ULL } };
}

wire_record
record_codec::Encode(const router_id& aRouter, record_kind aKind, wire_frame& aFrame)
{
  return { KindNumber(aKind), { mWriter.Intern(aRouter.value, aFrame) } };
}

wire_record
record_codec::Encode(const versioned_message& aEntry, time_point aNow, wire_frame& aFrame)
{
  message_encoder encoder(mWriter, aFrame, aEntry, aNow);
  return std::visit(encoder, aEntry.message);
}

std::optional<hello_record>
record_codec::ParseHello(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  hello_record parsed;
  parsed.self.id = { fields.Text(kMaxNameBytes) };
  parsed.self.startedAtMs = fields.Number();
  parsed.self.refutationNumber = fields.Number();
  parsed.self.zone = { fields.Text(kMaxNameBytes) };
  parsed.self.address = { fields.Text(kMaxNameBytes) };
  parsed.leaf = fields.Number() != 0;
  // Routers of an older version do not send these fields.
  parsed.self.relay = { fields.HasMore() ? fields.Text(kMaxNameBytes) : std::string() };
  parsed.self.processorPercent = fields.HasMore() ? fields.Count() : 0;
  if (parsed.self.id.Empty()) {
    return std::nullopt;
  }
  return IfValid(fields, parsed);
}

std::optional<member>
record_codec::ParseMember(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  member parsed;
  parsed.id = { fields.Name() };
  parsed.startedAtMs = fields.Number();
  parsed.refutationNumber = fields.Number();
  parsed.state =
    static_cast<member_state>(fields.Number(static_cast<std::uint64_t>(member_state::dead)));
  parsed.zone = { fields.NameOrEmpty() };
  parsed.address = { fields.NameOrEmpty() };
  // Routers of an older version do not send these fields.
  parsed.relay = { fields.HasMore() ? fields.NameOrEmpty() : std::string() };
  parsed.processorPercent = fields.HasMore() ? fields.Count() : 0;
  return IfValid(fields, parsed);
}

std::optional<announce_record>
record_codec::ParseAnnounce(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  announce_record parsed;
  parsed.kind = ObjectKind(fields.Number());
  parsed.name = fields.Name();
  parsed.version = { fields.Number() };
  return IfValid(fields, parsed);
}

std::optional<summary_record>
record_codec::ParseSummary(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  summary_record parsed;
  parsed.hash = fields.Number();
  parsed.members = fields.Number();
  parsed.caughtUp = fields.Number() != 0;
  parsed.starting = fields.HasMore() && fields.Number() != 0;
  return IfValid(fields, parsed);
}

std::optional<applied_hash_record>
record_codec::ParseAppliedHash(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  applied_hash_record parsed;
  parsed.router = { fields.Name() };
  parsed.stamp = fields.Number();
  parsed.hash = fields.Number();
  return IfValid(fields, parsed);
}

std::optional<told_position>
record_codec::ParsePosition(const wire_record& aRecord, time_point aNow) const
{
  field_reader fields(aRecord, mReader);
  told_position parsed;
  parsed.position.upTo = { fields.Number() };
  parsed.position.asOf = aNow - DecodeAge(fields.Number()) - duration{ kAgeStepMs };
  parsed.isAnnounced = fields.Number() != 0;
  return IfValid(fields, parsed);
}

std::optional<router_id>
record_codec::ParseRouter(const wire_record& aRecord) const
{
  field_reader fields(aRecord, mReader);
  return IfValid(fields, router_id{ fields.Name() });
}

std::optional<versioned_message>
record_codec::ParseMessage(const wire_record& aRecord, time_point aNow) const
{
  field_reader fields(aRecord, mReader);
  versioned_message parsed;
  switch (static_cast<record_kind>(aRecord.kind)) {
    case record_kind::body: {
      mesh_message message = ReadBody(fields);
      const std::uint64_t version = VersionOf(message);
      parsed = { std::move(message), version, aNow };
      break;
    }
    case record_kind::presence:
      parsed = ReadPresence(fields, aNow);
      break;
    case record_kind::leaving:
      parsed = ReadLeaving(fields, aNow);
      break;
    case record_kind::crash:
      parsed = ReadCrash(fields, aNow);
      break;
    case record_kind::quarantine:
      parsed = ReadQuarantine(fields, aNow);
      break;
    case record_kind::rate_limit:
      parsed = ReadRateLimit(fields, aNow);
      break;
    case record_kind::customer_load:
      parsed = ReadCustomerLoad(fields, aNow);
      break;
    case record_kind::model_load:
      parsed = ReadModelLoad(fields, aNow);
      break;
    case record_kind::applied:
      parsed = ReadApplied(fields, aNow);
      break;
    default:
      return std::nullopt;
  }
  return IfValid(fields, std::move(parsed));
}

} // namespace persimmon::peers
