// Answers that never end: they cost bounded memory and time.

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "chervilwick/net/http_client.h"
#include "chervilwick/net/http_server.h"
#include "endless_peer.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

// Far below the gigabyte that the peer would send, above what buffers hold.
constexpr size_t kMaxGrowth = size_t{24} << 20;
constexpr size_t kMaxTaken = size_t{48} << 20;
constexpr absl::Duration kMaxTime = absl::Seconds(3);

HttpRequest GetIt() {
  HttpRequest request;
  request.head.method = "GET";
  request.head.target = "/";
  request.head.fields = {{"Host", "h"}};
  return request;
}

TEST_CASE("an answer without end costs bounded memory and time", "[net]") {
  for (const EndlessAnswer& answer : EndlessAnswers("mine")) {
    INFO(answer.name);
    EndlessPeer peer(answer);
    EventLoop loop;
    HttpClient client(loop, absl::Seconds(3));
    CallOptions options;
    options.accepts = [](const HttpHead& head, bool /*is_fresh*/) {
      return head.Get("X-Request-Id") == "mine";
    };
    std::optional<CallFailure> failure;
    size_t before = HeldBytes();
    client.Start(peer.endpoint(), GetIt(), options,
                 [&](const CallEvent& event) {
                   if (auto* it = std::get_if<CallFailure>(&event)) {
                     failure = *it;
                   }
                 });
    absl::Time end = loop.Now() + kMaxTime;
    while (!failure && loop.Now() < end) loop.RunFor(absl::Milliseconds(5));
    REQUIRE(failure.has_value());
    CHECK(failure->error == CallError::kMalformed);
    // It may have run.
    CHECK(failure->sent);
    loop.RunFor(absl::Milliseconds(100));
    CHECK(client.open_connections() == 0);
    CHECK(peer.bytes_taken() < kMaxTaken);
    CHECK(HeldBytes() < before + kMaxGrowth);
  }
}

TEST_CASE("a call ends at its time however slowly its answer comes", "[net]") {
  // The kernel's buffers take a while to fill: the peer never ends by itself.
  EndlessPeer peer({"slow", "HTTP/1.1 200 OK\r\n\r\n", "x"});
  EventLoop loop;
  HttpClient client(loop, absl::Seconds(3));
  CallOptions options;
  options.timeout = absl::Milliseconds(60);
  options.max_body_bytes = CallOptions::kNoBodyLimit;
  std::optional<CallFailure> failure;
  client.Start(peer.endpoint(), GetIt(), options, [&](const CallEvent& event) {
    if (auto* it = std::get_if<CallFailure>(&event)) failure = *it;
  });
  loop.RunFor(absl::Milliseconds(400));
  REQUIRE(failure.has_value());
  CHECK(failure->error == CallError::kTimeout);
  CHECK(client.open_connections() == 0);
}

// A late second copy of an answer that names no request could be taken for the
// answer to the next one.
TEST_CASE("callers are told whether a connection was in use before", "[net]") {
  EventLoop loop;
  EventHttpServer* server_ptr = nullptr;
  EventHttpServer server(
      loop, {[&](ExchangeId id, const Endpoint&, const HttpRequest&) {
               server_ptr->Respond(id, {200, {}, "ok"});
             },
             [](ExchangeId) {}});
  server_ptr = &server;
  Endpoint address = FreeEndpoint();
  REQUIRE(server.Listen(address));
  HttpClient client(loop, absl::Seconds(3));
  std::vector<bool> fresh;
  CallOptions options;
  options.accepts = [&](const HttpHead& /*head*/, bool is_fresh) {
    fresh.push_back(is_fresh);
    return true;
  };
  for (int n = 0; n < 2; ++n) {
    client.Start(address, GetIt(), options, [](const CallEvent&) {});
    loop.RunFor(absl::Milliseconds(100));
  }
  CHECK(fresh == std::vector<bool>{true, false});
}

}  // namespace
}  // namespace chervilwick
