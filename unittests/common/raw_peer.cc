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

bool CanBind(const Endpoint& endpoint, int type) {
  int socket = ::socket(AF_INET, type, 0);
  sockaddr_in address = endpoint.ToSockaddr();
  bool is_bound =
      bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(socket);
  return is_bound;
}

// Ports that this process alone uses, below those that the kernel gives to
// outgoing connections: one of these could take a port between the moment that
// it is found free and its use.
class PortBlock {
 public:
  PortBlock() {
    for (int n = 0; n < kBlocks; ++n) {
      Endpoint guard{kLoopback, static_cast<uint16_t>(kFirstGuard + n)};
      // Held until the process ends.
      guard_ = BindUdp(guard);
      if (guard_ < 0) continue;
      first_ = kFirstGuard + kBlocks + n * kBlockPorts;
      return;
    }
    throw std::runtime_error("all port blocks are taken");
  }

  Endpoint Next() {
    for (int tries = 0; tries < kBlockPorts; ++tries) {
      int port = first_ + next_;
      next_ = (next_ + 1) % kBlockPorts;
      Endpoint endpoint{kLoopback, static_cast<uint16_t>(port)};
      if (CanBind(endpoint, SOCK_STREAM) && CanBind(endpoint, SOCK_DGRAM)) {
        return endpoint;
      }
    }
    throw std::runtime_error("no free port on loopback");
  }

 private:
  static constexpr int kFirstGuard = 10000;
  static constexpr int kBlocks = 50;
  static constexpr int kBlockPorts = 200;

  int guard_ = -1;
  int first_ = 0;
  int next_ = 0;
};

}  // namespace

Endpoint FreeEndpoint() {
  static PortBlock block;
  return block.Next();
}

int ConnectRaw(const Endpoint& endpoint, uint32_t source_ip) {
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in source = Endpoint{source_ip, 0}.ToSockaddr();
  bool is_bound =
      source_ip == 0 ||
      bind(socket, reinterpret_cast<sockaddr*>(&source), sizeof(source)) == 0;
  sockaddr_in address = endpoint.ToSockaddr();
  if (!is_bound || connect(socket, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)) != 0) {
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
