// Bytes of an engine that are no answer.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/engine/engine_client.h"
#include "scripted_peer.h"

namespace chervilwick {
namespace {

// What a call makes of an answer with that status line and those fields.
EngineFinished Run(WorkKind kind, const std::string& lines) {
  const std::string body =
      kind == WorkKind::kDecode
          ? "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"
          : R"({"kv_transfer_params":{}})";
  ScriptedPeer peer([&](const HttpHead& request, const std::string&) {
    if (request.method == "GET") {
      return ScriptedPeer::Reply(EncodeResponse({200, {}, ""}, true));
    }
    return ScriptedPeer::Reply(
        absl::StrCat(lines, "Content-Length: ", body.size(), "\r\n\r\n", body));
  });
  StartWork start;
  start.attempt = {Incarnation(1), 1};
  start.kind = kind;
  start.method = "POST";
  start.path = "/book";
  start.model = "m";
  start.prompt = "p";
  start.deadline_ms = 300;
  start.kv_params = "{}";
  CallCanceller canceller;
  return RunOnEngine(VllmEngine{peer.endpoint().ToString()}, start, canceller,
                     [](const std::vector<std::string>&) {});
}

constexpr WorkKind kKinds[] = {WorkKind::kPlain, WorkKind::kPrefill,
                               WorkKind::kDecode};

TEST_CASE("bytes that are no answer are a failure of the engine",
          "[engine][broken_answers]") {
  for (const std::string& lines : std::vector<std::string>{
           "HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 099 Trouble\r\n",
           "HTTP/1.1 20 OK\r\n", "HTTP/1.1 0200 OK\r\n", "HTTP/1.1 2000 OK\r\n",
           "HTTP/1.1 600 Trouble\r\n", "HTTP/1.1  200 OK\r\n",
           "HTTP/1.1 101 Switching Protocols\r\n",
           "HTTP/1.1 103 Early Hints\r\n", "HTTP/1.1 200 O\x01K\r\n",
           "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nX y: 1\r\n",
           "HTTP/1.1 200 OK\r\nX\x01: 1\r\n", "HTTP/1.1 200 OK\r\nX : 1\r\n",
           "HTTP/1.1 200 OK\r\n: 1\r\n"}) {
    for (WorkKind kind : kKinds) {
      INFO(static_cast<int>(kind) << " " << absl::CEscape(lines));
      CHECK(Run(kind, lines).status == WorkStatus::kEngineFailed);
    }
  }
}

TEST_CASE("malformed field lines that httplib hides are a failure",
          "[engine][broken_answers]") {
  for (const char* lines :
       {"HTTP/1.1 200 OK\r\nX\r\n", "HTTP/1.1 200 OK\r\nX: \x01\r\n"}) {
    for (WorkKind kind : kKinds) {
      INFO(static_cast<int>(kind) << " " << absl::CEscape(lines));
      CHECK(Run(kind, lines).status == WorkStatus::kEngineFailed);
    }
  }
}

TEST_CASE("unusual answers of an engine are read", "[engine][broken_answers]") {
  for (const std::string& lines : std::vector<std::string>{
           "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.0 200 OK\r\n",
           "HTTP/1.1 200 \xc3\xa9\r\n", "HTTP/1.1 200 OK\r\nX:\r\n",
           "HTTP/1.1 200 OK\r\nX: \xe9\t1\r\n",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"}) {
    for (WorkKind kind : kKinds) {
      INFO(static_cast<int>(kind) << " " << absl::CEscape(lines));
      CHECK(Run(kind, lines).status == WorkStatus::kOk);
    }
  }
}

}  // namespace
}  // namespace chervilwick
