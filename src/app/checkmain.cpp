#include "check/checkreport.h"
#include "check/checks.h"
#include "check/historyreader.h"
#include "settings/settings.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace persimmon;

namespace {

constexpr std::int64_t kLongestBoundMs = 600000;

struct check_settings
{
  check::check_options options;
  check::required_counts required;
  std::vector<std::string> files;
};

void
Declare(settings& aSettings)
{
  aSettings.AcceptOperands("FILES...");
  aSettings.Add("member-loss-ms", "2500", "time to withdraw a group that lost a member");
  aSettings.Add("leaving-ms", "5000", "time in which a leaving upstream may get new work");
  aSettings.Add("in-force-ms", "3000", "time for an accepted document to be in force");
  aSettings.Add("routers", "", "routers that must have every document, by name");
  aSettings.Add("require", "", "promise=count,...: least number of checks; 1 for the others");
  aSettings.Add("may-be-empty", "", "promises that need not have been put to the test");
}

/// Reads `promise=count`.
bool
ReadRequirement(const std::string& aText, check::required_counts& aRequired)
{
  const std::size_t sign = aText.find('=');
  const auto subject = check::ParsePromise(aText.substr(0, sign));
  if (sign == std::string::npos || !subject) {
    return false;
  }
  std::uint64_t count = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data() + sign + 1, end, count);
  aRequired[*subject] = count;
  return result.ec == std::errc() && result.ptr == end;
}

check_settings
Read(settings& aSettings)
{
  check_settings read;
  read.options.memberLoss.ms = aSettings.Number("member-loss-ms", 0, kLongestBoundMs);
  read.options.leaving.ms = aSettings.Number("leaving-ms", 0, kLongestBoundMs);
  read.options.inForce.ms = aSettings.Number("in-force-ms", 0, kLongestBoundMs);
  read.options.routers = aSettings.List("routers");
  for (const std::string& part : aSettings.List("require")) {
    if (!ReadRequirement(part, read.required)) {
      aSettings.Fail("require", "promise=count,... as the output names promises");
    }
  }
  for (const std::string& name : aSettings.List("may-be-empty")) {
    const auto subject = check::ParsePromise(name);
    if (subject) {
      read.required[*subject] = 0;
    } else {
      aSettings.Fail("may-be-empty", "promises as the output names them");
    }
  }
  read.files = aSettings.Operands();
  return read;
}

bool
ReadFile(const std::string& aPath, std::vector<check::recorded_event>& aEvents)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << "persimmon-check: cannot read " << aPath << "\n";
    return false;
  }
  std::string problem;
  if (!check::ReadHistory(text.str(), aPath, aEvents, problem)) {
    std::cerr << "persimmon-check: " << problem << "\n";
    return false;
  }
  return true;
}

int
CheckFiles(const check_settings& aSettings)
{
  std::vector<check::recorded_event> events;
  for (const std::string& path : aSettings.files) {
    if (!ReadFile(path, events)) {
      return exit_usage;
    }
  }
  const check::run_history history(std::move(events));
  const auto verdicts = check::CheckAll(history, aSettings.options);
  std::cout << check::RenderVerdicts(verdicts, aSettings.required);
  const bool proven = check::IsProven(verdicts, aSettings.required);
  std::cout << history.Events().size() << " events: " << (proven ? "held" : "NOT HELD") << "\n";
  return proven ? exit_success : exit_failure;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  settings values("persimmon-check",
                  "Holds histories to the promises. Ends with 1 when one is broken or was not put "
                  "to the test, and with 2 when a file cannot be read.",
                  PERSIMMON_VERSION);
  Declare(values);
  if (const auto code = values.Parse(aCount, aArguments)) {
    return *code;
  }
  check_settings read = Read(values);
  if (const auto code = values.Finish()) {
    return *code;
  }
  if (read.files.empty()) {
    std::cerr << "persimmon-check: no files (see --help)\n";
    return exit_usage;
  }
  return CheckFiles(read);
}
