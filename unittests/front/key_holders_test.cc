// Keys that pass from one account to another while requests are open.

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "deployment.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;
using Fault = PlatformEngine::Fault;

constexpr char kKey[] = "secret-of-one";
constexpr char kOtherKey[] = "secret-of-two";

Json Accounts(const std::string& holder, const std::string& other) {
  return {{{"name", holder}, {"api_keys", {kKey}}},
          {{"name", other}, {"api_keys", {kOtherKey}}}};
}

struct HolderDeployment : TestDeployment {
  explicit HolderDeployment(const Json& accounts) {
    store.Put("op/config", Config(accounts).dump());
    Start();
    extra_fields = {{"Authorization", absl::StrCat("Bearer ", kKey)},
                    {"X-Tenant", "forged"}};
    RecordRuns();
  }
  // Null for a configuration without accounts.
  Json Config(const Json& accounts) {
    Json config = DeploymentConfig(++version);
    if (!accounts.is_null()) config["tenants"] = accounts;
    return config;
  }
  void Apply(const Json& config) {
    store.Put("op/config", config.dump());
    loop.RunFor(absl::Milliseconds(300));
  }
  // For at most 4 s.
  void RunUntilDone(const Answer& answer) {
    absl::Time end = loop.Now() + absl::Seconds(4);
    while (!answer.is_complete && !answer.is_broken && loop.Now() < end) {
      loop.RunFor(absl::Milliseconds(10));
    }
  }
  // Prompts take longer than a version to come into force.
  void SlowPrompts() {
    engines.at("p1")->SetPromptRate(0.2);
    extra_fields.push_back({"X-Token-Count", "100,8"});
  }
  std::string LastAccount() const { return seen.back().Get("X-Tenant"); }

  uint64_t version = 1;
};

// Guards against 401 for requests whose key is held by another account than the
// one that held it as they arrived.
TEST_CASE("a waiting request is served for whom its key belongs to now",
          "[front][holders]") {
  struct Case {
    const char* what;
    Json accounts;  // of the version that comes meanwhile
    std::string account;
  };
  Json merged = {{{"name", "all"}, {"api_keys", {kOtherKey, kKey}}}};
  Json capped = Accounts("new", "two");
  capped[0]["rate_per_s"] = 1000;
  capped[0]["burst"] = 1000;
  for (const Case& draw : std::vector<Case>{
           {"another name", Accounts("new", "newer"), "new"},
           {"the names are exchanged", Accounts("two", "one"), "two"},
           {"one account holds all keys", merged, "all"},
           {"another name, with a cap", capped, "new"},
           {"a name that no field can carry", Accounts("a\nb", "two"), ""},
           {"no accounts", nullptr, ""},
           {"the same", Accounts("one", "two"), "one"}}) {
    for (const char* target : {"/note/x", "/report/x"}) {
      INFO(draw.what << " " << target);
      HolderDeployment it(Accounts("one", "two"));
      it.SlowPrompts();
      auto stream = it.SendRequest("POST", target, "", 10000);
      it.loop.RunFor(absl::Milliseconds(50));
      REQUIRE(it.seen.size() == 1);
      CHECK(it.LastAccount() == "one");
      it.Apply(it.Config(draw.accounts));
      it.RunUntilDone(*stream);
      CHECK(stream->status == 200);
      CHECK(stream->is_complete);
      REQUIRE(it.seen.size() == 2);
      CHECK(it.LastAccount() == draw.account);
      CHECK(it.seen.back().Find("Authorization") == nullptr);
    }
  }
}

TEST_CASE("a retried call is sent for whom its key belongs to now",
          "[front][holders]") {
  HolderDeployment it(Accounts("one", "two"));
  // Of idle servers the first by name is called.
  it.SetFaults({"s1"}, Fault::kNeverRespond, 1);
  auto answer = it.SendRequest("GET", "/check/x", "", 3000);
  it.loop.RunFor(absl::Milliseconds(30));
  // In force before the hedged run.
  it.Apply(it.Config(Accounts("two", "one")));
  it.RunUntilDone(*answer);
  CHECK(answer->status == 200);
  REQUIRE_FALSE(it.seen.empty());
  CHECK(it.LastAccount() == "two");
}

// Guards against a stream that is cut as its key was once held by none.
TEST_CASE("a broken stream goes on for whom its key belongs to now",
          "[front][holders]") {
  for (bool is_withdrawn_between : {false, true}) {
    INFO(is_withdrawn_between);
    HolderDeployment it(Accounts("one", "two"));
    for (const char* engine : {"d1", "d2"}) {
      it.engines.at(engine)->SetEventTime(absl::Milliseconds(200));
    }
    it.SetFaults({"d1", "d2"}, Fault::kAbortStream, 1);
    auto stream = it.SendRequest("POST", "/report/x", "", 20000);
    it.loop.RunFor(absl::Milliseconds(100));
    it.SetFaults({"d1", "d2"}, Fault::kNone);
    if (is_withdrawn_between) {
      it.Apply(it.Config({{{"name", "two"}, {"api_keys", {kOtherKey}}}}));
    }
    it.Apply(it.Config(Accounts("new", "two")));
    it.RunUntilDone(*stream);
    CHECK(stream->is_complete);
    CHECK(stream->body == StreamEvents(1, 8));
    CHECK(it.Runs("d1") + it.Runs("d2") == 2);
    CHECK(it.LastAccount() == "new");
  }
}

TEST_CASE("a waiting request whose key nobody holds now is refused",
          "[front][holders]") {
  HolderDeployment it(Accounts("one", "two"));
  it.SlowPrompts();
  auto stream = it.SendRequest("POST", "/note/x", "", 10000);
  it.loop.RunFor(absl::Milliseconds(200));
  // The account is still there; the other one never held the key.
  it.Apply(it.Config({{{"name", "one"}, {"api_keys", Json::array()}},
                      {{"name", "two"}, {"api_keys", {kOtherKey}}}}));
  CHECK(stream->status == 401);
  CHECK(it.seen.size() == 1);
}

// Guards against a key, or an account that the client claims, that reaches a
// server as the request arrived before there were accounts.
TEST_CASE("a request that arrived before there were accounts is held to them",
          "[front][holders]") {
  struct Case {
    std::string key;
    int status;
  };
  for (const Case& draw :
       std::vector<Case>{{kKey, 200}, {"unknown", 401}, {"", 401}}) {
    INFO(draw.key);
    HolderDeployment it(nullptr);
    it.SlowPrompts();
    if (draw.key.empty()) {
      it.extra_fields.erase(it.extra_fields.begin());
    } else {
      it.extra_fields[0].value = "Bearer " + draw.key;
    }
    auto stream = it.SendRequest("POST", "/note/x", "", 10000);
    it.loop.RunFor(absl::Milliseconds(200));
    REQUIRE(it.seen.size() == 1);
    it.Apply(it.Config(Accounts("one", "two")));
    it.RunUntilDone(*stream);
    CHECK(stream->status == draw.status);
    CHECK(it.seen.size() == (draw.status == 200 ? 2 : 1));
    if (draw.status != 200) continue;
    CHECK(it.LastAccount() == "one");
    CHECK(it.seen.back().Find("Authorization") == nullptr);
  }
}

TEST_CASE("a key that is withdrawn as its route needs none ends nothing",
          "[front][holders]") {
  HolderDeployment it(Accounts("one", "two"));
  it.SlowPrompts();
  auto stream = it.SendRequest("POST", "/note/x", "", 10000);
  it.loop.RunFor(absl::Milliseconds(200));
  Json config = it.Config({{{"name", "two"}, {"api_keys", {kOtherKey}}}});
  for (Json& route : config["routes"]) route["public"] = true;
  it.Apply(config);
  it.RunUntilDone(*stream);
  CHECK(stream->status == 200);
  CHECK(it.LastAccount().empty());
  CHECK(it.seen.back().Find("Authorization") == nullptr);
}

// Guards against use that one account is charged and another one gets back.
TEST_CASE("what was taken from a cap is given back to that cap",
          "[front][holders]") {
  HolderDeployment it(nullptr);
  auto capped = [](const std::string& holder, const std::string& other) {
    Json accounts = Accounts(holder, other);
    for (Json& account : accounts) {
      account["rate_per_s"] = 0.1;
      account["burst"] = 10;
    }
    return accounts;
  };
  auto level = [&](const char* name) {
    return it.front->context()
        .accounts.LevelOf(AccountName(name), it.loop.Now())
        ->left;
  };
  Json first = capped("one", "two");
  for (Json& account : first) account["rate_per_s"] = 100;
  it.Apply(it.Config(first));
  it.Apply(it.Config(capped("one", "two")));
  int64_t full = level("one");
  REQUIRE(full >= 9);
  // Streams that never run.
  it.SlowPrompts();
  it.SetFaults({"d1", "d2"}, Fault::kRefuse);
  std::vector<std::shared_ptr<Answer>> streams;
  for (int n = 0; n < 3; ++n) {
    streams.push_back(it.SendRequest("POST", "/note/x", "", 1500));
    it.loop.RunFor(absl::Milliseconds(20));
  }
  CHECK(level("one") <= full - 2);
  it.Apply(it.Config(capped("two", "one")));
  it.loop.RunFor(absl::Seconds(2));
  for (const auto& stream : streams) CHECK(stream->status == 503);
  CHECK(level("one") >= full);
  CHECK(level("two") <= full);
}

}  // namespace
}  // namespace chervilwick
