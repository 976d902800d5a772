// Calls of a process that stands still while its peers go on.

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/time/time.h"
#include "chervilwick/net/http_client.h"
#include "chervilwick/net/http_server.h"
#include "chervilwick/net/socket.h"
#include "chervilwick/support/overloaded.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kSoon = absl::Milliseconds(200);
// More than the loop takes from the kernel in its first turns.
constexpr int kManyClients = 200;
constexpr int kFewClients = 20;
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// The loop's thread does not run, as in a stopped process.
void StandStill(absl::Duration duration) {
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(duration));
}

void Send(int socket, const std::string& bytes) {
  REQUIRE(write(socket, bytes.data(), bytes.size()) ==
          static_cast<ssize_t>(bytes.size()));
}

struct Outcome {
  int status = 0;
  bool ended = false;
  std::optional<CallFailure> failure;

  CallHandler Handler() {
    return [this](CallEvent event) {
      std::visit(Overloaded{
                     [this](HttpHead& it) { status = it.status; },
                     [](HttpBodyPart&) {},
                     [this](HttpEnd&) { ended = true; },
                     [this](CallFailure& it) { failure = it; },
                 },
                 event);
    };
  }
};

HttpRequest Booking() {
  HttpRequest request;
  request.head.method = "POST";
  request.head.target = "/";
  request.head.fields = {{"Host", "test"}};
  request.body = "once";
  return request;
}

TEST_CASE("a call whose connection is made during a pause is answered",
          "[net][pause]") {
  RawPeer peer(kAnswer);
  EventLoop loop;
  HttpClient client(loop, absl::Seconds(3));
  CallOptions options;
  options.connect_timeout = absl::Milliseconds(100);
  Outcome outcome;
  client.Start(peer.endpoint(), Booking(), options, outcome.Handler());
  StandStill(absl::Milliseconds(160));
  loop.RunFor(kSoon);
  CHECK_FALSE(outcome.failure);
  CHECK(outcome.status == 200);
  CHECK(outcome.ended);
}

TEST_CASE("a request in the kernel's hands is never reported as unsent",
          "[net][pause]") {
  Endpoint address = FreeEndpoint();
  int listener = ListenTcp(address);
  REQUIRE(listener >= 0);
  EventLoop loop;
  HttpClient client(loop, absl::Seconds(3));
  CallOptions options;
  options.connect_timeout = absl::Milliseconds(100);
  options.timeout = absl::Milliseconds(150);
  Outcome outcome;
  CallId call = client.Start(address, Booking(), options, outcome.Handler());
  CHECK(client.IsUnsent(call));
  StandStill(absl::Milliseconds(160));
  loop.RunFor(kSoon);
  int socket = accept(listener, nullptr, nullptr);
  REQUIRE(socket >= 0);
  CHECK(absl::StrContains(ReadAvailable(socket), "once"));
  REQUIRE(outcome.failure);
  CHECK(outcome.failure->error == CallError::kTimeout);
  CHECK(outcome.failure->sent);
  close(socket);
  close(listener);
}

TEST_CASE("a call whose answer came during a pause does not time out",
          "[net][pause]") {
  Endpoint address = FreeEndpoint();
  int listener = ListenTcp(address);
  REQUIRE(listener >= 0);
  EventLoop loop;
  HttpClient client(loop, absl::Seconds(3));
  CallOptions options;
  options.timeout = absl::Milliseconds(100);
  Outcome outcome;
  client.Start(address, Booking(), options, outcome.Handler());
  loop.RunFor(absl::Milliseconds(20));
  int socket = accept(listener, nullptr, nullptr);
  REQUIRE(socket >= 0);
  REQUIRE(absl::StrContains(ReadAvailable(socket), "once"));
  Send(socket, kAnswer);
  StandStill(absl::Milliseconds(160));
  loop.RunFor(kSoon);
  CHECK_FALSE(outcome.failure);
  CHECK(outcome.ended);
  close(socket);
  close(listener);
}

TEST_CASE("a request that came during a pause is not answered 408",
          "[net][pause]") {
  struct Case {
    const char* first;
    const char* rest;
  };
  const std::vector<Case> cases = {
      {"GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body"}};
  for (const Case& it : cases) {
    INFO(it.first);
    EventLoop loop;
    EventHttpServer* responder = nullptr;
    EventHttpServer server(
        loop, {[&](ExchangeId id, const Endpoint&, const HttpRequest&) {
                 responder->Respond(id, {200, {}, ""});
               },
               [](ExchangeId) {}});
    responder = &server;
    HttpServerLimits limits;
    limits.head_timeout = absl::Milliseconds(600);
    limits.body_timeout = absl::Milliseconds(600);
    server.SetLimits(limits);
    Endpoint address = FreeEndpoint();
    REQUIRE(server.Listen(address));
    std::vector<int> sockets;
    for (int n = 0; n < kManyClients; ++n) {
      sockets.push_back(ConnectRaw(address));
      REQUIRE(sockets.back() >= 0);
      if (n % kFewClients == 0) loop.RunFor(absl::Milliseconds(3));
    }
    for (int n = 0; n < kManyClients; ++n) {
      Send(sockets[n], it.first);
      if (n % kFewClients == 0) loop.RunFor(absl::Milliseconds(3));
    }
    loop.RunFor(absl::Milliseconds(3));
    for (int socket : sockets) Send(socket, it.rest);
    StandStill(absl::Milliseconds(700));
    loop.RunFor(kSoon);
    int answered = 0;
    for (int socket : sockets) {
      if (absl::StartsWith(ReadAvailable(socket), "HTTP/1.1 200")) ++answered;
      close(socket);
    }
    CHECK(answered == kManyClients);
  }
}

}  // namespace
}  // namespace chervilwick
