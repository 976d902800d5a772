// Reading of server-sent events.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "chervilwick/engine/engine_client.h"
#include "chervilwick/engine/sse_reader.h"
#include "chervilwick/engine/work_pool.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

// More than one thread and the queue before it hold.
constexpr uint64_t kAttempts = 200;

std::vector<std::string> ReadAll(const std::string& text, size_t width) {
  SseReader reader;
  std::vector<std::string> events;
  for (size_t at = 0; at < text.size(); at += width) {
    reader.Append(text.substr(at, width),
                  [&](const std::string& data) { events.push_back(data); });
  }
  return events;
}

TEST_CASE("events are read from any split", "[engine]") {
  std::string text =
      "data: one\n\n: comment\r\ndata:two\r\n\r\ndata: [DONE]\n\n";
  rc::prop("splits", [&](uint8_t width) {
    RC_ASSERT(ReadAll(text, 1 + width % 40) ==
              (std::vector<std::string>{"one", "two", "[DONE]"}));
  });
}

TEST_CASE("an endless event breaks the stream", "[engine]") {
  SseReader reader;
  std::string part(100000, 'x');
  for (int it = 0; it < 20; ++it) {
    reader.Append(part, [](const std::string&) {});
  }
  CHECK(reader.IsBroken());
}

TEST_CASE("an engine that takes no connection did not run", "[engine]") {
  StartWork start;
  start.attempt = {Incarnation(1), 1};
  start.kind = WorkKind::kPlain;
  start.method = "POST";
  start.path = "/book";
  start.deadline_ms = 500;
  CallCanceller canceller;
  EngineFinished finished = RunOnEngine(PlainEngine{"127.0.0.1:24898"}, start,
                                        canceller, [](auto) {});
  CHECK(finished.status == WorkStatus::kNotSent);
  canceller.Cancel();
  finished = RunOnEngine(PlainEngine{"127.0.0.1:24898"}, start, canceller,
                         [](auto) {});
  CHECK(finished.status == WorkStatus::kCancelled);
}

TEST_CASE("attempts that find the queue full end and leave nothing behind",
          "[engine]") {
  // Accepts in the kernel, never answers.
  Endpoint address = FreeEndpoint();
  int listener = ListenTcp(address);
  REQUIRE(listener >= 0);
  Mutex mutex;
  size_t not_sent = 0;
  WorkPool pool(
      PlainEngine{address.ToString()}, 1, [](const EngineTokens&) {},
      [&](const EngineFinished& it) {
        MutexLock lock(&mutex);
        not_sent += it.status == WorkStatus::kNotSent ? 1 : 0;
      });
  for (uint64_t n = 1; n <= kAttempts; ++n) {
    StartWork start;
    start.attempt = {Incarnation(1), n};
    start.method = "POST";
    start.path = "/book";
    start.deadline_ms = 60000;
    pool.Run(start);
  }
  size_t refused = 0;
  {
    MutexLock lock(&mutex);
    refused = not_sent;
  }
  CHECK(refused > 0);
  CHECK(pool.unfinished() == kAttempts - refused);
  pool.Stop();
  close(listener);
}

}  // namespace
}  // namespace chervilwick
