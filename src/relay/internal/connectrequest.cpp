#include "relay/internal/connectrequest.h"

#include "base/text.h"

#include <http_parser.h>

namespace persimmon::relay {
namespace {

constexpr const char* kCredentialsHeader = "proxy-authorization";

} // namespace

struct connect_request::parser
{
  http_parser state{};
  http_parser_settings callbacks{};
  std::string target;
  std::string headerName;
  std::string headerValue;
  std::string credentials;
  bool readsValue = false;
  bool isComplete = false;

  parser()
  {
    http_parser_init(&state, HTTP_REQUEST);
    http_parser_settings_init(&callbacks);
    state.data = this;
    callbacks.on_url = [](http_parser* aState, const char* aData, std::size_t aLength) {
      Self(aState).target.append(aData, aLength);
      return 0;
    };
    callbacks.on_header_field = [](http_parser* aState, const char* aData, std::size_t aLength) {
      Self(aState).AddToName({ aData, aLength });
      return 0;
    };
    callbacks.on_header_value = [](http_parser* aState, const char* aData, std::size_t aLength) {
      Self(aState).readsValue = true;
      Self(aState).headerValue.append(aData, aLength);
      return 0;
    };
    callbacks.on_headers_complete = [](http_parser* aState) {
      Self(aState).EndHeader();
      Self(aState).isComplete = true;
      return 0;
    };
  }

  static parser& Self(http_parser* aState) { return *static_cast<parser*>(aState->data); }

  void AddToName(std::string_view aPart)
  {
    if (readsValue) {
      EndHeader();
    }
    headerName.append(aPart);
  }

  void EndHeader()
  {
    if (LowerCase(headerName) == kCredentialsHeader) {
      credentials = headerValue;
    }
    headerName.clear();
    headerValue.clear();
    readsValue = false;
  }
};

connect_request::connect_request()
  : mParser(std::make_unique<parser>())
{
}

connect_request::~connect_request() = default;

request_state
connect_request::Feed(std::string_view aBytes)
{
  mBytes += aBytes.size();
  http_parser& state = mParser->state;
  const std::size_t parsed =
    http_parser_execute(&state, &mParser->callbacks, aBytes.data(), aBytes.size());
  if (mParser->isComplete) {
    mUpstream = { mParser->target };
    mCredentials = mParser->credentials;
    const bool isConnect = state.method == HTTP_CONNECT && parsed == aBytes.size();
    return isConnect ? request_state::complete : request_state::invalid;
  }
  const bool isSound = state.http_errno == HPE_OK && mBytes <= kMaxRequestBytes;
  return isSound ? request_state::incomplete : request_state::invalid;
}

} // namespace persimmon::relay
