#include "peers/nametable.h"

namespace persimmon::peers {

wire_value
name_writer::Intern(const std::string& aName, wire_frame& aFrame)
{
  const auto found = mNumbers.find(aName);
  if (found != mNumbers.end()) {
    return found->second;
  }
  const bool numberLeft = mNumbers.size() < kMaxLinkNames && aFrame.names.size() < kMaxFrameNames;
  if (!numberLeft || aName.size() > kMaxNameBytes) {
    return aName;
  }
  const std::uint64_t number = mNumbers.size();
  mNumbers.emplace(aName, number);
  aFrame.names.push_back(aName);
  return number;
}

bool
name_reader::AddNames(const wire_frame& aFrame)
{
  if (mNames.size() + aFrame.names.size() > kMaxLinkNames) {
    return false;
  }
  mNames.insert(mNames.end(), aFrame.names.begin(), aFrame.names.end());
  return true;
}

const std::string*
name_reader::Find(const wire_value& aField) const
{
  if (const auto* text = std::get_if<std::string>(&aField)) {
    return text->size() <= kMaxNameBytes ? text : nullptr;
  }
  const std::uint64_t number = std::get<std::uint64_t>(aField);
  return number < mNames.size() ? &mNames[number] : nullptr;
}

} // namespace persimmon::peers
