#include "base/sharedjsonlist.h"

#include "base/random.h"
#include "base/tests/mutatedtext.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

using namespace persimmon;

namespace {

constexpr shared_list_form kForm{ "items", "metadata" };

std::string
Item(const std::string& aName, const std::string& aValue)
{
  return R"({"metadata":{"name":")" + aName + R"(","revision":3},"spec":{"zone":)" + aValue +
         R"(,"slots":[1,{"a":2}]}})";
}

const std::string kFirst = Item("a", "\"z1\"");
const std::string kSecond = Item("b", "\"]},{\"");
const std::string kThird = Item("c", "\"\xc3\xa9\"");

/// A list in which aOdd stands between sound items.
std::string
ListWith(const std::string& aOdd, const std::string& aSeparator)
{
  return R"({"at":9,"items":[)" + kFirst + aSeparator + aOdd + aSeparator + kSecond + aSeparator +
         kThird + R"(],"more":false})";
}

bool
Holds(const shared_json_list& aList, const std::string& aItem)
{
  return std::find(aList.items.begin(), aList.items.end(), aItem) != aList.items.end();
}

bool
IsReadable(std::string_view aText)
{
  return !nlohmann::json::parse(aText, nullptr, false).is_discarded();
}

} // namespace

// clang-format off
TEST_GROUP(shared_json_list)
{
};
// clang-format on

TEST(shared_json_list, ItemsAndOtherMembersAreFound)
{
  for (const char* separator : { ",", " , ", ",\r\n  " }) {
    const std::string text = ListWith(Item("odd", "1"), separator);
    const auto list = SplitSharedList(text, kForm);
    CHECK(list.has_value());
    LONGS_EQUAL(4, list->items.size());
    CHECK(list->items[0] == kFirst);
    CHECK(list->items[3] == kThird);
    LONGS_EQUAL(2, list->others.size());
    CHECK(list->others[0].name == "at" && list->others[0].value == "9");
    CHECK(list->others[1].name == "more" && list->others[1].value == "false");
  }
  CHECK(SplitSharedList(R"({ "items" : [ ] })", kForm)->items.empty());
}

// Guards against one writer's text that decides whether the entries of all others are read: bytes
// that are no UTF-8, escapes that do not exist, control bytes, numbers out of range, deep nesting.
TEST(shared_json_list, ItemWithAnOddValueSpoilsOnlyItself)
{
  for (const std::string& odd : { std::string("\"\xff\xfe\""),
                                  std::string("\"\xe2\x82\""),
                                  std::string("\"\xed\xa0\x80\""),
                                  std::string("\"\xed\xbf\xbf\""),
                                  std::string("\"\xc0\xaf\""),
                                  std::string("\"\xe0\x80\x80\""),
                                  std::string("\"\xf0\x80\x80\x80\""),
                                  std::string("\"\xf4\x90\x80\x80\""),
                                  std::string("\"\xf8\x88\x80\x80\x80\""),
                                  std::string("\"\\ud800\""),
                                  std::string("\"\\udc00\\ud800\""),
                                  std::string("\"\\ud800\\u0041\""),
                                  std::string("\"\\q\""),
                                  std::string("\"\\u12\""),
                                  std::string("\"\n\""),
                                  std::string("\"\0\"", 3),
                                  std::string("\"\x1f\""),
                                  std::string("1e400"),
                                  std::string("-1E+999"),
                                  std::string(400, '9'),
                                  std::string("01"),
                                  std::string("+1"),
                                  std::string("NaN"),
                                  std::string("True"),
                                  std::string("'z'"),
                                  std::string(50, '[') + std::string(50, ']'),
                                  std::string(300000, '[') + std::string(300000, ']') }) {
    for (const char* separator : { ",", ", " }) {
      const std::string text = ListWith(Item("odd", odd), separator);
      const auto list = SplitSharedList(text, kForm);
      CHECK_TEXT(list.has_value(), odd.substr(0, 20).c_str());
      LONGS_EQUAL_TEXT(4, list->items.size(), odd.substr(0, 20).c_str());
      CHECK_TEXT(list->items[0] == kFirst && list->items[2] == kSecond && list->items[3] == kThird,
                 odd.substr(0, 20).c_str());
      LONGS_EQUAL(2, list->others.size());
    }
  }
}

// Guards against a text that breaks the structure of the list itself.
TEST(shared_json_list, ItemWithAnOddStructureSpoilsOnlyItself)
{
  for (const std::string& odd : { std::string("\"z\"x\""),
                                  std::string("\"z\\\""),
                                  std::string("\"z"),
                                  std::string("z\""),
                                  std::string("\"\"\"\""),
                                  std::string("\"z\"}"),
                                  std::string("\"z\"}}"),
                                  std::string("\"z\"}},"),
                                  std::string("\"z\"}]"),
                                  std::string("\"z\"]"),
                                  std::string("{"),
                                  std::string("["),
                                  std::string("[["),
                                  std::string("{\"a\":"),
                                  std::string("\"z\",,"),
                                  std::string(":"),
                                  std::string("") }) {
    for (const char* separator : { ",", " ,\n" }) {
      const std::string text = ListWith(Item("odd", odd), separator);
      const auto list = SplitSharedList(text, kForm);
      CHECK_TEXT(list.has_value(), odd.c_str());
      CHECK_TEXT(Holds(*list, kFirst) && Holds(*list, kSecond) && Holds(*list, kThird),
                 odd.c_str());
      LONGS_EQUAL_TEXT(
        3, std::count_if(list->items.begin(), list->items.end(), IsReadable), odd.c_str());
      LONGS_EQUAL_TEXT(2, list->others.size(), odd.c_str());
    }
  }
}

TEST(shared_json_list, OddItemsAtTheStartAndTheEndSpoilOnlyThemselves)
{
  for (const char* odd : { "\"z\"x\"", "\"\xed\xa0\x80\"", "{" }) {
    const std::string item = Item("odd", odd);
    std::string text = R"({"items":[)";
    text.append(item).append(",").append(kFirst).append(",").append(item);
    text.append(R"(],"more":true})");
    const auto list = SplitSharedList(text, kForm);
    CHECK_TEXT(list.has_value(), odd);
    CHECK_TEXT(Holds(*list, kFirst), odd);
    CHECK_TEXT(list->others.size() == 1 && list->others[0].value == "true", odd);
    const std::string alone = R"({"items":[)" + item + "]}";
    CHECK_TEXT(SplitSharedList(alone, kForm)->items.size() == 1, odd);
  }
}

// Guards against forms that nobody has thought of.
TEST(shared_json_list, ItemThatIsMutatedAtRandomSpoilsOnlyItself)
{
  random_source random(67);
  for (int round = 0; round < 20000; ++round) {
    // The first and the last byte are those by which the store puts items together.
    const std::string item = Item("odd", "\"z\"");
    const std::string odd =
      "{" + MutatedText(std::string_view(item).substr(1, item.size() - 2), random) + "}";
    const auto list = SplitSharedList(ListWith(odd, ","), kForm);
    CHECK_TEXT(list.has_value(), odd.c_str());
    const std::string text = ListWith(odd, ",");
    const auto again = SplitSharedList(text, kForm);
    CHECK_TEXT(Holds(*again, kFirst) && Holds(*again, kSecond) && Holds(*again, kThird),
               odd.c_str());
  }
}

TEST(shared_json_list, TextThatEndsEarlyIsRejected)
{
  const std::string whole =
    R"({"items":[{"metadata":{},"b":1e400,"c":"x\"y"},{"metadata":{},"d":[[]]}],"at":-1.5})";
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_TEXT(!SplitSharedList(whole.substr(0, size), kForm).has_value(),
               whole.substr(0, size).c_str());
  }
  CHECK(SplitSharedList(whole, kForm).has_value());
  CHECK(!SplitSharedList(std::string(300000, '['), kForm).has_value());
}

TEST(shared_json_list, TextWithoutTheListIsRejected)
{
  for (const char* text : { "",
                            "[]",
                            "{}",
                            "null",
                            R"({"items":7})",
                            R"({"items":{}})",
                            R"({"others":[]})",
                            R"({"items":[],"at":x"})",
                            R"({"items":[]} {})" }) {
    CHECK_TEXT(!SplitSharedList(text, kForm).has_value(), text);
  }
}

// Guards against an item that is built to make the search for the next one slow.
TEST(shared_json_list, SearchBehindAnOddItemIsBounded)
{
  std::string odd = "{\"metadata\":{},\"spec\":\"x\"y";
  for (int count = 0; count < 100000; ++count) {
    odd += count % 2 == 0 ? ",{\"metadata\":[" : ",{\"metadata\":{}}";
  }
  const std::string text = ListWith(odd + "}", ",");
  const auto list = SplitSharedList(text, kForm);
  CHECK(list.has_value());
  CHECK(Holds(*list, kThird));
}
