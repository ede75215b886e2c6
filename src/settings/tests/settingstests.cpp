#include "settings/settings.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>
#include <vector>

using namespace persimmon;

namespace {

/// Captures the standard error stream while the object exists.
class captured_errors
{
public:
  captured_errors()
    : mOriginal(std::cerr.rdbuf(mText.rdbuf()))
  {
  }
  ~captured_errors() { std::cerr.rdbuf(mOriginal); }
  captured_errors(const captured_errors&) = delete;
  captured_errors& operator=(const captured_errors&) = delete;
  [[nodiscard]] std::string Text() const { return mText.str(); }

private:
  std::ostringstream mText;
  std::streambuf* mOriginal;
};

} // namespace

// clang-format off
TEST_GROUP(settings)
{
  settings values{ "persimmon-test", "Tests settings.", "1" };
  captured_errors errors;

  void setup() override
  {
    values.Add("threads", "2", "number of threads");
    values.AddRequired("store-url", "address of the platform");
  }
};
// clang-format on

TEST(settings, FlagOverridesVariableAndVariableOverridesDefault)
{
  setenv("PERSIMMON_THREADS", "3", 1);
  const std::array arguments = { "persimmon-test", "--store-url", "http://127.0.0.1:1" };
  CHECK_FALSE(values.Parse(arguments.size(), arguments.data()).has_value());
  CHECK_EQUAL(3, values.Number("threads", 1, 8));
  CHECK_FALSE(values.Finish().has_value());
  unsetenv("PERSIMMON_THREADS");
  CHECK_EQUAL(2, values.Number("threads", 1, 8));
}

TEST(settings, ErrorNamesFlagAndVariable)
{
  const std::array arguments = { "persimmon-test", "--threads", "many" };
  CHECK_FALSE(values.Parse(arguments.size(), arguments.data()).has_value());
  CHECK_EQUAL(1, values.Number("threads", 1, 8));
  CHECK_EQUAL(exit_usage, *values.Finish());
  STRCMP_CONTAINS(
    "--threads (or PERSIMMON_THREADS): found \"many\", expected a whole number from 1 to 8",
    errors.Text().c_str());
  STRCMP_CONTAINS("--store-url (or PERSIMMON_STORE_URL)", errors.Text().c_str());
}

TEST(settings, RejectsUnknownFlag)
{
  const std::array arguments = { "persimmon-test", "--thread", "2" };
  CHECK_EQUAL(exit_usage, *values.Parse(arguments.size(), arguments.data()));
}

// clang-format off
TEST_GROUP(settings_file)
{
  std::string path = "/tmp/persimmon-settings-test-" + std::to_string(getpid());
  settings values{ "persimmon-test", "Tests settings.", "1" };
  captured_errors errors;

  void setup() override
  {
    values.Add("threads", "2", "number of threads");
    values.Add("peers", "", "addresses");
    values.AddSettingsFile();
  }

  void teardown() override { std::remove(path.c_str()); }

  std::optional<int> Parse(const std::string& aText, std::vector<const char*> aMoreArguments = {})
  {
    std::ofstream(path) << aText;
    std::vector<const char*> arguments{ "persimmon-test", "--settings-file", path.c_str() };
    arguments.insert(arguments.end(), aMoreArguments.begin(), aMoreArguments.end());
    return values.Parse(static_cast<int>(arguments.size()), arguments.data());
  }
};
// clang-format on

TEST(settings_file, FileOverridesDefaultAndFlagOverridesFile)
{
  CHECK_FALSE(Parse("# a comment\nthreads = 5\npeers = 10.0.0.1:1,10.0.0.2:1\n").has_value());
  CHECK_EQUAL(5, values.Number("threads", 1, 8));
  UNSIGNED_LONGS_EQUAL(2, values.List("peers").size());
  settings again{ "persimmon-test", "Tests settings.", "1" };
  again.Add("threads", "2", "number of threads");
  again.AddSettingsFile();
  const std::array arguments = { "x", "--threads", "7", "--settings-file", path.c_str() };
  std::ofstream(path) << "threads = 5\n";
  CHECK_FALSE(again.Parse(arguments.size(), arguments.data()).has_value());
  CHECK_EQUAL(7, again.Number("threads", 1, 8));
}

TEST(settings_file, ErrorNamesUnknownSettingOfTheFile)
{
  CHECK_EQUAL(exit_usage, Parse("threds = 5\n").value_or(-1));
  CHECK(errors.Text().find("threds") != std::string::npos);
}

TEST(settings_file, ErrorNamesPathOfMissingFile)
{
  const std::array arguments = { "x", "--settings-file", "/nowhere/settings" };
  CHECK_EQUAL(exit_usage, values.Parse(arguments.size(), arguments.data()).value_or(-1));
  CHECK(errors.Text().find("/nowhere/settings") != std::string::npos);
}
