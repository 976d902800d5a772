// Plain sockets for tests.

#include "raw_peer.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace chervilwick {
namespace {

constexpr uint32_t kLoopback = 0x7f000001;
constexpr int kWaitMs = 3000;

bool WaitReadable(int socket) {
  pollfd ready{socket, POLLIN, 0};
  return poll(&ready, 1, kWaitMs) == 1;
}

}  // namespace

Endpoint FreeEndpoint() {
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Endpoint{kLoopback, 0}.ToSockaddr();
  socklen_t length = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  bool is_bound =
      bind(socket, raw, length) == 0 && getsockname(socket, raw, &length) == 0;
  close(socket);
  if (!is_bound) throw std::runtime_error("no free port on loopback");
  return Endpoint::From(address);
}

int ConnectRaw(const Endpoint& endpoint) {
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = endpoint.ToSockaddr();
  if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(socket);
    return -1;
  }
  return socket;
}

std::string ReadAvailable(int socket) {
  std::string out;
  std::array<char, 4096> buf;
  while (true) {
    ssize_t n = recv(socket, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n <= 0) return out;
    out.append(buf.data(), static_cast<size_t>(n));
  }
}

RawPeer::RawPeer(std::string answer) : endpoint_(FreeEndpoint()) {
  listener_ = ListenTcp(endpoint_);
  thread_ = std::thread([this, answer = std::move(answer)] {
    if (!WaitReadable(listener_)) return;
    int socket = accept(listener_, nullptr, nullptr);
    std::array<char, 4096> buf;
    if (WaitReadable(socket) && recv(socket, buf.data(), buf.size(), 0) > 0) {
      send(socket, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
    // Until the other side closes.
    WaitReadable(socket);
    close(socket);
  });
}

RawPeer::~RawPeer() {
  thread_.join();
  close(listener_);
}

}  // namespace chervilwick
