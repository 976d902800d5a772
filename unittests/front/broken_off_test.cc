// What a client receives of an answer that its engine broke off, at each
// offset.

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "deployment.h"
#include "scripted_peer.h"

namespace chervilwick {
namespace {

using Reply = ScriptedPeer::Reply;

// How the engine ends the connection after the bytes.
enum class End { kOrderly, kReset, kCrash };

// A busy front looks at the end late.
constexpr std::chrono::milliseconds kDownTime(500);

std::string Id(const HttpHead& request) { return request.Get("X-Request-Id"); }

std::string WithLength(const std::string& id, const std::string& body) {
  return SuccessTo(id, body);
}

std::string InChunks(const std::string& id, const std::string& body) {
  return absl::StrCat(StreamHeadTo(id), EncodeChunk(body), "0\r\n\r\n");
}

// A front whose only decode engine and whose only plain server answer with the
// first bytes of a whole answer.
class OneServer {
 public:
  using Whole = std::function<std::string(const std::string& id)>;

  explicit OneServer(absl::Duration shutdown_limit = absl::Seconds(8))
      : peer_([this](const HttpHead& request, const std::string&) {
          std::string whole = whole_(Id(request));
          if (request.target == kStateTarget) return Reply(StateAnswer(1));
          if (Id(request).empty()) return Reply("HTTP/1.1 200 OK\r\n\r\n");
          size_t n = cut_ == std::string::npos ? whole.size() : cut_;
          std::this_thread::sleep_for(delay_);
          Reply reply(whole.substr(0, n));
          reply.closes = end_ == End::kOrderly;
          reply.resets = end_ == End::kReset;
          reply.crashes = end_ == End::kCrash;
          reply.down = kDownTime;
          return reply;
        }) {
    for (const char* id : {"d1", "d2", "s1", "s2"}) {
      it.store.Remove(absl::StrCat("servers/", id));
    }
    List("d8", "llm", "decode");
    List("s8", "desk", "");
    it.settings.shutdown_limit = shutdown_limit;
    it.last_id = 1000;  // ids of one length
    it.Start();
  }

  // Sends a request; its server sends `cut` bytes of `whole`, then ends the
  // connection.
  Answer Get(const std::string& target, const Whole& whole, size_t cut,
             End end) {
    whole_ = whole;
    cut_ = cut;
    end_ = end;
    Answer answer = it.Get("POST", target);
    // The server runs again after a crash.
    it.loop.RunFor(end == End::kCrash
                       ? absl::FromChrono(kDownTime) + absl::Milliseconds(100)
                       : absl::Milliseconds(1));
    return answer;
  }

  // Answers are whole, and the server takes that long for each.
  void SetAnswer(const Whole& whole, std::chrono::milliseconds delay) {
    whole_ = whole;
    delay_ = delay;
  }

  TestDeployment it;

 private:
  void List(const std::string& id, const std::string& service,
            const std::string& stage) {
    nlohmann::json entry = {
        {"service", service}, {"addr", peer_.endpoint().ToString()},
        {"zone", "a"},        {"version", "v1"},
        {"slots", 16},        {"state", "ready"},
        {"cold_left_ms", 0},  {"seq", 1},
        {"born", 1}};
    if (!stage.empty()) entry["stage"] = stage;
    it.store.Put("servers/" + id, entry.dump());
  }

  Whole whole_ = [](const std::string&) { return std::string(); };
  size_t cut_ = std::string::npos;
  std::chrono::milliseconds delay_{0};
  End end_ = End::kOrderly;
  ScriptedPeer peer_;
};

void CheckNotWhole(const Answer& answer) {
  CHECK_FALSE((answer.is_complete && answer.status < 300));
  CHECK(StreamEvents(1, 3).compare(0, answer.body.size(), answer.body) == 0);
}

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

bool IsWholeEvents(const std::string& events, size_t size,
                   const std::string& event_end) {
  return size >= event_end.size() &&
         absl::EndsWith(events.substr(0, size), event_end);
}

TEST_CASE("stream cut inside its head or inside an event is not whole",
          "[front][broken_off]") {
  OneServer server;
  for (const char* type : {"text/event-stream", ""}) {
    for (const char* line_end : {"\n", "\r\n", "\r"}) {
      std::string events = Replaced(StreamEvents(1, 2), "\n", line_end);
      std::string event_end = absl::StrCat(line_end, line_end);
      auto whole = [&](const std::string& id) {
        return UnframedTo(id, events, type);
      };
      size_t head = whole("id1000").size() - events.size();
      for (size_t cut = 1; cut < head + events.size(); ++cut) {
        // Heads differ by their type only.
        if (cut < head && line_end != std::string("\n")) continue;
        if (cut > head && IsWholeEvents(events, cut - head, event_end)) {
          continue;
        }
        for (const char* target : {"/note/x", "/report/x"}) {
          bool is_report = target == std::string("/report/x");
          // A resumable stream waits for another engine, so each offset takes
          // its time: they all are taken for the first kind of answer.
          if (is_report && (cut < head || type[0] == '\0')) continue;
          if (is_report && line_end != std::string("\n")) continue;
          INFO(type << " " << target << " cut at " << cut << " of head " << head
                    << " and line end of " << std::string(line_end).size());
          Answer answer = server.Get(target, whole, cut, End::kOrderly);
          CHECK_FALSE((answer.is_complete && answer.status < 300));
          if (cut <= head) CHECK(answer.body.empty());
        }
      }
    }
  }
}

TEST_CASE("stream cut by a reset is not whole at any offset",
          "[front][broken_off]") {
  OneServer server;
  for (const OneServer::Whole& whole : std::vector<OneServer::Whole>{
           [](const std::string& id) {
             return UnframedTo(id, StreamEvents(1, 2));
           },
           [](const std::string& id) {
             return InChunks(id, StreamEvents(1, 2));
           },
           [](const std::string& id) {
             return WithLength(id, StreamEvents(1, 2));
           }}) {
    size_t size = whole("id1000").size();
    bool is_unframed =
        whole("id1000") == UnframedTo("id1000", StreamEvents(1, 2));
    for (size_t cut = 1; cut < size + (is_unframed ? 1 : 0); cut += 3) {
      INFO("cut at " << cut << " of " << size);
      CheckNotWhole(server.Get("/note/x", whole, cut, End::kReset));
    }
  }
}

TEST_CASE("stream cut between events by the end of its engine is not whole",
          "[front][broken_off]") {
  OneServer server;
  std::string events = StreamEvents(1, 3);
  auto whole = [&](const std::string& id) { return UnframedTo(id, events); };
  size_t head = whole("id1000").size() - events.size();
  for (int last = 0; last <= 3; ++last) {
    for (const char* target : {"/note/x", "/report/x"}) {
      INFO(target << " after event " << last);
      Answer answer = server.Get(
          target, whole, head + StreamEvents(1, last).size(), End::kCrash);
      CHECK_FALSE((answer.is_complete && answer.status < 300));
    }
  }
}

TEST_CASE("stream without a length is whole if its engine goes on",
          "[front][broken_off]") {
  OneServer server;
  for (const char* type :
       {"text/event-stream", "", "Text/Event-Stream; charset=utf-8"}) {
    for (const char* line_end : {"\n", "\r\n", "\r"}) {
      std::string events = Replaced(StreamEvents(1, 3), "\n", line_end);
      for (const char* last : {"", ": alive\n", "\n"}) {
        std::string sent = events + last;
        auto whole = [&](const std::string& id) {
          return UnframedTo(id, sent, type);
        };
        for (const char* target : {"/note/x", "/report/x"}) {
          INFO(type << " " << target << " and line end of "
                    << std::string(line_end).size());
          Answer answer =
              server.Get(target, whole, std::string::npos, End::kOrderly);
          CHECK(answer.is_complete);
          CHECK(answer.status == 200);
          CHECK(answer.body == sent);
        }
      }
    }
  }
}

TEST_CASE("stream without a length and without an event is not whole",
          "[front][broken_off]") {
  OneServer server;
  for (const char* body : {"", ": alive\n\n"}) {
    for (const char* target : {"/note/x", "/report/x"}) {
      Answer answer = server.Get(
          target, [&](const std::string& id) { return UnframedTo(id, body); },
          std::string::npos, End::kOrderly);
      CHECK_FALSE((answer.is_complete && answer.status < 300));
    }
  }
}

TEST_CASE("client that has seen all events gets the empty rest as whole",
          "[front][broken_off]") {
  OneServer server;
  auto all = [](const std::string& id) {
    return UnframedTo(id, StreamEvents(1, 3));
  };
  Answer first = server.Get("/report/x", all, std::string::npos, End::kOrderly);
  REQUIRE(first.body == StreamEvents(1, 3));
  server.it.extra_fields = {{"Last-Event-Id", "3"},
                            {"Resumes", absl::StrCat("id", server.it.last_id)}};
  auto whole = [](const std::string& id) { return UnframedTo(id, ""); };
  Answer answer =
      server.Get("/report/x", whole, std::string::npos, End::kOrderly);
  CHECK(answer.is_complete);
  CHECK(answer.status == 200);
  CHECK(answer.body.empty());
  // The end of the engine leaves it open whether there is a rest.
  answer = server.Get("/report/x", whole, std::string::npos, End::kCrash);
  CHECK_FALSE((answer.is_complete && answer.status < 300));
}

TEST_CASE("answer that ends just before the limit of a stop is whole",
          "[front][broken_off]") {
  for (const char* target : {"/note/x", "/book/x"}) {
    INFO(target);
    // What is open 1.75 s after the begin of the stop is ended.
    OneServer server(absl::Seconds(2));
    std::string body = StreamEvents(1, 3);
    server.SetAnswer(
        [&](const std::string& id) { return UnframedTo(id, body); },
        std::chrono::milliseconds(1725));
    auto answer = server.it.SendRequest("POST", target, "", 2500);
    server.it.loop.RunFor(absl::Milliseconds(5));
    server.it.front->BeginShutdown();
    absl::Time end = server.it.loop.Now() + absl::Milliseconds(2200);
    while (server.it.loop.Now() < end) {
      server.it.loop.RunFor(absl::Milliseconds(5));
    }
    CHECK(answer->body == body);
    CHECK(answer->is_complete);
  }
}

TEST_CASE("stream without a length that ends inside a comment is not whole",
          "[front][broken_off]") {
  OneServer server;
  std::string comment = ": alive\n\n";
  for (size_t cut = 1; cut < comment.size() - 1; ++cut) {
    INFO(cut);
    std::string sent = StreamEvents(1, 3) + comment.substr(0, cut);
    Answer answer = server.Get(
        "/note/x", [&](const std::string& id) { return UnframedTo(id, sent); },
        std::string::npos, End::kOrderly);
    CHECK_FALSE((answer.is_complete && answer.status < 300));
  }
}

TEST_CASE("plain answer without a length is whole if its server goes on",
          "[front][broken_off]") {
  OneServer server;
  for (const char* target : {"/book/x", "/check/x"}) {
    for (const char* body : {"", "a booking"}) {
      Answer answer = server.Get(
          target,
          [&](const std::string& id) {
            return UnframedTo(id, body, "text/plain");
          },
          std::string::npos, End::kOrderly);
      CHECK(answer.is_complete);
      CHECK(answer.status == 200);
      CHECK(answer.body == body);
    }
  }
}

TEST_CASE("plain answer cut by the end of its server is not whole",
          "[front][broken_off]") {
  OneServer server;
  auto whole = [](const std::string& id) {
    return UnframedTo(id, "a booking", "text/plain");
  };
  size_t head = whole("id1000").size() - 9;
  for (End end : {End::kCrash, End::kReset}) {
    for (const char* target : {"/book/x", "/check/x"}) {
      for (size_t body = 0; body <= 9; body += 3) {
        INFO(target << " after byte " << body);
        Answer answer = server.Get(target, whole, head + body, end);
        CHECK_FALSE((answer.is_complete && answer.status < 300));
        CHECK(answer.body.empty());
      }
    }
  }
}

// The report of another operator: a 200 with an empty or short body.
TEST_CASE("answer that stops inside its head is no answer",
          "[front][broken_off]") {
  OneServer server;
  for (const OneServer::Whole& whole : std::vector<OneServer::Whole>{
           [](const std::string& id) {
             return UnframedTo(id, "", "text/event-stream");
           },
           [](const std::string& id) { return WithLength(id, "a booking"); },
           [](const std::string& id) { return InChunks(id, "id: 1\n"); },
           [](const std::string& id) {
             return "HTTP/1.1 100 Continue\r\n\r\n" + WithLength(id, "");
           }}) {
    std::string text = whole("id1000");
    size_t size = text.find("\r\n\r\n", text.find("X-Response-Stamp")) + 4;
    for (size_t cut = 1; cut < size; cut += 2) {
      for (End end : {End::kOrderly, End::kReset}) {
        const char* target = cut % 3 == 0   ? "/note/x"
                             : cut % 3 == 1 ? "/book/x"
                                            : "/check/x";
        INFO(target << " cut at " << cut << " of " << size);
        Answer answer = server.Get(target, whole, cut, end);
        CHECK(answer.status >= 500);
        CHECK(answer.body.empty());
      }
    }
  }
}

}  // namespace
}  // namespace chervilwick
