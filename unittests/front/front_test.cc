// A front against stand-ins of the platform, over loopback.

#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "chervilwick/telemetry/status_table.h"
#include "deployment.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;
using Fault = PlatformEngine::Fault;

// Events of the request itself, in order.
std::string EventsOf(const RequestStory& story) {
  std::string out;
  for (const StoryLine& it : story.lines) {
    if (!it.is_context) absl::StrAppend(&out, it.event, " ");
  }
  return out;
}

TEST_CASE("a booking, a lookup and a stream are served", "[front]") {
  TestDeployment it;
  it.Start();
  CHECK(it.Get("GET", "/chervilwick/readyz", it.settings.ready).status == 200);
  Answer booking = it.Get("POST", "/book/x");
  CHECK(booking.status == 200);
  CHECK(booking.body.substr(0, 9) == "answer of");
  CHECK(booking.head.Find("X-Response-Stamp") != nullptr);
  CHECK(it.Get("GET", "/check/x").status == 200);
  Answer stream = it.Get("POST", "/note/x");
  CHECK(stream.status == 200);
  CHECK(stream.whole);
  CHECK(stream.body == StreamEvents(1, 8));
  CHECK(it.engines.at("p1")->prefills() == 1);
  CHECK(it.Runs("d1") + it.Runs("d2") == 1);
}

TEST_CASE("before a configuration is known nothing gets a 4xx", "[front]") {
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

TEST_CASE("a booking that may have run is not sent again", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kLoseAnswer);
  Answer lost = it.Get("POST", "/book/x");
  CHECK(lost.status == 502);
  CHECK(it.Runs("s1") + it.Runs("s2") == 1);
}

TEST_CASE("attempts of a route don't let a booking run twice", "[front]") {
  TestDeployment it;
  Json config = DeploymentConfig(2);
  config["routes"][0]["attempts"] = 3;
  it.store.Put("op/config", config.dump());
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kLoseAnswer);
  CHECK(it.Get("POST", "/book/x").status == 502);
  CHECK(it.Runs("s1") + it.Runs("s2") == 1);
}

TEST_CASE("a lookup that ran is not called refused for want of budget",
          "[front]") {
  TestDeployment it;
  // One repeated send in the first window.
  it.settings.retry_ratio = 0;
  it.settings.retry_slack = 3;
  Json config = DeploymentConfig(2);
  config["routes"][1]["attempts"] = 4;
  it.store.Put("op/config", config.dump());
  it.Add("s3", "desk", "");
  it.Start();
  it.SetFaults({"s1"}, Fault::kLoseAnswer);
  it.SetFaults({"s2", "s3"}, Fault::kRefuse);
  Answer answer = it.Get("GET", "/check/x");
  REQUIRE(it.Runs("s1") == 1);
  CHECK(answer.status == 502);
}

TEST_CASE("a booking that was refused as not run goes elsewhere", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1"}, Fault::kRefuse);
  for (int n = 0; n < 4; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") == 0);
  CHECK(it.Runs("s2") == 4);
}

TEST_CASE("a refusal says so only if nothing has run", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kRefuse);
  Answer refused = it.Get("POST", "/book/x");
  CHECK(refused.status == 503);
  CHECK(refused.head.Find("Retry-After") != nullptr);
  CHECK(it.Runs("s1") + it.Runs("s2") == 0);
  it.SetFaults({"s1"}, Fault::kLoseAnswer);
  it.SetFaults({"s2"}, Fault::kRefuse);
  for (int n = 0; n < 6; ++n) {
    size_t before = it.Runs("s1");
    int status = it.Get("GET", "/check/x").status;
    if (it.Runs("s1") > before) CHECK(status != 503);
  }
}

TEST_CASE("a lookup is repeated after a lost answer or a failure", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1"}, Fault::kLoseAnswer);
  CHECK(it.Get("GET", "/check/x").status == 200);
  it.SetFaults({"s1"}, Fault::kFail);
  CHECK(it.Get("GET", "/check/x").status == 200);
  it.SetFaults({"s1", "s2"}, Fault::kFail);
  Answer failed = it.Get("GET", "/check/x");
  CHECK(failed.status == 500);
  CHECK(failed.head.Find("X-Response-Stamp") != nullptr);
}

// With one server left there is no other to repeat at.
TEST_CASE("a lookup that failed is repeated at the only server", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1"}, Fault::kFail, 1);
  it.RemoveServer("s2");
  CHECK(it.Get("GET", "/check/x").status == 200);
  CHECK(it.Runs("s1") == 2);
  // Not one that broke off: the request may be what breaks it.
  it.SetFaults({"s1"}, Fault::kLoseAnswer, 1);
  CHECK(it.Get("GET", "/check/x").status == 502);
  CHECK(it.Runs("s1") == 3);
}

TEST_CASE("a success that no engine vouches for is not passed on", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kNoStamp);
  CHECK(it.Get("POST", "/book/x").status == 502);
  // It may have run; a lookup goes elsewhere, a booking must not.
  CHECK(it.Runs("s1") + it.Runs("s2") == 1);
  CHECK(it.Get("GET", "/check/x").status == 502);
  CHECK(it.Runs("s1") + it.Runs("s2") == 3);
}

TEST_CASE("a slow lookup runs a second time elsewhere", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1"}, Fault::kNeverAnswer, 1);
  it.SetFaults({"s2"}, Fault::kNeverAnswer, 0);
  bool met = false;
  for (int n = 0; n < 4 && !met; ++n) {
    CHECK(it.Get("GET", "/check/x").status == 200);
    met = it.Runs("s1") > 0;
  }
  CHECK(met);
}

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

TEST_CASE("a draining server gets nothing new", "[front]") {
  TestDeployment it;
  it.Start();
  it.store.Put("servers/s1", it.engines.at("s1")->Entry("draining"));
  it.loop.RunFor(absl::Milliseconds(50));
  for (int n = 0; n < 4; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") == 0);
}

TEST_CASE("a server that lapsed in an outage is used until it is gone",
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

TEST_CASE("changes in a forgotten part of the history are found", "[front]") {
  TestDeployment it;
  it.Start();
  it.store.PutUnheard("servers/s1", it.engines.at("s1")->Entry("draining"));
  it.store.PutUnheard("op/config", DeploymentConfig(5).dump());
  it.store.ForgetHistory();
  it.loop.RunFor(absl::Milliseconds(200));
  CHECK(it.LogText().find("\"version\":5") != std::string::npos);
  size_t before = it.Runs("s1");
  for (int n = 0; n < 4; ++n) CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.Runs("s1") == before);
}

TEST_CASE("a version never goes back", "[front]") {
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

TEST_CASE("a malformed entry harms no other", "[front]") {
  TestDeployment it;
  it.store.Put("servers/bad", "{not json");
  it.store.Put("servers/s9", R"({"service":"desk","addr":"x"})");
  it.Start();
  CHECK(it.Get("POST", "/book/x").status == 200);
  CHECK(it.front->context().stats.malformed_items == 2);
}

TEST_CASE("a graceful stop cuts nothing in flight", "[front]") {
  TestDeployment it;
  it.Start();
  auto stream = it.Ask("POST", "/note/x");
  it.loop.RunFor(absl::Milliseconds(60));
  it.front->BeginShutdown();
  CHECK(it.Get("GET", "/chervilwick/readyz", it.settings.ready).status == 503);
  Answer later = it.Get("POST", "/book/x");
  CHECK(later.status == 200);
  CHECK_FALSE(later.head.keep_alive);
  it.loop.RunFor(absl::Milliseconds(200));
  CHECK(stream->whole);
  CHECK(stream->body == StreamEvents(1, 8));
}

TEST_CASE("a stopping front waits for what is in flight", "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kNeverAnswer);
  it.front->BeginShutdown();
  // Longer than the balancer takes to leave the front out.
  auto answer = it.Ask("GET", "/check/x", "", /*deadline_ms=*/3400);
  absl::Time began = it.loop.Now();
  it.loop.RunFor(absl::Milliseconds(2900));
  // The daemon stops its loop when it is done.
  CHECK(it.loop.Now() - began >= absl::Milliseconds(2900));
  it.loop.RunFor(absl::Milliseconds(500));
  CHECK(answer->status == 504);
}

TEST_CASE("a front whom the store turns away learns from another", "[front]") {
  TestDeployment it;
  it.Start();
  // Same ports on another loopback address, as on another host.
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
}

TEST_CASE("surplus prefill engines are ordered to decode, once", "[front]") {
  TestDeployment it;
  for (const char* id : {"p2", "p3", "p4"}) it.Add(id, "llm", "prefill");
  it.Start();
  it.loop.RunFor(absl::Seconds(5));
  size_t orders = 0;
  for (const auto& engine : it.engines) {
    for (const Json& order : engine.second->orders) {
      ++orders;
      CHECK(order["stage"] == "decode");
      CHECK(order["holder"] == "front-1");
      CHECK(order["fence"].get<uint64_t>() > 0);
    }
  }
  CHECK(orders >= 1);
  CHECK(orders <= 3);
  CHECK(it.store.Has("duty/stages"));
}

TEST_CASE("a front that was suspended orders nothing under its old lease",
          "[front]") {
  TestDeployment it;
  for (const char* id : {"p2", "p3", "p4"}) it.Add(id, "llm", "prefill");
  it.Start();
  absl::Duration suspended;
  it.front->SetBootClock([&] { return it.loop.Now() + suspended; });
  for (int n = 0; n < 100 && !it.store.Has("duty/stages"); ++n) {
    it.loop.RunFor(absl::Milliseconds(50));
  }
  REQUIRE(it.store.Has("duty/stages"));
  it.loop.RunFor(absl::Milliseconds(300));
  // A lease lasts 12 s.
  suspended = absl::Seconds(13);
  it.loop.RunFor(absl::Seconds(2));
  for (const auto& engine : it.engines) CHECK(engine.second->orders.empty());
  CHECK(it.LogText().find("\"why\":\"lease over\"") != std::string::npos);
}

// The three kinds of failure of docs/OPERATIONS.md.
TEST_CASE("the log explains a stream that was cut", "[front][operations]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"d1", "d2"}, Fault::kBreakMidway);
  it.Get("POST", "/note/x");
  RequestStory story = it.Story("id1");
  CHECK(EventsOf(story) == "placed streaming decode_broke_off request_done ");
  CHECK(story.outcome == "cut");
  CHECK(story.reason == "backend_broke_off");
}

TEST_CASE("the log explains a booking with an unknown outcome",
          "[front][operations]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kLoseAnswer);
  it.Get("POST", "/book/x");
  RequestStory story = it.Story("id1");
  CHECK(EventsOf(story) == "sent broke_off request_done ");
  CHECK(story.outcome == "failed");
  CHECK(story.reason == "backend_broke_off");
}

TEST_CASE("the log explains a refusal in a surge", "[front][operations]") {
  TestDeployment it;
  it.Start();
  constexpr int surge = 60;
  std::vector<std::shared_ptr<Answer>> answers;
  answers.reserve(surge);
  for (int n = 0; n < surge; ++n) answers.push_back(it.Ask("POST", "/note/x"));
  it.loop.RunFor(absl::Milliseconds(400));
  size_t refused = 0;
  while (refused < answers.size() && answers[refused]->status != 503) ++refused;
  REQUIRE(refused < answers.size());
  RequestStory story = it.Story(absl::StrCat("id", refused + 1));
  CHECK(story.outcome == "refused");
  CHECK(story.reason == "queue_too_long");
  CHECK(story.lines.back().fields.find("version=1") != std::string::npos);
}

TEST_CASE("metrics tell which server fails and why requests are refused",
          "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1"}, Fault::kLoseAnswer);
  it.RemoveServer("s2");
  it.loop.RunFor(absl::Milliseconds(100));
  it.Get("POST", "/book/x");
  std::string text = it.Get("GET", "/metrics", it.settings.metrics).body;
  CHECK(text.find("front_backend_trouble_total{backend=\"s1\","
                  "event=\"broke_off\"} 1") != std::string::npos);
  it.RemoveServer("s1");
  it.loop.RunFor(absl::Milliseconds(100));
  it.Get("POST", "/book/x");
  text = it.Get("GET", "/metrics", it.settings.metrics).body;
  CHECK(text.find("front_refusals_total{route=\"book\","
                  "reason=\"no_backend\"} 1") != std::string::npos);
  CHECK(text.find("front_backend_trouble_total") == std::string::npos);
  CHECK(text.find("process_start_time_seconds") != std::string::npos);
}

TEST_CASE("metrics and status are served", "[front]") {
  TestDeployment it;
  it.Start();
  it.Get("POST", "/book/x");
  it.Get("POST", "/note/x");
  Answer metrics = it.Get("GET", "/metrics", it.settings.metrics);
  CHECK(metrics.body.find("front_requests_total{route=\"book\","
                          "outcome=\"answered\"} 1") != std::string::npos);
  CHECK(metrics.body.find("front_first_event_seconds_bucket") !=
        std::string::npos);
  Json status = Json::parse(it.Get("GET", "/status", it.settings.control).body);
  CHECK(status["ready"] == true);
  CHECK(status["backends"].size() == 5);
  CHECK(status["repeats_left"]["desk"].get<double>() > 0);
  std::string table = FormatFrontStatus(status);
  CHECK(table.find("front-1 in a: ready, version 1") != std::string::npos);
  CHECK(table.find("service llm: repeated sends left") != std::string::npos);
  CHECK(table.find("prefill") != std::string::npos);
  CHECK(table.find("NOT") == std::string::npos);
  CHECK(table.find("revision -") == std::string::npos);
}

TEST_CASE("what fronts tell each other survives the way", "[front]") {
  PeerUseUpdate update;
  update.incarnation = 5;
  update.sequence = 6;
  update.waiting_streams = 7;
  update.use[BackendName("d1")] = {2, 8200, 3100};
  update.use[BackendName("d2")] = BackendUse();
  std::string bytes = EncodeUpdate(update);
  std::optional<PeerUseUpdate> read = DecodeUpdate(bytes);
  REQUIRE(read.has_value());
  CHECK(read->incarnation == 5);
  CHECK(read->sequence == 6);
  CHECK(read->waiting_streams == 7);
  CHECK(read->use == update.use);
  // An update is no digest, and a torn one is nothing.
  CHECK_FALSE(DecodeDigest(bytes).has_value());
  for (size_t n = 0; n < bytes.size(); ++n) {
    CHECK_FALSE(DecodeUpdate(bytes.substr(0, n)).has_value());
  }
  CHECK_FALSE(DecodeUpdate(bytes + "x").has_value());
}

// The other front counts the place long before the next full digest.
TEST_CASE("a placed stream is told to the other front at once", "[front]") {
  TestDeployment it;
  it.Start();
  FrontSettings settings = it.PeerSettings("front-2");
  std::FILE* log = std::tmpfile();
  FrontDaemon peer(it.loop, settings, "", it.protocol, fileno(log));
  REQUIRE_FALSE(peer.Start().has_value());
  it.loop.RunFor(absl::Milliseconds(600));
  // As that front counts them; asking it over HTTP would take longer than the
  // word of a placement does.
  auto used = [&] {
    int64_t tokens = 0;
    for (const auto& backend : peer.context().backends.all()) {
      tokens += backend.second.Total().memory_tokens;
    }
    return tokens;
  };
  REQUIRE(Json::parse(it.Get("GET", "/status", settings.metrics).body)["peers"]
              .size() == 1);
  CHECK(used() == 0);
  // Their places stay taken for as long as engines stay silent.
  it.SetFaults({"d1", "d2"}, Fault::kNeverAnswer);
  std::vector<absl::Duration> waits;
  for (int n = 1; n <= 7; ++n) {
    absl::Time asked = it.loop.Now();
    it.Ask("POST", "/note/x");
    while (used() < 4100 * int64_t{n} &&
           it.loop.Now() - asked < absl::Seconds(1)) {
      it.loop.RunFor(absl::Milliseconds(1));
    }
    waits.push_back(it.loop.Now() - asked);
    // At different times of the interval at which other changes are told.
    it.loop.RunFor(absl::Milliseconds(n));
  }
  std::sort(waits.begin(), waits.end());
  CHECK(waits[3] < absl::Milliseconds(20));
  it.loop.RunFor(absl::Milliseconds(2600));
  CHECK(used() == 0);
  std::fclose(log);
}

std::string SettingsText(const FrontSettings& settings,
                         const std::string& seeds) {
  return absl::StrCat(
      "name: ", settings.name, "\nzone: ", settings.zone,
      "\nclients: ", settings.clients, "\nready: ", settings.ready,
      "\ncontrol: ", settings.control, "\nmetrics: ", settings.metrics,
      "\npeers: ", settings.peers, "\nstore: ", settings.store, "\nseeds: \"",
      seeds, "\"\n");
}

TEST_CASE("changed settings are taken over without a cut", "[front]") {
  TestDeployment it;
  std::string file = absl::StrCat("front-settings-", getpid(), ".yaml");
  auto write = [&](const std::string& text) {
    std::ofstream out(file);
    out << text;
  };
  write(SettingsText(it.settings, ""));
  it.settings_file = file;
  it.Start();
  auto stream = it.Ask("POST", "/note/x");
  it.loop.RunFor(absl::Milliseconds(40));
  // Silently at first, then with a word.
  write(SettingsText(it.settings, "127.0.0.9:8000"));
  it.loop.RunFor(absl::Milliseconds(1300));
  CHECK_THAT(it.LogText(), Catch::Contains("\"event\":\"reload\"") &&
                               Catch::Contains("127.0.0.9:8000"));
  CHECK(stream->whole);
  CHECK(stream->body == StreamEvents(1, 8));
  write("name: front-1\nno_such_key: 1\n");
  raise(SIGHUP);
  it.loop.RunFor(absl::Milliseconds(100));
  CHECK_THAT(it.LogText(), Catch::Contains("reload_failed") &&
                               Catch::Contains("no_such_key"));
  // The settings before it stay in force.
  CHECK(it.Get("GET", "/check/x").status == 200);
  std::remove(file.c_str());
}

}  // namespace
}  // namespace chervilwick
