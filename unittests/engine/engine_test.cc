// Unit tests of SseReader, RunOnEngine and WorkPool.

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

// More than one thread and its queue can hold.
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

TEST_CASE("events that are split across reads are read whole", "[engine]") {
  std::string text =
      "data: one\n\n: comment\r\ndata:two\r\n\r\ndata: [DONE]\n\n";
  rc::prop("events are the same for any read size", [&](uint8_t width) {
    RC_ASSERT(ReadAll(text, 1 + width % 40) ==
              (std::vector<std::string>{"one", "two", "[DONE]"}));
  });
}

TEST_CASE("an event without end fails the reader instead of filling memory",
          "[engine]") {
  SseReader reader;
  std::string part(100000, 'x');
  for (int it = 0; it < 20; ++it) {
    reader.Append(part, [](const std::string&) {});
  }
  CHECK(reader.HasFailed());
}

TEST_CASE("a call to an unreachable engine is reported as not sent",
          "[engine]") {
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

TEST_CASE(
    "an attempt refused by a full queue ends and is not counted as unfinished",
    "[engine]") {
  // The kernel accepts connections, but nothing answers them.
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
