#include "app/router/sseframer.h"

namespace persimmon::router {
namespace {

constexpr std::string_view kBlankLine = "\n\n";
constexpr std::string_view kData = "data:";
constexpr std::string_view kEnd = "data: [DONE]\n\n";
constexpr std::string_view kEndWithoutSpace = "data:[DONE]\n\n";

} // namespace

std::string_view
sse_framer::Accept(std::string_view aBytes)
{
  if (mSawEnd) {
    return {};
  }
  if (mPartial.empty()) {
    const std::size_t whole = Scan(aBytes);
    if (!mSawEnd) {
      mPartial.assign(aBytes.substr(whole));
    }
    return aBytes.substr(0, whole);
  }
  mPartial.append(aBytes);
  const std::size_t whole = Scan(mPartial);
  mOut.assign(mPartial, 0, whole);
  mPartial.erase(0, mSawEnd ? mPartial.size() : whole);
  return mOut;
}

std::size_t
sse_framer::Scan(std::string_view aBytes)
{
  std::size_t start = 0;
  for (std::size_t end = aBytes.find(kBlankLine); end != std::string_view::npos;
       end = aBytes.find(kBlankLine, start)) {
    const std::string_view event = aBytes.substr(start, end + kBlankLine.size() - start);
    if (event == kEnd || event == kEndWithoutSpace) {
      mSawEnd = true;
      return start;
    }
    mEvents += event.starts_with(kData) ? 1 : 0;
    start += event.size();
  }
  return start;
}

void
sse_framer::DropPartial()
{
  mPartial.clear();
}

} // namespace persimmon::router
