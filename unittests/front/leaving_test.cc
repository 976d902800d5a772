// Guards against new requests being sent to engines whose responses announce a
// shutdown (Server-Leaving) or ask for a pause (Retry-After).

#include <catch2/catch.hpp>
#include <cstdio>
#include <string>

#include "deployment.h"

namespace chervilwick {
namespace {

using Fault = PlatformEngine::Fault;

// Requests that reached the engine: runs, prefills and refusals.
int ReceivedRequests(const TestDeployment& it, const std::string& id) {
  const PlatformEngine& engine = *it.engines.at(id);
  return static_cast<int>(it.Runs(id)) + engine.prefills() + engine.refusals();
}

TEST_CASE("an engine that announces its shutdown gets no new requests",
          "[front]") {
  TestDeployment it;
  it.Add("p2", "llm", "prefill");
  it.Start();
  // The front cannot learn of the shutdown from the store.
  it.store.SetFault(PlatformStore::Fault::kSilent);
  for (const char* id : {"p1", "d1", "s1"}) {
    it.engines.at(id)->SetLeaving(true);
  }
  for (int n = 0; n < 8; ++n) {
    CHECK(it.Get("POST", "/note/x").is_complete);
    CHECK(it.Get("POST", "/book/x").status == 200);
  }
  int before = ReceivedRequests(it, "p1") + ReceivedRequests(it, "d1") +
               ReceivedRequests(it, "s1");
  for (int n = 0; n < 8; ++n) {
    CHECK(it.Get("POST", "/note/x").is_complete);
    CHECK(it.Get("POST", "/book/x").status == 200);
    CHECK(it.Get("GET", "/check/x").status == 200);
  }
  CHECK(ReceivedRequests(it, "p1") + ReceivedRequests(it, "d1") +
            ReceivedRequests(it, "s1") ==
        before);
  CHECK(it.LogText().find("announced leaving") != std::string::npos);
}

TEST_CASE(
    "an engine that announces its shutdown in a refusal gets no new requests",
    "[front]") {
  TestDeployment it;
  it.Start();
  it.engines.at("s1")->SetLeaving(true);
  it.SetFaults({"s1"}, Fault::kRefuse);
  for (int n = 0; n < 6; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.engines.at("s1")->refusals() <= 1);
}

TEST_CASE("a front notifies its peers at once of an engine's shutdown",
          "[front]") {
  TestDeployment it;
  it.Start();
  FrontSettings settings = it.PeerSettings("front-2");
  std::FILE* log = std::tmpfile();
  FrontDaemon peer(it.loop, settings, "", it.protocol, fileno(log));
  REQUIRE_FALSE(peer.Start().has_value());
  it.loop.RunFor(absl::Milliseconds(600));
  it.engines.at("s1")->SetLeaving(true);
  while (ReceivedRequests(it, "s1") == 0) it.Get("POST", "/book/x");
  it.loop.RunFor(absl::Milliseconds(120));
  int before = ReceivedRequests(it, "s1");
  for (int n = 0; n < 6; ++n) {
    CHECK(it.Get("POST", "/book/x", settings.clients).status == 200);
  }
  CHECK(ReceivedRequests(it, "s1") == before);
  std::fclose(log);
}

TEST_CASE("an engine gets no requests during its Retry-After period",
          "[front]") {
  TestDeployment it;
  it.Start();
  it.engines.at("s1")->SetRetryAfter("1.2");
  it.SetFaults({"s1"}, Fault::kRefuse);
  while (it.engines.at("s1")->refusals() == 0) it.Get("POST", "/book/x");
  absl::Time end = it.loop.Now() + absl::Milliseconds(1100);
  int sent = 0;
  while (it.loop.Now() < end) {
    CHECK(it.Get("POST", "/book/x").status == 200);
    CHECK(it.Get("GET", "/check/x").status == 200);
    ++sent;
  }
  CHECK(sent > 10);
  CHECK(it.engines.at("s1")->refusals() == 1);
  // The engine gets requests again after the period.
  it.SetFaults({"s1"}, Fault::kNone);
  it.loop.RunFor(absl::Milliseconds(300));
  for (int n = 0; n < 30 && it.Runs("s1") == 0; ++n) it.Get("POST", "/book/x");
  CHECK(it.Runs("s1") > 0);
}

TEST_CASE(
    "requests fail at once with Retry-After while all servers ask for a pause",
    "[front]") {
  TestDeployment it;
  it.Start();
  for (const char* id : {"s1", "s2"}) {
    it.engines.at(id)->SetRetryAfter("2");
    it.SetFaults({id}, Fault::kRefuse);
  }
  for (int n = 0; n < 3; ++n) it.Get("POST", "/book/x");
  int arrived = ReceivedRequests(it, "s1") + ReceivedRequests(it, "s2");
  absl::Time sent_at = it.loop.Now();
  Answer refused = it.Get("POST", "/book/x");
  CHECK(it.loop.Now() - sent_at < absl::Milliseconds(100));
  CHECK(refused.status == 503);
  double seconds = std::stod(refused.head.Get("Retry-After"));
  CHECK(seconds > 1.5);
  CHECK(seconds <= 3);
  CHECK(ReceivedRequests(it, "s1") + ReceivedRequests(it, "s2") == arrived);
}

}  // namespace
}  // namespace chervilwick
