// Odd entries of another writer among those of the engines.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/front/peer_copy.h"
#include "chervilwick/front/peer_messages.h"
#include "chervilwick/front/store_sync.h"
#include "chervilwick/telemetry/log_line.h"
#include "deployment.h"
#include "scripted_peer.h"

namespace chervilwick {
namespace {

// The platform's bound for a version to be in force.
constexpr absl::Duration kConfigApplyLimit = absl::Seconds(2);

using Json = nlohmann::json;

std::string Deep(int levels) {
  return std::string(static_cast<size_t>(levels), '[') + "1" +
         std::string(static_cast<size_t>(levels), ']');
}

// Values of odd entries that name `address`.
std::vector<std::string> OddEntries(const std::string& address) {
  Json good = {{"service", "desk"}, {"addr", address}, {"zone", "a"},
               {"version", "v1"},   {"slots", 16},     {"state", "ready"},
               {"cold_left_ms", 0}, {"seq", 1},        {"born", 1}};
  auto with = [&](const char* field, const Json& value) {
    Json entry = good;
    entry[field] = value;
    return entry.dump();
  };
  auto with_text = [&](const char* field, const std::string& value) {
    std::string text = with(field, "MARK");
    return text.replace(text.find("\"MARK\""), 6, value);
  };
  return {"",
          "{",
          "\xff\xfe",
          Deep(300000),
          with_text("seq", Deep(100000)),
          with_text("slots", "1e999"),
          with_text("slots", "4294967297"),
          with_text("seq", "18446744073709551616"),
          with_text("cold_left_ms", "-1"),
          with_text("zone", "\"\xff\""),
          with("born", -1),
          with("born", UINT64_MAX),
          with("state", "gone"),
          with("state", nullptr),
          with("service", 5),
          with("stage", "training"),
          with("addr", "127.0.0.1:70000"),
          with("addr", "127.0.0.1:-1"),
          with("addr", "0.0.0.0:80"),
          with("addr", 5)};
}

std::map<std::string, int> MalformedLines(TestDeployment& it) {
  std::map<std::string, int> lines;
  std::stringstream text(it.LogText());
  std::string line;
  while (std::getline(text, line)) {
    std::optional<LogLine> parsed = ParseLogLine(line);
    INFO(line);
    REQUIRE(parsed);
    if (parsed->event == "store_item_malformed") {
      ++lines[absl::StrCat(parsed->Text("key"), "@",
                           parsed->fields["revision"].dump())];
    }
  }
  return lines;
}

void CheckServes(TestDeployment& it) {
  CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Get("GET", "/check/x").status == 200);
  Answer stream = it.Get("POST", "/note/x");
  CHECK(stream.is_complete);
  CHECK(stream.body == StreamEvents(1, 8));
}

// Adds an engine that then must be found: the list is still followed. Among
// idle engines the first by name is called.
void CheckFollows(TestDeployment& it, const std::string& id) {
  it.Add(id, "desk", "");
  it.loop.RunFor(it.settings.drain_limit * 0.2);
  for (int n = 0; n < 12 && it.Runs(id) == 0; ++n) it.Get("POST", "/book/x");
  CHECK(it.Runs(id) > 0);
}

TEST_CASE("odd entries name no engine and do not keep a front from its list",
          "[front][odd]") {
  ScriptedPeer trap([](const HttpHead&, const std::string&) {
    return ScriptedPeer::Reply("HTTP/1.1 500 Error\r\n\r\n");
  });
  std::vector<std::string> odd = OddEntries(trap.endpoint().ToString());
  for (bool before_start : {true, false}) {
    INFO(before_start);
    TestDeployment it;
    if (!before_start) it.Start();
    int n = 0;
    for (const std::string& value : odd) {
      for (const char* prefix :
           {"servers/odd", "broken/odd", "op/odd", "odd/\x01\"\\\n"}) {
        it.store.Put(absl::StrCat(prefix, ++n), value);
      }
      it.store.Put("duty/stages", value);
    }
    std::string good = it.engines.at("s1")->Entry();
    for (const char* id : {"", "a b", "a\r\nX-Stage: prefill\r\nX: "}) {
      it.store.Put(absl::StrCat("servers/", id), good);
    }
    it.store.Remove("duty/stages");
    if (before_start) it.Start();
    it.loop.RunFor(it.settings.drain_limit * 0.2);
    CheckServes(it);
    CheckFollows(it, "late1");
    // Reads the whole list again.
    it.store.CompactHistory();
    it.loop.RunFor(absl::Milliseconds(200));
    CheckServes(it);
    CheckFollows(it, "early");
    CHECK(trap.connections() == 0);
    std::map<std::string, int> lines = MalformedLines(it);
    CHECK(lines.size() == 2 * odd.size() + 3);
    for (const auto& [version, count] : lines) {
      INFO(version);
      CHECK(count == 1);
    }
    CHECK(Json::accept(it.Get("GET", "/status", it.settings.control).body));
  }
}

// What can't be used is left out (partial_versions_test.cc); it neither ends a
// route in use nor keeps a later version out of force.
TEST_CASE("odd configuration leaves what serves requests in force",
          "[front][odd]") {
  TestDeployment it;
  it.Start();
  std::vector<Json> odd;
  for (const char* field : {"routes", "services", "limits", "version"}) {
    for (const Json& value : {Json(nullptr), Json(-1), Json("x")}) {
      Json config = DeploymentConfig(9 + odd.size());
      config[field] = value;
      odd.push_back(config);
    }
  }
  for (const Json& config : odd) {
    INFO(config.dump());
    it.store.Put("op/config", config.dump());
    it.loop.RunFor(it.settings.drain_limit * 0.2);
    CHECK(it.Get("POST", "/book/x").status == 200);
  }
  // Of this route it is not known where its requests go; the others serve.
  Json split = DeploymentConfig(40);
  split["routes"][0]["split"] = 5;
  it.store.Put("op/config", split.dump());
  it.loop.RunFor(it.settings.drain_limit * 0.2);
  CHECK(it.Get("POST", "/book/x").status == 503);
  CHECK(it.Get("GET", "/check/x").status == 200);
  it.store.Put("op/config", Deep(300000));
  it.store.Put("op/config", DeploymentConfig(50).dump());
  absl::Time written = it.loop.Now();
  bool is_in_force = false;
  while (!is_in_force && it.loop.Now() - written < kConfigApplyLimit) {
    is_in_force = it.LogText().find("\"version\":50") != std::string::npos;
  }
  UNSCOPED_INFO("seen after " << it.loop.Now() - written);
  CHECK(is_in_force);
  CheckServes(it);
}

// The longest times must not be taken for times that have passed.
TEST_CASE("times without end in a configuration do not end anything at once",
          "[front][odd]") {
  TestDeployment it;
  Json config = DeploymentConfig(2);
  for (const char* name : {"header_timeout_ms", "idle_timeout_ms"}) {
    config["limits"][name] = 1e300;
  }
  for (Json& route : config["routes"]) {
    for (const char* name : {"timeout_ms", "goal_ms", "gap_goal_ms"}) {
      route[name] = 1e300;
    }
  }
  it.store.Put("op/config", config.dump());
  it.Start();
  CheckServes(it);
}

TEST_CASE("engine whose entry becomes odd is not used until it is whole again",
          "[front][odd]") {
  TestDeployment it;
  it.Start();
  it.store.Put("servers/s1", "{}");
  it.loop.RunFor(it.settings.drain_limit * 0.2);
  for (int n = 0; n < 4; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") == 0);
  it.store.Put("servers/s1", it.engines.at("s1")->Entry());
  it.loop.RunFor(it.settings.drain_limit * 0.2);
  for (int n = 0; n < 8; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") > 0);
}

// Guards against a request that a front forwards to itself again and again.
TEST_CASE("entry with the front's own address names no engine",
          "[front][odd]") {
  TestDeployment it;
  Json entry = Json::parse(it.engines.at("s1")->Entry());
  for (const std::string& own :
       {it.settings.clients, it.settings.ready, it.settings.control,
        it.settings.metrics, it.settings.peers}) {
    entry["addr"] = own;
    it.store.Put("servers/own-" + own, entry.dump());
  }
  it.RemoveServer("s1");
  it.RemoveServer("s2");
  it.Start();
  Answer answer = it.Get("POST", "/book/x");
  CHECK(answer.status == 503);
  CHECK(it.front->context().stats.malformed_items == 5);
  CheckFollows(it, "late");
}

TEST_CASE("property: odd bytes from a peer are read or rejected",
          "[front][odd]") {
  PeerDigest digest;
  digest.sender = "front-2";
  digest.store_revision = {StoreEra(2), 7};
  digest.use[BackendName("d1")] = {1, 2, 3};
  digest.crashes.crashed_runs.push_back(
      {Fingerprint(1), {2, 3}, absl::Seconds(1)});
  digest.changing[BackendName("d1")] = absl::Seconds(1);
  digest.peers.push_back({1, 2});
  PeerUseUpdate update;
  update.use = digest.use;
  update.crashes = digest.crashes;
  std::vector<std::string> whole = {EncodeDigest(digest), EncodeUpdate(update)};
  for (const std::string& it : whole) {
    for (size_t n = 0; n < it.size(); ++n) {
      CHECK_FALSE(DecodeDigest(it.substr(0, n)));
      CHECK_FALSE(DecodeUpdate(it.substr(0, n)));
    }
  }
  CHECK(rc::check([&](bool is_digest,
                      const std::vector<std::pair<uint16_t, uint8_t>>& changes,
                      const std::string& tail) {
    std::string bytes = whole[is_digest ? 0 : 1];
    for (const auto& [at, value] : changes) {
      bytes[at % bytes.size()] = static_cast<char>(value);
    }
    bytes += tail;
    DecodeDigest(bytes);
    DecodeUpdate(bytes);
  }));
}

TEST_CASE("odd copies from a peer do not end a front", "[front][odd]") {
  TestDeployment it;
  it.Start();
  std::string copy = it.Get("GET", kPeerCopyPath, it.settings.control).body;
  REQUIRE(copy.size() > 100);
  StoreSync::Listener listener;
  listener.on_table = [](const RouteTable&) {};
  listener.on_backend = [](const BackendRecord&) {};
  listener.on_removed = [](const BackendName&, absl::Time) {};
  listener.on_reachable = [](bool, absl::string_view) {};
  listener.on_duty_holder = [](const std::string&) {};
  listener.on_returned = [](StoreEra) {};
  listener.on_broken_run = [](const CrashedRun&) {};
  FrontContext context(it.loop, it.protocol, it.settings, fileno(it.log));
  auto apply = [&](const std::string& bytes) {
    StoreSync store(context, listener);
    return store.ApplySnapshot(bytes);
  };
  CHECK(apply(copy));
  for (size_t at = 0; at < copy.size(); at += 3) {
    for (char value : {'\0', '\x7f', '\xff', '\n'}) {
      std::string odd = copy;
      odd[at] = value;
      apply(odd);
    }
    CHECK_FALSE(apply(copy.substr(0, at)));
  }
  it.store.CompactHistory();
  it.loop.RunFor(absl::Milliseconds(300));
  CheckFollows(it, "late");
}

}  // namespace
}  // namespace chervilwick
