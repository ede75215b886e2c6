#pragma once

#include "base/responseheadreader.h"
#include "load/exchangeresult.h"
#include "load/plannedcall.h"
#include "load/resendpolicy.h"
#include "load/streamtext.h"

#include <curl/curl.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::load {

/// A planned call with what became of it so far.
struct open_call
{
  planned_call plan;
  /// When it was to be sent.
  time_point intended;
  send_counts counts;
  std::size_t router = 0;
  std::optional<time_point> firstToken;
  std::uint64_t tokens = 0;
  /// The result that stands while a duplicate is under way.
  std::optional<exchange_result> answer;
  std::optional<time_point> answeredAt;
};

/// One sending of a call over libcurl.
class exchange
{
public:
  /// aRouter is `http://ip:port`.
  exchange(std::unique_ptr<open_call> aCall, const std::string& aRouter);
  ~exchange();
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  [[nodiscard]] CURL* Handle() const { return mHandle; }
  [[nodiscard]] const open_call& Call() const { return *mCall; }
  [[nodiscard]] std::unique_ptr<open_call> TakeCall() { return std::move(mCall); }
  /// Id of this sending in the history.
  [[nodiscard]] std::string CallId() const;
  [[nodiscard]] std::optional<time_point> LeaveAt() const { return mLeaveAt; }
  /// Moments at which text came, one for each token.
  [[nodiscard]] const std::vector<time_point>& TokenTimes() const { return mTokenTimes; }
  /// Judges the answer after libcurl is done with it.
  [[nodiscard]] exchange_result Result(CURLcode aCode) const;
  /// Returns the result of an exchange that the caller left.
  [[nodiscard]] exchange_result LeftResult() const;

private:
  static std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  static std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  void SetHeaders();
  void SetTransport(const std::string& aRouter);
  /// Keeps what the result needs of a whole head.
  void TakeHead();
  [[nodiscard]] int Status() const { return mHead.IsComplete() ? mHead.Status() : 0; }
  [[nodiscard]] exchange_result Failure(CURLcode aCode) const;
  /// Reads a problem that refuses the call.
  [[nodiscard]] exchange_result Refusal(const std::string& aProblem) const;
  /// Reads the problem in the event that broke a stream off.
  [[nodiscard]] exchange_result BrokenStream() const;
  [[nodiscard]] std::optional<std::string> AnswerDigest() const;

  std::unique_ptr<open_call> mCall;
  CURL* mHandle = nullptr;
  curl_slist* mHeaders = nullptr;
  std::optional<time_point> mLeaveAt;
  response_head_reader mHead;
  std::string mRequest;
  std::string mContentType;
  std::string mBody;
  stream_text mStream;
  std::vector<time_point> mTokenTimes;
};

} // namespace persimmon::load
