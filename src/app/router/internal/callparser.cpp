#include "app/router/callparser.h"

#include "app/router/completionbody.h"
#include "base/hash.h"
#include "ledger/idempotencykey.h"
#include "poison/requestfingerprint.h"
#include "routing/choicerequest.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace persimmon::router {
namespace {

using routing::refusal_reason;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kCompletionPath = "/v1/completions";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::int64_t kMaxDeadlineMs = 3600000;

bool
Fail(call_problem& aProblem, refusal_reason aReason, std::string aDetail)
{
  aProblem = { aReason, std::move(aDetail) };
  return false;
}

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t value = 0;
  const auto result = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (result.ec != std::errc() || result.ptr != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

bool
ReadDeadline(const entry::server_request& aRequest, parsed_call& aCall, call_problem& aProblem)
{
  aCall.deadline = aCall.document->document.limits.defaultDeadline;
  const std::string text = aRequest.Header("Persimmon-Deadline-Ms");
  if (text.empty()) {
    return true;
  }
  const auto value = ParseNumber(text);
  if (!value || *value < 1 || *value > kMaxDeadlineMs) {
    return Fail(
      aProblem,
      refusal_reason::bad_deadline,
      fmt::format("Persimmon-Deadline-Ms: expected a whole number from 1 to {}", kMaxDeadlineMs));
  }
  aCall.deadline.ms = *value;
  return true;
}

/// Reads `u=N` out of a structured field such as `u=1, i`.
bool
ReadPriority(const entry::server_request& aRequest, parsed_call& aCall, call_problem& aProblem)
{
  std::string text = aRequest.Header("Priority");
  std::erase(text, ' ');
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::string_view member = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(member.size() + 1, rest.size()));
    if (!member.starts_with("u=")) {
      continue;
    }
    const auto value = ParseNumber(member.substr(2));
    if (!value || *value < 0 || *value > routing::kLowestPriority) {
      return Fail(aProblem, refusal_reason::bad_priority, "Priority: expected u=0 to u=7");
    }
    aCall.priority = static_cast<std::uint8_t>(*value);
  }
  return true;
}

bool
ReadKey(const entry::server_request& aRequest, parsed_call& aCall, call_problem& aProblem)
{
  const std::string text = aRequest.Header("Idempotency-Key");
  aCall.key.value = text;
  if (aCall.idempotent) {
    return true;
  }
  if (text.empty()) {
    return Fail(aProblem,
                refusal_reason::missing_idempotency_key,
                "this call may not be repeated and needs an Idempotency-Key");
  }
  ledger::key_reason why;
  if (!ledger::ParseKey(text, why)) {
    return Fail(aProblem, refusal_reason::bad_idempotency_key, why.detail);
  }
  return true;
}

bool
ReadCustomer(const entry::server_request& aRequest, parsed_call& aCall, call_problem& aProblem)
{
  const std::string key = BearerKey(aRequest);
  if (key.empty()) {
    return Fail(
      aProblem, refusal_reason::missing_credentials, "Authorization: expected a bearer key");
  }
  const customer_spec* customer = FindCustomer(aCall.document->document, key);
  if (customer == nullptr) {
    return Fail(
      aProblem, refusal_reason::unknown_customer, "no customer of this service has this key");
  }
  aCall.customer = customer->name;
  return true;
}

bool
ReadHeaders(const entry::server_request& aRequest, parsed_call& aCall, call_problem& aProblem)
{
  return ReadCustomer(aRequest, aCall, aProblem) && ReadDeadline(aRequest, aCall, aProblem) &&
         ReadPriority(aRequest, aCall, aProblem) && ReadKey(aRequest, aCall, aProblem);
}

/// A path that call rules can be trusted with: one spelling only, without empty, `.` or `..`
/// segments and without escapes of letters that need none.
bool
IsNormalPath(std::string_view aPath)
{
  std::size_t start = 1;
  while (start <= aPath.size()) {
    const std::size_t end = std::min(aPath.find('/', start), aPath.size());
    const std::string_view segment = aPath.substr(start, end - start);
    const bool last = end == aPath.size();
    if ((segment.empty() && !last) || segment == "." || segment == "..") {
      return false;
    }
    start = end + 1;
  }
  return true;
}

int
HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = static_cast<char>(aDigit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool
HasNeedlessEscape(std::string_view aPath)
{
  for (std::size_t at = aPath.find('%'); at != std::string_view::npos;
       at = aPath.find('%', at + 1)) {
    if (at + 2 >= aPath.size() || HexValue(aPath[at + 1]) < 0 || HexValue(aPath[at + 2]) < 0) {
      return true;
    }
    const auto letter =
      static_cast<unsigned char>(HexValue(aPath[at + 1]) * 16 + HexValue(aPath[at + 2]));
    if (std::isalnum(letter) != 0 ||
        std::string_view("-._~/\\").find(static_cast<char>(letter)) != std::string_view::npos) {
      return true;
    }
  }
  return false;
}

} // namespace

std::string
BearerKey(const entry::server_request& aRequest)
{
  const std::string value = aRequest.Header("Authorization");
  return value.starts_with(kBearerPrefix) ? value.substr(kBearerPrefix.size()) : std::string();
}

bool
HasUsableKey(const entry::server_request& aRequest)
{
  ledger::key_reason why;
  return aRequest.path.starts_with(kServicesPrefix) &&
         ledger::ParseKey(aRequest.Header("Idempotency-Key"), why).has_value();
}

const customer_spec*
FindCustomer(const service_document& aDocument, const std::string& aBearerKey)
{
  // The key of a caller that has sent none is empty.
  if (aBearerKey.empty()) {
    return nullptr;
  }
  const std::string digest = Sha256Hex(aBearerKey);
  const auto found = std::find_if(
    aDocument.customers.begin(),
    aDocument.customers.end(),
    [&digest](const customer_spec& aCustomer) { return aCustomer.keySha256 == digest; });
  return found == aDocument.customers.end() ? nullptr : &*found;
}

call_parser::call_parser(service_lookup aLookup, std::size_t aMaxBodyBytes)
  : mLookup(std::move(aLookup))
  , mMaxBodyBytes(aMaxBodyBytes)
{
}

std::optional<parsed_call>
call_parser::Parse(const entry::server_request& aRequest, call_problem& aProblem) const
{
  parsed_call call;
  call.method = aRequest.method;
  if (aRequest.body.Size() > mMaxBodyBytes) {
    Fail(aProblem,
         refusal_reason::body_too_large,
         fmt::format(
           "the body has {} bytes, at most {} are taken", aRequest.body.Size(), mMaxBodyBytes));
    return std::nullopt;
  }
  bool good = false;
  if (aRequest.path == kChatPath || aRequest.path == kCompletionPath) {
    good = ParseCompletion(aRequest, call, aProblem);
  } else if (aRequest.path.starts_with(kServicesPrefix)) {
    good = ParsePlain(aRequest, call, aProblem);
  } else {
    Fail(aProblem, refusal_reason::unknown_path, aRequest.path);
  }
  return good ? std::optional(std::move(call)) : std::nullopt;
}

bool
call_parser::FindService(const service_name& aName,
                         service_kind aKind,
                         parsed_call& aCall,
                         call_problem& aProblem) const
{
  const refusal_reason unknown =
    aKind == service_kind::model ? refusal_reason::unknown_model : refusal_reason::unknown_service;
  aCall.service = mLookup(aName);
  const auto view = aCall.service ? aCall.service->View() : nullptr;
  if (!view || !view->document || view->document->document.kind != aKind) {
    return Fail(aProblem, unknown, fmt::format("\"{}\" is not served here", aName.value));
  }
  if (!view->Active()) {
    return Fail(aProblem, refusal_reason::service_retired, aName.value);
  }
  aCall.document = view->document;
  return true;
}

bool
call_parser::ParseCompletion(const entry::server_request& aRequest,
                             parsed_call& aCall,
                             call_problem& aProblem) const
{
  if (aRequest.method != "POST") {
    return Fail(aProblem, refusal_reason::method_not_allowed, "expected POST");
  }
  const auto kind = aRequest.path == kChatPath ? completion_kind::chat : completion_kind::text;
  const auto body = ParseCompletionBody(aRequest.body.Text(), kind, aProblem);
  if (!body) {
    return false;
  }
  const service_name service{ body->model };
  if (!FindService(service, service_kind::model, aCall, aProblem)) {
    return false;
  }
  aCall.target = aRequest.path;
  aCall.streamed = body->streamed;
  if (!ReadHeaders(aRequest, aCall, aProblem)) {
    return false;
  }
  aCall.prefix = routing::PrefixHash(service, body->prompt);
  aCall.fingerprint = poison::RequestFingerprint(
    { service.value, aCall.customer.value, {}, {}, aRequest.body.Text() });
  return true;
}

bool
call_parser::ParsePlain(const entry::server_request& aRequest,
                        parsed_call& aCall,
                        call_problem& aProblem) const
{
  const std::string_view rest = std::string_view(aRequest.path).substr(kServicesPrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const service_name service{ std::string(rest.substr(0, slash)) };
  const std::string path = slash == rest.size() ? "/" : std::string(rest.substr(slash));
  if (!IsNormalPath(path) || HasNeedlessEscape(path)) {
    return Fail(aProblem,
                refusal_reason::bad_path,
                "expected no empty, . or .. segments and no needless escapes");
  }
  if (!FindService(service, service_kind::plain, aCall, aProblem)) {
    return false;
  }
  aCall.target = aRequest.query.empty() ? path : path + "?" + aRequest.query;
  aCall.idempotent = IsIdempotentCall(aCall.document->document, aRequest.method, path);
  if (!ReadHeaders(aRequest, aCall, aProblem)) {
    return false;
  }
  aCall.fingerprint = poison::RequestFingerprint(
    { service.value, aCall.customer.value, aCall.method, aCall.target, aRequest.body.Text() });
  return true;
}

} // namespace persimmon::router
