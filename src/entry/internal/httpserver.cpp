#include "entry/httpserver.h"

#include "entry/entryevents.h"
#include "entry/internal/callerconnection.h"
#include "entry/internal/currentconnection.h"
#include "entry/internal/headtimelimit.h"
#include "entry/internal/openconnections.h"
#include "entry/internal/requestframing.h"
#include "entry/internal/responderimplementation.h"
#include "entry/internal/scannedsocket.h"
#include "loop/internal/eventloopimplementation.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <future>
#include <mutex>
#include <unordered_map>

namespace persimmon::entry {
namespace {

constexpr std::chrono::hours kRequestHandlingTimeout{ 2 };
// Longest time without a request when no other limit is set.
constexpr std::chrono::minutes kIdleConnectionTimeout{ 5 };
// With 2, RESTinio keeps reading while a request is handled, which is how a client's disconnect is
// detected.
constexpr std::size_t kMaxPipelinedRequests = 2;
// Connections that one turn of the event loop accepts: with a single one, new callers wait for as
// many turns as there are connections before theirs.
constexpr std::size_t kConcurrentAccepts = 16;
constexpr std::size_t kMaxFieldBytes = 65536;
constexpr std::size_t kMaxHeaderCount = 200;
constexpr int kStatusBadRequest = 400;

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Keeps the open connections, and notifies the responders of a connection when it closes.
class connection_listener
{
public:
  using weak_responder = std::weak_ptr<responder::implementation>;
  using shared_connection = std::shared_ptr<caller_connection>;

  /// Returns the connection of a request. aCurrent is the one whose bytes are being handled; it is
  /// empty when the request was read together with an earlier one of its connection.
  shared_connection Find(restinio::connection_id_t aConnection, const shared_connection& aCurrent)
  {
    const std::lock_guard lock(mMutex);
    tracked_connection& tracked = mConnections[aConnection];
    if (!tracked.connection) {
      tracked.connection = aCurrent;
    }
    return tracked.connection;
  }

  /// Records a request of a connection; aIsLast for one with which its client ends the connection,
  /// or that is rejected. Returns false when an earlier request was the last one, so that this one
  /// must not be run (RFC 9112, 9.6): RESTinio reads on while a request is handled.
  bool Track(restinio::connection_id_t aConnection, const weak_responder& aResponder, bool aIsLast)
  {
    const std::lock_guard lock(mMutex);
    tracked_connection& tracked = mConnections[aConnection];
    if (tracked.isEnding) {
      return false;
    }
    std::erase_if(tracked.responders, [](const auto& aOther) { return aOther.expired(); });
    tracked.responders.push_back(aResponder);
    tracked.isEnding = aIsLast;
    return true;
  }

  /// Connection state callback; RESTinio prescribes its name and signature.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t& aNotice) noexcept
  {
    if (std::holds_alternative<restinio::connection_state::closed_t>(aNotice.cause())) {
      NotifyClosed(aNotice.connection_id());
    }
  }

private:
  /// An open connection.
  struct tracked_connection
  {
    shared_connection connection;
    /// Those of the requests that have not been answered, and of some that have.
    std::vector<weak_responder> responders;
    /// True once its last request has been received.
    bool isEnding = false;
  };

  void NotifyClosed(restinio::connection_id_t aConnection)
  {
    std::vector<weak_responder> responders;
    {
      const std::lock_guard lock(mMutex);
      const auto found = mConnections.find(aConnection);
      if (found == mConnections.end()) {
        return;
      }
      responders = std::move(found->second.responders);
      mConnections.erase(found);
    }
    for (const weak_responder& closed : responders) {
      if (const auto alive = closed.lock()) {
        alive->ConnectionClosed();
      }
    }
  }

  std::mutex mMutex;
  std::unordered_map<restinio::connection_id_t, tracked_connection> mConnections;
};

struct server_traits : public restinio::default_single_thread_traits_t
{
  using connection_state_listener_t = connection_listener;
  using stream_socket_t = scanned_socket;
};

using listening_server = restinio::http_server_t<server_traits>;

/// A received request that keeps a body, and the memory that is reserved for it.
struct body_holder
{
  restinio::request_handle_t request;
  std::shared_ptr<body_reservation> memory;
};

/// Returns the body of a request; a large one without a copy.
shared_text
BodyOf(const restinio::request_handle_t& aRequest, std::shared_ptr<body_reservation> aMemory)
{
  const std::string& body = aRequest->body();
  if (body.size() <= kSmallBodyBytes) {
    return body;
  }
  const auto holder = std::make_shared<body_holder>(body_holder{ aRequest, std::move(aMemory) });
  return shared_text(std::shared_ptr<const std::string>(holder, &body));
}

server_request
ConvertRequest(const restinio::request_t& aRequest)
{
  server_request converted;
  const auto& header = aRequest.header();
  converted.method = header.method().c_str();
  converted.target = std::string(header.request_target());
  converted.path = std::string(header.path());
  converted.query = std::string(header.query());
  header.for_each_field([&converted](const auto& aField) {
    converted.headers.push_back({ std::string(aField.name()), std::string(aField.value()) });
  });
  return converted;
}

/// Answers a request whose framing is in doubt and closes its connection.
void
Reject(const server_request& aRequest,
       std::string_view aFault,
       responder::implementation& aResponse)
{
  const std::string cause(aFault);
  WriteLog(kRequestRejected,
           { { "cause", cause }, { "method", aRequest.method }, { "path", aRequest.path } });
  aResponse.Send({ kStatusBadRequest, {}, cause, true });
}

} // namespace

struct http_server::implementation
{
  using shared_handler = std::shared_ptr<const request_handler>;
  /// Servers of a listening address, one for each event loop.
  using listeners = std::vector<std::unique_ptr<listening_server>>;

  server_options options;
  std::vector<std::unique_ptr<loop::event_loop>> ownLoops;
  std::vector<loop::event_loop*> loops;
  std::mutex mutex;
  std::unordered_map<endpoint, listeners> servers;
  std::string reason;

  /// Creates a server on an event loop. aPort receives the bound port when the server is opened.
  std::unique_ptr<listening_server> MakeServer(const std::string& aAddress,
                                               std::uint16_t& aPort,
                                               const shared_handler& aHandler,
                                               std::size_t aLoop);
  /// Opens a server and waits for the result; sets `reason` on failure.
  bool Open(listening_server& aServer);
  bool IsPortFree(const std::string& aAddress, std::uint16_t aPort);
};

std::unique_ptr<listening_server>
http_server::implementation::MakeServer(const std::string& aAddress,
                                        std::uint16_t& aPort,
                                        const shared_handler& aHandler,
                                        std::size_t aLoop)
{
  auto listener = std::make_shared<connection_listener>();
  asio::io_context& context = loops[aLoop]->Implementation().context;
  auto handle =
    [listener, handler = aHandler, aLoop, &context](restinio::request_handle_t aRequest) {
      server_request request = ConvertRequest(*aRequest);
      request.loop = aLoop;
      const auto connection = aRequest->connection_id();
      const auto caller =
        listener->Find(connection, asio::use_service<current_connection>(context).Get());
      request.receivedAt = caller->RequestReceivedAt();
      request.body = BodyOf(aRequest, caller->TakeBodyMemory());
      const std::string_view fault = FindFramingFault(request.headers);
      const bool isLast = !aRequest->header().should_keep_alive() || !fault.empty();
      auto response = std::make_shared<responder::implementation>(std::move(aRequest), caller);
      if (!listener->Track(connection, response, isLast)) {
        return restinio::request_accepted();
      }
      if (!fault.empty()) {
        Reject(request, fault, *response);
        return restinio::request_accepted();
      }
      (*handler)(std::move(request), std::make_shared<responder>(std::move(response)));
      return restinio::request_accepted();
    };
  restinio::server_settings_t<server_traits> settings;
  settings.address(aAddress)
    .port(aPort)
    .request_handler(std::move(handle))
    .connection_state_listener(listener)
    .max_pipelined_requests(kMaxPipelinedRequests)
    .read_next_http_message_timelimit(kIdleConnectionTimeout)
    .write_http_response_timelimit(std::chrono::milliseconds(options.writeTimeout.ms))
    .handle_request_timeout(kRequestHandlingTimeout)
    .concurrent_accepts_count(kConcurrentAccepts)
    .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                .max_url_size(kMaxFieldBytes)
                                .max_field_name_size(kMaxFieldBytes)
                                .max_field_value_size(kMaxFieldBytes)
                                .max_field_count(kMaxHeaderCount)
                                .max_body_size(options.maxBodyBytes))
    .socket_options_setter(
      [](auto& aOptions) { aOptions.set_option(asio::ip::tcp::no_delay{ true }); })
    .acceptor_options_setter([](auto& aOptions) {
      aOptions.set_option(asio::ip::tcp::acceptor::reuse_address{ true });
      aOptions.set_option(reuse_port{ true });
    })
    .acceptor_post_bind_hook(
      [&aPort](asio::ip::tcp::acceptor& aAcceptor) { aPort = aAcceptor.local_endpoint().port(); });
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

/// Checks that no other process listens on the port: with SO_REUSEPORT, the server's own sockets
/// could otherwise share the port with sockets of another process. Sets `reason` on failure.
bool
http_server::implementation::IsPortFree(const std::string& aAddress, std::uint16_t aPort)
{
  asio::error_code error;
  const asio::ip::tcp::endpoint wanted(asio::ip::make_address(aAddress, error), aPort);
  asio::io_context context;
  asio::ip::tcp::acceptor probe(context);
  if (!error) {
    probe.open(wanted.protocol(), error);
    probe.set_option(asio::ip::tcp::acceptor::reuse_address{ true });
  }
  if (!error) {
    probe.bind(wanted, error);
  }
  if (!error) {
    probe.listen(1, error);
  }
  reason = error ? error.message() : "";
  return !error;
}

http_server::http_server(const server_options& aOptions)
  : mImplementation(std::make_unique<implementation>())
{
  implementation& self = *mImplementation;
  self.options = aOptions;
  self.loops = aOptions.loops;
  while (self.loops.size() < aOptions.threads && aOptions.loops.empty()) {
    self.ownLoops.push_back(std::make_unique<loop::event_loop>());
    self.loops.push_back(self.ownLoops.back().get());
  }
}

http_server::~http_server()
{
  Stop();
}

std::optional<endpoint>
http_server::Listen(const endpoint& aAddress, request_handler aHandler)
{
  implementation& self = *mImplementation;
  const auto parts = SplitEndpoint(aAddress);
  const std::lock_guard lock(self.mutex);
  if (!parts) {
    self.reason = "'" + aAddress.value + "' is not ip:port";
    return std::nullopt;
  }
  std::uint16_t port = parts->second;
  if (!self.IsPortFree(parts->first, port)) {
    return std::nullopt;
  }
  const auto handler = std::make_shared<const request_handler>(std::move(aHandler));
  implementation::listeners opened;
  for (std::size_t i = 0; i < self.loops.size(); ++i) {
    opened.push_back(self.MakeServer(parts->first, port, handler, i));
    if (!self.Open(*opened.back())) {
      return std::nullopt;
    }
  }
  const endpoint bound{ fmt::format("{}:{}", parts->first, port) };
  self.servers[bound] = std::move(opened);
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
  for (const auto& server : found->second) {
    std::promise<void> closed;
    server->close_async([&closed] { closed.set_value(); },
                        [&closed](const std::exception_ptr&) { closed.set_value(); });
    closed.get_future().wait();
  }
  mImplementation->servers.erase(found);
}

void
http_server::SetHeadTimeLimit(duration aLimit)
{
  for (loop::event_loop* const each : mImplementation->loops) {
    asio::use_service<head_time_limit>(each->Implementation().context).Set(aLimit);
  }
}

std::size_t
http_server::ConnectionCount() const
{
  std::size_t count = 0;
  for (loop::event_loop* const each : mImplementation->loops) {
    count += asio::use_service<open_connections_service>(each->Implementation().context)
               .Connections()
               ->Count();
  }
  return count;
}

void
http_server::SetBodyMemory(std::uint64_t aBytes)
{
  const std::uint64_t part = aBytes / mImplementation->loops.size();
  for (loop::event_loop* const each : mImplementation->loops) {
    asio::use_service<open_connections_service>(each->Implementation().context)
      .Connections()
      ->Bodies()
      ->SetTotal(part);
  }
}

void
http_server::SetMaxConnections(std::size_t aMost)
{
  for (std::size_t i = 0; i < mImplementation->loops.size(); ++i) {
    OpenConnections(i).SetMost(aMost / mImplementation->loops.size());
  }
}

open_connections&
http_server::OpenConnections(std::size_t aLoop) const
{
  return *asio::use_service<open_connections_service>(
            mImplementation->loops[aLoop]->Implementation().context)
            .Connections();
}

std::size_t
http_server::CountUnsent(std::size_t aLoop) const
{
  return OpenConnections(aLoop).CountUnsent();
}

std::size_t
http_server::CloseIdle(duration aLimit, std::size_t aLoop)
{
  return OpenConnections(aLoop).CloseIdleSince(steady_clock().Now() - aLimit);
}

std::size_t
http_server::CloseLongestIdle(std::size_t aMost, std::size_t aLoop)
{
  return OpenConnections(aLoop).CloseLongestIdle(aMost);
}

void
http_server::Stop()
{
  for (const auto& own : mImplementation->ownLoops) {
    own->Stop();
  }
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
