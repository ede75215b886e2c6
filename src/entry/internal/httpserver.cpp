#include "entry/httpserver.h"

#include "entry/internal/responderimplementation.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace persimmon::entry {
namespace {

constexpr std::chrono::hours kRequestTimeLimit{ 2 };
constexpr std::chrono::minutes kIdleConnectionLimit{ 5 };
// Reading on while a request is handled is how the server learns that its caller left.
constexpr std::size_t kPipelinedRequests = 2;
constexpr std::size_t kMaxFieldBytes = 16384;
constexpr std::size_t kMaxHeaderCount = 100;

/// Tells the responders of a connection that it has closed.
class connection_listener
{
public:
  using answer = std::weak_ptr<responder::implementation>;

  void Remember(restinio::connection_id_t aConnection, const answer& aAnswer)
  {
    const std::lock_guard lock(mMutex);
    mAnswers[aConnection] = aAnswer;
  }

  /// RESTinio's name and form for a listener's callback.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t& aNotice) noexcept
  {
    if (std::holds_alternative<restinio::connection_state::closed_t>(aNotice.cause())) {
      Forget(aNotice.connection_id());
    }
  }

private:
  void Forget(restinio::connection_id_t aConnection)
  {
    answer closed;
    {
      const std::lock_guard lock(mMutex);
      const auto found = mAnswers.find(aConnection);
      if (found == mAnswers.end()) {
        return;
      }
      closed = found->second;
      mAnswers.erase(found);
    }
    if (const auto alive = closed.lock()) {
      alive->ConnectionClosed();
    }
  }

  std::mutex mMutex;
  std::unordered_map<restinio::connection_id_t, answer> mAnswers;
};

struct server_traits : public restinio::default_traits_t
{
  using connection_state_listener_t = connection_listener;
};

using listening_server = restinio::http_server_t<server_traits>;

server_request
Convert(const restinio::request_t& aRequest)
{
  server_request converted;
  const auto& header = aRequest.header();
  converted.method = header.method().c_str();
  converted.path = std::string(header.path());
  converted.query = std::string(header.query());
  header.for_each_field([&converted](const auto& aField) {
    converted.headers.push_back({ std::string(aField.name()), std::string(aField.value()) });
  });
  converted.body = aRequest.body();
  return converted;
}

} // namespace

struct http_server::implementation
{
  server_options options;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> guard{ context.get_executor() };
  std::vector<std::thread> threads;
  std::mutex mutex;
  std::unordered_map<endpoint, std::unique_ptr<listening_server>> servers;
  std::string reason;

  std::unique_ptr<listening_server> MakeServer(const std::string& aAddress,
                                               std::uint16_t aPort,
                                               request_handler aHandler,
                                               std::uint16_t& aBoundPort);
  bool Open(listening_server& aServer);
};

std::unique_ptr<listening_server>
http_server::implementation::MakeServer(const std::string& aAddress,
                                        std::uint16_t aPort,
                                        request_handler aHandler,
                                        std::uint16_t& aBoundPort)
{
  auto listener = std::make_shared<connection_listener>();
  auto handle = [listener, handler = std::move(aHandler)](restinio::request_handle_t aRequest) {
    server_request request = Convert(*aRequest);
    const auto connection = aRequest->connection_id();
    auto answer = std::make_shared<responder::implementation>(std::move(aRequest));
    listener->Remember(connection, answer);
    handler(std::move(request), std::make_shared<responder>(std::move(answer)));
    return restinio::request_accepted();
  };
  restinio::server_settings_t<server_traits> settings;
  settings.address(aAddress)
    .port(aPort)
    .request_handler(std::move(handle))
    .connection_state_listener(listener)
    .max_pipelined_requests(kPipelinedRequests)
    .read_next_http_message_timelimit(kIdleConnectionLimit)
    .write_http_response_timelimit(std::chrono::milliseconds(options.writeTimeout.ms))
    .handle_request_timeout(kRequestTimeLimit)
    .concurrent_accepts_count(1)
    .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                .max_url_size(kMaxFieldBytes)
                                .max_field_name_size(kMaxFieldBytes)
                                .max_field_value_size(kMaxFieldBytes)
                                .max_field_count(kMaxHeaderCount)
                                .max_body_size(options.maxBodyBytes))
    .socket_options_setter(
      [](auto& aOptions) { aOptions.set_option(asio::ip::tcp::no_delay{ true }); })
    .acceptor_options_setter(
      [](auto& aOptions) { aOptions.set_option(asio::ip::tcp::acceptor::reuse_address{ true }); })
    .acceptor_post_bind_hook([&aBoundPort](asio::ip::tcp::acceptor& aAcceptor) {
      aBoundPort = aAcceptor.local_endpoint().port();
    });
  return std::make_unique<listening_server>(restinio::external_io_context(context),
                                            std::move(settings));
}

bool
http_server::implementation::Open(listening_server& aServer)
{
  std::promise<std::string> opened;
  aServer.open_async([&opened] { opened.set_value(""); },
                     [&opened](const std::exception_ptr& aError) {
                       try {
                         std::rethrow_exception(aError);
                       } catch (const std::exception& error) {
                         opened.set_value(error.what());
                       }
                     });
  reason = opened.get_future().get();
  return reason.empty();
}

http_server::http_server(const server_options& aOptions)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->options = aOptions;
  for (std::size_t i = 0; i < aOptions.threads; ++i) {
    mImplementation->threads.emplace_back([this] { mImplementation->context.run(); });
  }
}

http_server::~http_server()
{
  Stop();
}

std::optional<endpoint>
http_server::Listen(const endpoint& aAddress, request_handler aHandler)
{
  const auto parts = SplitEndpoint(aAddress);
  const std::lock_guard lock(mImplementation->mutex);
  if (!parts) {
    mImplementation->reason = "'" + aAddress.value + "' is not ip:port";
    return std::nullopt;
  }
  std::uint16_t port = 0;
  auto server = mImplementation->MakeServer(parts->first, parts->second, std::move(aHandler), port);
  if (!mImplementation->Open(*server)) {
    return std::nullopt;
  }
  const endpoint bound{ fmt::format("{}:{}", parts->first, port) };
  mImplementation->servers[bound] = std::move(server);
  return bound;
}

void
http_server::Close(const endpoint& aAddress)
{
  const std::lock_guard lock(mImplementation->mutex);
  const auto found = mImplementation->servers.find(aAddress);
  if (found == mImplementation->servers.end()) {
    return;
  }
  std::promise<void> closed;
  found->second->close_async([&closed] { closed.set_value(); },
                             [&closed](const std::exception_ptr&) { closed.set_value(); });
  closed.get_future().wait();
  mImplementation->servers.erase(found);
}

void
http_server::Stop()
{
  mImplementation->guard.reset();
  mImplementation->context.stop();
  for (std::thread& thread : mImplementation->threads) {
    thread.join();
  }
  mImplementation->threads.clear();
  mImplementation->servers.clear();
}

const std::string&
http_server::LastReason() const
{
  return mImplementation->reason;
}

std::optional<std::pair<std::string, std::uint16_t>>
SplitEndpoint(const endpoint& aAddress)
{
  const std::size_t colon = aAddress.value.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = aAddress.value.data() + aAddress.value.size();
  const auto result = std::from_chars(aAddress.value.data() + colon + 1, end, port);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return std::pair{ aAddress.value.substr(0, colon), port };
}

} // namespace persimmon::entry
