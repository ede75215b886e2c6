#include "loop/peerend.h"

#include <poll.h>

namespace persimmon::loop {

bool
HasPeerEnded(int aSocket)
{
  pollfd socket{ aSocket, POLLRDHUP, 0 };
  return poll(&socket, 1, 0) > 0 && (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace persimmon::loop
