// Answers of engines with odd JSON.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "chervilwick/engine/engine_client.h"
#include "scripted_peer.h"

namespace chervilwick {
namespace {

constexpr size_t kLevels = 100000;

std::string Deep() {
  return std::string(kLevels, '[') + std::string(kLevels, ']');
}

// Values of another type or out of range.
std::vector<std::string> OddValues() {
  return {"null", "5",      "-1",     "1e300", "\"x\"",
          "[]",   "[null]", "[[[]]]", "{}",    R"({"a":1})"};
}

StartWork Start(WorkKind kind) {
  StartWork start;
  start.attempt = {Incarnation(1), 1};
  start.kind = kind;
  start.model = "m";
  start.prompt = "p";
  start.deadline_ms = 2000;
  start.kv_params = "{}";
  return start;
}

// What a call makes of an engine that answers with `body`.
EngineFinished Run(WorkKind kind, const std::string& body) {
  ScriptedPeer peer([&](const HttpHead&, const std::string&) {
    return ScriptedPeer::Reply(EncodeResponse({200, {}, body}, true));
  });
  CallCanceller canceller;
  return RunOnEngine(VllmEngine{peer.endpoint().ToString()}, Start(kind),
                     canceller, [](const std::vector<std::string>&) {});
}

// Guards against an agent that ends with an exception that nothing catches.
TEST_CASE("odd answer to a prefill call does not end the process",
          "[engine][odd]") {
  for (const std::string& odd : OddValues()) {
    for (const std::string& body :
         {odd, absl::StrCat(R"({"kv_transfer_params":{},"usage":)", odd, "}"),
          absl::StrCat(
              R"({"kv_transfer_params":{},"usage":{"prompt_tokens_details":)",
              odd, "}}"),
          absl::StrCat(
              R"({"kv_transfer_params":{},"usage":{"prompt_tokens_details":)",
              R"({"cached_tokens":)", odd, "}}}")}) {
      INFO(body);
      EngineFinished finished;
      CHECK_NOTHROW(finished = Run(WorkKind::kPrefill, body));
      bool has_handle = body.find("kv_transfer") != std::string::npos;
      CHECK(finished.status ==
            (has_handle ? WorkStatus::kOk : WorkStatus::kEngineFailed));
      if (odd != "5") CHECK(finished.prefix_hit_tokens == 0);
    }
  }
}

TEST_CASE("odd event of a decode call does not end the process",
          "[engine][odd]") {
  for (const std::string& odd : OddValues()) {
    for (const std::string& event :
         {odd, absl::StrCat(R"({"choices":)", odd, "}"),
          absl::StrCat(R"({"choices":[)", odd, "]}"),
          absl::StrCat(R"({"choices":[{"text":)", odd, "}]}"),
          absl::StrCat(R"({"choices":[{"finish_reason":)", odd, "}]}")}) {
      INFO(event);
      EngineFinished finished;
      CHECK_NOTHROW(finished = Run(
                        WorkKind::kDecode,
                        absl::StrCat("data: ", event, "\n\ndata: [DONE]\n\n")));
      CHECK(finished.status == WorkStatus::kOk);
    }
  }
}

TEST_CASE("odd status of an engine does not end the process", "[engine][odd]") {
  for (const std::string& odd : OddValues()) {
    for (const std::string& body :
         {odd, absl::StrCat(R"({"data":)", odd, "}"),
          absl::StrCat(R"({"data":[)", odd, "]}"),
          absl::StrCat(R"({"data":[{"id":)", odd, R"(,"parent":"w"}]})"),
          absl::StrCat(R"({"data":[{"root":)", odd, R"(,"role":)", odd,
                       "}]}")}) {
      INFO(body);
      ScriptedPeer peer([&](const HttpHead&, const std::string&) {
        return ScriptedPeer::Reply(EncodeResponse({200, {}, body}, true));
      });
      CHECK_NOTHROW(ReadEngineStatus(VllmEngine{peer.endpoint().ToString()}));
    }
  }
}

TEST_CASE("deeply nested answer does not end the process", "[engine][odd]") {
  std::string handle = absl::StrCat(R"({"kv_transfer_params":)", Deep(), "}");
  CHECK(Run(WorkKind::kPrefill, handle).kv_params.size() < kLevels);
  StartWork start = Start(WorkKind::kDecode);
  start.kv_params = Deep();
  ScriptedPeer peer([](const HttpHead&, const std::string&) {
    return ScriptedPeer::Reply(
        EncodeResponse({200, {}, "data: [DONE]\n\n"}, true));
  });
  CallCanceller canceller;
  EngineFinished finished =
      RunOnEngine(VllmEngine{peer.endpoint().ToString()}, start, canceller,
                  [](const std::vector<std::string>&) {});
  CHECK(finished.status == WorkStatus::kOk);
}

}  // namespace
}  // namespace chervilwick
