#include "ctl/documentcommands.h"
#include "ctl/statusreport.h"
#include "platform/httpclient.h"
#include "platform/httpobjectstore.h"
#include "settings/settings.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace persimmon;
using document_tool = ctl::document_commands<platform::http_object_store>;

constexpr duration kRouterTimeout{ 2000 };
constexpr std::chrono::milliseconds kPollInterval{ 100 };
constexpr const char* kUsage = R"(COMMAND [OPERAND]
Commands:
  validate FILE...   check documents without sending them
  apply FILE         write a document; --expect names the version it was edited from, --wait waits
                     until it is in force on every router
  diff FILE          show how a document differs from the one in force
  get SERVICE        print the document that the platform holds
  retire SERVICE     wind a service down for good
  status             show services, groups, fabric domains and lagging routers
  wait SERVICE       wait until the platform's version is in force on every router
  explain REQUEST    show how routers decided on a request
Exit codes of persimmonctl: 3 another edit came first, 4 not yet in force everywhere, 5 unknown
whether the edit was accepted.)";

struct options
{
  std::string storeUrl;
  std::vector<std::string> routers;
  duration timeout;
  std::optional<revision> expected;
  bool wait = false;
};

std::optional<service_document>
ReadDocument(const std::string& aPath)
{
  const std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  document_reason why;
  auto document = ParseServiceDocument(text.str(), why);
  if (!document) {
    std::cerr << aPath << ": " << why.detail << "\n";
  }
  return document;
}

std::optional<std::string>
Fetch(const std::string& aUrl)
{
  platform::http_client client;
  platform::http_request request;
  request.url = aUrl;
  request.timeout = kRouterTimeout;
  const auto response = client.Send(request);
  if (!response || response->status != 200) {
    return std::nullopt;
  }
  return response->body;
}

std::vector<ctl::asked_router>
AskRouters(const std::vector<std::string>& aRouters)
{
  std::vector<ctl::asked_router> asked;
  for (const std::string& address : aRouters) {
    ctl::asked_router router{ address, std::nullopt };
    if (const auto body = Fetch(address + "/status")) {
      json_problem problem;
      router.status = ctl::ParseRouterStatus(*body, problem);
    }
    asked.push_back(std::move(router));
  }
  return asked;
}

int
WaitInForce(const options& aOptions, const service_name& aService, revision aVersion)
{
  if (aOptions.routers.empty()) {
    std::cerr << "--routers (or PERSIMMON_ROUTERS) is needed to wait\n";
    return ctl::usage;
  }
  const time_point deadline = steady_clock().Now() + aOptions.timeout;
  while (true) {
    const auto count = ctl::CountInForce(AskRouters(aOptions.routers), aService, aVersion);
    const bool everywhere = count.applied == count.total;
    if (everywhere || steady_clock().Now() >= deadline) {
      std::cout << aService.value << " version " << aVersion.value << ": "
                << ctl::RenderInForce(count) << "\n";
      return everywhere ? ctl::done : ctl::lagging;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int
Validate(const std::vector<std::string>& aFiles)
{
  int result = ctl::done;
  for (const std::string& file : aFiles) {
    if (ReadDocument(file)) {
      std::cout << file << ": valid\n";
    } else {
      result = ctl::usage;
    }
  }
  return result;
}

int
Apply(document_tool& aTool, const options& aOptions, const std::string& aFile)
{
  const auto document = ReadDocument(aFile);
  if (!document) {
    return ctl::usage;
  }
  revision accepted;
  const int result = aTool.Apply(*document, { aOptions.expected }, accepted);
  if (result != ctl::done || !aOptions.wait) {
    return result;
  }
  return WaitInForce(aOptions, document->service, accepted);
}

int
Retire(document_tool& aTool, const options& aOptions, const service_name& aService)
{
  revision accepted;
  const int result = aTool.Retire(aService, accepted);
  if (result != ctl::done || !aOptions.wait) {
    return result;
  }
  return WaitInForce(aOptions, aService, accepted);
}

int
Wait(document_tool& aTool, const options& aOptions, const service_name& aService)
{
  const auto held = aTool.Read(aService);
  if (!held) {
    std::cerr << "the platform has no document for " << aService.value << "\n";
    return ctl::failed;
  }
  return WaitInForce(aOptions, aService, held->version);
}

bool
ReadObjects(platform::http_object_store& aStore, ctl::status_input& aInput)
{
  const auto documents = aStore.List(ctl::kDocumentKind);
  const auto tables = documents ? aStore.List("domain") : std::nullopt;
  const auto notes = tables ? aStore.List("status") : std::nullopt;
  auto instances = notes ? aStore.ListInstances() : std::nullopt;
  if (!instances) {
    std::cerr << "cannot read the platform: " << platform::StoreErrorName(aStore.LastFailure().code)
              << "\n";
    return false;
  }
  for (const platform::stored_object& object : documents->objects) {
    document_reason why;
    if (auto document = ParseServiceDocument(object.value, why)) {
      aInput.documents.push_back({ object.version, std::move(*document) });
    } else {
      std::cerr << "service/" << object.key.name << ": " << why.detail << "\n";
    }
  }
  for (const platform::stored_object& object : tables->objects) {
    placement::table_reason why;
    if (auto table = placement::ParseDomainTable(object.value, why)) {
      aInput.tables.push_back(std::move(*table));
    } else {
      std::cerr << "domain/" << object.key.name << ": " << why.detail << "\n";
    }
  }
  for (const platform::stored_object& object : notes->objects) {
    json_problem problem;
    if (auto note = ctl::ParsePlacementNote(object.value, problem)) {
      aInput.notes.push_back(std::move(*note));
    } else {
      std::cerr << "status/" << object.key.name << ": " << problem.Text() << "\n";
    }
  }
  aInput.instances = std::move(*instances);
  return true;
}

int
Status(platform::http_object_store& aStore, const options& aOptions)
{
  ctl::status_input input;
  input.routers = AskRouters(aOptions.routers);
  if (!ReadObjects(aStore, input)) {
    return ctl::failed;
  }
  std::cout << ctl::RenderStatus(input);
  return ctl::done;
}

int
Explain(const options& aOptions, const std::string& aRequest)
{
  for (const std::string& router : aOptions.routers) {
    if (const auto body = Fetch(fmt::format("{}/explain/{}", router, aRequest))) {
      std::cout << *body << "\n";
      return ctl::done;
    }
  }
  std::cerr << "no router remembers request " << aRequest << "\n";
  return ctl::failed;
}

int
Usage()
{
  std::cerr << "persimmonctl: unknown command or wrong operands (see --help)\n";
  return ctl::usage;
}

int
Run(const options& aOptions, const std::vector<std::string>& aWords)
{
  platform::http_object_store store(aOptions.storeUrl, aOptions.timeout);
  document_tool tool(store, { std::cout, std::cerr });
  const std::string command = aWords.empty() ? "" : aWords.front();
  const std::vector<std::string> operands(aWords.begin() + (aWords.empty() ? 0 : 1), aWords.end());
  if (command == "validate" && !operands.empty()) {
    return Validate(operands);
  }
  if (command == "status" && operands.empty()) {
    return Status(store, aOptions);
  }
  if (operands.size() != 1) {
    return Usage();
  }
  const std::string& operand = operands.front();
  if (command == "apply") {
    return Apply(tool, aOptions, operand);
  }
  if (command == "diff") {
    const auto document = ReadDocument(operand);
    return document ? tool.Diff(*document) : ctl::usage;
  }
  if (command == "get") {
    return tool.Get({ operand });
  }
  if (command == "retire") {
    return Retire(tool, aOptions, { operand });
  }
  if (command == "wait") {
    return Wait(tool, aOptions, { operand });
  }
  if (command == "explain") {
    return Explain(aOptions, operand);
  }
  return Usage();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  settings values("persimmonctl",
                  "Reads and edits service documents and shows what became of them.",
                  PERSIMMON_VERSION);
  values.AcceptOperands(kUsage);
  values.Add("store-url", "http://127.0.0.1:7000", "address of the platform's object API");
  values.Add("routers", "", "addresses of the routers, http://ip:port, between commas");
  values.Add("timeout-ms", "10000", "longest time to wait for an answer or for --wait");
  values.Add("expect", "none", "version that the edit starts from; none for a new document");
  values.Add("wait", "false", "wait until the edit is in force on every router");
  if (const auto code = values.Parse(aCount, aArguments)) {
    return *code;
  }
  options parsed;
  parsed.storeUrl = values.Text("store-url");
  parsed.routers = values.List("routers");
  parsed.timeout.ms = values.Number("timeout-ms", 1, 3600000);
  if (values.Text("expect") != "none") {
    parsed.expected = revision{ static_cast<std::uint64_t>(values.Number("expect", 1, INT64_MAX)) };
  }
  parsed.wait = values.Flag("wait");
  if (const auto code = values.Finish()) {
    return *code;
  }
  return Run(parsed, values.Operands());
}
