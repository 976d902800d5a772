// Sockets: addresses, options, listeners.

#ifndef CHERVILWICK_NET_SOCKET_H_
#define CHERVILWICK_NET_SOCKET_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"

struct sockaddr_in;

namespace chervilwick {

// IPv4 address with a port, in host byte order.
struct Endpoint {
  uint32_t ip = 0;
  uint16_t port = 0;

  static std::optional<Endpoint> Parse(const std::string& text);
  static Endpoint From(const sockaddr_in& address);
  sockaddr_in ToSockaddr() const;
  std::string ToString() const;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.ip == b.ip && a.port == b.port;
  }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) {
    return !(a == b);
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
  }
  template <typename H>
  friend H AbslHashValue(H state, const Endpoint& it) {
    return H::combine(std::move(state), it.ip, it.port);
  }
};

// Sets no-delay and finds peers that went away without a word: unacknowledged
// bytes and unanswered keep-alive probes end the connection within `silence`.
void SetTcpOptions(int socket, absl::Duration silence);
// Non-blocking listener; -1 and errno if the address can't be had.
int ListenTcp(const Endpoint& endpoint);
// Non-blocking bound datagram socket; -1 and errno if it can't be had.
int BindUdp(const Endpoint& endpoint);

}  // namespace chervilwick

#endif  // CHERVILWICK_NET_SOCKET_H_
