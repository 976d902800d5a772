// A front that stands still while its peers go on.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "deployment.h"
#include "scripted_peer.h"

namespace chervilwick {
namespace {

// Longer than a connection to an engine may take.
constexpr absl::Duration kConnectPause = absl::Milliseconds(260);

// The loop's thread does not run, as in a stopped process.
void StandStill(absl::Duration duration) {
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(duration));
}

// Stands still as soon as the front has begun `count` further connections.
void PauseAtConnection(TestDeployment& deployment, uint64_t count) {
  const HttpClient& client = deployment.front->context().client;
  uint64_t target = client.connections_made() + count;
  absl::Time end = deployment.loop.Now() + absl::Seconds(2);
  while (client.connections_made() < target && deployment.loop.Now() < end) {
    deployment.loop.RunFor(absl::Microseconds(5));
  }
  REQUIRE(client.connections_made() >= target);
  StandStill(kConnectPause);
}

void AwaitEnd(TestDeployment& deployment, const Answer& answer) {
  absl::Time end = deployment.loop.Now() + absl::Seconds(4);
  while (!answer.is_complete && !answer.is_broken &&
         deployment.loop.Now() < end) {
    deployment.loop.RunFor(absl::Milliseconds(5));
  }
}

TEST_CASE("booking whose connection is made while the front stands runs once",
          "[front][pause]") {
  TestDeployment it;
  it.Start();
  auto answer = it.SendRequest("POST", "/book/x");
  PauseAtConnection(it, 1);
  AwaitEnd(it, *answer);
  CHECK(it.Runs("s1") + it.Runs("s2") == 1);
  CHECK(answer->status == 200);
  CHECK(answer->is_complete);
}

TEST_CASE("booking that ran while the front stands is not answered 503",
          "[front][pause]") {
  TestDeployment it;
  it.Start();
  it.RemoveServer("s2");
  it.SetFaults({"s1"}, TestDeployment::Fault::kLoseResponse);
  auto answer = it.SendRequest("POST", "/book/x");
  PauseAtConnection(it, 1);
  AwaitEnd(it, *answer);
  CHECK(it.Runs("s1") == 1);
  CHECK(answer->status == 502);
}

TEST_CASE("stream whose connections are made while the front stands runs once",
          "[front][pause]") {
  // The first connection is that of the prompt, the second that of the stream.
  for (uint64_t connection : {1, 2}) {
    INFO("connection " << connection);
    TestDeployment it;
    it.Add("p2", "llm", "prefill");
    it.Start();
    auto answer = it.SendRequest("POST", "/note/x");
    PauseAtConnection(it, connection);
    AwaitEnd(it, *answer);
    CHECK(it.engines.at("p1")->prefills() + it.engines.at("p2")->prefills() ==
          1);
    CHECK(it.Runs("d1") + it.Runs("d2") == 1);
    CHECK(answer->is_complete);
    CHECK(answer->body == StreamEvents(1, 8));
  }
}

TEST_CASE("every arrival after a pause but the first is charged to the budget",
          "[front][pause]") {
  TestDeployment it;
  it.Add("s3", "desk", "");
  it.SetFaults({"s1", "s2", "s3"}, TestDeployment::Fault::kLoseResponse, 1);
  it.Start();
  auto answer = it.SendRequest("GET", "/check/x");
  PauseAtConnection(it, 1);
  AwaitEnd(it, *answer);
  CHECK(it.Runs("s1") + it.Runs("s2") + it.Runs("s3") ==
        1 + it.front->context().stats.repeated_sends);
}

// A front whose loop can stand still while the platform goes on.
class PausableFront {
 public:
  PausableFront() {
    for (const char* id : {"d1", "d2"}) {
      setup.engines.at(id)->SetEventTime(absl::Milliseconds(100));
    }
    REQUIRE_FALSE(front_.Start().has_value());
    Run(absl::Milliseconds(300));
  }
  ~PausableFront() { std::fclose(log_); }

  void Run(absl::Duration duration) {
    absl::Time end = setup.loop.Now() + duration;
    while (setup.loop.Now() < end) {
      setup.loop.RunFor(absl::Milliseconds(1));
      loop_.RunFor(absl::Milliseconds(1));
    }
  }
  // The platform and the clients run, the front doesn't.
  void Pause(absl::Duration duration) { setup.loop.RunFor(duration); }

  const FrontStats& stats() const { return front_.context().stats; }
  uint64_t CountOf(const std::string& error) const {
    uint64_t count = 0;
    for (const auto& it : stats().backend_errors) {
      if (it.first.second == error) count += it.second;
    }
    return count;
  }

  TestDeployment setup;

 private:
  EventLoop loop_;
  std::FILE* log_ = std::tmpfile();
  FrontDaemon front_{loop_, setup.settings, "", setup.protocol, fileno(log_)};
};

TEST_CASE("stream whose events came while the front stood is not silent",
          "[front][pause]") {
  PausableFront front;
  auto answer = front.setup.SendRequest("POST", "/report/x", "", 4000);
  front.Run(absl::Milliseconds(250));
  REQUIRE(answer->status == 200);
  front.Pause(absl::Milliseconds(1600));
  front.Run(absl::Milliseconds(500));
  CHECK(front.CountOf("decode_silent") == 0);
  CHECK(front.setup.Runs("d1") + front.setup.Runs("d2") == 1);
  CHECK(answer->is_complete);
  CHECK(answer->body == StreamEvents(1, 8));
}

TEST_CASE("engine whose answer ended a stream while the front stood is sound",
          "[front][pause]") {
  PausableFront front;
  ScriptedPeer engine([](const HttpHead& request, const std::string&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return ScriptedPeer::Reply(
        EncodeResponse({422,
                        {{"X-Request-Id", request.Get("X-Request-Id")},
                         {"X-Response-Stamp", "e"}},
                        "no"},
                       /*keep_alive=*/true));
  });
  nlohmann::json entry = {
      {"service", "llm"},  {"addr", engine.endpoint().ToString()},
      {"zone", "a"},       {"version", "v1"},
      {"slots", 16},       {"state", "ready"},
      {"stage", "decode"}, {"cold_left_ms", 0},
      {"seq", 1},          {"born", 1}};
  for (const char* id : {"d1", "d2"}) {
    front.setup.store.Remove(std::string("servers/") + id);
  }
  front.setup.store.Put("servers/d9", entry.dump());
  front.Run(absl::Milliseconds(500));
  auto answer = front.setup.SendRequest("POST", "/report/x", "", 4000);
  absl::Time end = front.setup.loop.Now() + absl::Seconds(2);
  while (engine.Requests().empty() && front.setup.loop.Now() < end) {
    front.Run(absl::Milliseconds(1));
  }
  front.Pause(absl::Milliseconds(1600));
  front.Run(absl::Milliseconds(200));
  CHECK(answer->status == 422);
  CHECK(front.CountOf("decode_silent") == 0);
  CHECK(engine.Requests().size() == 1);
}

TEST_CASE("prompt whose answer came while the front stood is not lost",
          "[front][pause]") {
  PausableFront front;
  auto answer = front.setup.SendRequest("POST", "/note/x", "", 4000);
  while (front.setup.engines.at("p1")->prefills() == 0) {
    front.Run(absl::Milliseconds(1));
  }
  front.Pause(absl::Milliseconds(1000));
  front.Run(absl::Milliseconds(1500));
  CHECK(front.CountOf("prefill_failed") == 0);
  CHECK(front.setup.engines.at("p1")->prefills() == 1);
  CHECK(answer->is_complete);
}

TEST_CASE("watch that the store answered while the front stood succeeds",
          "[front][pause]") {
  PausableFront front;
  front.Pause(absl::Milliseconds(3300));
  front.Run(absl::Milliseconds(100));
  CHECK(front.stats().store_calls.count("none") == 0);
}

}  // namespace
}  // namespace chervilwick
