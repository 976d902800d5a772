// Log, metrics and status of a front.

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "chervilwick/telemetry/status_table.h"
#include "deployment.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;
using Fault = PlatformEngine::Fault;

// Returns the log events of the request itself, in order.
std::string EventsOf(const RequestStory& story) {
  std::string out;
  for (const StoryLine& it : story.lines) {
    if (!it.is_context) absl::StrAppend(&out, it.event, " ");
  }
  return out;
}

// The next three tests cover the kinds of failure in docs/OPERATIONS.md.
TEST_CASE("log shows why a stream was aborted", "[front][operations]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"d1", "d2"}, Fault::kAbortStream);
  it.Get("POST", "/note/x");
  RequestStory story = it.Story("id1");
  CHECK(EventsOf(story) ==
        "placed streaming run_lost decode_broke_off request_done ");
  CHECK(story.outcome == "cut");
  CHECK(story.reason == "backend_broke_off");
}

TEST_CASE("log shows why the outcome of a call is unknown",
          "[front][operations]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1", "s2"}, Fault::kLoseResponse);
  it.Get("POST", "/book/x");
  RequestStory story = it.Story("id1");
  CHECK(EventsOf(story) == "sent run_lost broke_off request_done ");
  CHECK(story.outcome == "failed");
  CHECK(story.reason == "backend_broke_off");
}

TEST_CASE("log shows why a request was refused under overload",
          "[front][operations]") {
  TestDeployment it;
  it.Start();
  constexpr int surge = 60;
  std::vector<std::shared_ptr<Answer>> answers;
  answers.reserve(surge);
  for (int n = 0; n < surge; ++n) {
    answers.push_back(it.SendRequest("POST", "/note/x"));
  }
  it.loop.RunFor(absl::Milliseconds(400));
  size_t refused = 0;
  while (refused < answers.size() && answers[refused]->status != 503) ++refused;
  REQUIRE(refused < answers.size());
  RequestStory story = it.Story(absl::StrCat("id", refused + 1));
  CHECK(story.outcome == "refused");
  CHECK(story.reason == "queue_too_long");
  CHECK(story.lines.back().fields.find("version=1") != std::string::npos);
}

TEST_CASE("metrics show which server fails and why requests are refused",
          "[front]") {
  TestDeployment it;
  it.Start();
  it.SetFaults({"s1"}, Fault::kLoseResponse);
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

TEST_CASE("a front that stood still says so in its log and metrics",
          "[front]") {
  TestDeployment it;
  it.Start();
  // The test's own host may be busy.
  std::string before = it.LogText();
  absl::SleepFor(absl::Milliseconds(600));
  CHECK_THAT(it.LogText().substr(before.size()),
             Catch::Contains("process_stalled"));
  Answer metrics = it.Get("GET", "/metrics", it.settings.metrics);
  CHECK_THAT(metrics.body,
             Catch::Contains("front_process_stalls_total ") &&
                 !Catch::Contains("front_process_stalls_total 0"));
}

TEST_CASE("metrics and status endpoints report current values", "[front]") {
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

}  // namespace
}  // namespace chervilwick
