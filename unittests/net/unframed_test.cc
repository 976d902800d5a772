// The end of answers that have neither a length nor chunks.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "absl/strings/str_cat.h"
#include "chervilwick/net/http_client.h"
#include "chervilwick/support/overloaded.h"
#include "scripted_peer.h"

namespace chervilwick {
namespace {

constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\n\r\nbody";
constexpr absl::Duration kSoon = absl::Milliseconds(300);

struct Seen {
  int statuses = 0;
  std::string body;
  bool ended = false;
  std::optional<CallFailure> failure;

  bool IsOver() const { return ended || failure; }
};

// A server that ends its answers in that way, and a client.
class Exchange {
 public:
  explicit Exchange(const std::function<void(ScriptedPeer::Reply&)>& end)
      : peer([end](const HttpHead&, const std::string&) {
          ScriptedPeer::Reply reply(kAnswer);
          end(reply);
          return reply;
        }) {}

  CallId Start(Seen& seen, const CallOptions& options = CallOptions()) {
    HttpRequest request;
    request.head.method = "GET";
    request.head.target = "/";
    request.head.fields = {{"Host", "test"}};
    return client.Start(
        peer.endpoint(), request, options, [&seen](CallEvent event) {
          std::visit(Overloaded{
                         [&](HttpHead&) { ++seen.statuses; },
                         [&](HttpBodyPart& it) {
                           absl::StrAppend(&seen.body, it.bytes);
                         },
                         [&](HttpEnd&) { seen.ended = true; },
                         [&](CallFailure& it) { seen.failure = it; },
                     },
                     event);
        });
  }

  EventLoop loop;
  HttpClient client{loop, absl::Seconds(3)};
  ScriptedPeer peer;
};

TEST_CASE("answer without a length ends once its server accepts connections",
          "[net][unframed]") {
  Exchange it([](ScriptedPeer::Reply& reply) { reply.closes = true; });
  for (uint64_t calls = 1; calls <= 3; ++calls) {
    Seen seen;
    it.Start(seen);
    it.loop.RunFor(kSoon);
    CHECK(seen.ended);
    CHECK(seen.body == "body");
    // The connection that confirms an end serves the next call.
    CHECK(it.client.connections_made() == calls + 1);
  }
}

TEST_CASE("answer without a length fails if its server refuses connections",
          "[net][unframed]") {
  Exchange it([](ScriptedPeer::Reply& reply) {
    reply.crashes = true;
    reply.down = std::chrono::milliseconds(10000);
  });
  Seen seen;
  it.Start(seen);
  it.loop.RunFor(kSoon);
  CHECK_FALSE(seen.ended);
  REQUIRE(seen.failure.has_value());
  CHECK(seen.failure->error == CallError::kUnconfirmed);
  CHECK(seen.failure->sent);
  CHECK(it.client.open_connections() == 0);
}

// A proxy on the server's host goes on when the server has ended.
TEST_CASE("answer without a length fails if new connections are closed at once",
          "[net][unframed]") {
  Exchange it([](ScriptedPeer::Reply& reply) {
    reply.crashes = true;
    reply.closes_new = true;
    reply.down = std::chrono::milliseconds(10000);
  });
  Seen seen;
  it.Start(seen);
  it.loop.RunFor(kSoon);
  CHECK_FALSE(seen.ended);
  REQUIRE(seen.failure.has_value());
  CHECK(seen.failure->error == CallError::kUnconfirmed);
}

TEST_CASE("bytes on the connection that confirms an end do not hold it up",
          "[net][unframed]") {
  Exchange it([](ScriptedPeer::Reply& reply) {
    reply.closes = true;
    reply.greeting = "hello";
  });
  Seen seen;
  it.Start(seen);
  it.loop.RunFor(kSoon);
  CHECK(seen.ended);
}

TEST_CASE("call that is cancelled while its end is in doubt hears no more",
          "[net][unframed]") {
  for (bool crashes : {false, true}) {
    Exchange it([crashes](ScriptedPeer::Reply& reply) {
      reply.closes = !crashes;
      reply.crashes = crashes;
    });
    Seen seen;
    CallId call = it.Start(seen);
    while (seen.body.empty()) it.loop.RunFor(absl::Milliseconds(1));
    it.loop.RunFor(absl::Milliseconds(8));
    REQUIRE_FALSE(seen.IsOver());
    it.client.Cancel(call);
    it.loop.RunFor(kSoon);
    CHECK_FALSE(seen.IsOver());
  }
}

TEST_CASE("call keeps its timeout while its end is in doubt",
          "[net][unframed]") {
  Exchange it([](ScriptedPeer::Reply& reply) { reply.closes = true; });
  Seen seen;
  CallOptions options;
  options.timeout = absl::Milliseconds(15);
  it.Start(seen, options);
  it.loop.RunFor(kSoon);
  REQUIRE(seen.failure.has_value());
  CHECK(seen.failure->error == CallError::kTimeout);
}

// A process that stood still finds its server restarted.
TEST_CASE("answer without a length fails if another call breaks at its end",
          "[net][unframed]") {
  int calls = 0;
  Exchange it([&calls](ScriptedPeer::Reply& reply) {
    // The first call waits for its answer until the server ends.
    if (++calls == 1) {
      reply.bytes.clear();
      return;
    }
    reply.crashes = true;
    reply.down = std::chrono::milliseconds(1);
  });
  Seen open;
  it.Start(open);
  it.loop.RunFor(absl::Milliseconds(30));
  Seen seen;
  it.Start(seen);
  it.loop.RunFor(kSoon);
  CHECK(open.failure.has_value());
  CHECK_FALSE(seen.ended);
  CHECK(seen.failure.has_value());
}

TEST_CASE("answer without a length ends although another call breaks",
          "[net][unframed]") {
  int calls = 0;
  Exchange it([&calls](ScriptedPeer::Reply& reply) {
    ++calls;
    if (calls == 1) reply.bytes.clear();  // stays open
    if (calls == 2) reply.resets = true;
    if (calls == 3) reply.closes = true;
  });
  Seen open;
  it.Start(open);
  it.loop.RunFor(absl::Milliseconds(30));
  Seen broken;
  it.Start(broken);
  it.loop.RunFor(absl::Milliseconds(15));
  Seen seen;
  it.Start(seen);
  it.loop.RunFor(absl::Seconds(1));
  CHECK(broken.failure.has_value());
  CHECK_FALSE(open.IsOver());
  CHECK(seen.ended);
}

// A busy proxy takes a while to close what its server does not accept.
TEST_CASE("answers without a length that end together wait longer",
          "[net][unframed]") {
  int calls = 0;
  Exchange it([&calls](ScriptedPeer::Reply& reply) {
    // The first call waits for its answer until the server ends.
    if (++calls == 1) {
      reply.bytes = reply.bytes.substr(0, reply.bytes.size() - 1);
      return;
    }
    reply.crashes = true;
    reply.closes_new = true;
    reply.closes_new_after = std::chrono::milliseconds(60);
    reply.down = std::chrono::milliseconds(10000);
  });
  Seen first;
  it.Start(first);
  it.loop.RunFor(absl::Milliseconds(30));
  Seen second;
  it.Start(second);
  it.loop.RunFor(absl::Seconds(1));
  CHECK(first.failure.has_value());
  CHECK(second.failure.has_value());
}

}  // namespace
}  // namespace chervilwick
