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
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// The loop's thread does not run, as in a stopped process.
void StandStill(absl::Duration duration) {
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(duration));
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

}  // namespace
}  // namespace chervilwick
