#include "base/messageframing.h"

#include <CppUTest/TestHarness.h>
#include <initializer_list>
#include <utility>

using namespace persimmon;

namespace {

using field_list = std::initializer_list<std::pair<const char*, const char*>>;

std::string_view
FaultOf(field_list aFields)
{
  message_framing framing;
  for (const auto& [name, value] : aFields) {
    const std::string_view fault = framing.Add(name, value);
    if (!fault.empty()) {
      return fault;
    }
  }
  return {};
}

} // namespace

// clang-format off
TEST_GROUP(message_framing)
{
};
// clang-format on

TEST(message_framing, UsualFieldsAreSound)
{
  CHECK(FaultOf({}).empty());
  CHECK(FaultOf({ { "Content-Length", "0" } }).empty());
  CHECK(FaultOf({ { "Content-Length", "9223372036854775807" }, { "X", "a\tb \xC3\xA9" } }).empty());
  CHECK(FaultOf({ { "transfer-encoding", "Chunked" }, { "X", "" } }).empty());
}

TEST(message_framing, SameLengthGivenTwiceIsSound)
{
  CHECK(FaultOf({ { "Content-Length", "42" }, { "content-length", "42" } }).empty());
}

// Guards against a body of which a part passes for the whole, since its length was read up to the
// first wrong byte or is the last of several.
TEST(message_framing, LengthThatIsNotDecimalDigitsAloneIsAFault)
{
  for (const char* length : { "",
                              "8:7",
                              "81l",
                              "+817",
                              "-817",
                              "0x331",
                              "817.0",
                              "8 17",
                              "6, 12",
                              "42, 42",
                              "8e2",
                              "817;",
                              "\"8\"",
                              "8\r",
                              "８",
                              "9223372036854775808",
                              "18446744073709551617" }) {
    CHECK_TEXT(!FaultOf({ { "Content-Length", length } }).empty(), length);
  }
}

TEST(message_framing, DifferentLengthsAreAFault)
{
  CHECK(!FaultOf({ { "Content-Length", "817" }, { "Content-Length", "408" } }).empty());
  CHECK(!FaultOf({ { "Content-Length", "817" }, { "CONTENT-LENGTH", "" } }).empty());
}

TEST(message_framing, LengthBesideTransferCodingIsAFault)
{
  CHECK(!FaultOf({ { "Content-Length", "5" }, { "Transfer-Encoding", "chunked" } }).empty());
  CHECK(!FaultOf({ { "Transfer-Encoding", "chunked" }, { "Content-Length", "5" } }).empty());
}

TEST(message_framing, NameThatIsNoTokenIsAFault)
{
  for (const char* name : { "", "Content-Length ", " Content-Length", "Content\tLength", "A(" }) {
    CHECK_TEXT(!FaultOf({ { name, "5" } }).empty(), name);
  }
}

TEST(message_framing, ControlByteInAValueIsAFault)
{
  for (const char* value : { "a\rb", "a\nb", "a\x01", "\x7F" }) {
    CHECK_TEXT(!FaultOf({ { "X", value } }).empty(), value);
  }
  CHECK(!FindFieldFault("X", std::string_view("a\0b", 3)).empty());
}
