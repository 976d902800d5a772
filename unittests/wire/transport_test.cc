// Connections between processes on loopback.

#include "chervilwick/wire/transport.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "chervilwick/support/bounded_ring.h"
#include "chervilwick/wire/codec.h"

namespace chervilwick {
namespace {

struct Peer {
  Peer(const std::string& name, const std::string& address) : inbox(1000) {
    TransportIdentity identity;
    identity.name = NodeName(name);
    identity.incarnation = Incarnation(1);
    identity.hello.address = address;
    transport = std::make_unique<Transport>(
        identity, address,
        [this](Envelope envelope) { inbox.TryPush(std::move(envelope)); });
  }

  // Waits for a message of type T.
  template <typename T>
  std::optional<Envelope> Await() {
    for (int it = 0; it < 100; ++it) {
      std::optional<Envelope> envelope = inbox.Pop(absl::Seconds(5));
      if (!envelope) return std::nullopt;
      if (std::holds_alternative<T>(envelope->message)) return envelope;
    }
    return std::nullopt;
  }

  BoundedRing<Envelope> inbox;
  std::unique_ptr<Transport> transport;
};

TEST_CASE("peers say hello and exchange messages", "[wire]") {
  Peer a("a", "127.0.0.1:24801");
  Peer b("b", "127.0.0.1:24802");
  REQUIRE_FALSE(a.transport->Bind().has_value());
  REQUIRE_FALSE(b.transport->Bind().has_value());
  a.transport->Start();
  b.transport->Start();
  a.transport->SetPeers({"127.0.0.1:24802"});
  std::optional<Envelope> hello = b.Await<Hello>();
  REQUIRE(hello.has_value());
  CHECK(hello->from == NodeName("a"));
  REQUIRE(a.Await<Hello>().has_value());
  b.transport->Send(NodeName("a"), VersionNumber(5), ConfigPull{});
  std::optional<Envelope> pull = a.Await<ConfigPull>();
  REQUIRE(pull.has_value());
  CHECK(pull->version == VersionNumber(5));
  a.transport->Stop();
  b.transport->Stop();
}

TEST_CASE("an address in use is reported", "[wire]") {
  Peer a("a", "127.0.0.1:24803");
  Peer b("b", "127.0.0.1:24803");
  CHECK_FALSE(a.transport->Bind().has_value());
  std::optional<std::string> problem = b.transport->Bind();
  REQUIRE(problem.has_value());
  CHECK(problem->find("127.0.0.1:24803") != std::string::npos);
}

TEST_CASE("connections that sent during an own pause are not silent",
          "[wire][pause]") {
  // More than the transport reads in one turn.
  const size_t connections = 200;
  // Longer than a connection may be silent.
  const std::chrono::milliseconds pause{3300};
  std::atomic<int> received{0};
  std::string address = "127.0.0.1:24804";
  TransportIdentity identity;
  identity.name = NodeName("a");
  identity.incarnation = Incarnation(1);
  identity.hello.address = address;
  Transport transport(identity, address, [&](const Envelope&) {
    if (received++ == 0) std::this_thread::sleep_for(pause);
  });
  REQUIRE_FALSE(transport.Bind().has_value());
  transport.Start();
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(24804);
  target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::vector<int> sockets;
  for (size_t n = 0; n < connections; ++n) {
    sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(connect(sockets.back(), reinterpret_cast<sockaddr*>(&target),
                    sizeof(target)) == 0);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  std::string frame = EncodeFrame(
      {NodeName("b"), Incarnation(1), VersionNumber(1), ConfigPull{}});
  auto send_frame = [&](int socket) {
    REQUIRE(send(socket, frame.data(), frame.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(frame.size()));
  };
  send_frame(sockets[0]);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  for (int it : sockets) send_frame(it);
  std::this_thread::sleep_for(pause + std::chrono::milliseconds(500));
  CHECK(transport.stats().silent_connections == 0);
  CHECK(received == static_cast<int>(connections) + 1);
  transport.Stop();
  for (int it : sockets) close(it);
}

}  // namespace
}  // namespace chervilwick
