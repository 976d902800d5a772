// Discovery of configuration and backend servers from the store, or from a peer
// during a store outage.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "deployment.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

TEST_CASE("requests before the first configuration get 503, not a 4xx status",
          "[front]") {
  TestDeployment it;
  it.store.SetFault(PlatformStore::Fault::kBusy);
  it.Start();
  CHECK(it.Get("GET", "/chervilwick/readyz", it.settings.ready).status == 503);
  Answer refused = it.Get("GET", "/check/x");
  CHECK(refused.status == 503);
  CHECK(refused.head.Find("Retry-After") != nullptr);
  it.store.SetFault(PlatformStore::Fault::kNone);
  it.loop.RunFor(absl::Milliseconds(900));
  CHECK(it.Get("GET", "/check/x").status == 200);
  CHECK(it.Get("GET", "/nowhere/x").status == 404);
}

TEST_CASE("a draining server gets no new requests", "[front]") {
  TestDeployment it;
  it.Start();
  it.store.Put("servers/s1", it.engines.at("s1")->Entry("draining"));
  it.loop.RunFor(absl::Milliseconds(50));
  for (int n = 0; n < 4; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") == 0);
}

TEST_CASE(
    "a server whose entry expired in a store outage is used until the grace "
    "period ends",
    "[front]") {
  TestDeployment it;
  it.Start();
  it.store.SetFault(PlatformStore::Fault::kSilent);
  it.loop.RunFor(absl::Seconds(4));
  CHECK(it.Get("POST", "/book/x").status == 200);
  it.store.Remove("servers/s1");
  it.store.Remove("servers/s2");
  it.store.SetFault(PlatformStore::Fault::kNone);
  it.loop.RunFor(absl::Milliseconds(1500));
  CHECK(it.Get("POST", "/book/x").status == 200);
  it.store.Put("servers/s1", it.engines.at("s1")->Entry());
  it.loop.RunFor(absl::Milliseconds(2300));
  size_t before = it.Runs("s2");
  CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s2") == before);
}

TEST_CASE("changes in a discarded part of the store history are found",
          "[front]") {
  TestDeployment it;
  it.Start();
  it.store.PutWithoutNotify("servers/s1",
                            it.engines.at("s1")->Entry("draining"));
  it.store.PutWithoutNotify("op/config", DeploymentConfig(5).dump());
  it.store.CompactHistory();
  it.loop.RunFor(absl::Milliseconds(200));
  CHECK(it.LogText().find("\"version\":5") != std::string::npos);
  size_t before = it.Runs("s1");
  for (int n = 0; n < 4; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") == before);
}

// Guards against one store call per change. The load occurs in a rollout of 24
// engines, each of which changes its entry several times, while each of 33
// fronts watches the store.
TEST_CASE("changes in quick succession are batched into few store calls",
          "[front]") {
  TestDeployment it;
  it.Start();
  it.loop.RunFor(absl::Milliseconds(300));
  uint64_t before = it.store.calls();
  absl::Time end = it.loop.Now() + absl::Seconds(1);
  for (int n = 0; it.loop.Now() < end; ++n) {
    it.store.Put("servers/s1",
                 it.engines.at("s1")->Entry(n % 2 == 0 ? "draining" : "ready"));
    it.loop.RunFor(absl::Milliseconds(10));
  }
  // Calls are at least a tenth of the drain limit apart.
  CHECK(it.store.calls() - before <= 6);
  // The last change is applied well within the drain limit.
  it.store.Put("servers/s1", it.engines.at("s1")->Entry("draining"));
  it.loop.RunFor(it.settings.drain_limit * 0.2);
  size_t runs = it.Runs("s1");
  for (int n = 0; n < 4; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") == runs);
}

TEST_CASE("an older configuration version is not applied", "[front]") {
  TestDeployment it;
  it.Start();
  Json newer = DeploymentConfig(9);
  newer["routes"].erase(0);
  it.store.Put("op/config", newer.dump());
  it.loop.RunFor(absl::Milliseconds(100));
  CHECK(it.Get("POST", "/book/x").status == 404);
  it.store.Put("op/config", DeploymentConfig(4).dump());
  it.loop.RunFor(absl::Milliseconds(100));
  CHECK(it.Get("POST", "/book/x").status == 404);
}

TEST_CASE("a malformed store entry does not affect other entries", "[front]") {
  TestDeployment it;
  it.store.Put("servers/bad", "{not json");
  it.store.Put("servers/s9", R"({"service":"desk","addr":"x"})");
  it.Start();
  CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.front->context().stats.malformed_items == 2);
}

TEST_CASE("a front that cannot reach the store copies it from a peer",
          "[front]") {
  TestDeployment it;
  it.Start();
  // The same ports on another loopback address stand for another host.
  FrontSettings second = it.settings;
  auto move = [](std::string& address) { address.replace(0, 9, "127.0.0.2"); };
  for (std::string* address : {&second.clients, &second.ready, &second.control,
                               &second.metrics, &second.peers}) {
    move(*address);
  }
  second.name = "front-2";
  second.seeds = it.settings.control;
  second.store = FreeEndpoint().ToString();
  FrontDaemon other(it.loop, second, "", it.protocol);
  REQUIRE_FALSE(other.Start().has_value());
  it.loop.RunFor(absl::Milliseconds(1500));
  CHECK(other.IsReady());
  CHECK(it.Get("GET", "/check/x", second.clients).status == 200);
  // The store has never answered this front.
  Json status = Json::parse(it.Get("GET", "/status", second.control).body);
  CHECK(status["store_age_ms"].is_null());
}

}  // namespace
}  // namespace chervilwick
