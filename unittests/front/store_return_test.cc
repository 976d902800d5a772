// Fronts after the store has returned from an older copy.

#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "deployment.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

// Time from the store's return until fronts are in touch with it.
constexpr absl::Duration kContact = absl::Seconds(3);
// Time from the store's answer to a writer until a version is in force.
constexpr absl::Duration kConfigApply = absl::Seconds(2);
constexpr int kPeers = 2;

struct Return {
  int lost_changes = 0;  // that the copy lacks
  // Changes between the return and the fronts' first calls: their watches
  // continue at a revision that was given out again.
  int early_changes = 0;
};

// Fronts that run while the store returns from a copy.
class ReturnedStore {
 public:
  ReturnedStore() {
    it.Start();
    for (int n = 1; n <= kPeers; ++n) {
      AddFront(absl::StrCat("front-", n + 1), n);
    }
    it.loop.RunFor(absl::Milliseconds(300));
  }

  void AddFront(const std::string& name, int number, bool has_store = true) {
    FrontSettings settings = it.PeerSettings(name, number);
    if (!has_store) settings.store = FreeEndpoint().ToString();
    fronts_.push_back(std::make_unique<FrontDaemon>(
        it.loop, settings, "", it.protocol, fileno(it.log)));
    REQUIRE_FALSE(fronts_.back()->Start().has_value());
  }

  // Version with one more route, whose name is told by its number.
  static std::string Config(uint64_t version) {
    Json config = DeploymentConfig(version);
    Json route = config["routes"][0];
    route["name"] = absl::StrCat("extra", version);
    route["prefix"] = absl::StrCat("/extra", version, "/");
    config["routes"].push_back(route);
    return config.dump();
  }

  // Changes of entries that no front uses.
  void Churn(int changes) {
    for (int n = 0; n < changes; ++n) {
      it.store.PutWithoutNotify("other/key", absl::StrCat(n));
    }
  }

  // Fronts know `version`; the next one is written before they call again.
  void ReturnWith(const Return& kind, uint64_t version) {
    it.store.KeepCopy();
    Churn(kind.lost_changes - 2);
    it.store.Put("servers/s1", it.engines.at("s1")->Entry());
    it.store.Put("op/config", Config(version));
    it.loop.RunFor(absl::Seconds(1));
    uint64_t known = it.store.revision();
    it.store.SetFault(PlatformStore::Fault::kSilent);
    it.store.ReturnFromCopy();
    it.loop.RunFor(absl::Milliseconds(100));
    it.store.PutWithoutNotify("op/config", Config(version + 1));
    Churn(kind.early_changes);
    INFO("fronts know revision " << known << ", the store is back at "
                                 << it.store.revision());
    CHECK((it.store.revision() > known) == (kind.early_changes > 0));
    it.store.SetFault(PlatformStore::Fault::kNone);
    CheckInForce(version + 1, kContact);
  }

  // Checks that the version comes into force at all fronts within `limit`.
  void CheckInForce(uint64_t version, absl::Duration limit) {
    absl::Time end = it.loop.Now() + limit;
    while (InForce(version) <= kPeers && it.loop.Now() < end) {
      it.loop.RunFor(absl::Milliseconds(20));
    }
    CHECK(InForce(version) == kPeers + 1);
  }

  // Number of fronts at which that version is in force.
  int InForce(uint64_t version) {
    int fronts = 0;
    std::string name = absl::StrCat("extra", version);
    if (it.front->context().current_route(name) != nullptr) ++fronts;
    for (const auto& front : fronts_) {
      if (front->context().current_route(name) != nullptr) ++fronts;
    }
    return fronts;
  }

  bool IsReady(int peer) const { return fronts_.at(peer)->IsReady(); }

  TestDeployment it;

 private:
  std::vector<std::unique_ptr<FrontDaemon>> fronts_;
};

TEST_CASE("versions stay out of force after the store returned from a copy",
          "[front][store-return]") {
  for (const Return& kind :
       {Return{3, 0}, Return{200, 0}, Return{3, 40}, Return{200, 400}}) {
    INFO("copy lacks " << kind.lost_changes << " changes, "
                       << kind.early_changes << " before the first call");
    ReturnedStore fleet;
    fleet.ReturnWith(kind, 8);
    // Two returns in a row, and versions soon after the second.
    fleet.ReturnWith(kind, 11);
    for (uint64_t version : {14, 15, 19}) {
      fleet.it.store.Put("op/config", ReturnedStore::Config(version));
      fleet.CheckInForce(version, kConfigApply);
    }
  }
}

TEST_CASE("version that was lost with the store is withdrawn by its copy",
          "[front][store-return]") {
  ReturnedStore fleet;
  fleet.it.store.Put("op/config", ReturnedStore::Config(7));
  fleet.it.loop.RunFor(absl::Milliseconds(300));
  fleet.it.store.KeepCopy();
  fleet.it.store.Put("op/config", ReturnedStore::Config(8));
  fleet.it.loop.RunFor(absl::Seconds(1));
  REQUIRE(fleet.InForce(8) == kPeers + 1);
  fleet.it.store.ReturnFromCopy();
  fleet.it.loop.RunFor(absl::Seconds(2));
  CHECK(fleet.InForce(8) == kPeers + 1);
  fleet.it.store.Put("op/config", ReturnedStore::Config(8));
  fleet.it.loop.RunFor(absl::Seconds(1));
  CHECK(fleet.InForce(8) == kPeers + 1);
}

TEST_CASE("revisions are ordered by the store's era, then by number",
          "[front][store-return]") {
  StoreRevision old{StoreEra(1), 300};
  StoreRevision now{StoreEra(2), 20};
  CHECK(old < now);
  CHECK_FALSE(now <= old);
  CHECK(old.Packed() < now.Packed());
  CHECK(StoreRevision::FromPacked(now.Packed()) == now);
  CHECK(StoreRevision{StoreEra(), 7}.Packed() == 7);
}

TEST_CASE("copy of a front that missed the store's return is not taken",
          "[front][store-return]") {
  ReturnedStore fleet;
  TestDeployment& it = fleet.it;
  auto copy = [&] {
    return it.Get("GET", kPeerCopyPath, it.settings.control).body;
  };
  it.store.KeepCopy();
  fleet.Churn(200);
  it.store.Put("op/config", ReturnedStore::Config(5));
  it.loop.RunFor(absl::Seconds(1));
  std::string before = copy();
  it.store.ReturnFromCopy();
  it.store.Put("op/config", ReturnedStore::Config(6));
  it.loop.RunFor(absl::Seconds(1));
  std::string after = copy();

  uint64_t version = 0;
  StoreSync::Listener listener;
  listener.on_table = [&](const RouteTable& table) {
    version = table.version.value();
  };
  listener.on_backend = [](const BackendRecord&) {};
  listener.on_removed = [](const BackendName&, absl::Time) {};
  listener.on_reachable = [](bool, absl::string_view) {};
  listener.on_duty_holder = [](const std::string&) {};
  listener.on_returned = [](StoreEra) {};
  listener.on_broken_run = [](const CrashedRun&) {};
  FrontContext context(it.loop, it.protocol, it.settings, fileno(it.log));
  StoreSync late(context, listener);
  REQUIRE(late.ApplySnapshot(before));
  CHECK(version == 5);
  REQUIRE(late.ApplySnapshot(after));
  CHECK(version == 6);
  StoreRevision known = late.revision();
  CHECK(known.era == StoreEra(2));
  REQUIRE(late.ApplySnapshot(before));
  CHECK(late.revision() == known);
}

TEST_CASE("server that drains after the store returned from a copy is used",
          "[front][store-return]") {
  ReturnedStore fleet;
  fleet.ReturnWith({200, 0}, 8);
  TestDeployment& it = fleet.it;
  it.store.Put("servers/s1", it.engines.at("s1")->Entry("draining"));
  it.loop.RunFor(it.settings.drain_limit);
  size_t before = it.Runs("s1");
  for (int n = 0; n < 6; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") == before);
}

// Entry of a server with its number.
std::string NumberedEntry(TestDeployment& it, const std::string& id, int number,
                          const std::string& state = "ready") {
  Json entry = Json::parse(it.engines.at(id)->Entry(state));
  entry["seq"] = number;
  return entry.dump();
}

// Guards against entries of the copy that are older than what the store had
// acknowledged: s1 drains, s2 is gone, s4 has started.
TEST_CASE("servers that left are used again as the store's copy has them",
          "[front][store-return]") {
  ReturnedStore fleet;
  TestDeployment& it = fleet.it;
  it.Add("s3", "desk", "");
  for (const char* id : {"s1", "s2", "s3"}) {
    it.store.Put(it.engines.at(id)->Key(), NumberedEntry(it, id, 5));
  }
  it.loop.RunFor(absl::Milliseconds(500));
  it.store.KeepCopy();
  it.store.Put("servers/s1", NumberedEntry(it, "s1", 6, "draining"));
  it.RemoveServer("s2");
  it.Add("s4", "desk", "");
  it.loop.RunFor(absl::Milliseconds(500));
  it.store.ReturnFromCopy();
  it.loop.RunFor(absl::Milliseconds(500));
  auto runs_of_ten = [&](const std::string& id) {
    size_t before = it.Runs(id);
    std::vector<std::shared_ptr<Answer>> answers;
    answers.reserve(10);
    for (int n = 0; n < 10; ++n) {
      answers.push_back(it.SendRequest("POST", "/book/x"));
    }
    it.loop.RunFor(absl::Milliseconds(300));
    for (const auto& answer : answers) CHECK(answer->status == 200);
    return it.Runs(id) - before;
  };
  CHECK(runs_of_ten("s1") == 0);
  CHECK(runs_of_ten("s2") == 0);
  CHECK(runs_of_ten("s4") > 0);
  // Everything is read once more in the same era.
  it.store.CompactHistory();
  it.loop.RunFor(absl::Milliseconds(300));
  CHECK(runs_of_ten("s1") == 0);
  CHECK(runs_of_ten("s2") == 0);
  it.store.Put("servers/s2", NumberedEntry(it, "s2", 6));
  it.store.Put("servers/s4", NumberedEntry(it, "s4", 2));
  it.loop.RunFor(it.settings.drain_limit);
  CHECK(runs_of_ten("s1") == 0);
  CHECK(runs_of_ten("s2") > 0);
  CHECK(runs_of_ten("s4") > 0);
}

// Guards against a server that writes its entry as the copy has it, which is no
// change: it is in use if its entry does not expire.
TEST_CASE("server whose removal the store lost stays out of use",
          "[front][store-return]") {
  ReturnedStore fleet;
  TestDeployment& it = fleet.it;
  it.store.KeepCopy();
  it.RemoveServer("s1");
  it.store.ReturnFromCopy();
  it.loop.RunFor(absl::Seconds(6));
  it.RemoveServer("s2");
  it.loop.RunFor(it.settings.drain_limit);
  CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") > 0);
}

TEST_CASE("front that reads everything anew passes its copy on as a whole one",
          "[front][store-return]") {
  ReturnedStore fleet;
  TestDeployment& it = fleet.it;
  it.store.KeepCopy();
  fleet.Churn(200);
  it.loop.RunFor(absl::Milliseconds(700));
  it.store.ReturnFromCopy();
  it.store.SetFault(PlatformStore::Fault::kBusy);
  it.loop.RunFor(absl::Milliseconds(500));
  Json status = Json::parse(it.Get("GET", "/status", it.settings.metrics).body);
  REQUIRE(status["store_era"] == 2);
  CHECK(status["store_revision"] == 0);
  // A front that has nothing but copies takes none of it.
  fleet.AddFront("front-late", kPeers + 1, /*has_store=*/false);
  it.loop.RunFor(absl::Seconds(2));
  CHECK_FALSE(fleet.IsReady(kPeers));
  it.store.SetFault(PlatformStore::Fault::kNone);
  it.loop.RunFor(absl::Seconds(2));
  CHECK(fleet.IsReady(kPeers));
}

// Guards against orders of two holders that overlap, and against fencing tokens
// that go back with the revisions.
TEST_CASE("stage duty is not taken anew after the store returned from a copy",
          "[front][store-return]") {
  TestDeployment it;
  for (const char* id : {"p2", "p3", "p4", "p5"}) it.Add(id, "llm", "prefill");
  it.store.KeepCopy();
  for (int n = 0; n < 300; ++n) it.store.PutWithoutNotify("other/key", "");
  it.Start();
  absl::Duration passed;
  it.front->SetBootClock([&] { return it.loop.Now() + passed; });
  auto orders = [&] {
    std::vector<Json> all;
    for (const auto& engine : it.engines) {
      for (const Json& order : engine.second->orders) all.push_back(order);
    }
    return all;
  };
  auto run_until = [&](const auto& is_done) {
    for (int n = 0; n < 300 && !is_done(); ++n) {
      it.loop.RunFor(absl::Milliseconds(20));
    }
    REQUIRE(is_done());
  };
  run_until([&] { return !orders().empty(); });
  auto fence = orders().front()["fence"].get<uint64_t>();
  // The holder did not renew its lease: another front may still hold it.
  it.store.ReturnFromCopy();
  absl::Time returned = it.loop.Now();
  REQUIRE_FALSE(it.store.Has("duty/stages"));
  it.loop.RunFor(absl::Milliseconds(300));
  CHECK(it.LogText().find("\"why\":\"store returned from a copy\"") !=
        std::string::npos);
  size_t before = orders().size();
  // The engine that was ordered is not ordered again for a while.
  for (const auto& engine : it.engines) {
    if (!engine.second->orders.empty()) it.store.Remove(engine.second->Key());
  }
  it.loop.RunFor(it.settings.drain_limit);
  passed += absl::Seconds(4);
  run_until([&] { return it.store.Has("duty/stages"); });
  absl::Duration since = it.loop.Now() - returned + passed;
  INFO("key taken " << since << " after the return");
  REQUIRE(since < absl::Seconds(7));
  // A lease that the former holder did not renew allows orders for 7 s, and a
  // new holder waits for 3.5 s.
  passed += absl::Seconds(10) - since;
  it.loop.RunFor(absl::Milliseconds(300));
  CHECK(orders().size() == before);
  passed += absl::Milliseconds(500);
  it.loop.RunFor(absl::Milliseconds(500));
  REQUIRE(orders().size() > before);
  for (const Json& order : orders()) {
    CHECK(order["fence"].get<uint64_t>() >= fence);
  }
  CHECK(it.store.revision() < 300);
}

}  // namespace
}  // namespace chervilwick
