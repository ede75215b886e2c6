#include "history/historywriter.h"

#include <fcntl.h>
#include <unistd.h>

namespace persimmon::history {
namespace {

constexpr int kNoFile = -1;
constexpr mode_t kFileMode = 0644;

} // namespace

struct history_writer::implementation
{
  bool wanted = false;
  int file = kNoFile;
  std::string process;
};

history_writer::history_writer(const std::string& aPath, std::string aProcess)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->process = std::move(aProcess);
  mImplementation->wanted = !aPath.empty();
  if (mImplementation->wanted) {
    mImplementation->file =
      open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  }
}

history_writer::~history_writer()
{
  if (mImplementation->file != kNoFile) {
    close(mImplementation->file);
  }
}

void
history_writer::Write(event aEvent)
{
  if (mImplementation->file == kNoFile) {
    return;
  }
  aEvent.at = steady_clock().Now();
  aEvent.process = mImplementation->process;
  const std::string line = RenderEvent(aEvent) + "\n";
  // One write to a file opened for appending, so that lines of several threads do not mix.
  const ssize_t written = write(mImplementation->file, line.data(), line.size());
  static_cast<void>(written);
}

bool
history_writer::IsReady() const
{
  return !mImplementation->wanted || mImplementation->file != kNoFile;
}

} // namespace persimmon::history
