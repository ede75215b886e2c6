#include "settings/settingsfilewatch.h"

#include <chrono>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

namespace persimmon {
namespace {

std::optional<std::string>
ReadText(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace

settings_file_watch::settings_file_watch(std::string aPath,
                                         duration aInterval,
                                         std::function<void()> aOnChange)
  : mPath(std::move(aPath))
  , mInterval(aInterval)
  , mOnChange(std::move(aOnChange))
  , mText(ReadText(mPath).value_or(""))
{
  if (!mPath.empty()) {
    mThread = std::thread([this] { Run(); });
  }
}

settings_file_watch::~settings_file_watch()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mStopped.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
settings_file_watch::Run()
{
  std::unique_lock lock(mMutex);
  // The text of the last look when it differed from the one in force.
  std::optional<std::string> changed;
  while (!mStopped.wait_for(
    lock, std::chrono::milliseconds(mInterval.ms), [this] { return mStopping; })) {
    auto text = ReadText(mPath);
    // A file that is being written is empty at first, for longer when its writer is slow.
    const bool isWritten = text && !text->empty();
    if (isWritten && *text != mText && text == changed) {
      mText = std::move(*text);
      mOnChange();
    }
    changed = std::move(text);
  }
}

} // namespace persimmon
