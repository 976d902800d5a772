// Plain sockets for tests that send or expect exact bytes.

#ifndef CHERVILWICK_UNITTESTS_COMMON_RAW_PEER_H_
#define CHERVILWICK_UNITTESTS_COMMON_RAW_PEER_H_

#include <cstdint>
#include <string>
#include <thread>

#include "chervilwick/net/socket.h"

namespace chervilwick {

// Loopback address with a port that is free now.
Endpoint FreeEndpoint();
// Blocking connection to a listener on loopback; -1 if there is none. From the
// given address of this host, or else from the one that the system picks.
int ConnectRaw(const Endpoint& endpoint, uint32_t source_ip = 0);
// What has arrived.
std::string ReadAvailable(int socket);

// Accepts one connection, reads once, and writes the given bytes.
class RawPeer {
 public:
  explicit RawPeer(std::string answer);
  ~RawPeer();
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  Endpoint endpoint_;
  int listener_;
  std::thread thread_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_COMMON_RAW_PEER_H_
