#include "document/servicedocument.h"

#include "base/hash.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace persimmon {
namespace {

constexpr std::int64_t kMaxReplicas = 10000;
constexpr std::int64_t kMaxInstancesPerReplica = 64;
constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxPriority = 1000;
constexpr std::int64_t kMaxQueueLimit = 100000;
constexpr std::int64_t kMaxConcurrencyPerUpstream = 100000;
constexpr std::int64_t kMaxDeadlineMs = 3600000;
constexpr std::size_t kSha256HexLength = 64;
constexpr std::size_t kMaxNameLength = 63;

bool
IsName(std::string_view aText)
{
  const auto allowed = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= '0' && aCharacter <= '9') ||
           aCharacter == '-';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength && aText.front() != '-' &&
         std::all_of(aText.begin(), aText.end(), allowed);
}

std::string
ParseName(json_reader& aReader, const char* aName)
{
  std::string name = aReader.Text(aName);
  if (!name.empty() && !IsName(name)) {
    aReader.Fail(
      aReader.PathOf(aName), '"' + name + '"', "lower-case letters, digits and dashes, at most 63");
  }
  return name;
}

model_spec
ParseModel(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$.model", aProblem);
  model_spec spec;
  spec.model = reader.Text("name");
  spec.adapter = reader.TextOr("adapter", "");
  spec.version = reader.Text("version");
  reader.Finish();
  return spec;
}

capacity_spec
ParseCapacity(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$.capacity", aProblem);
  capacity_spec spec;
  spec.replicas = reader.Number("replicas", 0, kMaxReplicas);
  spec.minReplicas = reader.NumberOr("minimum", 0, kMaxReplicas, 0);
  spec.instancesPerReplica = reader.Number("instances_per_replica", 1, kMaxInstancesPerReplica);
  if (spec.minReplicas > spec.replicas) {
    reader.Fail(
      "$.capacity.minimum", std::to_string(spec.minReplicas), "at most capacity.replicas");
  }
  reader.Finish();
  return spec;
}

limits_spec
ParseLimits(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$.limits", aProblem);
  limits_spec spec;
  spec.concurrencyPerUpstream = reader.NumberOr(
    "concurrency_per_upstream", 1, kMaxConcurrencyPerUpstream, spec.concurrencyPerUpstream);
  spec.maxQueued = reader.NumberOr("queue", 0, kMaxQueueLimit, spec.maxQueued);
  spec.retryPercent = reader.NumberOr("retry_percent", 0, 100, spec.retryPercent);
  spec.defaultDeadline.ms =
    reader.NumberOr("default_deadline_ms", 1, kMaxDeadlineMs, spec.defaultDeadline.ms);
  reader.Finish();
  return spec;
}

bool
IsSha256Hex(std::string_view aText)
{
  return aText.size() == kSha256HexLength &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

customer_spec
ParseCustomer(const nlohmann::json& aValue, std::string aPath, json_problem& aProblem)
{
  json_reader reader(aValue, std::move(aPath), aProblem);
  customer_spec spec;
  spec.name.value = ParseName(reader, "name");
  spec.keySha256 = reader.Text("key_sha256");
  if (!spec.keySha256.empty() && !IsSha256Hex(spec.keySha256)) {
    reader.Fail(
      reader.PathOf("key_sha256"), '"' + spec.keySha256 + '"', "64 lower-case hexadecimal digits");
  }
  if (spec.keySha256 == Sha256Hex("")) {
    reader.Fail(reader.PathOf("key_sha256"), "the hash of an empty key", "the hash of a key");
  }
  spec.weight = reader.NumberOr("weight", 1, kMaxWeight, spec.weight);
  reader.Finish();
  return spec;
}

call_rule
ParseCallRule(const nlohmann::json& aValue, std::string aPath, json_problem& aProblem)
{
  json_reader reader(aValue, std::move(aPath), aProblem);
  call_rule rule;
  rule.method = reader.Text("method");
  rule.pathPrefix = reader.Text("path");
  rule.idempotent = reader.FlagOr("idempotent", true);
  if (!rule.pathPrefix.empty() && rule.pathPrefix.front() != '/') {
    reader.Fail(reader.PathOf("path"), '"' + rule.pathPrefix + '"', "a path that starts with /");
  }
  reader.Finish();
  return rule;
}

void
ParseCustomers(json_reader& aReader, service_document& aDocument, json_problem& aProblem)
{
  std::set<customer_name> names;
  std::set<std::string> keys;
  std::size_t index = 0;
  for (const nlohmann::json& value : aReader.List("customers")) {
    const std::string path = fmt::format("$.customers[{}]", index++);
    customer_spec spec = ParseCustomer(value, path, aProblem);
    if (!names.insert(spec.name).second) {
      aReader.Fail(
        path + ".name", '"' + spec.name.value + '"', "a name that no other customer has");
    }
    if (!keys.insert(spec.keySha256).second) {
      aReader.Fail(
        path + ".key_sha256", '"' + spec.keySha256 + '"', "a key that no other customer has");
    }
    aDocument.customers.push_back(std::move(spec));
  }
}

void
ParseKind(json_reader& aReader, service_document& aDocument)
{
  const std::string kind = aReader.TextOr("kind", "model");
  if (kind == "plain") {
    aDocument.kind = service_kind::plain;
  } else if (kind != "model") {
    aReader.Fail("$.kind", '"' + kind + '"', "\"model\" or \"plain\"");
  }
}

service_document
ParseDocument(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$", aProblem);
  service_document document;
  document.service.value = ParseName(reader, "service");
  ParseKind(reader, document);
  const bool isModel = document.kind == service_kind::model;
  if (const auto* model = reader.Member("model", isModel)) {
    document.model = ParseModel(*model, aProblem);
  }
  if (const auto* capacity = reader.Member("capacity", isModel)) {
    document.capacity = ParseCapacity(*capacity, aProblem);
  }
  if (const auto* limits = reader.Member("limits", false)) {
    document.limits = ParseLimits(*limits, aProblem);
  }
  document.priority = reader.NumberOr("priority", 0, kMaxPriority, 0);
  ParseCustomers(reader, document, aProblem);
  std::size_t index = 0;
  for (const nlohmann::json& value : reader.List("calls")) {
    document.calls.push_back(ParseCallRule(value, fmt::format("$.calls[{}]", index++), aProblem));
  }
  document.retired = reader.FlagOr("retired", false);
  reader.Finish();
  return document;
}

nlohmann::json
ToJson(const service_document& aDocument)
{
  nlohmann::json value;
  value["service"] = aDocument.service.value;
  value["kind"] = aDocument.kind == service_kind::model ? "model" : "plain";
  if (aDocument.kind == service_kind::model) {
    value["model"] = { { "name", aDocument.model.model },
                       { "adapter", aDocument.model.adapter },
                       { "version", aDocument.model.version } };
    value["capacity"] = { { "replicas", aDocument.capacity.replicas },
                          { "minimum", aDocument.capacity.minReplicas },
                          { "instances_per_replica", aDocument.capacity.instancesPerReplica } };
  }
  value["limits"] = { { "concurrency_per_upstream", aDocument.limits.concurrencyPerUpstream },
                      { "queue", aDocument.limits.maxQueued },
                      { "retry_percent", aDocument.limits.retryPercent },
                      { "default_deadline_ms", aDocument.limits.defaultDeadline.ms } };
  value["priority"] = aDocument.priority;
  value["customers"] = nlohmann::json::array();
  for (const customer_spec& customer : aDocument.customers) {
    value["customers"].push_back({ { "name", customer.name.value },
                                   { "key_sha256", customer.keySha256 },
                                   { "weight", customer.weight } });
  }
  value["calls"] = nlohmann::json::array();
  for (const call_rule& rule : aDocument.calls) {
    value["calls"].push_back({ { "method", rule.method },
                               { "path", rule.pathPrefix },
                               { "idempotent", rule.idempotent } });
  }
  value["retired"] = aDocument.retired;
  return value;
}

bool
IsIdempotentMethod(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "PUT" || aMethod == "DELETE" ||
         aMethod == "OPTIONS";
}

} // namespace

std::optional<service_document>
ParseServiceDocument(std::string_view aText, document_reason& aReason)
{
  json_problem problem;
  const auto value = ParseJson(aText, problem);
  if (!value) {
    aReason = { document_error::not_json, problem.Text() };
    return std::nullopt;
  }
  service_document document = ParseDocument(*value, problem);
  if (!problem.path.empty()) {
    aReason = { document_error::bad_member, problem.Text() };
    return std::nullopt;
  }
  return document;
}

std::string
RenderServiceDocument(const service_document& aDocument)
{
  return ToJson(aDocument).dump(2) + "\n";
}

std::vector<std::string>
CompareServiceDocuments(const service_document& aBefore, const service_document& aAfter)
{
  const nlohmann::json before = ToJson(aBefore).flatten();
  const nlohmann::json after = ToJson(aAfter).flatten();
  std::vector<std::string> lines;
  std::set<std::string> paths;
  for (const auto& [path, value] : before.items()) {
    paths.insert(path);
  }
  for (const auto& [path, value] : after.items()) {
    paths.insert(path);
  }
  for (const std::string& path : paths) {
    const std::string left = before.contains(path) ? before[path].dump() : "(none)";
    const std::string right = after.contains(path) ? after[path].dump() : "(none)";
    if (left != right) {
      lines.push_back(fmt::format("{}: {} -> {}", path, left, right));
    }
  }
  return lines;
}

bool
IsIdempotentCall(const service_document& aDocument,
                 std::string_view aMethod,
                 std::string_view aPath)
{
  for (const call_rule& rule : aDocument.calls) {
    if (rule.method == aMethod && aPath.starts_with(rule.pathPrefix)) {
      return rule.idempotent;
    }
  }
  return IsIdempotentMethod(aMethod);
}

} // namespace persimmon
