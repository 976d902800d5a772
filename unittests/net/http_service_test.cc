// HTTP service: a loop on its own thread, reached from others.

#include "chervilwick/net/http_service.h"

#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "chervilwick/net/http_target.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

constexpr std::chrono::milliseconds kPoll{5};
constexpr int kMaxPolls = 1000;

// Reads until the text has come, or five seconds have passed.
std::string ReadUntil(int socket, const std::string& text) {
  std::string all;
  for (int n = 0; n < kMaxPolls; ++n) {
    all += ReadAvailable(socket);
    if (all.find(text) != std::string::npos) break;
    std::this_thread::sleep_for(kPoll);
  }
  return all;
}

// Waits until another thread has counted something, or five seconds have
// passed.
template <typename T>
void AwaitNonZero(const std::atomic<T>& value) {
  for (int n = 0; n < kMaxPolls && value == 0; ++n) {
    std::this_thread::sleep_for(kPoll);
  }
}

void Send(int socket, const std::string& bytes) {
  REQUIRE(write(socket, bytes.data(), bytes.size()) ==
          static_cast<ssize_t>(bytes.size()));
}

TEST_CASE("a target is split into path and decoded parameters", "[net]") {
  HttpTarget target = HttpTarget::Parse("/admin/config?number=good+%31&x");
  CHECK(target.path == "/admin/config");
  CHECK(target.Param("number") == "good 1");
  CHECK(target.Param("x").empty());
  CHECK(target.Param("other").empty());
  CHECK(HttpTarget::Parse("/a?b=%4").Param("b") == "%4");
  CHECK(HttpTarget::Parse("/a?b=%zz").Param("b") == "%zz");
}

TEST_CASE("requests are served and an address in use is reported", "[net]") {
  std::string address = FreeEndpoint().ToString();
  HttpService* service = nullptr;
  HttpService first(
      address, HttpServerLimits(),
      {[&](ExchangeId id, const Endpoint&, const HttpRequest& request) {
         service->server().Respond(id, {200, {}, request.head.target});
       },
       [](ExchangeId) {}});
  service = &first;
  REQUIRE_FALSE(first.Bind().has_value());
  first.Start();
  int client = ConnectRaw(*Endpoint::Parse(address));
  Send(client, "GET /served HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(ReadUntil(client, "/served").find("200") != std::string::npos);
  HttpService other(address, HttpServerLimits(),
                    {[](ExchangeId, const Endpoint&, const HttpRequest&) {},
                     [](ExchangeId) {}});
  CHECK(other.Bind().has_value());
  first.Stop();
  close(client);
}

TEST_CASE("an answer comes from another thread", "[net]") {
  std::string address = FreeEndpoint().ToString();
  HttpService* service = nullptr;
  std::atomic<uint64_t> asked{0};
  HttpService it(address, HttpServerLimits(),
                 {[&](ExchangeId id, const Endpoint&, const HttpRequest&) {
                    asked = id.value();
                  },
                  [](ExchangeId) {}});
  service = &it;
  REQUIRE_FALSE(it.Bind().has_value());
  it.Start();
  int client = ConnectRaw(*Endpoint::Parse(address));
  Send(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  AwaitNonZero(asked);
  REQUIRE(asked != 0);
  // Many parts from two threads arrive whole and end once.
  ExchangeId id(asked);
  REQUIRE(it.Post([&, id] { service->server().BeginStream(id, 200, {}); }));
  std::vector<std::thread> threads;
  threads.reserve(2);
  for (int n = 0; n < 2; ++n) {
    threads.emplace_back([&, id] {
      for (int part = 0; part < 100; ++part) {
        it.Post([&, id] { service->server().SendStream(id, "ab"); });
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  it.Post([&, id] { service->server().EndStream(id); });
  std::string answer = ReadUntil(client, "\r\n0\r\n\r\n");
  size_t parts = 0;
  for (size_t at = answer.find("ab"); at != std::string::npos;
       at = answer.find("ab", at + 1)) {
    ++parts;
  }
  CHECK(parts == 200);
  it.Stop();
  CHECK_FALSE(it.Post([] {}));
  close(client);
}

TEST_CASE("a closed connection is noticed", "[net]") {
  std::string address = FreeEndpoint().ToString();
  std::atomic<int> asked{0};
  std::atomic<int> gone{0};
  HttpService it(
      address, HttpServerLimits(),
      {[&](ExchangeId, const Endpoint&, const HttpRequest&) { ++asked; },
       [&](ExchangeId) { ++gone; }});
  REQUIRE_FALSE(it.Bind().has_value());
  it.Start();
  int client = ConnectRaw(*Endpoint::Parse(address));
  Send(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  AwaitNonZero(asked);
  REQUIRE(asked == 1);
  CHECK(gone == 0);
  close(client);
  AwaitNonZero(gone);
  CHECK(gone == 1);
  it.Stop();
}

TEST_CASE("what is no request gets the renderer's answer", "[net]") {
  std::string address = FreeEndpoint().ToString();
  HttpServerLimits limits;
  limits.max_body_bytes = 10;
  std::atomic<int> handed_on{0};
  HttpService it(
      address, limits,
      {[&](ExchangeId, const Endpoint&, const HttpRequest&) { ++handed_on; },
       [](ExchangeId) {}});
  it.server().SetRejectionRenderer([](int status) {
    return HttpResponse{status, {}, absl::StrCat("reason-", status)};
  });
  REQUIRE_FALSE(it.Bind().has_value());
  it.Start();
  int torn = ConnectRaw(*Endpoint::Parse(address));
  Send(torn,
       "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
       "Content-Length: 2\r\n\r\n");
  CHECK_THAT(ReadUntil(torn, "reason-400"), Catch::Contains("reason-400"));
  int large = ConnectRaw(*Endpoint::Parse(address));
  Send(large,
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n12345678901");
  CHECK_THAT(ReadUntil(large, "reason-413"), Catch::Contains("reason-413"));
  it.Stop();
  CHECK(handed_on == 0);
  close(torn);
  close(large);
}

}  // namespace
}  // namespace chervilwick
