#include "peers/internal/websockettransport.h"

#include <map>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <thread>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace persimmon::peers {
namespace {

using websocketpp::connection_hdl;
using websocketpp::frame::opcode::binary;

constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kProofBytes = 32;
constexpr std::size_t kMaxPeerNameBytes = 256;
/// Maximum number of bytes buffered for a slow peer; the link is closed above it.
constexpr std::size_t kMaxBufferedBytes = 4U << 20U;

using server_type = websocketpp::server<websocketpp::config::asio>;
using client_type = websocketpp::client<websocketpp::config::asio_client>;

std::string
MakeNonce()
{
  std::string nonce(kNonceBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size()));
  return nonce;
}

/// Returns the HMAC of the prover's role, both nonces and the prover's name.
std::string
ComputeProof(const std::string& aKey,
             const std::string& aRole,
             const std::string& aOwnNonce,
             const std::string& aPeerNonce,
             const std::string& aName)
{
  const std::string text = aRole + aOwnNonce + aPeerNonce + aName;
  std::string proof(kProofBytes, '\0');
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       reinterpret_cast<unsigned char*>(proof.data()),
       &size);
  return proof;
}

bool
EqualInConstantTime(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

enum class handshake_step
{
  /// The dialling side waits for the listener's nonce.
  wait_challenge,
  /// The listener waits for nonce, proof and name of the dialling side.
  wait_answer,
  /// The dialling side waits for proof and name of the listener.
  wait_proof,
  done
};

struct connection_state
{
  std::uint64_t link = 0;
  bool outgoing = false;
  connection_hdl handle;
  handshake_step step = handshake_step::wait_challenge;
  std::string ownNonce;
  std::string peerNonce;
  std::string address;
  bool open = false;
};

} // namespace

// Handshake, in websocket messages: the listener sends a nonce; the dialling side replies
// with its nonce, proof and name; the listener replies with its proof and name. The proofs cover
// the names.
struct websocket_transport::implementation
{
  transport_settings settings;
  transport_callbacks callbacks;
  asio::io_context context;
  asio::steady_timer ticker{ context };
  server_type server;
  client_type client;
  std::map<std::uint64_t, connection_state> connections;
  std::uint64_t nextAccepted = 2;
  std::thread thread;
  long intervalMs = 0;
  std::function<void()> tick;
  bool listening = false;

  template<typename Endpoint>
  void SetUpEndpoint(Endpoint& aEndpoint)
  {
    aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
    aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
    aEndpoint.init_asio(&context);
    aEndpoint.set_max_message_size(settings.maxFrameBytes);
    aEndpoint.set_open_handshake_timeout(settings.handshakeTimeoutMs);
  }

  void SetUp()
  {
    SetUpEndpoint(server);
    SetUpEndpoint(client);
    server.set_reuse_addr(true);
    server.set_open_handler([this](const connection_hdl& aHandle) { OnAccepted(aHandle); });
  }

  template<typename Connection>
  void SetHandlers(const Connection& aConnection, std::uint64_t aLink)
  {
    aConnection->set_message_handler([this, aLink](const connection_hdl&, const auto& aMessage) {
      OnMessage(aLink, aMessage->get_payload());
    });
    aConnection->set_close_handler([this, aLink](const connection_hdl&) { OnEnded(aLink); });
    aConnection->set_fail_handler([this, aLink](const connection_hdl&) { OnEnded(aLink); });
  }

  void OnAccepted(const connection_hdl& aHandle)
  {
    const auto connection = server.get_con_from_hdl(aHandle);
    const std::uint64_t link = nextAccepted;
    nextAccepted += 2;
    connection_state& state = connections[link];
    state.link = link;
    state.handle = aHandle;
    state.step = handshake_step::wait_answer;
    state.ownNonce = MakeNonce();
    state.address = connection->get_remote_endpoint();
    SetHandlers(connection, link);
    DisableNagle(connection);
    StartHandshakeTimeout(link);
    SendRaw(state, state.ownNonce);
  }

  template<typename Connection>
  void DisableNagle(const Connection& aConnection)
  {
    websocketpp::lib::error_code ignored;
    aConnection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  }

  void StartHandshakeTimeout(std::uint64_t aLink)
  {
    const auto timer = std::make_shared<asio::steady_timer>(
      context, std::chrono::milliseconds(settings.handshakeTimeoutMs));
    timer->async_wait([this, aLink, timer](const asio::error_code& aError) {
      const auto found = connections.find(aLink);
      if (!aError && found != connections.end() && !found->second.open) {
        CloseAndReport(aLink);
      }
    });
  }

  void Dial(std::uint64_t aLink, const std::string& aAddress)
  {
    websocketpp::lib::error_code error;
    const auto connection = client.get_connection("ws://" + aAddress + "/mesh", error);
    if (error) {
      context.post([this, aLink] { callbacks.closed(aLink); });
      return;
    }
    connection_state& state = connections[aLink];
    state.link = aLink;
    state.outgoing = true;
    state.handle = connection->get_handle();
    state.ownNonce = MakeNonce();
    state.address = aAddress;
    SetHandlers(connection, aLink);
    connection->set_open_handler(
      [this, connection](const connection_hdl&) { DisableNagle(connection); });
    StartHandshakeTimeout(aLink);
    client.connect(connection);
  }

  void OnMessage(std::uint64_t aLink, const std::string& aBytes)
  {
    const auto found = connections.find(aLink);
    if (found == connections.end()) {
      return;
    }
    if (found->second.open) {
      callbacks.received(aLink, aBytes);
      return;
    }
    if (!ContinueHandshake(found->second, aBytes)) {
      callbacks.refused(found->second.address,
                        "the peer did not prove knowledge of the shared key");
      CloseAndReport(aLink);
    }
  }

  bool ContinueHandshake(connection_state& aState, const std::string& aBytes)
  {
    switch (aState.step) {
      case handshake_step::wait_challenge:
        return AnswerChallenge(aState, aBytes);
      case handshake_step::wait_answer:
        return CheckAnswer(aState, aBytes);
      case handshake_step::wait_proof:
        return CheckProof(aState, aBytes);
      case handshake_step::done:
        break;
    }
    return false;
  }

  bool AnswerChallenge(connection_state& aState, const std::string& aBytes)
  {
    if (aBytes.size() != kNonceBytes) {
      return false;
    }
    aState.peerNonce = aBytes;
    aState.step = handshake_step::wait_proof;
    const std::string proof =
      ComputeProof(settings.key, "dial", aState.ownNonce, aState.peerNonce, settings.self);
    SendRaw(aState, aState.ownNonce + proof + settings.self);
    return true;
  }

  bool CheckAnswer(connection_state& aState, const std::string& aBytes)
  {
    constexpr std::size_t kMinSize = kNonceBytes + kProofBytes;
    if (aBytes.size() <= kMinSize || aBytes.size() > kMinSize + kMaxPeerNameBytes) {
      return false;
    }
    aState.peerNonce = aBytes.substr(0, kNonceBytes);
    const std::string proof = aBytes.substr(kNonceBytes, kProofBytes);
    const std::string peer = aBytes.substr(kMinSize);
    if (!EqualInConstantTime(
          proof, ComputeProof(settings.key, "dial", aState.peerNonce, aState.ownNonce, peer))) {
      return false;
    }
    SendRaw(aState,
            ComputeProof(settings.key, "accept", aState.ownNonce, aState.peerNonce, settings.self) +
              settings.self);
    CompleteHandshake(aState, peer);
    return true;
  }

  bool CheckProof(connection_state& aState, const std::string& aBytes)
  {
    if (aBytes.size() <= kProofBytes || aBytes.size() > kProofBytes + kMaxPeerNameBytes) {
      return false;
    }
    const std::string proof = aBytes.substr(0, kProofBytes);
    const std::string peer = aBytes.substr(kProofBytes);
    if (!EqualInConstantTime(
          proof, ComputeProof(settings.key, "accept", aState.peerNonce, aState.ownNonce, peer))) {
      return false;
    }
    CompleteHandshake(aState, peer);
    return true;
  }

  void CompleteHandshake(connection_state& aState, const std::string& aPeer)
  {
    aState.step = handshake_step::done;
    aState.open = true;
    callbacks.opened(aState.link, aState.outgoing, aPeer);
  }

  void OnEnded(std::uint64_t aLink)
  {
    const auto found = connections.find(aLink);
    if (found == connections.end()) {
      return;
    }
    const connection_state state = found->second;
    connections.erase(found);
    if (state.open || state.outgoing) {
      callbacks.closed(aLink);
    }
  }

  /// Closes a link and reports that it has ended.
  void CloseAndReport(std::uint64_t aLink)
  {
    CloseConnection(aLink);
    OnEnded(aLink);
  }

  void CloseConnection(std::uint64_t aLink)
  {
    const auto found = connections.find(aLink);
    if (found == connections.end()) {
      return;
    }
    websocketpp::lib::error_code ignored;
    if (found->second.outgoing) {
      client.close(found->second.handle, websocketpp::close::status::going_away, "", ignored);
    } else {
      server.close(found->second.handle, websocketpp::close::status::going_away, "", ignored);
    }
  }

  void SendRaw(connection_state& aState, const std::string& aBytes)
  {
    websocketpp::lib::error_code error;
    if (aState.outgoing) {
      client.send(aState.handle, aBytes, binary, error);
    } else {
      server.send(aState.handle, aBytes, binary, error);
    }
  }

  std::size_t BufferedBytes(const connection_state& aState)
  {
    websocketpp::lib::error_code error;
    if (aState.outgoing) {
      const auto connection = client.get_con_from_hdl(aState.handle, error);
      return error ? 0 : connection->get_buffered_amount();
    }
    const auto connection = server.get_con_from_hdl(aState.handle, error);
    return error ? 0 : connection->get_buffered_amount();
  }

  void ScheduleTick()
  {
    ticker.expires_after(std::chrono::milliseconds(intervalMs));
    ticker.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        tick();
        ScheduleTick();
      }
    });
  }
};

websocket_transport::websocket_transport(transport_settings aSettings,
                                         transport_callbacks aCallbacks)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->settings = std::move(aSettings);
  mImplementation->callbacks = std::move(aCallbacks);
  mImplementation->SetUp();
}

websocket_transport::~websocket_transport()
{
  Stop();
}

std::uint16_t
websocket_transport::Listen(const std::string& aIp, std::uint16_t aPort, std::string& aError)
{
  websocketpp::lib::error_code error;
  const auto address = asio::ip::make_address(aIp, error);
  if (error) {
    aError = error.message();
    return 0;
  }
  mImplementation->server.listen(asio::ip::tcp::endpoint(address, aPort), error);
  if (!error) {
    mImplementation->server.start_accept(error);
  }
  if (error) {
    aError = error.message();
    return 0;
  }
  mImplementation->listening = true;
  return mImplementation->server.get_local_endpoint(error).port();
}

void
websocket_transport::Start(long aIntervalMs, std::function<void()> aTick)
{
  mImplementation->intervalMs = aIntervalMs;
  mImplementation->tick = std::move(aTick);
  mImplementation->ScheduleTick();
  mImplementation->thread = std::thread([this] { mImplementation->context.run(); });
}

void
websocket_transport::Post(std::function<void()> aFunction)
{
  mImplementation->context.post(std::move(aFunction));
}

void
websocket_transport::Stop()
{
  if (!mImplementation->thread.joinable()) {
    return;
  }
  mImplementation->context.stop();
  mImplementation->thread.join();
}

void
websocket_transport::Connect(std::uint64_t aLink, const std::string& aAddress)
{
  mImplementation->Dial(aLink, aAddress);
}

void
websocket_transport::Send(std::uint64_t aLink, const std::string& aBytes)
{
  const auto found = mImplementation->connections.find(aLink);
  if (found == mImplementation->connections.end()) {
    return;
  }
  if (mImplementation->BufferedBytes(found->second) > kMaxBufferedBytes) {
    mImplementation->CloseAndReport(aLink);
    return;
  }
  mImplementation->SendRaw(found->second, aBytes);
}

void
websocket_transport::Close(std::uint64_t aLink)
{
  mImplementation->CloseConnection(aLink);
  mImplementation->connections.erase(aLink);
}

} // namespace persimmon::peers
