// What a client receives if an engine sends bytes that are no answer, or resets
// an answer without a length during an upload.

#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "deployment.h"
#include "scripted_peer.h"

namespace chervilwick {
namespace {

using Reply = ScriptedPeer::Reply;

constexpr char kStatusLine[] = "HTTP/1.1 200 OK";
constexpr char kHandle[] = R"({"handle":"h1","tokens":3200,"version":1})";
constexpr int kReceiveBufferBytes = 8 << 10;
constexpr int kUploads = 12;
constexpr size_t kUploadBytes = size_t{4} << 20;

// Answer to the request `id`; `fields` follow the status line.
std::string AnswerTo(const std::string& id, const std::string& status_line,
                     const std::string& fields, const std::string& body) {
  return absl::StrCat(status_line, "\r\n", fields, "X-Request-Id: ", id,
                      "\r\nX-Response-Stamp: e\r\nContent-Length: ",
                      body.size(), "\r\n\r\n", body);
}

// A front whose only engine of each kind is a scripted one.
class Scripted {
 public:
  using Script = std::function<Reply(const std::string& id)>;

  explicit Scripted(ScriptedPeer::Options options = {})
      : peer_([this](const HttpHead& request,
                     const std::string&) { return ReplyTo(request); },
              options) {
    // As in the daemon: a write to a connection that was reset raises it.
    std::signal(SIGPIPE, SIG_IGN);
    for (const char* id : {"p1", "d1", "d2", "s1", "s2"}) {
      it.store.Remove(absl::StrCat("servers/", id));
    }
    nlohmann::json config = DeploymentConfig(2);
    config["limits"]["max_body_bytes"] = 2 * kUploadBytes;
    it.store.Put("op/config", config.dump());
    List("p8", "llm", "prefill");
    List("d8", "llm", "decode");
    List("s8", "desk", "");
    it.Start();
  }

  // Uploads a large body, another one for each `number`.
  Answer Upload(const std::string& target, int number) {
    std::string body(kUploadBytes, static_cast<char>('a' + number));
    auto answer = it.SendRequest("POST", target, "", 2000, body);
    absl::Time end = it.loop.Now() + absl::Seconds(3);
    while (!answer->is_complete && !answer->is_broken && it.loop.Now() < end) {
      it.loop.RunFor(absl::Milliseconds(2));
    }
    return *answer;
  }

  std::vector<HttpHead> Requests() const { return peer_.Requests(); }

  // Script of engines, and of the prefill engine; prompts are read in full
  // where it has none.
  Script script;
  Script prefill_script;
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

  Reply ReplyTo(const HttpHead& request) {
    std::string id = request.Get("X-Request-Id");
    if (request.Get("X-Stage") == "prefill") {
      if (prefill_script) return prefill_script(id);
      return Reply(AnswerTo(id, kStatusLine, "", kHandle));
    }
    return script ? script(id) : Reply(AnswerTo(id, kStatusLine, "", "ok"));
  }

  ScriptedPeer peer_;
};

const char* const kTargets[] = {"/check/x", "/book/x", "/note/x", "/report/x"};

struct Line {
  std::string status_line;
  std::string fields;
};

std::vector<Line> MalformedLines() {
  std::vector<Line> lines;
  for (const char* status_line :
       {"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 20 OK",
        "HTTP/1.1 0200 OK", "HTTP/1.1 600 Trouble", "HTTP/1.1  200 OK",
        "HTTP/1.1 200 O\x01K", "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 103 Early Hints"}) {
    lines.push_back({status_line, ""});
  }
  for (const char* fields : {"X y: 1\r\n", "X\x01: 1\r\n", "X : 1\r\n", "X\r\n",
                             "X: \x01\r\n", "X:\x0b 1\r\n"}) {
    lines.push_back({kStatusLine, fields});
  }
  return lines;
}

TEST_CASE("bytes of an engine that are no answer do not reach clients",
          "[front][broken_answers]") {
  Scripted server;
  for (const Line& line : MalformedLines()) {
    for (const char* target : kTargets) {
      INFO(target << " " << absl::CEscape(line.status_line) << " "
                  << absl::CEscape(line.fields));
      server.script = [&](const std::string& id) {
        return Reply(
            AnswerTo(id, line.status_line, line.fields, StreamEvents(1, 3)));
      };
      Answer answer = server.it.Get("POST", target);
      // The engine may have run the request.
      CHECK((answer.status == 502 || answer.status == 504));
      CHECK(answer.body.empty());
      CHECK(answer.head.Find("X-Response-Stamp") == nullptr);
    }
  }
}

TEST_CASE("bytes of a prefill engine that are no answer are not used",
          "[front][broken_answers]") {
  Scripted server;
  server.script = [&](const std::string& id) {
    return Reply(AnswerTo(id, kStatusLine,
                          "Content-Type: text/event-stream\r\n",
                          StreamEvents(1, 3)));
  };
  for (const Line& line : MalformedLines()) {
    INFO(absl::CEscape(line.status_line) << " " << absl::CEscape(line.fields));
    int prefills = 0;
    server.prefill_script = [&](const std::string& id) {
      ++prefills;
      return Reply(AnswerTo(id, line.status_line, line.fields, kHandle));
    };
    Answer answer = server.it.Get("POST", "/note/x");
    CHECK(prefills > 0);
    // The decode engine reads the prompt itself.
    CHECK((answer.status == 200 || answer.status >= 500));
    if (answer.status == 200) CHECK(answer.body == StreamEvents(1, 3));
  }
  for (const HttpHead& it : server.Requests()) {
    CHECK(it.Find("X-Kv-Source") == nullptr);
  }
}

// Status of a request without a route at a front whose store has the
// operator's configuration and sends each page with such lines: 503 without a
// configuration, 404 with one.
int StatusWithStore(const Line& line) {
  ScriptedPeer peer([&](const HttpHead& request, const std::string&) {
    nlohmann::json page = {{"items", nlohmann::json::array()},
                           {"has_more", false},
                           {"current_rev", 2}};
    if (request.target.find("op") != std::string::npos) {
      page["items"].push_back(
          {{"key", "op/config"},
           {"value", absl::Base64Escape(DeploymentConfig(1).dump())},
           {"rev", 1},
           {"created", 1}});
    }
    return Reply(AnswerTo(request.Get("X-Request-Id"), line.status_line,
                          line.fields, page.dump()));
  });
  TestDeployment it;
  it.settings.store = peer.endpoint().ToString();
  it.Start();
  return it.Get("GET", "/none/x").status;
}

TEST_CASE("pages of a store that are no answers are not used",
          "[front][broken_answers]") {
  REQUIRE(StatusWithStore({kStatusLine, ""}) == 404);
  for (const Line& line : MalformedLines()) {
    INFO(absl::CEscape(line.status_line) << " " << absl::CEscape(line.fields));
    CHECK(StatusWithStore(line) == 503);
  }
}

TEST_CASE("unusual answers of an engine reach clients",
          "[front][broken_answers]") {
  Scripted server;
  for (const Line& line : std::vector<Line>{
           {"HTTP/1.1 200", ""},
           {"HTTP/1.1 200 ", ""},
           {"HTTP/1.1 200 \xc3\xa9\t", ""},
           {"HTTP/1.0 200 OK", ""},
           {kStatusLine, "X:\r\nY: \xe9\t1\r\n"},
           {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
            "Link: </x>\r\n\r\nHTTP/1.1 200 OK",
            ""}}) {
    for (const char* target : kTargets) {
      INFO(target << " " << absl::CEscape(line.status_line) << " "
                  << absl::CEscape(line.fields));
      server.script = [&](const std::string& id) {
        return Reply(AnswerTo(
            id, line.status_line,
            absl::StrCat(line.fields, "Content-Type: text/event-stream\r\n"),
            StreamEvents(1, 3)));
      };
      Answer answer = server.it.Get("POST", target);
      CHECK(answer.status == 200);
      CHECK(answer.is_complete);
      CHECK(answer.body == StreamEvents(1, 3));
    }
  }
  server.script = [](const std::string& id) {
    return Reply(AnswerTo(id, "HTTP/1.1 499 Odd", "", "odd"));
  };
  CHECK(server.it.Get("POST", "/book/x").status == 499);
}

TEST_CASE("answer that is reset during an upload does not look complete",
          "[front][broken_answers]") {
  Scripted server({/*answers_heads=*/true, kReceiveBufferBytes});
  struct Ending {
    const char* name;
    std::function<void(Reply&)> set;
  };
  for (const Ending& ending : std::vector<Ending>{
           {"closed with bytes unread", [](Reply& it) { it.closes = true; }},
           {"reset", [](Reply& it) { it.resets = true; }}}) {
    server.script = [&](const std::string& id) {
      Reply reply(UnframedTo(id, StreamEvents(1, 2)));
      ending.set(reply);
      return reply;
    };
    for (const char* target : kTargets) {
      INFO(target << " " << ending.name);
      for (int n = 0; n < kUploads; ++n) {
        Answer answer = server.Upload(target, n);
        CHECK_FALSE((answer.is_complete && answer.status < 300));
      }
    }
  }
}

TEST_CASE("upload that is rejected early gets the answer of its engine",
          "[front][broken_answers]") {
  Scripted server({/*answers_heads=*/true, kReceiveBufferBytes});
  for (bool has_length : {true, false}) {
    server.script = [&](const std::string& id) {
      std::string framed =
          AnswerTo(id, "HTTP/1.1 413 Content Too Large", "", "too large");
      size_t begin = framed.find("Content-Length");
      if (!has_length) {
        framed.erase(begin, framed.find("\r\n", begin) + 2 - begin);
      }
      Reply reply(framed);
      reply.half_closes = !has_length;
      reply.resets = has_length;
      return reply;
    };
    for (const char* target : {"/check/x", "/book/x"}) {
      INFO(target << (has_length ? " with" : " without") << " a length");
      for (int n = 0; n < kUploads; ++n) {
        Answer answer = server.Upload(target, n);
        CHECK(answer.status == 413);
        CHECK(answer.body == "too large");
      }
    }
  }
}

}  // namespace
}  // namespace chervilwick
