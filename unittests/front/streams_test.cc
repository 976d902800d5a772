// Streams through a front.

#include <catch2/catch.hpp>

#include "deployment.h"

namespace chervilwick {
namespace {

using Fault = PlatformEngine::Fault;

TEST_CASE("a stream that may not run again is cut when its engine breaks off",
          "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"d1", "d2"}, Fault::kBreakMidway);
  Answer cut = it.Get("POST", "/note/x");
  CHECK_FALSE(cut.whole);
  CHECK(cut.broken);
  CHECK(cut.body == StreamEvents(1, 4));
  CHECK(it.Runs("d1") + it.Runs("d2") == 1);
}

TEST_CASE("a resumable stream goes on without a gap or a repeat", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"d1", "d2"}, Fault::kBreakMidway, 1);
  it.engines.at("d2")->SetFault(Fault::kNone, 0);
  bool resumed = false;
  for (int n = 0; n < 4 && !resumed; ++n) {
    Answer stream = it.Get("POST", "/report/x");
    CHECK(stream.whole);
    CHECK(stream.body == StreamEvents(1, 8));
    resumed = it.front->context().stats.resumed_streams > 0;
  }
  CHECK(resumed);
}

TEST_CASE("a prompt whose answer is lost is read again", "[front]") {
  TestDeployment it;
  it.Add("p2", "llm", "prefill");
  it.Start();
  it.SetFaults({"p1"}, Fault::kLoseAnswer);
  for (int n = 0; n < 3; ++n) {
    Answer stream = it.Get("POST", "/note/x");
    CHECK(stream.whole);
    CHECK(stream.body == StreamEvents(1, 8));
  }
}

// The bench counted 92 repeats of 91 allowed: sends after the first refused
// prompt call were not paid.
TEST_CASE("sends that the budget counts are paid", "[front]") {
  TestDeployment it;
  it.settings.retry_ratio = 0;
  it.settings.retry_slack = 10;
  it.Start();
  it.SetFaults({"p1", "d1", "d2"}, Fault::kRefuse);
  for (int n = 0; n < 12; ++n) it.Get("POST", "/note/x");
  int arrivals = 0;
  for (const char* id : {"p1", "d1", "d2"}) {
    arrivals += it.engines.at(id)->refusals();
  }
  CHECK(arrivals <= 12 + 10);
}

TEST_CASE("an engine stops when its client has gone", "[front]") {
  TestDeployment it;
  it.Start();
  auto answer = it.Ask("POST", "/note/x");
  it.loop.RunFor(absl::Milliseconds(60));
  REQUIRE(it.Runs("d1") + it.Runs("d2") == 1);
  it.client.Cancel(it.last_call);
  it.loop.RunFor(absl::Milliseconds(100));
  const PlatformEngine& engine =
      it.Runs("d1") == 1 ? *it.engines.at("d1") : *it.engines.at("d2");
  CHECK(engine.runs().at(0).cancelled);
  CHECK(engine.used_tokens() == 0);
  CHECK(it.front->context().backends.OwnUse().empty());
}

}  // namespace
}  // namespace chervilwick
