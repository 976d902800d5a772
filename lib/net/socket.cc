// Sockets.

#include "chervilwick/net/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace chervilwick {
namespace {

// Connections that wait for accept; bursts of new clients fit.
constexpr int kBacklog = 512;
// Keep-alive probes that stay unanswered before the connection ends.
constexpr int kKeepAliveProbes = 2;

template <typename T>
void SetOption(int socket, int level, int name, T value) {
  setsockopt(socket, level, name, &value, sizeof(value));
}

int Bind(int socket, const Endpoint& endpoint) {
  sockaddr_in address = endpoint.ToSockaddr();
  return bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

}  // namespace

std::optional<Endpoint> Endpoint::Parse(const std::string& text) {
  std::vector<std::string> parts = absl::StrSplit(text, ':');
  in_addr ip{};
  uint32_t port = 0;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port) || port == 0 ||
      port > UINT16_MAX || inet_pton(AF_INET, parts[0].c_str(), &ip) != 1) {
    return std::nullopt;
  }
  return Endpoint{ntohl(ip.s_addr), static_cast<uint16_t>(port)};
}

Endpoint Endpoint::From(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

sockaddr_in Endpoint::ToSockaddr() const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(ip);
  address.sin_port = htons(port);
  return address;
}

std::string Endpoint::ToString() const {
  return absl::StrCat(ip >> 24, ".", (ip >> 16) & 255, ".", (ip >> 8) & 255,
                      ".", ip & 255, ":", port);
}

void SetTcpOptions(int socket, absl::Duration silence) {
  int seconds = std::max<int>(
      1,
      static_cast<int>(absl::ToInt64Seconds(silence) / (kKeepAliveProbes + 1)));
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned>(absl::ToInt64Milliseconds(silence)));
}

int ListenTcp(const Endpoint& endpoint) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) return -1;
  SetOption(socket, SOL_SOCKET, SO_REUSEADDR, 1);
  if (Bind(socket, endpoint) != 0 || listen(socket, kBacklog) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

int BindUdp(const Endpoint& endpoint) {
  int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) return -1;
  if (Bind(socket, endpoint) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

}  // namespace chervilwick
