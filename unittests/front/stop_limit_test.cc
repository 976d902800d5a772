// What a stopping front takes, and what it does at its limit.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "deployment.h"

namespace chervilwick {
namespace {

using Fault = PlatformEngine::Fault;

constexpr absl::Duration kLimit = absl::Seconds(4);

void SetEventTime(TestDeployment& it, absl::Duration time) {
  it.engines.at("d1")->SetEventTime(time);
  it.engines.at("d2")->SetEventTime(time);
}

size_t StreamRuns(const TestDeployment& it) {
  return it.Runs("d1") + it.Runs("d2");
}

TEST_CASE("a stream that can't end before the limit is not cut but refused",
          "[front][stop]") {
  TestDeployment it;
  it.settings.shutdown_limit = kLimit;
  SetEventTime(it, absl::Milliseconds(300));
  it.Start();
  auto under_way = it.SendRequest("POST", "/note/x", "", 3000);
  it.loop.RunFor(absl::Milliseconds(100));
  it.front->BeginShutdown();
  it.loop.RunFor(absl::Milliseconds(1900));
  size_t runs = StreamRuns(it);
  auto late = it.SendRequest("POST", "/note/x", "", 3000);
  it.loop.RunFor(absl::Milliseconds(500));
  CHECK(late->status == 503);
  CHECK(late->is_complete);
  CHECK_FALSE(late->head.keep_alive);
  CHECK_FALSE(late->head.Get("Retry-After").empty());
  CHECK(StreamRuns(it) == runs);
  it.loop.RunFor(absl::Milliseconds(1400));
  CHECK(under_way->body == StreamEvents(1, 8));
  CHECK_FALSE(late->is_broken);
}

TEST_CASE("a stopping front takes streams that end before the limit",
          "[front][stop]") {
  TestDeployment it;
  it.settings.shutdown_limit = kLimit;
  it.Start();
  std::vector<std::shared_ptr<Answer>> before;
  for (int n = 0; n < 10; ++n) {
    before.push_back(it.SendRequest("POST", "/note/x", "", 3000));
    it.loop.RunFor(absl::Milliseconds(150));
  }
  it.front->BeginShutdown();
  it.loop.RunFor(absl::Milliseconds(1900));
  auto late = it.SendRequest("POST", "/note/x", "", 3000);
  it.loop.RunFor(absl::Milliseconds(500));
  CHECK(late->status == 200);
  CHECK(late->body == StreamEvents(1, 8));
}

TEST_CASE("what is open at the limit of a stop gets its answer",
          "[front][stop]") {
  TestDeployment it;
  it.settings.shutdown_limit = absl::Seconds(2);
  SetEventTime(it, absl::Milliseconds(400));
  it.SetFaults({"s1", "s2"}, Fault::kNeverRespond);
  it.Start();
  auto call = it.SendRequest("POST", "/book/x", "", 3000);
  auto stream = it.SendRequest("POST", "/note/x", "", 3000);
  it.loop.RunFor(absl::Milliseconds(200));
  absl::Time began = it.loop.Now();
  it.front->BeginShutdown();
  it.loop.RunFor(absl::Seconds(3));
  absl::Duration took = it.loop.Now() - began;
  CHECK(call->status == 504);
  CHECK(call->is_complete);
  CHECK(stream->status == 200);
  CHECK_FALSE(stream->is_complete);
  // The rules leave the last sixth of the limit for this.
  CHECK(took > absl::Seconds(2) * 5 / 6);
  CHECK(took < absl::Seconds(2));
}

TEST_CASE("a waiting stream that would be cut by a stop is refused early",
          "[front][stop]") {
  TestDeployment it;
  it.settings.shutdown_limit = absl::Seconds(3);
  SetEventTime(it, absl::Milliseconds(500));
  it.Start();
  std::vector<std::shared_ptr<Answer>> streams;
  // Fills the memory of the decode engines.
  while (it.front->context().scheduler.waiting() == 0) {
    REQUIRE(streams.size() < 100);
    streams.push_back(it.SendRequest("POST", "/note/x", "", 3000));
    it.loop.RunFor(absl::Milliseconds(40));
  }
  it.front->BeginShutdown();
  it.loop.RunFor(absl::Milliseconds(300));
  CHECK(it.front->context().scheduler.waiting() == 0);
  size_t refused = 0;
  for (const auto& stream : streams) {
    if (stream->status != 503) continue;
    ++refused;
    CHECK(stream->is_complete);
    CHECK_FALSE(stream->head.Get("Retry-After").empty());
  }
  CHECK(refused > 0);
  CHECK(refused + StreamRuns(it) == streams.size());
}

// Runs the front until it has stopped; returns the time that it took.
absl::Duration TimeToStop(TestDeployment& it) {
  absl::Time began = it.loop.Now();
  CHECK(it.front->Run());
  return it.loop.Now() - began;
}

TEST_CASE("a second SIGTERM does not shorten a stop", "[front][stop]") {
  TestDeployment it;
  it.settings.shutdown_limit = kLimit;
  SetEventTime(it, absl::Milliseconds(300));
  it.Start();
  auto stream = it.SendRequest("POST", "/note/x", "", 3000);
  it.loop.RunFor(absl::Milliseconds(100));
  raise(SIGTERM);
  it.loop.RunFor(absl::Milliseconds(500));
  raise(SIGTERM);
  raise(SIGINT);
  CHECK(TimeToStop(it) < kLimit);
  CHECK(stream->is_complete);
  CHECK(stream->body == StreamEvents(1, 8));
}

TEST_CASE("a front that has read no store yet stops on SIGTERM",
          "[front][stop]") {
  TestDeployment it;
  it.settings.shutdown_limit = kLimit;
  it.store.SetFault(PlatformStore::Fault::kSilent);
  it.Start();
  raise(SIGTERM);
  it.loop.RunFor(absl::Milliseconds(100));
  Answer answer = it.Get("GET", "/check/x");
  CHECK(answer.status == 503);
  CHECK_FALSE(answer.head.keep_alive);
  CHECK(TimeToStop(it) < kLimit);
}

TEST_CASE("a front whose store is down stops when its work is done",
          "[front][stop]") {
  for (auto fault :
       {PlatformStore::Fault::kSilent, PlatformStore::Fault::kBusy}) {
    TestDeployment it;
    it.settings.shutdown_limit = kLimit;
    it.Start();
    it.store.SetFault(fault);
    it.loop.RunFor(absl::Milliseconds(1200));
    auto stream = it.SendRequest("POST", "/note/x");
    it.loop.RunFor(absl::Milliseconds(20));
    raise(SIGTERM);
    CHECK(TimeToStop(it) < kLimit);
    CHECK(stream->body == StreamEvents(1, 8));
  }
}

TEST_CASE("settings that change during a stop do not move its limit",
          "[front][stop]") {
  TestDeployment it;
  std::string file = absl::StrCat("stop-settings-", getpid(), ".yaml");
  auto write = [&](const char* limit) {
    std::ofstream(file) << "name: front-1\nzone: a\nclients: "
                        << it.settings.clients
                        << "\nready: " << it.settings.ready
                        << "\ncontrol: " << it.settings.control
                        << "\nmetrics: " << it.settings.metrics
                        << "\npeers: " << it.settings.peers
                        << "\nstore: " << it.settings.store
                        << "\nshutdown_limit: " << limit << "\n";
  };
  write("2s");
  it.settings_file = file;
  it.settings.shutdown_limit = absl::Seconds(2);
  SetEventTime(it, absl::Milliseconds(600));
  it.Start();
  auto stream = it.SendRequest("POST", "/note/x", "", 3000);
  it.loop.RunFor(absl::Milliseconds(100));
  absl::Time began = it.loop.Now();
  raise(SIGTERM);
  it.loop.RunFor(absl::Milliseconds(100));
  write("60s");
  raise(SIGHUP);
  it.loop.RunFor(absl::Seconds(4));
  CHECK(it.loop.Now() - began < absl::Seconds(2));
  CHECK_THAT(it.LogText(), Catch::Contains("\"event\":\"reload\""));
  std::remove(file.c_str());
}

TEST_CASE("a limit below the load balancer's delay bounds the stop",
          "[front][stop]") {
  TestDeployment it;
  it.settings.shutdown_limit = absl::Seconds(1);
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kNeverRespond);
  auto call = it.SendRequest("GET", "/check/x");
  it.loop.RunFor(absl::Milliseconds(50));
  absl::Time began = it.loop.Now();
  raise(SIGTERM);
  auto late = it.SendRequest("POST", "/book/x");
  CHECK_FALSE(it.front->Run());
  CHECK(it.loop.Now() - began < absl::Seconds(1));
  it.loop.RunFor(absl::Milliseconds(100));
  CHECK(call->status == 504);
  CHECK((late->status == 503 || late->status == 504));
}

// The report of another operator: late requests were passed on and then cut.
TEST_CASE("no request that comes late in a stop is cut without an answer",
          "[front][stop]") {
  for (absl::Duration plain_time :
       {absl::Milliseconds(5), absl::Milliseconds(900)}) {
    INFO(plain_time);
    TestDeployment it;
    it.settings.shutdown_limit = kLimit;
    it.engines.at("s1")->SetPlainTime(plain_time);
    it.engines.at("s2")->SetPlainTime(plain_time);
    it.Start();
    struct Sent {
      std::string target;
      absl::Time at;
      std::shared_ptr<Answer> answer;
      std::string id;
    };
    std::vector<Sent> sent;
    // Also opens connections that stay open during the stop.
    for (int n = 0; n < 10; ++n) {
      it.SendRequest("POST", "/note/warm", "", 3000);
      it.SendRequest("POST", "/book/warm", "", 3000);
      it.loop.RunFor(absl::Milliseconds(60));
    }
    it.loop.RunFor(absl::Seconds(1));
    absl::Time began = it.loop.Now();
    it.front->BeginShutdown();
    absl::Time round = began;
    // A loop that has been stopped returns early.
    while (it.loop.Now() >= round) {
      for (const char* target : {"/book/x", "/note/x", "/report/x"}) {
        auto answer = it.SendRequest("POST", target, "", 3000);
        sent.push_back(
            {target, it.loop.Now(), answer, absl::StrCat("id", it.last_id)});
      }
      round += absl::Milliseconds(50);
      it.loop.RunFor(round - it.loop.Now());
    }
    CHECK(it.loop.Now() - began < kLimit);
    for (int n = 0; n < 20; ++n) it.loop.RunFor(absl::Milliseconds(50));
    std::set<std::string> ran;
    for (const auto& engine : it.engines) {
      for (const EngineRun& run : engine.second->runs()) {
        ran.insert(run.request_id);
      }
    }
    size_t served = 0;
    for (const Sent& one : sent) {
      INFO(one.target << " at " << one.at - began);
      // A connection that the front closed without reading is no answer, and
      // then no engine has run the request.
      if (!one.answer->is_complete) CHECK(ran.count(one.id) == 0);
      if (one.answer->status == 503) CHECK(ran.count(one.id) == 0);
      if (one.answer->status == 200) ++served;
      CHECK(one.answer->status != 504);
    }
    CHECK(served > sent.size() / 3);
  }
}

}  // namespace
}  // namespace chervilwick
