#include "settings/settings.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <cstdlib>
#include <iostream>
#include <sstream>

using namespace persimmon;

namespace {

/// Catches what a program would print as errors.
class captured_errors
{
public:
  captured_errors()
    : mOld(std::cerr.rdbuf(mText.rdbuf()))
  {
  }
  ~captured_errors() { std::cerr.rdbuf(mOld); }
  captured_errors(const captured_errors&) = delete;
  captured_errors& operator=(const captured_errors&) = delete;
  [[nodiscard]] std::string Text() const { return mText.str(); }

private:
  std::ostringstream mText;
  std::streambuf* mOld;
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

TEST(settings, FlagGoesBeforeVariableBeforeDefault)
{
  setenv("PERSIMMON_THREADS", "3", 1);
  const std::array arguments = { "persimmon-test", "--store-url", "http://127.0.0.1:1" };
  CHECK_FALSE(values.Parse(arguments.size(), arguments.data()).has_value());
  CHECK_EQUAL(3, values.Number("threads", 1, 8));
  CHECK_FALSE(values.Finish().has_value());
  unsetenv("PERSIMMON_THREADS");
  CHECK_EQUAL(2, values.Number("threads", 1, 8));
}

TEST(settings, ProblemNamesFlagAndVariable)
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

TEST(settings, UnknownFlagIsRefused)
{
  const std::array arguments = { "persimmon-test", "--thread", "2" };
  CHECK_EQUAL(exit_usage, *values.Parse(arguments.size(), arguments.data()));
}
