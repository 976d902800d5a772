// The decision log and what is read from it.

#include "chervilwick/telemetry/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>

#include "absl/time/clock.h"
#include "chervilwick/telemetry/log_timeline.h"
#include "chervilwick/telemetry/request_story.h"
#include "chervilwick/telemetry/status_table.h"

namespace chervilwick {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Seconds(5);

constexpr int kLines = 1000;  // more than a pipe holds

class Pipe {
 public:
  Pipe() {
    REQUIRE(pipe(ends_.data()) == 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  int writer() const { return ends_[1]; }
  std::string Read() {
    std::string out;
    std::array<char, 4096> buf;
    ssize_t n = 0;
    while ((n = read(ends_[0], buf.data(), buf.size())) > 0) {
      out.append(buf.data(), static_cast<size_t>(n));
    }
    return out;
  }

 private:
  std::array<int, 2> ends_{};
};

TEST_CASE("each line is a JSON object, whatever its values hold",
          "[telemetry]") {
  Pipe pipe;
  DecisionLog log(pipe.writer(), "front-1");
  log.Write(kNow, "sent",
            {{"id", "a\"b\\c\n\x01\xff"},
             {"n", 7},
             {"wait_ms", absl::Milliseconds(12)},
             {"flag", true},
             {"long", std::string(1000, 'x')}});
  log.Flush();
  nlohmann::json line = nlohmann::json::parse(pipe.Read());
  CHECK(line["process"] == "front-1");
  CHECK(line["event"] == "sent");
  CHECK(line["wait_ms"] == 12);
  CHECK(line["long"].get<std::string>().size() == 200);
}

// Guards against names of accounts that no search of the log finds.
TEST_CASE("a log line has letters of any language as they are", "[telemetry]") {
  Pipe pipe;
  DecisionLog log(pipe.writer(), "front-1");
  std::string name = "\xc3\x9c\xc3\xb1 \xe6\x9d\xb1 \xf0\x9f\x90\x9f";
  std::string cut(199, 'x');
  log.Write(kNow, "sent",
            {{"account", name}, {"odd", "\xc3(\x7f"}, {"cut", cut + name}});
  log.Flush();
  nlohmann::json line = nlohmann::json::parse(pipe.Read());
  CHECK(line["account"] == name);
  // Bytes that are no character are those of Latin-1.
  CHECK(line["odd"] == "\xc3\x83(\x7f");
  CHECK(line["cut"] == cut + "\xc3\x83");
}

TEST_CASE("the last lines reach a reader that is late at the exit",
          "[telemetry]") {
  Pipe pipe;
  DecisionLog log(pipe.writer(), "front-1");
  for (int n = 0; n < kLines; ++n) {
    log.Write(kNow, "sent", {{"text", std::string(150, 'x')}});
  }
  log.Flush();
  std::string text;
  std::thread reader([&] {
    for (int n = 0; n < 20; ++n) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      text += pipe.Read();
    }
  });
  log.Drain(absl::Seconds(3));
  reader.join();
  CHECK(std::count(text.begin(), text.end(), '\n') == kLines);
}

TEST_CASE("a reader that takes nothing does not hold up the exit",
          "[telemetry]") {
  Pipe pipe;
  DecisionLog log(pipe.writer(), "front-1");
  for (int n = 0; n < kLines; ++n) {
    log.Write(kNow, "sent", {{"text", std::string(150, 'x')}});
  }
  absl::Time began = absl::Now();
  log.Drain(absl::Milliseconds(100));
  CHECK(absl::Now() - began < absl::Seconds(2));
}

TEST_CASE("a reader that stalls costs lines, never time", "[telemetry]") {
  Pipe pipe;
  DecisionLog log(pipe.writer(), "front-1");
  for (int it = 0; it < 20000; ++it) {
    log.Write(kNow, "sent", {{"id", "0123456789"}, {"n", it}});
    if (it % 100 == 0) log.Flush();
  }
  CHECK(log.dropped() > 0);
  std::string text = pipe.Read();
  for (int it = 0; it < 200; ++it) {
    log.Flush();
    text += pipe.Read();
  }
  CHECK(text.find("log_lines_dropped") != std::string::npos);
}

TEST_CASE("a story holds a request's lines and what changed meanwhile",
          "[telemetry]") {
  std::stringstream logs(
      "noise\n"
      "1.5 f1 "
      "{\"t\":9.5,\"process\":\"f1\",\"event\":\"store_lost\",\"why\":\"x\"}\n"
      "{\"t\":10.0,\"process\":\"f1\",\"event\":\"sent\",\"id\":\"a\","
      "\"backend\":\"s1\"}\n"
      "{\"t\":10.1,\"process\":\"f1\",\"event\":\"sent\",\"id\":\"b\"}\n"
      "{\"t\":10.2,\"process\":\"f2\",\"event\":\"store_lost\"}\n"
      "{\"t\":50,\"process\":\"f1\",\"event\":\"peer_lost\"}\n"
      "{\"t\":10.3,\"process\":\"f1\",\"event\":\"request_done\",\"id\":\"a\","
      "\"outcome\":\"failed\",\"reason\":\"timeout\"}\n");
  auto story = ReadStory(logs, "a");
  REQUIRE(story);
  REQUIRE(story->lines.size() == 3);
  CHECK(story->lines[0].is_context);
  CHECK(story->lines[1].fields == "backend=s1");
  CHECK(story->outcome == "failed");
  CHECK(FormatStory(*story).find("outcome: failed (timeout)") !=
        std::string::npos);
  std::stringstream none("");
  CHECK_FALSE(ReadStory(none, "a"));
}

TEST_CASE("an age that is not known is null", "[telemetry]") {
  Pipe pipe;
  DecisionLog log(pipe.writer(), "f1");
  log.Write(absl::UnixEpoch(), "sent",
            {{"list_age_ms", absl::InfiniteDuration()}});
  log.Flush();
  CHECK(pipe.Read().find("\"list_age_ms\":null") != std::string::npos);
}

TEST_CASE("a timeline counts what several processes logged", "[telemetry]") {
  std::stringstream logs(
      // Before its clock line; the clocks of f1 and f2 began 100 s apart.
      "{\"t\":9.0,\"process\":\"f1\",\"event\":\"start\"}\n"
      "{\"t\":10.0,\"process\":\"f1\",\"event\":\"clock\","
      "\"wall\":\"2026-01-01T10:00:10+00:00\"}\n"
      "{\"t\":110,\"process\":\"f2\",\"event\":\"clock\","
      "\"wall\":\"2026-01-01T10:00:10+00:00\"}\n"
      "{\"t\":11.5,\"process\":\"f1\",\"event\":\"broke_off\",\"id\":\"a\","
      "\"backend\":\"s1\"}\n"
      "{\"t\":112,\"process\":\"f2\",\"event\":\"broke_off\",\"id\":\"b\","
      "\"backend\":\"s1\"}\n"
      "{\"t\":112.5,\"process\":\"f2\",\"event\":\"request_done\",\"id\":\"b\","
      "\"outcome\":\"failed\",\"reason\":\"backend_broke_off\"}\n"
      // Restarted, with another clock.
      "{\"t\":1.0,\"process\":\"f2\",\"event\":\"clock\","
      "\"wall\":\"2026-01-01T10:00:14+00:00\"}\n"
      "{\"t\":1.5,\"process\":\"f2\",\"event\":\"store_lost\",\"why\":\"x\"}\n"
      "{\"t\":7,\"process\":\"f3\",\"event\":\"start\"}\n");
  auto timeline = ReadTimeline(logs, absl::Seconds(2));
  REQUIRE(timeline);
  CHECK(absl::FormatTime(absl::RFC3339_full, timeline->begin,
                         absl::UTCTimeZone()) == "2026-01-01T10:00:09+00:00");
  REQUIRE(timeline->rows.size() == 4);
  CHECK(timeline->rows[0].what == "broke_off s1");
  CHECK(timeline->rows[0].counts == std::vector<uint64_t>{0, 2, 0});
  CHECK(timeline->rows[1].what == "request_done failed backend_broke_off");
  CHECK(timeline->rows[3].what == "store_lost");
  CHECK(timeline->rows[3].counts == std::vector<uint64_t>{0, 0, 1});
  REQUIRE(timeline->changes.size() == 2);
  CHECK(timeline->changes[1].process == "f2");
  CHECK(timeline->changes[1].text == "store_lost why=x");
  CHECK(timeline->lines_without_time == 1);
  std::string text = FormatTimeline(*timeline);
  CHECK(text.find("10:00:14.500 f2 store_lost why=x") != std::string::npos);
  CHECK(text.find("1 lines of processes without") != std::string::npos);
  CHECK(TimelineJson(*timeline)["rows"]["broke_off s1"][1] == 2);
}

TEST_CASE("a timeline tells why silent engines were not replaced",
          "[telemetry]") {
  std::stringstream logs(
      "{\"t\":10,\"process\":\"f1\",\"event\":\"clock\","
      "\"wall\":\"2026-01-01T10:00:10+00:00\"}\n"
      "{\"t\":11,\"process\":\"f1\",\"event\":\"replacement_refused\","
      "\"id\":\"a\",\"detail\":\"retry_budget_used_up\"}\n"
      "{\"t\":11,\"process\":\"f1\",\"event\":\"prompt_silent\","
      "\"id\":\"b\",\"backend\":\"p1\"}\n"
      "{\"t\":11,\"process\":\"f1\",\"event\":\"resumed\",\"id\":\"b\"}\n");
  auto timeline = ReadTimeline(logs, absl::Seconds(2));
  REQUIRE(timeline);
  std::vector<std::string> rows;
  for (const auto& it : timeline->rows) rows.push_back(it.what);
  CHECK(rows == std::vector<std::string>{
                    "prompt_silent p1",
                    "replacement_refused retry_budget_used_up", "resumed"});
}

TEST_CASE("a start on a host that lost power is timed by its own clock line",
          "[telemetry]") {
  std::stringstream logs(
      "{\"t\":5000,\"process\":\"f1\",\"event\":\"start\"}\n"
      "{\"t\":5000,\"process\":\"f1\",\"event\":\"clock\","
      "\"wall\":\"2026-01-01T10:00:00+00:00\"}\n"
      "{\"t\":9,\"process\":\"f1\",\"event\":\"start\"}\n"
      "{\"t\":9,\"process\":\"f1\",\"event\":\"clock\","
      "\"wall\":\"2026-01-01T10:00:07+00:00\"}\n");
  auto timeline = ReadTimeline(logs, absl::Seconds(2));
  REQUIRE(timeline);
  REQUIRE(timeline->rows.size() == 1);
  CHECK(timeline->rows[0].counts == std::vector<uint64_t>{1, 0, 0, 1});
}

TEST_CASE("a front's state is shown, whatever it leaves out", "[telemetry]") {
  std::string old = FormatFrontStatus({{"name", "f1"}});
  CHECK(old.find("f1 in -: NOT READY, version -") != std::string::npos);
  CHECK(old.find("NOT REACHABLE") != std::string::npos);
  std::string table =
      FormatFrontStatus({{"name", "f1"},
                         {"zone", "a"},
                         {"ready", true},
                         {"store_reachable", true},
                         {"peers", {{{"name", "f2"}, {"silent_ms", 120}}}},
                         {"repeats_left", {{"desk", 3.25}}},
                         {"backends", {{{"id", "s1"}, {"state", "suspect"}}}}});
  CHECK(table.find("f1 in a: ready") != std::string::npos);
  CHECK(table.find("peer f2, heard 120 ms ago") != std::string::npos);
  CHECK(table.find("service desk: repeated sends left 3.25") !=
        std::string::npos);
  CHECK(table.find("suspect") != std::string::npos);
}

TEST_CASE("a timeline of a long stretch has longer steps", "[telemetry]") {
  std::stringstream logs(
      "{\"t\":0,\"process\":\"f1\",\"event\":\"start\"}\n"
      "{\"t\":0,\"process\":\"f1\",\"event\":\"clock\","
      "\"wall\":\"2026-01-01T10:00:00+00:00\"}\n"
      "{\"t\":86400,\"process\":\"f1\",\"event\":\"stop\"}\n");
  auto timeline = ReadTimeline(logs, absl::Seconds(1));
  REQUIRE(timeline);
  CHECK(timeline->step > absl::Seconds(200));
  CHECK(timeline->rows[0].counts.size() <= 400);
  CHECK(timeline->rows[1].counts.back() == 1);
}

}  // namespace
}  // namespace chervilwick
