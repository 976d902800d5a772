// Answers that arrive while their request is still being sent.

#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "chervilwick/net/http_client.h"
#include "chervilwick/support/overloaded.h"
#include "scripted_peer.h"

namespace chervilwick {
namespace {

using Reply = ScriptedPeer::Reply;

constexpr int kTries = 24;
constexpr int kReceiveBufferBytes = 8 << 10;
constexpr absl::Duration kMaxTime = absl::Seconds(2);
constexpr absl::Duration kTurn = absl::Microseconds(100);
constexpr char kUnframed[] = "HTTP/1.1 200 OK\r\n\r\npart";

struct Seen {
  std::string body;
  int status = 0;
  bool has_ended = false;
  std::optional<CallFailure> failure;
};

// A server that answers uploads before it has read them.
class EarlyServer {
 public:
  explicit EarlyServer(std::function<Reply()> reply)
      : peer_([reply = std::move(reply)](
                  const HttpHead&, const std::string&) { return reply(); },
              {/*answers_heads=*/true, kReceiveBufferBytes}) {
    // As in the daemons: a write to a connection that was reset raises it.
    std::signal(SIGPIPE, SIG_IGN);
  }

  // With a pause after each short run of the loop, the client finds an answer
  // and the reset after it at once, as in a busy process.
  Seen Upload(size_t bytes, absl::Duration pause = absl::ZeroDuration()) {
    HttpRequest request;
    request.head.method = "POST";
    request.head.target = "/";
    request.head.fields = {{"Host", "test"}};
    request.body.assign(bytes, 'u');
    Seen seen;
    CallId call = client_.Start(
        peer_.endpoint(), request, CallOptions(), [&seen](CallEvent event) {
          std::visit(Overloaded{
                         [&](HttpHead& it) { seen.status = it.status; },
                         [&](HttpBodyPart& it) {
                           absl::StrAppend(&seen.body, it.bytes);
                         },
                         [&](HttpEnd&) { seen.has_ended = true; },
                         [&](CallFailure& it) { seen.failure = it; },
                     },
                     event);
        });
    absl::Time end = loop_.Now() + kMaxTime;
    while (!seen.has_ended && !seen.failure && loop_.Now() < end) {
      loop_.RunFor(kTurn);
      absl::SleepFor(pause);
    }
    client_.Cancel(call);
    return seen;
  }

 private:
  EventLoop loop_;
  HttpClient client_{loop_, absl::Seconds(3)};
  ScriptedPeer peer_;
};

// Bytes of the request that nobody has read turn a close into a reset.
TEST_CASE("answer without a length that is reset during an upload is not whole",
          "[net][early]") {
  struct Ending {
    const char* name;
    std::function<void(Reply&)> set;
  };
  const std::vector<Ending> endings = {
      {"closed with bytes unread", [](Reply& it) { it.closes = true; }},
      {"reset at once",
       [](Reply& it) {
         it.resets = true;
         it.reset_delay = std::chrono::milliseconds(0);
       }},
      {"reset after 3 ms", [](Reply& it) { it.resets = true; }},
      {"both directions shut, then closed",
       [](Reply& it) { it.shuts_down = it.closes = true; }},
      {"both directions shut, then reset",
       [](Reply& it) { it.shuts_down = it.resets = true; }},
      {"ended, then reset",
       [](Reply& it) {
         it.half_closes = true;
         it.resets = true;
       }},
  };
  for (const Ending& ending : endings) {
    EarlyServer server([&ending] {
      Reply reply(kUnframed);
      ending.set(reply);
      return reply;
    });
    for (size_t bytes : {size_t{4} << 20, size_t{700} << 10}) {
      INFO(ending.name << ", " << bytes << " bytes");
      for (int n = 0; n < kTries; ++n) {
        Seen seen = server.Upload(bytes);
        CHECK_FALSE(seen.has_ended);
        CHECK((seen.failure && seen.failure->sent));
      }
    }
  }
}

TEST_CASE(
    "answer without a length that ends in order during an upload is whole",
    "[net][early]") {
  EarlyServer server([] {
    Reply reply("HTTP/1.1 413 Content Too Large\r\n\r\ntoo large");
    reply.half_closes = true;
    return reply;
  });
  for (int n = 0; n < kTries; ++n) {
    Seen seen = server.Upload(size_t{4} << 20);
    CHECK(seen.has_ended);
    CHECK(seen.status == 413);
    CHECK(seen.body == "too large");
  }
}

TEST_CASE("answer whose framing is complete is whole although a reset follows",
          "[net][early]") {
  // The longer one takes several reads.
  for (size_t size : {size_t{9}, size_t{60000}}) {
    const std::string body(size, 'b');
    for (const std::string& framed :
         {absl::StrCat("Content-Length: ", size, "\r\n\r\n", body),
          absl::StrCat("Transfer-Encoding: chunked\r\n\r\n", EncodeChunk(body),
                       "0\r\n\r\n")}) {
      EarlyServer server([&] {
        Reply reply("HTTP/1.1 413 Content Too Large\r\n" + framed);
        reply.resets = true;
        return reply;
      });
      for (absl::Duration pause :
           {absl::ZeroDuration(), absl::Milliseconds(5)}) {
        INFO(framed.substr(0, 30) << ", pauses of " << pause);
        for (int n = 0; n < kTries; ++n) {
          Seen seen = server.Upload(size_t{4} << 20, pause);
          CHECK(seen.has_ended);
          CHECK(seen.status == 413);
          CHECK(seen.body.size() == size);
        }
      }
    }
  }
}

TEST_CASE("answer whose framing is incomplete fails if a reset follows",
          "[net][early]") {
  EarlyServer server([] {
    Reply reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    reply.closes = true;
    return reply;
  });
  for (int n = 0; n < kTries; ++n) {
    Seen seen = server.Upload(size_t{4} << 20);
    CHECK_FALSE(seen.has_ended);
    CHECK(seen.failure.has_value());
  }
}

}  // namespace
}  // namespace chervilwick
