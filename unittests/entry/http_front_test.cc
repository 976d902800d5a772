// Tests of an entry's HTTP server, without a store or other processes.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "chervilwick/entry/entry_daemon.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

constexpr std::chrono::milliseconds kPoll{5};
constexpr int kMaxPolls = 1000;

EntrySettings Settings() {
  EntrySettings settings;
  settings.name = "entry-0";
  settings.zone = "zone-a";
  settings.listen = FreeEndpoint().ToString();
  settings.http = FreeEndpoint().ToString();
  settings.store = FreeEndpoint().ToString();      // nothing listens there
  settings.host_list = FreeEndpoint().ToString();  // nor there
  settings.shutdown_limit = absl::Seconds(5);
  return settings;
}

class Entry {
 public:
  explicit Entry(const EntrySettings& settings)
      : address_(*Endpoint::Parse(settings.http)), daemon_(settings) {
    REQUIRE_FALSE(daemon_.Start().has_value());
  }

  int Connect() { return ConnectRaw(address_); }

  // Sends a request on a new connection. Returns the response as received once
  // its header is complete, plus what arrives within one more poll interval.
  std::string Fetch(const std::string& method, const std::string& target,
                    const std::string& body = "") {
    int socket = Connect();
    std::string bytes = absl::StrCat(
        method, " ", target, " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n",
        "Content-Length: ", body.size(), "\r\n\r\n", body);
    REQUIRE(write(socket, bytes.data(), bytes.size()) ==
            static_cast<ssize_t>(bytes.size()));
    std::string answer;
    for (int n = 0; n < kMaxPolls; ++n) {
      answer += ReadAvailable(socket);
      if (answer.find("\r\n\r\n") != std::string::npos) break;
      std::this_thread::sleep_for(kPoll);
    }
    std::this_thread::sleep_for(kPoll);
    answer += ReadAvailable(socket);
    close(socket);
    return answer;
  }

  EntryDaemon& daemon() { return daemon_; }

 private:
  Endpoint address_;
  EntryDaemon daemon_;
};

TEST_CASE("an entry without a configuration refuses requests as not run",
          "[entry]") {
  Entry entry(Settings());
  CHECK_THAT(entry.Fetch("GET", "/healthz"), Catch::Contains("200 OK"));
  CHECK_THAT(entry.Fetch("GET", "/readyz"), Catch::Contains("503"));
  std::string answer =
      entry.Fetch("POST", "/v1/completions", R"({"model":"m","prompt":"p"})");
  CHECK_THAT(answer, Catch::Contains(" 503 "));
  CHECK_THAT(answer, Catch::Contains("\"run\":\"not_run\""));
  CHECK_THAT(answer, Catch::Contains("X-Request-Id: entry-0-"));
  CHECK_THAT(entry.Fetch("GET", "/metrics"),
             Catch::Contains("chervilwick_entry_refused_total 1"));
}

TEST_CASE("malformed and unsupported requests get an error response",
          "[entry]") {
  Entry entry(Settings());
  std::string malformed = entry.Fetch("POST", "/v1/chat/completions", "{");
  CHECK_THAT(malformed, Catch::Contains(" 400 "));
  CHECK_THAT(malformed, Catch::Contains("the body is not a JSON object"));
  std::string method = entry.Fetch("PATCH", "/bookings");
  CHECK_THAT(method, Catch::Contains(" 405 "));
  CHECK_THAT(method, Catch::Contains("\"code\":\"bad_request\""));
  CHECK_THAT(entry.Fetch("GET", "/admin/nothing"), Catch::Contains(" 404 "));
  CHECK_THAT(entry.Fetch("POST", "/admin/config/patch", "{}"),
             Catch::Contains("needs base"));
}

TEST_CASE("shutdown completes while an idle connection is open", "[entry]") {
  Entry entry(Settings());
  // An idle keep-alive connection must not delay the shutdown.
  int idle = entry.Connect();
  REQUIRE(idle >= 0);
  CHECK_THAT(entry.Fetch("GET", "/healthz"), Catch::Contains("200 OK"));
  entry.daemon().RequestStop();
  CHECK(entry.daemon().WaitUntilDrained());
  entry.daemon().Stop();
  close(idle);
}

TEST_CASE("what is open at the limit of an entry's stop gets its answer",
          "[entry]") {
  EntrySettings settings = Settings();
  settings.shutdown_limit = absl::Seconds(2);
  Entry entry(settings);
  std::string answer;
  // Stays open, as the store can't be reached.
  std::thread client([&] {
    answer = entry.Fetch("POST", "/admin/config/patch",
                         R"({"base":0,"patch":{},"author":"a","reason":"r"})");
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  entry.daemon().RequestStop();
  // Catch2's assertions may be used by one thread at a time.
  bool is_drained = entry.daemon().WaitUntilDrained();
  entry.daemon().Stop();
  client.join();
  CHECK_FALSE(is_drained);
  CHECK_THAT(answer, Catch::Contains(" 504 "));
  CHECK_THAT(answer, Catch::Contains("outcome unknown"));
}

}  // namespace
}  // namespace chervilwick
