#pragma once

#include "peers/wireframe.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace persimmon::peers {

/// Maximum number of names that one side of a link assigns numbers to; later names are written in
/// full.
constexpr std::size_t kMaxLinkNames = 65535;

/// Assigns numbers to the names that this side of a link sends.
class name_writer
{
public:
  /// Returns the number of a name, or the name itself if no number is left or the name is too long.
  /// A name without a number gets the next one and is added to the frame under construction.
  wire_value Intern(const std::string& aName, wire_frame& aFrame);

private:
  std::unordered_map<std::string, std::uint64_t> mNumbers;
};

/// Resolves the numbers of names that the peer of a link has assigned.
class name_reader
{
public:
  /// Adds the names of a frame. Returns false if the peer exceeds kMaxLinkNames.
  bool AddNames(const wire_frame& aFrame);
  /// Returns the name that a field contains as a number or as text; nullptr if the number is
  /// unknown or the text is too long.
  [[nodiscard]] const std::string* Find(const wire_value& aField) const;

private:
  std::vector<std::string> mNames;
};

} // namespace persimmon::peers
