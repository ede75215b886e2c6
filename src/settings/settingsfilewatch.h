#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace persimmon {

/// Looks at a settings file at intervals, on a thread of its own, and calls a handler on that
/// thread each time the text has changed and was the same at two looks, so that a file that is
/// being written is not taken up. A file that can't be read counts as unchanged.
class settings_file_watch
{
public:
  /// Watches nothing when the path is empty.
  settings_file_watch(std::string aPath, duration aInterval, std::function<void()> aOnChange);
  /// Waits for the end of a handler that is running.
  ~settings_file_watch();
  settings_file_watch(const settings_file_watch&) = delete;
  settings_file_watch& operator=(const settings_file_watch&) = delete;

private:
  void Run();

  std::string mPath;
  duration mInterval;
  std::function<void()> mOnChange;
  /// Text of the file when it was read last.
  std::string mText;
  std::mutex mMutex;
  std::condition_variable mStopped;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace persimmon
