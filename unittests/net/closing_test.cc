// Connections of a server that closes them.

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/net/http_server.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kSoon = absl::Milliseconds(100);
// More than the kernel's buffers hold.
constexpr size_t kLargeBody = size_t{24} << 20;
constexpr char kRequest[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";

class ClosingServer {
 public:
  ClosingServer()
      : server(loop, {[this](ExchangeId id, const Endpoint&,
                             const HttpRequest& request) {
                        server.Respond(id, {200, {}, body});
                        if (on_answered) on_answered(request);
                      },
                      [](ExchangeId) {}}) {
    REQUIRE(server.Listen(address));
  }

  int Connect() {
    int socket = ConnectRaw(address);
    REQUIRE(socket >= 0);
    loop.RunFor(kSoon);
    return socket;
  }

  void Send(int socket, const std::string& bytes) {
    CHECK(send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size()));
    loop.RunFor(kSoon);
  }

  // Reads at a steady rate until the connection ends; returns the bytes read.
  size_t ReadSlowly(int socket, size_t bytes_per_step) {
    std::vector<char> buf(bytes_per_step);
    size_t total = 0;
    int empty = 0;
    while (empty < 20) {
      loop.RunFor(absl::Milliseconds(20));
      ssize_t n = recv(socket, buf.data(), buf.size(), MSG_DONTWAIT);
      if (n == 0) break;
      empty = n < 0 ? empty + 1 : 0;
      if (n > 0) total += static_cast<size_t>(n);
    }
    return total;
  }

  EventLoop loop;
  Endpoint address = FreeEndpoint();
  std::string body = "whole";
  std::function<void(const HttpRequest&)> on_answered;
  EventHttpServer server;
};

TEST_CASE("a slow reader gets the whole last answer of its connection",
          "[net][closing]") {
  ClosingServer it;
  it.body = std::string(kLargeBody, 'x');
  HttpServerLimits limits;
  limits.output_timeout = absl::Seconds(1);
  it.server.SetLimits(limits);
  it.server.CloseAfterAnswers();
  int socket = it.Connect();
  it.Send(socket, kRequest);
  // Takes about 4 s.
  CHECK(it.ReadSlowly(socket, kLargeBody / 200) > kLargeBody);
  close(socket);
}

TEST_CASE("an answer that is still being read is not idle time",
          "[net][closing]") {
  ClosingServer it;
  it.body = std::string(kLargeBody, 'x');
  HttpServerLimits limits;
  limits.idle_timeout = absl::Milliseconds(300);
  it.server.SetLimits(limits);
  int socket = it.Connect();
  it.Send(socket, kRequest);
  CHECK(it.ReadSlowly(socket, kLargeBody / 50) > kLargeBody);
  close(socket);
}

TEST_CASE("idle connections are closed only once their answer has been sent",
          "[net][closing]") {
  ClosingServer it;
  it.body = std::string(kLargeBody, 'x');
  int socket = it.Connect();
  it.Send(socket, kRequest);
  it.server.CloseIdle();
  CHECK(it.ReadSlowly(socket, kLargeBody / 50) > kLargeBody);
  it.server.CloseIdle();
  CHECK(it.server.open_connections() == 0);
  close(socket);
}

TEST_CASE("a request that was sent ahead is served when idle ones are closed",
          "[net][closing]") {
  ClosingServer it;
  it.on_answered = [&](const HttpRequest& request) {
    if (request.head.target != "/1") return;
    it.server.CloseAfterAnswers();
    it.server.CloseIdle();
  };
  int socket = it.Connect();
  it.Send(socket, absl::StrCat(kRequest, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
  std::string answers = ReadAvailable(socket);
  size_t first = answers.find("200 OK");
  REQUIRE(first != std::string::npos);
  CHECK(answers.find("200 OK", first + 1) != std::string::npos);
  close(socket);
}

TEST_CASE("a reader that takes nothing is cut off after the timeout",
          "[net][closing]") {
  for (bool is_last : {false, true}) {
    ClosingServer it;
    it.body = std::string(kLargeBody, 'x');
    HttpServerLimits limits;
    limits.output_timeout = absl::Milliseconds(300);
    it.server.SetLimits(limits);
    if (is_last) it.server.CloseAfterAnswers();
    int socket = it.Connect();
    it.Send(socket, kRequest);
    CHECK(it.server.open_connections() == 1);
    it.loop.RunFor(absl::Seconds(2));
    CHECK(it.server.open_connections() == 0);
    CHECK(it.server.stalled_clients() == 1);
    close(socket);
  }
}

TEST_CASE("the next request on a kept connection is served though unread",
          "[net][closing]") {
  ClosingServer it;
  int socket = it.Connect();
  it.Send(socket, kRequest);
  REQUIRE(absl::StrContains(ReadAvailable(socket), "200 OK"));
  std::string next = kRequest;
  REQUIRE(send(socket, next.data(), next.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(next.size()));
  it.server.CloseAfterAnswers();
  it.server.CloseIdle();
  it.loop.RunFor(kSoon);
  CHECK(absl::StrContains(ReadAvailable(socket), "200 OK"));
  close(socket);
}

TEST_CASE("a connection just taken in may send its first request",
          "[net][closing]") {
  ClosingServer it;
  int socket = ConnectRaw(it.address);
  it.server.CloseAfterAnswers();
  it.server.StopListening();
  for (int n = 0; n < 3; ++n) {
    it.server.CloseIdle();
    it.loop.RunFor(kSoon);
  }
  it.Send(socket, "GET /1 HTTP/1.1\r\n");
  it.server.CloseIdle();
  it.Send(socket, "Host: h\r\n\r\n");
  CHECK(absl::StrContains(ReadAvailable(socket), "200 OK"));
  close(socket);
}

TEST_CASE("a connection without a request does not hold up a stop for long",
          "[net][closing]") {
  ClosingServer it;
  int socket = it.Connect();
  it.server.StopListening();
  for (int n = 0; n < 20; ++n) {
    it.server.CloseIdle();
    it.loop.RunFor(kSoon);
  }
  CHECK(it.server.open_connections() == 0);
  close(socket);
}

}  // namespace
}  // namespace chervilwick
