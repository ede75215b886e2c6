// Processor time that one line of the log costs, written by the calling thread or through the log
// thread, with a reader that takes everything. Prints a table.

#include "base/log.h"
#include "base/logevents.h"

#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace persimmon;

namespace {

constexpr int kLines = 200000;
constexpr std::size_t kCapacity = kLines;

/// Sends standard output elsewhere while it lives.
class discarded_output
{
public:
  discarded_output()
    : mOutput(dup(STDOUT_FILENO))
  {
    std::fflush(stdout);
    const int nowhere = open("/dev/null", O_WRONLY | O_CLOEXEC);
    dup2(nowhere, STDOUT_FILENO);
    close(nowhere);
  }
  ~discarded_output()
  {
    std::fflush(stdout);
    dup2(mOutput, STDOUT_FILENO);
    close(mOutput);
  }
  discarded_output(const discarded_output&) = delete;
  discarded_output& operator=(const discarded_output&) = delete;

private:
  int mOutput;
};

double
SecondsOf(clockid_t aClock)
{
  constexpr double kNanosecond = 1e-9;
  timespec time{};
  clock_gettime(aClock, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * kNanosecond;
}

/// Writes lines as long as those of a call that is sent.
void
WriteLines()
{
  for (int i = 0; i < kLines; ++i) {
    WriteLog(kLogLinesDropped,
             { { "request", "9c41d07be2a3" + std::to_string(i) },
               { "service", "verifier-llm" },
               { "upstream", "i-7f3a91c2" },
               { "attempt", "1" },
               { "resume_after", "none" },
               { "rank", "normal" },
               { "fingerprint", "6ff4da8dc32bdbef" },
               { "left_ms", "7981" } });
  }
}

/// Prints the processor time a line, of the caller's thread and of the whole process.
template<typename Write>
void
Measure(const char* aName, const Write& aWrite)
{
  constexpr double kMicroseconds = 1e6;
  const double thread = SecondsOf(CLOCK_THREAD_CPUTIME_ID);
  const double process = SecondsOf(CLOCK_PROCESS_CPUTIME_ID);
  {
    const discarded_output discarded;
    aWrite();
  }
  std::printf("%-14s caller %6.2f us a line  process %6.2f us a line\n",
              aName,
              (SecondsOf(CLOCK_THREAD_CPUTIME_ID) - thread) / kLines * kMicroseconds,
              (SecondsOf(CLOCK_PROCESS_CPUTIME_ID) - process) / kLines * kMicroseconds);
}

} // namespace

int
main()
{
  StartLog("bench-log", log_level::info);
  Measure("without thread", WriteLines);
  Measure("log thread", [] {
    StartLogThread(kCapacity);
    WriteLines();
    StopLogThread();
  });
  return 0;
}
