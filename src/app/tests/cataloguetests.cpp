#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;

const fs::path kRoot = PERSIMMON_SOURCE_DIR;

std::string
ReadText(const fs::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool
IsProgramSource(const fs::path& aPath)
{
  const bool isSource = aPath.extension() == ".h" || aPath.extension() == ".cpp";
  return isSource && aPath.string().find("/tests/") == std::string::npos;
}

/// Texts of all sources but those of tests, by path.
std::map<std::string, std::string>
ProgramSources()
{
  std::map<std::string, std::string> sources;
  for (const char* folder : { "src", "platform", "standins", "bench" }) {
    for (const auto& entry : fs::recursive_directory_iterator(kRoot / folder)) {
      if (entry.is_regular_file() && IsProgramSource(entry.path())) {
        sources[entry.path().string()] = ReadText(entry.path());
      }
    }
  }
  return sources;
}

/// Returns what each match of an expression captured.
std::vector<std::smatch>
Matches(const std::string& aText, const std::regex& aExpression)
{
  return { std::sregex_iterator(aText.begin(), aText.end(), aExpression), std::sregex_iterator() };
}

/// Log events as `number name level`, from declarations in the sources.
std::multiset<std::string>
DeclaredEvents()
{
  const std::regex declaration(
    R"re(log_event(?:\s+k\w+)?\s*\{\s*(\d+),\s*"([a-z0-9_]+)",\s*(?:\w+::)*log_level::(\w+))re");
  std::multiset<std::string> events;
  for (const auto& [path, text] : ProgramSources()) {
    for (const std::smatch& match : Matches(text, declaration)) {
      events.insert(match.str(1) + " " + match.str(2) + " " + match.str(3));
    }
  }
  return events;
}

/// Log events as the catalogue has them.
std::multiset<std::string>
CataloguedEvents()
{
  const std::string text = ReadText(kRoot / "docs/EVENTS.md");
  const std::regex row(R"re(\n\| *(\d+) *\| *([a-z0-9_]+) *\| *(\w+) *\|)re");
  std::multiset<std::string> events;
  for (const std::smatch& match : Matches(text, row)) {
    events.insert(match.str(1) + " " + match.str(2) + " " + match.str(3));
  }
  return events;
}

std::multiset<std::string>
DeclaredMetrics()
{
  const std::regex declaration(R"re(metric_spec(?:\s+k\w+)?\s*\{\s*"([a-z0-9_]+)")re");
  std::multiset<std::string> metrics;
  for (const auto& [path, text] : ProgramSources()) {
    for (const std::smatch& match : Matches(text, declaration)) {
      metrics.insert(match.str(1));
    }
  }
  return metrics;
}

std::multiset<std::string>
CataloguedMetrics()
{
  const std::string text = ReadText(kRoot / "docs/METRICS.md");
  const std::regex row(R"re(\n\| *`?(persimmon_[a-z0-9_]+)`? *\|)re");
  std::multiset<std::string> metrics;
  for (const std::smatch& match : Matches(text, row)) {
    metrics.insert(match.str(1));
  }
  return metrics;
}

/// Words of a source, such as names of constants.
std::set<std::string>
Words(const std::string& aText)
{
  std::set<std::string> words;
  std::string word;
  for (const char letter : aText + " ") {
    if (std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '_') {
      word += letter;
    } else {
      words.insert(std::move(word));
      word.clear();
    }
  }
  return words;
}

/// Entries that only the first has, one a line.
std::string
Missing(const std::multiset<std::string>& aFirst, const std::multiset<std::string>& aSecond)
{
  std::vector<std::string> only;
  std::set_difference(
    aFirst.begin(), aFirst.end(), aSecond.begin(), aSecond.end(), std::back_inserter(only));
  std::string text;
  for (const std::string& entry : only) {
    text += entry + "\n";
  }
  return text;
}

} // namespace

// clang-format off
TEST_GROUP(catalogue){};
// clang-format on

TEST(catalogue, EveryLogEventIsInEventsPageAndTheOtherWayRound)
{
  const auto declared = DeclaredEvents();
  const auto catalogued = CataloguedEvents();
  CHECK(declared.size() > 20);
  STRCMP_EQUAL("", Missing(declared, catalogued).c_str());
  STRCMP_EQUAL("", Missing(catalogued, declared).c_str());
}

TEST(catalogue, NumbersOfLogEventsAreUnique)
{
  std::set<std::string> numbers;
  for (const std::string& event : DeclaredEvents()) {
    const std::string number = event.substr(0, event.find(' '));
    CHECK_TEXT(numbers.insert(number).second, event.c_str());
  }
}

TEST(catalogue, EveryLogEventHeaderListsAllItsEvents)
{
  const std::regex declaration(R"re(constexpr (?:\w+::)*log_event\s+(k\w+))re");
  for (const auto& [path, text] : ProgramSources()) {
    for (const std::smatch& match : Matches(text, declaration)) {
      const std::regex name("\\b" + match.str(1) + "\\b");
      CHECK_TEXT(Matches(text, name).size() >= 2, (path + ": " + match.str(1)).c_str());
    }
  }
}

TEST(catalogue, EveryDeclaredLogEventAndMetricIsWrittenSomewhere)
{
  const std::regex declaration(R"re(constexpr (?:\w+::)*(?:log_event|metric_spec)\s+(k\w+))re");
  const auto sources = ProgramSources();
  std::map<std::string, std::set<std::string>> users;
  for (const auto& [path, text] : sources) {
    for (const std::string& word : Words(text)) {
      users[word].insert(path);
    }
  }
  std::string unused;
  for (const auto& [path, text] : sources) {
    for (const std::smatch& match : Matches(text, declaration)) {
      const bool isUsed = users[match.str(1)].size() > 1;
      unused += isUsed ? "" : match.str(1) + " of " + fs::path(path).filename().string() + "\n";
    }
  }
  STRCMP_EQUAL("", unused.c_str());
}

TEST(catalogue, EveryMetricIsInMetricsPageAndTheOtherWayRound)
{
  const auto declared = DeclaredMetrics();
  const auto catalogued = CataloguedMetrics();
  CHECK(declared.size() > 10);
  STRCMP_EQUAL("", Missing(declared, catalogued).c_str());
  STRCMP_EQUAL("", Missing(catalogued, declared).c_str());
}

TEST(catalogue, EveryMetricInAlertsExists)
{
  const auto declared = DeclaredMetrics();
  const std::string text = ReadText(kRoot / "docs/ALERTS.md");
  const std::regex use(R"re(persimmon_[a-z0-9_]+)re");
  for (const std::smatch& match : Matches(text, use)) {
    const std::string name =
      std::regex_replace(match.str(), std::regex("_(bucket|count|sum)$"), "");
    CHECK_TEXT(declared.count(name) == 1, name.c_str());
  }
}
