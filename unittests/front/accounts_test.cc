// Client accounts through a front: keys, caps, and what servers and logs see.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "deployment.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;
using Fault = PlatformEngine::Fault;

constexpr char kKey[] = "secret-of-one";
constexpr char kOtherKey[] = "secret-of-two";

Json ConfigWithAccounts(uint64_t version) {
  Json config = DeploymentConfig(version);
  config["tenants"] = {{{"name", "one"}, {"api_keys", {kKey}}},
                       {{"name", "two"}, {"api_keys", {kOtherKey}}}};
  return config;
}

struct AccountDeployment : TestDeployment {
  AccountDeployment() {
    store.Put("op/config", ConfigWithAccounts(2).dump());
    Start();
    extra_fields = {{"Authorization", absl::StrCat("Bearer ", kKey)}};
    RecordRuns();
  }
  void Use(const std::string& key) {
    extra_fields = {{"Authorization", "Bearer " + key}};
  }
  void Apply(const Json& config) {
    store.Put("op/config", config.dump());
    loop.RunFor(absl::Milliseconds(400));
  }
};

TEST_CASE("a request with a key runs for its account, others get 401",
          "[front][accounts]") {
  AccountDeployment it;
  for (const char* target : {"/book/x", "/note/x"}) {
    it.seen.clear();
    CHECK(it.Get("POST", target).status == 200);
    REQUIRE_FALSE(it.seen.empty());
    for (const HttpHead& head : it.seen) {
      CHECK(head.Get("X-Tenant") == "one");
      CHECK(head.Find("Authorization") == nullptr);
    }
  }
  it.seen.clear();
  std::vector<std::vector<HttpField>> wrong = {
      {},
      {{"Authorization", "Bearer unknown"}},
      {{"Authorization", kKey}},
      {{"Authorization", "Bearer "}},
      {{"Authorization", absl::StrCat("Bearer ", kKey)},
       {"Authorization", absl::StrCat("Bearer ", kOtherKey)}}};
  for (const std::vector<HttpField>& fields : wrong) {
    it.extra_fields = fields;
    for (const char* target : {"/book/x", "/check/x", "/note/x"}) {
      Answer answer = it.Get("POST", target);
      CHECK(answer.status == 401);
      CHECK(answer.head.Get("WWW-Authenticate") == "Bearer");
    }
  }
  CHECK(it.seen.empty());
}

TEST_CASE("a public route needs no key and names the account of a valid one",
          "[front][accounts]") {
  AccountDeployment it;
  Json config = ConfigWithAccounts(3);
  config["routes"][1]["public"] = true;
  it.Apply(config);
  struct Case {
    std::vector<HttpField> fields;
    std::string account;
  };
  for (const Case& draw : std::vector<Case>{
           {{}, ""},
           {{{"X-Tenant", "one"}}, ""},
           {{{"Authorization", "Bearer unknown"}}, ""},
           {{{"Authorization", absl::StrCat("Bearer ", kOtherKey)}}, "two"}}) {
    it.seen.clear();
    it.extra_fields = draw.fields;
    CHECK(it.Get("GET", "/check/x").status == 200);
    REQUIRE(it.seen.size() == 1);
    CHECK(it.seen[0].Get("X-Tenant") == draw.account);
    CHECK(it.seen[0].Find("Authorization") == nullptr);
  }
}

TEST_CASE("keys are in no log, status, metric or copy for a peer",
          "[front][accounts]") {
  AccountDeployment it;
  it.Get("POST", "/book/x");
  it.Use("never-held-by-anyone");
  it.Get("POST", "/book/x");
  std::string text = it.LogText();
  text += it.Get("GET", "/metrics", it.settings.metrics).body;
  text += it.Get("GET", "/status", it.settings.control).body;
  text += it.Get("GET", kPeerCopyPath, it.settings.control).body;
  for (const char* key : {kKey, kOtherKey, "never-held-by-anyone"}) {
    CHECK(text.find(key) == std::string::npos);
  }
}

TEST_CASE("a key that is taken away ends what waits under it",
          "[front][accounts]") {
  AccountDeployment it;
  it.SetFaults({"p1"}, Fault::kNeverRespond);
  auto stream = it.SendRequest("POST", "/note/x", "", 10000);
  it.loop.RunFor(absl::Milliseconds(100));
  Json config = ConfigWithAccounts(3);
  config["tenants"][0]["api_keys"] = Json::array();
  it.Apply(config);
  CHECK(stream->status == 401);
  CHECK(it.Runs("d1") + it.Runs("d2") == 0);
  CHECK(it.Get("POST", "/book/x").status == 401);
  it.Use(kOtherKey);
  CHECK(it.Get("POST", "/book/x").status == 200);
  config["version"] = 4;
  config["tenants"][0]["api_keys"] = {kKey};
  it.Apply(config);
  it.Use(kKey);
  CHECK(it.Get("POST", "/book/x").status == 200);
}

TEST_CASE("a running stream goes on when its key is taken away",
          "[front][accounts]") {
  AccountDeployment it;
  for (const char* engine : {"d1", "d2"}) {
    it.engines.at(engine)->SetEventTime(absl::Milliseconds(100));
  }
  auto stream = it.SendRequest("POST", "/report/x", "", 10000);
  it.loop.RunFor(absl::Milliseconds(300));
  Json config = ConfigWithAccounts(3);
  config["tenants"][0]["api_keys"] = Json::array();
  it.store.Put("op/config", config.dump());
  it.loop.RunFor(absl::Seconds(2));
  CHECK(stream->is_complete);
  CHECK(stream->body == StreamEvents(1, 8));
}

TEST_CASE("a broken stream is not resumed under a key that is taken away",
          "[front][accounts]") {
  AccountDeployment it;
  for (const char* engine : {"d1", "d2"}) {
    it.engines.at(engine)->SetEventTime(absl::Milliseconds(200));
  }
  it.SetFaults({"d1", "d2"}, Fault::kAbortStream);
  auto stream = it.SendRequest("POST", "/report/x", "", 10000);
  it.loop.RunFor(absl::Milliseconds(300));
  Json config = ConfigWithAccounts(3);
  config["tenants"][0]["api_keys"] = Json::array();
  it.store.Put("op/config", config.dump());
  it.loop.RunFor(absl::Seconds(3));
  CHECK(stream->is_broken);
  CHECK(it.Runs("d1") + it.Runs("d2") == 1);
}

TEST_CASE("an unknown key gets 503 while the store can't be asked",
          "[front][accounts]") {
  AccountDeployment it;
  it.store.SetFault(PlatformStore::Fault::kBusy);
  it.store.DropWatches();
  it.loop.RunFor(absl::Seconds(4));
  it.Use("added-since");
  Answer answer = it.Get("POST", "/book/x");
  CHECK(answer.status == 503);
  CHECK(answer.head.Find("Retry-After") != nullptr);
  it.Use(kKey);
  CHECK(it.Get("POST", "/book/x").status == 200);
}

TEST_CASE("an account beyond its cap gets 429 and others are served",
          "[front][accounts]") {
  AccountDeployment it;
  Json config = ConfigWithAccounts(3);
  config["tenants"][0]["rate_per_s"] = 2;
  config["tenants"][0]["burst"] = 3;
  it.Apply(config);
  it.loop.RunFor(absl::Seconds(2));
  int served = 0;
  int refused = 0;
  for (int n = 0; n < 12; ++n) {
    Answer answer = it.Get("POST", "/book/x");
    if (answer.status == 200) ++served;
    if (answer.status != 429) continue;
    ++refused;
    CHECK(answer.head.Find("Retry-After") != nullptr);
  }
  CHECK(served >= 3);
  CHECK(served <= 6);
  CHECK(served + refused == 12);
  it.Use(kOtherKey);
  CHECK(it.Get("POST", "/book/x").status == 200);
  std::string metrics = it.Get("GET", "/metrics", it.settings.metrics).body;
  CHECK(metrics.find("front_account_refusals_total{account=\"one\"") !=
        std::string::npos);
  RequestStory story = it.Story("id12");
  CHECK(story.reason == "over_cap");
}

TEST_CASE("what has not run is given back to the cap", "[front][accounts]") {
  AccountDeployment it;
  Json config = ConfigWithAccounts(3);
  config["tenants"][0]["rate_per_s"] = 0.5;
  config["tenants"][0]["burst"] = 2;
  it.Apply(config);
  it.loop.RunFor(absl::Seconds(4));
  it.SetFaults({"s1", "s2"}, Fault::kRefuse);
  for (int n = 0; n < 8; ++n) CHECK(it.Get("POST", "/book/x").status == 503);
  it.SetFaults({"s1", "s2"}, Fault::kNone);
  it.loop.RunFor(absl::Milliseconds(300));
  CHECK(it.Get("POST", "/book/x").status == 200);
}

TEST_CASE("fronts share an account's cap", "[front][accounts]") {
  AccountDeployment it;
  auto peer = std::make_unique<FrontDaemon>(it.loop, it.PeerSettings("front-2"),
                                            "", it.protocol, fileno(it.log));
  REQUIRE_FALSE(peer->Start().has_value());
  Json config = ConfigWithAccounts(3);
  config["tenants"][0]["rate_per_s"] = 1;
  config["tenants"][0]["burst"] = 6;
  it.Apply(config);
  it.loop.RunFor(absl::Seconds(7));
  int served = 0;
  for (int n = 0; n < 20; ++n) {
    std::string address = n % 2 == 0 ? "" : it.PeerSettings("front-2").clients;
    if (it.Get("POST", "/book/x", address).status == 200) ++served;
    // Use is told within this time.
    it.loop.RunFor(absl::Milliseconds(60));
  }
  CHECK(served >= 6);
  CHECK(served <= 9);
}

}  // namespace
}  // namespace chervilwick
