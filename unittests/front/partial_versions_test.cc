// Versions with parts that can't be used: the rest of them is in force.

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "chervilwick/front/peer_copy.h"
#include "chervilwick/telemetry/log_line.h"
#include "deployment.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

// The platform's bound for a version to be in force.
constexpr absl::Duration kConfigApplyLimit = absl::Seconds(2);
constexpr char kKept[] = "kept-key";
constexpr char kWithdrawn[] = "withdrawn-key";
constexpr char kAdded[] = "added-key";

Json FirstConfig() {
  Json config = DeploymentConfig(2);
  config["tenants"] = {{{"name", "club"}, {"api_keys", {kKept, kWithdrawn}}}};
  return config;
}

// The next version: it withdraws a key, and adds a route and an account.
Json NextConfig(uint64_t version = 3) {
  Json config = DeploymentConfig(version);
  Json route = config["routes"][0];
  route["name"] = "refund";
  route["prefix"] = "/refund/";
  config["routes"].push_back(route);
  config["tenants"] = {{{"name", "club"}, {"api_keys", {kKept}}},
                       {{"name", "other"}, {"api_keys", {kAdded}}}};
  return config;
}

// The next version with one part that can't be used, as it is stored.
struct OddVersion {
  std::string what;
  std::string text;
  std::string path;  // of the part

  std::string TextOf(uint64_t version) const {
    return absl::StrReplaceAll(
        text, {{"\"version\":3", absl::StrCat("\"version\":", version)}});
  }
};

// Text that a JSON writer would not make of a string.
std::string WithRawText(Json config, const std::string& pointer,
                        const std::string& raw) {
  config[Json::json_pointer(pointer)] = "REPLACED";
  std::string text = config.dump();
  return text.replace(text.find("\"REPLACED\""), 10, raw);
}

std::vector<OddVersion> OddVersions() {
  std::vector<OddVersion> versions;
  auto add = [&](const std::string& path, const Json& value) {
    Json config = NextConfig();
    config[Json::json_pointer(path)] = value;
    versions.push_back({absl::StrCat(path, " ", value.dump().substr(0, 40)),
                        config.dump(), path});
  };
  auto add_raw = [&](const std::string& path, const std::string& raw) {
    versions.push_back({absl::StrCat(path, " as it is"),
                        WithRawText(NextConfig(), path, raw), path});
  };
  for (const Json& name :
       {Json(" club"), Json("other "), Json("o\r\nX-Stage: prefill"),
        Json("o\nX-Stage: prefill"), Json(std::string("o\0r", 3)), Json("\t"),
        Json(""), Json("o\x7f"), Json(5), Json(nullptr),
        Json(std::string(70000, 'o'))}) {
    add("/tenants/1/name", name);
  }
  // Not UTF-8, and a half of a surrogate pair.
  add_raw("/tenants/1/name", "\"Caf\xe9\"");
  add_raw("/tenants/1/name", "\"o\\ud800\"");
  for (const Json& key :
       {Json(""), Json("  "), Json("a\nb"), Json(5), Json(nullptr)}) {
    add("/tenants/1/api_keys/1", key);
  }
  for (const char* field :
       {"priority", "rate_per_s", "burst", "plain_tokens"}) {
    for (const Json& value : {Json(-3), Json(nullptr), Json("1")}) {
      add(absl::StrCat("/tenants/1/", field), value);
    }
  }
  add_raw("/tenants/1/rate_per_s", "1e999");
  add_raw("/tenants/1/priority", "NaN");
  add("/tenants/1/unit", "bytes");
  add("/tenants/2", 5);
  add("/tenants/2/api_keys", "a-key");
  Json route = NextConfig()["routes"][0];
  route["prefix"] = "/odd/";
  for (const auto& [field, value] :
       std::vector<std::pair<const char*, Json>>{{"kind", "multicast"},
                                                 {"kind", nullptr},
                                                 {"host", nullptr},
                                                 {"prefix", 5},
                                                 {"service", nullptr},
                                                 {"split", Json::array()},
                                                 {"timeout_ms", -1},
                                                 {"priority", -3},
                                                 {"attempts", "two"}}) {
    Json odd = route;
    odd[field] = value;
    Json config = NextConfig();
    config["routes"].push_back(odd);
    versions.push_back({absl::StrCat("route ", field, " ", value.dump()),
                        config.dump(), absl::StrCat("/routes/5/", field)});
  }
  add("/services/2", 5);
  add("/services/0/engine/slots", 0);
  add("/limits/max_body_bytes", -1);
  add("/limits", nullptr);
  add("/version", "three");
  return versions;
}

struct PartialDeployment : TestDeployment {
  explicit PartialDeployment(const Json& config) {
    store.Put("op/config", config.dump());
    Start();
    RecordRuns();
  }
  void Put(const std::string& config) {
    store.Put("op/config", config);
    loop.RunFor(kConfigApplyLimit * 0.15);
  }
  int StatusOf(const std::string& target, const std::string& key,
               const std::string& address = "") {
    seen.clear();
    extra_fields = {{"Authorization", "Bearer " + key}};
    return Get("POST", target, address).status;
  }
  // Whether a line of the log names that part of a version.
  bool IsLogged(const std::string& path) {
    std::stringstream text(LogText());
    std::string line;
    while (std::getline(text, line)) {
      std::optional<LogLine> parsed = ParseLogLine(line);
      if (parsed && parsed->event == "version_part_unusable" &&
          parsed->Text("path") == path) {
        return true;
      }
    }
    return false;
  }
  void CheckNextInForce(const std::string& address = "") {
    CHECK(StatusOf("/book/x", kWithdrawn, address) == 401);
    CHECK(seen.empty());
    CHECK(StatusOf("/refund/x", kKept, address) == 200);
    REQUIRE_FALSE(seen.empty());
    CHECK(seen[0].Get("X-Tenant") == "club");
    CHECK(StatusOf("/book/x", kAdded, address) == 200);
    CHECK(StatusOf("/note/x", kKept, address) == 200);
  }
};

// Guards against a version that is out of force as a whole for one part of it:
// a withdrawn key went on running, and new routes and keys were refused.
TEST_CASE("a part that can't be used keeps no withdrawal of a key away",
          "[front][partial]") {
  PartialDeployment it(FirstConfig());
  uint64_t version = 10;
  std::vector<OddVersion> versions = OddVersions();
  // platform_test reads all of them and more.
  for (size_t n = 0; n < versions.size(); n += 3) {
    const OddVersion& odd = versions[n];
    INFO(odd.what);
    Json first = FirstConfig();
    first["version"] = ++version;
    it.Put(first.dump());
    CHECK(it.StatusOf("/book/x", kWithdrawn) == 200);
    it.Put(odd.TextOf(++version));
    it.CheckNextInForce();
    CHECK(it.IsLogged(odd.path));
    std::string metrics = it.Get("GET", "/metrics", it.settings.metrics).body;
    CHECK(metrics.find("front_version_parts_unusable{part=\"") !=
          std::string::npos);
    CHECK(Json::accept(it.Get("GET", "/status", it.settings.control).body));
  }
}

// Guards against a front that never gets ready while such a version is the
// newest, whether it reads the store or another front's copy.
TEST_CASE("a part that can't be used holds up no front's start",
          "[front][partial]") {
  std::vector<OddVersion> versions = OddVersions();
  for (size_t n = 0; n < versions.size(); n += 10) {
    const OddVersion& odd = versions[n];
    INFO(odd.what);
    PartialDeployment it(FirstConfig());
    it.Put(odd.TextOf(3));
    auto start = [&](int number) {
      FrontSettings settings =
          it.PeerSettings(absl::StrCat("front-", number), number);
      auto front = std::make_unique<FrontDaemon>(it.loop, settings, "",
                                                 it.protocol, fileno(it.log));
      REQUIRE_FALSE(front->Start().has_value());
      return std::make_pair(std::move(front), settings);
    };
    auto second = start(1);
    it.loop.RunFor(absl::Milliseconds(300));
    it.CheckNextInForce(second.second.clients);
    // Of the copy of a peer, as the store turns this one away.
    it.store.SetFault(PlatformStore::Fault::kBusy);
    auto third = start(2);
    it.loop.RunFor(absl::Milliseconds(700));
    CHECK(it.StatusOf("/refund/x", kKept, third.second.clients) == 200);
    CHECK(it.StatusOf("/book/x", kAdded, third.second.clients) == 200);
    // The store can't be asked whether the key was added since.
    CHECK(it.StatusOf("/book/x", kWithdrawn, third.second.clients) == 503);
    CHECK(it.seen.empty());
  }
}

// Guards against a key that is refused for the name of its account, and against
// a name that reaches a server as another one or as a field of its own.
TEST_CASE("a key is served whatever its account is called",
          "[front][partial]") {
  struct Case {
    Json name;
    std::string sent;  // to servers; empty for none
  };
  std::string wide = "\xc3\x9c\xc3\xb1\xc3\xaf \xe2\x82\xac \xf0\x9f\x90\x9f";
  for (const Case& draw :
       std::vector<Case>{{"North Club", "North Club"},
                         {"a\tb", "a\tb"},
                         {wide, wide},
                         {std::string(300, 'n'), std::string(300, 'n')},
                         {" club", ""},
                         {"club ", ""},
                         {"a\r\nX-Stage: prefill", ""},
                         {"a\nb", ""},
                         {std::string("a\0b", 3), ""},
                         {"", ""},
                         {nullptr, ""}}) {
    INFO(draw.name.dump());
    Json config = NextConfig();
    config["tenants"][1]["name"] = draw.name;
    PartialDeployment it(config);
    for (const char* target : {"/book/x", "/note/x"}) {
      CHECK(it.StatusOf(target, kAdded) == 200);
      REQUIRE_FALSE(it.seen.empty());
      for (const HttpHead& head : it.seen) {
        CHECK(head.Get("X-Tenant") == draw.sent);
        CHECK(head.Find("X-Tenant") ==
              (draw.sent.empty() ? nullptr : head.Find("X-Tenant")));
        CHECK(head.Find("Authorization") == nullptr);
      }
    }
  }
}

TEST_CASE("any key that a request can carry is served", "[front][partial]") {
  std::vector<std::string> keys = {"key with space", "a\tb", "\xd0\xba\xd0\xbb",
                                   std::string(3000, 'k')};
  Json config = NextConfig();
  config["tenants"][1]["api_keys"] = keys;
  PartialDeployment it(config);
  for (const std::string& key : keys) {
    INFO(key.substr(0, 40));
    CHECK(it.StatusOf("/book/x", key) == 200);
  }
  CHECK(it.StatusOf("/book/x", "key") == 401);
}

// Guards against a request that a shorter prefix sends to another service.
TEST_CASE("requests of a route that can't be used run nowhere",
          "[front][partial]") {
  Json config = NextConfig();
  Json route = config["routes"][0];
  route["prefix"] = "/book/group/";
  for (const auto& [field, value] : std::vector<std::pair<const char*, Json>>{
           {"kind", "multicast"}, {"service", 5}}) {
    INFO(field);
    Json odd = route;
    odd[field] = value;
    config["routes"][5] = odd;
    PartialDeployment it(config);
    it.extra_fields = {{"Authorization", absl::StrCat("Bearer ", kKept)}};
    Answer answer = it.Get("POST", "/book/group/x");
    CHECK(answer.status == 503);
    CHECK(answer.head.Find("Retry-After") != nullptr);
    CHECK(it.seen.empty());
    CHECK(it.StatusOf("/book/x", kKept) == 200);
    CHECK(it.StatusOf("/none/x", kKept) == 404);
  }
}

// A 404 would say that there is no such route.
TEST_CASE("a version without a readable route keeps the routes in force",
          "[front][partial]") {
  Json config = NextConfig();
  config["routes"] = nullptr;
  PartialDeployment it(FirstConfig());
  it.Put(config.dump());
  CHECK(it.StatusOf("/book/x", kWithdrawn) == 401);
  CHECK(it.StatusOf("/book/x", kAdded) == 200);
  CHECK(it.StatusOf("/refund/x", kKept) == 503);
  // A front that starts has none.
  PartialDeployment started(config);
  CHECK(started.StatusOf("/book/x", kKept) == 503);
}

TEST_CASE("an unreadable list of accounts lets nobody in", "[front][partial]") {
  for (const Json& accounts : {Json(nullptr), Json(5), Json::object()}) {
    INFO(accounts.dump());
    Json config = NextConfig();
    config["tenants"] = accounts;
    PartialDeployment it(FirstConfig());
    it.Put(config.dump());
    CHECK(it.StatusOf("/book/x", kKept) == 401);
    CHECK(it.IsLogged("/tenants"));
  }
}

// Guards against a copy that is written recursively: the process ended.
TEST_CASE("a part without end in depth ends no front", "[front][partial]") {
  std::string deep = std::string(300000, '[') + std::string(300000, ']');
  for (const char* path :
       {"/further", "/tenants/1/further", "/tenants/1/name", "/routes/5"}) {
    INFO(path);
    PartialDeployment it(FirstConfig());
    it.Put(WithRawText(NextConfig(), path, deep));
    it.CheckNextInForce();
    CHECK(it.Get("GET", kPeerCopyPath, it.settings.control).status == 200);
  }
}

TEST_CASE("keys that can't be used are in no log, status or copy for a peer",
          "[front][partial]") {
  Json config = NextConfig();
  config["tenants"][2] = {{"name", "third"}, {"api_keys", "secret-1"}};
  config["tenants"][3] = {{"name", "fourth"}, {"api_keys", {"secret-2\n"}}};
  config["tenants"][4] = {{"name", "fifth"}, {"api_keys", {{"secret-3"}}}};
  config["tenants"][5] = "secret-4";
  PartialDeployment it(config);
  std::string text = it.LogText();
  text += it.Get("GET", "/metrics", it.settings.metrics).body;
  text += it.Get("GET", "/status", it.settings.control).body;
  text += it.Get("GET", kPeerCopyPath, it.settings.control).body;
  CHECK(text.find("secret-") == std::string::npos);
  CHECK(text.find("fourth") != std::string::npos);
}

}  // namespace
}  // namespace chervilwick
