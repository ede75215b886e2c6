#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace persimmon::entry {

/// Follows the framing of the requests on a connection and finds bytes that the HTTP parser takes
/// for line ends or skips although they are not line ends (RFC 9112, 2.2 and 7.1), so that other
/// software may see other requests in them.
class request_scanner
{
public:
  /// Reads the next bytes of the connection. Returns false from the first fault on.
  bool Feed(std::string_view aBytes);
  /// Returns true when a part of a head has come, and not its end.
  [[nodiscard]] bool IsWithinHead() const
  {
    return mPart == part::header || (mPart == part::request_line && !mLine.empty());
  }
  /// Returns true when no part of a request has come since the end of the last one.
  [[nodiscard]] bool IsBetweenRequests() const
  {
    return mPart == part::request_line && mLine.empty();
  }
  /// Returns how many bytes of the present body, or of its present chunk, have not come; 0 outside
  /// of one.
  [[nodiscard]] std::uint64_t ContentLeft() const
  {
    return mPart == part::body || mPart == part::chunk ? mLeft : 0;
  }
  /// Number of heads that have come to their ends.
  [[nodiscard]] std::size_t EndedHeads() const { return mEndedHeads; }

private:
  /// What the next byte belongs to.
  enum class part
  {
    request_line,
    header,
    /// A body with a length.
    body,
    chunk_size,
    chunk,
    /// The line end behind a chunk.
    chunk_end,
    trailer,
    faulty
  };

  /// Skips bytes of a body or chunk and returns the rest.
  std::string_view SkipContent(std::string_view aBytes);
  /// Reads up to the end of a line and returns the rest.
  std::string_view ReadLine(std::string_view aBytes);
  /// Handles a line, with its end; returns what follows it.
  [[nodiscard]] part HandleLine(std::string_view aLine);
  [[nodiscard]] part HandleRequestLine(std::string_view aLine);
  [[nodiscard]] part HandleHeader(std::string_view aLine);
  [[nodiscard]] part HandleChunkSize(std::string_view aLine);
  /// Returns what follows the headers.
  [[nodiscard]] part PartBehindHead() const;

  part mPart = part::request_line;
  std::size_t mEndedHeads = 0;
  /// Begin of a line whose end has not come.
  std::string mLine;
  /// Bytes left of the body or chunk.
  std::uint64_t mLeft = 0;
  bool mIsChunked = false;
  /// True when the latest header is about framing.
  bool mIsFramingHeader = false;
};

} // namespace persimmon::entry
