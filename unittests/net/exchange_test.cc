// Server and client against each other, and against raw bytes.

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "chervilwick/net/http_client.h"
#include "chervilwick/net/http_server.h"
#include "chervilwick/net/socket.h"
#include "chervilwick/support/overloaded.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kSoon = absl::Milliseconds(200);
// Where the kernel's range begins unless it is configured.
constexpr uint16_t kFirstOutgoing = 32768;

struct Seen {
  std::vector<int> statuses;
  std::string body;
  bool ended = false;
  std::optional<CallFailure> failure;

  CallHandler Handler() {
    return [this](CallEvent event) {
      std::visit(
          Overloaded{
              [this](HttpHead& it) { statuses.push_back(it.status); },
              [this](HttpBodyPart& it) { absl::StrAppend(&body, it.bytes); },
              [this](HttpEnd&) { ended = true; },
              [this](CallFailure& it) { failure = it; },
          },
          event);
    };
  }
};

HttpRequest Get(const std::string& target) {
  HttpRequest request;
  request.head.method = "GET";
  request.head.target = target;
  request.head.fields = {{"Host", "test"}};
  return request;
}

class Exchange {
 public:
  explicit Exchange(EventHttpServer::Handlers handlers)
      : server(loop, std::move(handlers)), client(loop, absl::Seconds(3)) {
    REQUIRE(server.Listen(address));
  }

  EventLoop loop;
  Endpoint address = FreeEndpoint();
  EventHttpServer server;
  HttpClient client;
};

TEST_CASE("a kept connection serves the next call", "[net]") {
  EventHttpServer* server = nullptr;
  Exchange it({[&](ExchangeId id, const Endpoint&, const HttpRequest& request) {
                 server->Respond(id, {200, {}, request.head.target});
               },
               [](ExchangeId) {}});
  server = &it.server;
  for (const char* target : {"/one", "/two", "/three"}) {
    Seen seen;
    it.client.Start(it.address, Get(target), CallOptions(), seen.Handler());
    it.loop.RunFor(kSoon);
    CHECK(seen.ended);
    CHECK(seen.body == target);
  }
  CHECK(it.client.connections_made() == 1);
}

TEST_CASE("a call leaves out the kept connections that it excludes", "[net]") {
  EventHttpServer* server = nullptr;
  Exchange it({[&](ExchangeId id, const Endpoint&, const HttpRequest&) {
                 server->Respond(id, {200, {}, ""});
               },
               [](ExchangeId) {}});
  server = &it.server;
  CallOptions options;
  for (uint64_t made = 1; made <= 3; ++made) {
    Seen seen;
    CallId call =
        it.client.Start(it.address, Get("/"), options, seen.Handler());
    options.excluded.insert(it.client.ConnectionOf(call));
    CHECK(it.client.connections_made() == made);
    it.loop.RunFor(kSoon);
    CHECK(seen.ended);
  }
  CHECK(options.excluded.size() == 3);
  Seen seen;
  CallId call =
      it.client.Start(it.address, Get("/"), CallOptions(), seen.Handler());
  CHECK(options.excluded.count(it.client.ConnectionOf(call)) == 1);
  it.loop.RunFor(kSoon);
  CHECK(it.client.connections_made() == 3);
  CHECK(it.client.ConnectionOf(call) == ConnectionId());
}

TEST_CASE("a stream is passed on as it comes", "[net]") {
  EventHttpServer* server = nullptr;
  std::optional<ExchangeId> exchange;
  Exchange it({[&](ExchangeId id, const Endpoint&, const HttpRequest&) {
                 exchange = id;
                 server->BeginStream(id, 200, {});
                 server->SendStream(id, "first");
               },
               [](ExchangeId) {}});
  server = &it.server;
  Seen seen;
  it.client.Start(it.address, Get("/"), CallOptions(), seen.Handler());
  it.loop.RunFor(kSoon);
  CHECK(seen.body == "first");
  CHECK_FALSE(seen.ended);
  server->EndStream(*exchange);
  it.loop.RunFor(kSoon);
  CHECK(seen.ended);
}

TEST_CASE("a stream that is cut does not look whole", "[net]") {
  EventHttpServer* server = nullptr;
  Exchange it({[&](ExchangeId id, const Endpoint&, const HttpRequest&) {
                 server->BeginStream(id, 200, {});
                 server->SendStream(id, "part");
                 server->Abort(id);
               },
               [](ExchangeId) {}});
  server = &it.server;
  Seen seen;
  it.client.Start(it.address, Get("/"), CallOptions(), seen.Handler());
  it.loop.RunFor(kSoon);
  CHECK_FALSE(seen.ended);
  REQUIRE(seen.failure);
  CHECK(seen.failure->sent);
}

// Guards against the last chunk of a body that there may not be: the client
// takes its bytes for the begin of the next answer.
TEST_CASE("a stream whose status allows no body is its head alone", "[net]") {
  for (int status : {204, 304}) {
    EventHttpServer* server = nullptr;
    Exchange it({[&](ExchangeId id, const Endpoint&, const HttpRequest&) {
                   server->BeginStream(id, status, {});
                   server->SendStream(id, "no body");
                   server->EndStream(id);
                 },
                 [](ExchangeId) {}});
    server = &it.server;
    int socket = ConnectRaw(it.address);
    std::string bytes = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    for (int n = 0; n < 2; ++n) {
      REQUIRE(write(socket, bytes.data(), bytes.size()) ==
              static_cast<ssize_t>(bytes.size()));
      it.loop.RunFor(kSoon);
      std::string answer = ReadAvailable(socket);
      CHECK(answer.find(absl::StrCat("HTTP/1.1 ", status)) == 0);
      CHECK(answer.find("Transfer-Encoding") == std::string::npos);
      CHECK(answer.find("\r\n\r\n") == answer.size() - 4);
    }
    close(socket);
  }
}

TEST_CASE("a client that goes away is noticed", "[net]") {
  int gone = 0;
  Exchange it({[](ExchangeId, const Endpoint&, const HttpRequest&) {},
               [&](ExchangeId) { ++gone; }});
  Seen seen;
  CallId call =
      it.client.Start(it.address, Get("/"), CallOptions(), seen.Handler());
  it.loop.RunFor(kSoon);
  it.client.Cancel(call);
  it.loop.RunFor(kSoon);
  CHECK(gone == 1);
  CHECK(it.server.open_connections() == 0);
}

TEST_CASE("a refused connection is a call that was not sent", "[net]") {
  EventLoop loop;
  HttpClient client(loop, absl::Seconds(3));
  Seen seen;
  client.Start(FreeEndpoint(), Get("/"), CallOptions(), seen.Handler());
  loop.RunFor(kSoon);
  REQUIRE(seen.failure);
  CHECK(seen.failure->error == CallError::kConnect);
  CHECK_FALSE(seen.failure->sent);
}

TEST_CASE("an answer to another request is skipped", "[net]") {
  RawPeer peer(
      "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
      "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine");
  EventLoop loop;
  HttpClient client(loop, absl::Seconds(3));
  CallOptions options;
  options.accepts = [](const HttpHead& head, bool /*is_fresh*/) {
    return head.Get("X-Id") == "mine";
  };
  Seen seen;
  client.Start(peer.endpoint(), Get("/"), options, seen.Handler());
  loop.RunFor(kSoon);
  CHECK(seen.ended);
  CHECK(seen.body == "mine");
}

TEST_CASE("a call that ended itself hears nothing more", "[net]") {
  for (int parts : {0, 1}) {
    RawPeer peer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\na\r\n1\r\nb\r\n0\r\n\r\n");
    EventLoop loop;
    HttpClient client(loop, absl::Seconds(3));
    CallId call;
    int events = 0;
    call = client.Start(peer.endpoint(), Get("/"), CallOptions(),
                        [&](const CallEvent&) {
                          if (events++ == parts) client.Cancel(call);
                        });
    loop.RunFor(kSoon);
    CHECK(events == parts + 1);
  }
}

TEST_CASE("bytes after an answer close its connection", "[net]") {
  RawPeer peer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokEXTRA");
  EventLoop loop;
  HttpClient client(loop, absl::Seconds(3));
  Seen seen;
  client.Start(peer.endpoint(), Get("/"), CallOptions(), seen.Handler());
  loop.RunFor(kSoon);
  CHECK(seen.body == "ok");
  CHECK(client.open_connections() == 0);
}

TEST_CASE("bytes that are no answer fail the call", "[net]") {
  RawPeer peer("garbage\r\n\r\n");
  EventLoop loop;
  HttpClient client(loop, absl::Seconds(3));
  Seen seen;
  client.Start(peer.endpoint(), Get("/"), CallOptions(), seen.Handler());
  loop.RunFor(kSoon);
  REQUIRE(seen.failure);
  CHECK(seen.failure->error == CallError::kMalformed);
  CHECK(seen.failure->sent);
}

TEST_CASE("requests that are sent ahead are answered in order", "[net]") {
  EventHttpServer* server = nullptr;
  Exchange it({[&](ExchangeId id, const Endpoint&, const HttpRequest& request) {
                 server->Respond(id, {200, {}, request.head.target});
               },
               [](ExchangeId) {}});
  server = &it.server;
  int socket = ConnectRaw(it.address);
  std::string bytes =
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  REQUIRE(write(socket, bytes.data(), bytes.size()) ==
          static_cast<ssize_t>(bytes.size()));
  it.loop.RunFor(kSoon);
  std::string answers = ReadAvailable(socket);
  CHECK(answers.find("/1") < answers.find("/2"));
  CHECK(answers.find("/2") != std::string::npos);
  close(socket);
}

TEST_CASE("slow, oversized and smuggled requests are refused", "[net]") {
  EventHttpServer* server = nullptr;
  int served = 0;
  Exchange it({[&](ExchangeId id, const Endpoint&, const HttpRequest&) {
                 ++served;
                 server->Respond(id, {200, {}, ""});
               },
               [](ExchangeId) {}});
  server = &it.server;
  HttpServerLimits limits;
  limits.max_head_bytes = 200;
  limits.max_body_bytes = 10;
  limits.head_timeout = absl::Milliseconds(50);
  it.server.SetLimits(limits);
  struct Case {
    std::string bytes;
    std::string status;
  };
  for (const Case& example :
       {Case{"GET / HTTP/1.1\r\nHo", "408"},
        Case{"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'a'), "431"},
        Case{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n" +
                 std::string(11, 'a'),
             "413"},
        Case{"GET / HTTP/1.1\r\n\r\n", "400"},
        Case{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "400"}}) {
    int socket = ConnectRaw(it.address);
    REQUIRE(write(socket, example.bytes.data(), example.bytes.size()) > 0);
    it.loop.RunFor(kSoon);
    CHECK(ReadAvailable(socket).substr(9, 3) == example.status);
    close(socket);
  }
  CHECK(served == 0);
}

// On loopback nothing can be made to swallow segments, so this asks what the
// kernel was told.
TEST_CASE("a connection whose peer falls silent ends within the limit",
          "[net]") {
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(socket >= 0);
  SetTcpOptions(socket, absl::Seconds(3));
  auto option = [socket](int level, int name) {
    int value = 0;
    socklen_t size = sizeof(value);
    REQUIRE(getsockopt(socket, level, name, &value, &size) == 0);
    return value;
  };
  // Data that is not acknowledged.
  CHECK(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == 3000);
  // A connection that only waits.
  CHECK(option(SOL_SOCKET, SO_KEEPALIVE) == 1);
  CHECK(option(IPPROTO_TCP, TCP_KEEPIDLE) +
            option(IPPROTO_TCP, TCP_KEEPINTVL) *
                option(IPPROTO_TCP, TCP_KEEPCNT) <=
        3);
  close(socket);
}

// A front of a played day once found its port taken by an outgoing connection.
TEST_CASE("ports of stand-ins are not those of outgoing connections", "[net]") {
  uint16_t last = 0;
  for (int n = 0; n < 50; ++n) {
    uint16_t port = FreeEndpoint().port;
    CHECK(port < kFirstOutgoing);
    CHECK(port != last);
    last = port;
  }
}

// A planned stop under load: a request that is on its way into the process when
// the idle connections are closed.
TEST_CASE("a stop serves what has arrived and was not read yet", "[net]") {
  EventHttpServer* server = nullptr;
  Exchange it({[&](ExchangeId id, const Endpoint&, const HttpRequest& request) {
                 server->Respond(id, {200, {}, request.head.target});
               },
               [](ExchangeId) {}});
  server = &it.server;
  std::string bytes = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  auto send = [&](int socket) {
    REQUIRE(write(socket, bytes.data(), bytes.size()) ==
            static_cast<ssize_t>(bytes.size()));
  };
  int kept = ConnectRaw(it.address);
  it.loop.RunFor(kSoon);
  // One on a connection that is open, one on a connection that the kernel has
  // taken in and the server has not.
  int waiting = ConnectRaw(it.address);
  send(kept);
  send(waiting);
  server->CloseAfterAnswers();
  server->StopListening();
  server->CloseIdle();
  it.loop.RunFor(kSoon);
  for (int socket : {kept, waiting}) {
    CHECK(ReadAvailable(socket).find("200 OK") != std::string::npos);
    close(socket);
  }
}

}  // namespace
}  // namespace chervilwick
