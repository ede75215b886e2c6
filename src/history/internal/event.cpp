#include "history/event.h"

#include "base/json.h"

#include <array>

namespace persimmon::history {
namespace {

struct kind_name
{
  event_kind kind;
  const char* name;
};

constexpr std::array kKindNames = {
  kind_name{ event_kind::invoked, "invoked" },
  kind_name{ event_kind::answered, "answered" },
  kind_name{ event_kind::refused, "refused" },
  kind_name{ event_kind::attempted, "attempted" },
  kind_name{ event_kind::started, "started" },
  kind_name{ event_kind::completed, "completed" },
  kind_name{ event_kind::cut, "cut" },
  kind_name{ event_kind::ordered, "ordered" },
  kind_name{ event_kind::membership, "membership" },
  kind_name{ event_kind::accepted, "accepted" },
  kind_name{ event_kind::applied, "applied" },
  kind_name{ event_kind::leaving, "leaving" },
  kind_name{ event_kind::fault, "fault" },
};

void
PutText(nlohmann::json& aLine, const char* aName, const std::string& aValue)
{
  if (!aValue.empty()) {
    aLine[aName] = aValue;
  }
}

void
PutNumber(nlohmann::json& aLine, const char* aName, std::uint64_t aValue)
{
  if (aValue != 0) {
    aLine[aName] = aValue;
  }
}

event_kind
ReadKind(json_reader& aReader)
{
  const std::string name = aReader.Text("kind");
  for (const kind_name& entry : kKindNames) {
    if (name == entry.name) {
      return entry.kind;
    }
  }
  aReader.Fail("$.kind", '"' + name + '"', "a kind of event");
  return event_kind::fault;
}

std::uint64_t
ReadCount(json_reader& aReader, const char* aName)
{
  return static_cast<std::uint64_t>(aReader.NumberOr(aName, 0, INT64_MAX, 0));
}

} // namespace

const char*
KindName(event_kind aKind)
{
  for (const kind_name& entry : kKindNames) {
    if (entry.kind == aKind) {
      return entry.name;
    }
  }
  return "unknown";
}

std::string
RenderEvent(const event& aEvent)
{
  nlohmann::json line = { { "kind", KindName(aEvent.kind) }, { "at", aEvent.at.ms } };
  PutText(line, "process", aEvent.process);
  PutText(line, "call", aEvent.call);
  PutText(line, "request", aEvent.request);
  PutText(line, "attempt", aEvent.attempt);
  PutText(line, "key", aEvent.key);
  PutText(line, "service", aEvent.service);
  PutText(line, "customer", aEvent.customer);
  PutText(line, "instance", aEvent.instance);
  PutNumber(line, "incarnation", aEvent.incarnation);
  PutText(line, "group", aEvent.group);
  PutNumber(line, "generation", aEvent.generation);
  PutNumber(line, "token", aEvent.token);
  PutText(line, "object", aEvent.object);
  PutNumber(line, "revision", aEvent.revision);
  PutNumber(line, "status", static_cast<std::uint64_t>(aEvent.status));
  PutText(line, "ran", aEvent.ran);
  PutText(line, "attempt_ran", aEvent.attemptRan);
  PutText(line, "digest", aEvent.digest);
  if (aEvent.once) {
    line["once"] = true;
  }
  if (aEvent.streamed) {
    line["streamed"] = true;
  }
  if (!aEvent.members.empty()) {
    line["members"] = aEvent.members;
  }
  PutText(line, "detail", aEvent.detail);
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<event>
ParseEvent(std::string_view aLine, std::string& aProblem)
{
  json_problem problem;
  const auto value = ParseJson(aLine, problem);
  if (!value) {
    aProblem = problem.Text();
    return std::nullopt;
  }
  json_reader reader(*value, "$", problem);
  reader.AllowUnknown();
  event parsed;
  parsed.kind = ReadKind(reader);
  parsed.at.ms = reader.Number("at", 0, INT64_MAX);
  parsed.process = reader.TextOr("process", "");
  parsed.call = reader.TextOr("call", "");
  parsed.request = reader.TextOr("request", "");
  parsed.attempt = reader.TextOr("attempt", "");
  parsed.key = reader.TextOr("key", "");
  parsed.service = reader.TextOr("service", "");
  parsed.customer = reader.TextOr("customer", "");
  parsed.instance = reader.TextOr("instance", "");
  parsed.incarnation = ReadCount(reader, "incarnation");
  parsed.group = reader.TextOr("group", "");
  parsed.generation = ReadCount(reader, "generation");
  parsed.token = ReadCount(reader, "token");
  parsed.object = reader.TextOr("object", "");
  parsed.revision = ReadCount(reader, "revision");
  parsed.status = static_cast<int>(reader.NumberOr("status", 0, 999, 0));
  parsed.ran = reader.TextOr("ran", "");
  parsed.attemptRan = reader.TextOr("attempt_ran", "");
  parsed.digest = reader.TextOr("digest", "");
  parsed.once = reader.FlagOr("once", false);
  parsed.streamed = reader.FlagOr("streamed", false);
  for (const nlohmann::json& member : reader.List("members")) {
    if (member.is_string()) {
      parsed.members.push_back(member.get<std::string>());
    } else {
      reader.Fail("$.members", member.dump(), "a list of texts");
    }
  }
  parsed.detail = reader.TextOr("detail", "");
  if (!reader.Finish()) {
    aProblem = problem.Text();
    return std::nullopt;
  }
  return parsed;
}

} // namespace persimmon::history
