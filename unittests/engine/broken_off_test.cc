// Answers that an engine breaks off, by the offset.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "chervilwick/engine/engine_client.h"
#include "scripted_peer.h"

namespace chervilwick {
namespace {

enum class End { kOrderly, kReset, kCrash };

StartWork Start(WorkKind kind) {
  StartWork start;
  start.attempt = {Incarnation(1), 1};
  start.kind = kind;
  start.method = "POST";
  start.path = "/book";
  start.model = "m";
  start.prompt = "p";
  start.deadline_ms = 2000;
  start.kv_params = "{}";
  return start;
}

// A server that sends the first bytes of a whole answer. It runs on unless it
// crashes, and answers other requests.
class CutServer {
 public:
  CutServer()
      : peer_([this](const HttpHead& request, const std::string&) {
          if (request.method == "GET") {
            return ScriptedPeer::Reply(EncodeResponse({200, {}, ""}, true));
          }
          ScriptedPeer::Reply reply(whole_.substr(0, cut_));
          reply.closes = end_ == End::kOrderly;
          reply.resets = end_ == End::kReset;
          reply.crashes = end_ == End::kCrash;
          reply.down = kDownTime;
          return reply;
        }) {}

  // What a call makes of the first `cut` bytes of an answer.
  EngineFinished Run(WorkKind kind, const std::string& whole, size_t cut,
                     End end) {
    whole_ = whole;
    cut_ = cut;
    end_ = end;
    CallCanceller canceller;
    StartWork start = Start(kind);
    auto ignore = [](const std::vector<std::string>&) {};
    std::string address = peer_.endpoint().ToString();
    EngineFinished finished =
        kind == WorkKind::kPlain
            ? RunOnEngine(PlainEngine{address}, start, canceller, ignore)
            : RunOnEngine(VllmEngine{address}, start, canceller, ignore);
    // The next call finds it running.
    if (end == End::kCrash) std::this_thread::sleep_for(2 * kDownTime);
    return finished;
  }

 private:
  static constexpr std::chrono::milliseconds kDownTime{300};

  std::string whole_;
  size_t cut_ = 0;
  End end_ = End::kOrderly;
  ScriptedPeer peer_;
};

const std::string kUnframedHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";

TEST_CASE("plain answer without a length is whole if its server goes on",
          "[engine][broken_off]") {
  CutServer server;
  EngineFinished finished =
      server.Run(WorkKind::kPlain, kUnframedHead + "a booking",
                 std::string::npos, End::kOrderly);
  CHECK(finished.status == WorkStatus::kOk);
  CHECK(finished.body == "a booking");
}

TEST_CASE("plain answer cut by the end of its server is not whole",
          "[engine][broken_off]") {
  CutServer server;
  std::string whole = kUnframedHead + "a booking";
  for (size_t cut = 1; cut <= whole.size(); cut += 4) {
    INFO(cut);
    EngineFinished finished =
        server.Run(WorkKind::kPlain, whole, cut, End::kCrash);
    CHECK(finished.status == WorkStatus::kEngineCrashed);
    CHECK(finished.body.empty());
  }
}

// The report of another operator: a 200 with an empty or short body.
TEST_CASE("answer that stops inside its head is no answer",
          "[engine][broken_off]") {
  CutServer server;
  std::string framed = EncodeResponse({200, {{"X-A", "b"}}, "a"}, true);
  for (const std::string& whole : {kUnframedHead, framed}) {
    size_t head = whole.find("\r\n\r\n") + 4;
    for (size_t cut = 0; cut < head; ++cut) {
      for (End end : {End::kOrderly, End::kReset}) {
        INFO(cut << " of " << head);
        EngineFinished finished = server.Run(WorkKind::kPlain, whole, cut, end);
        CHECK(finished.status != WorkStatus::kOk);
        CHECK(finished.body.empty());
      }
    }
  }
}

TEST_CASE("stream and prompt cut at any offset are not whole",
          "[engine][broken_off]") {
  CutServer server;
  std::string events =
      "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n";
  std::string handle = R"({"kv_transfer_params":{"a":1}})";
  struct Case {
    WorkKind kind;
    std::string body;
  };
  for (const Case& it :
       {Case{WorkKind::kDecode, events}, Case{WorkKind::kPrefill, handle}}) {
    std::string whole = kUnframedHead + it.body;
    for (size_t cut = 1; cut < whole.size(); cut += 3) {
      INFO(cut << " of " << whole.size());
      EngineFinished finished = server.Run(it.kind, whole, cut, End::kOrderly);
      CHECK(finished.status != WorkStatus::kOk);
    }
    EngineFinished finished =
        server.Run(it.kind, whole, std::string::npos, End::kOrderly);
    CHECK(finished.status == WorkStatus::kOk);
  }
}

}  // namespace
}  // namespace chervilwick
