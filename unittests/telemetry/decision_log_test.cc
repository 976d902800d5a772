// The decision log and what is read from it.

#include "chervilwick/telemetry/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "chervilwick/telemetry/request_story.h"

namespace chervilwick {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Seconds(5);

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

}  // namespace
}  // namespace chervilwick
