#pragma once

#include <cstddef>

namespace persimmon {

/// Largest head of a response with all interim responses and trailers, in bytes. Usual heads have
/// less than a kilobyte.
constexpr std::size_t kMaxResponseHeadBytes = 64U << 10U;
/// Most lines of such a head: each is kept as an object of its own, which takes many times the
/// bytes of a short line.
constexpr std::size_t kMaxResponseHeadLines = 512;

/// Counts what has come of the head of a response, which a faulty server may send without end.
class response_head_size
{
public:
  /// Adds a line. Returns false once the head is too large to be kept.
  bool Add(std::size_t aLineBytes)
  {
    mBytes += aLineBytes;
    ++mLines;
    return mBytes <= kMaxResponseHeadBytes && mLines <= kMaxResponseHeadLines;
  }

private:
  std::size_t mBytes = 0;
  std::size_t mLines = 0;
};

} // namespace persimmon
