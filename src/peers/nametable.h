#pragma once

#include "peers/wireframe.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace persimmon::peers {

/// Most names that one side of a link numbers; later ones are written out.
constexpr std::size_t kMaxLinkNames = 65535;

/// Numbers the names that one side of a link sends.
class name_writer
{
public:
  /// Returns the number of a name, or the name itself when no number is left or it is too long.
  /// A name met for the first time is added to the frame under construction.
  wire_value Refer(const std::string& aName, wire_frame& aFrame);

private:
  std::unordered_map<std::string, std::uint64_t> mNumbers;
};

/// Remembers the names that the other side of a link introduced.
class name_reader
{
public:
  /// Takes the names of a frame over; false when the peer introduces more than it may.
  bool Introduce(const wire_frame& aFrame);
  /// Returns the name that a field refers to or spells out; nullptr when there is none.
  [[nodiscard]] const std::string* Find(const wire_value& aField) const;

private:
  std::vector<std::string> mNames;
};

} // namespace persimmon::peers
