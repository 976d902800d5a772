// Engines and stores whose responses never end, and stalled streams.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "deployment.h"
#include "endless_peer.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

using Fault = PlatformEngine::Fault;

constexpr size_t kMaxGrowth = size_t{48} << 20;
constexpr char kStamp[] = "X-Response-Stamp: e\r\n";

std::string EntryAt(const Endpoint& address, const std::string& service,
                    const std::string& stage) {
  nlohmann::json entry = {{"service", service}, {"addr", address.ToString()},
                          {"zone", "a"},        {"version", "v1"},
                          {"slots", 16},        {"state", "ready"},
                          {"cold_left_ms", 0},  {"seq", 1},
                          {"born", 1}};
  if (!stage.empty()) entry["stage"] = stage;
  return entry.dump();
}

// Replaces all servers of a service or stage by one whose responses never end.
void CheckEndlessAnswers(const std::string& path, const std::string& service,
                         const std::string& stage,
                         const std::vector<std::string>& replaced) {
  for (const EndlessAnswer& answer : EndlessAnswers("id1", kStamp)) {
    INFO(path << " " << stage << ", " << answer.name);
    EndlessPeer peer(answer);
    TestDeployment it;
    for (const std::string& id : replaced) it.store.Remove("servers/" + id);
    it.store.Put("servers/e1", EntryAt(peer.endpoint(), service, stage));
    it.Start();
    size_t before = HeldBytes();
    Answer seen = it.Get("POST", path);
    CHECK((seen.is_complete || seen.is_broken));
    bool may_have_run = stage != "prefill";
    // A request that an engine may have run is never answered 503, and a part
    // of such a response never appears complete.
    if (may_have_run) CHECK(seen.status != 503);
    CHECK_FALSE((seen.status == 200 && seen.is_complete && may_have_run));
    CHECK(HeldBytes() < before + kMaxGrowth);
    CHECK(peer.bytes_taken() < EndlessPeer::kMaxBytes / 4);
  }
}

TEST_CASE("non-streaming answer that never ends is rejected in bounded memory",
          "[front][endless]") {
  CheckEndlessAnswers("/book/x", "desk", "", {"s1", "s2"});
}

TEST_CASE("stream whose event never ends is aborted in bounded memory",
          "[front][endless]") {
  CheckEndlessAnswers("/note/x", "llm", "decode", {"d1", "d2"});
}

TEST_CASE("prefill answer that never ends is rejected in bounded memory",
          "[front][endless]") {
  CheckEndlessAnswers("/note/x", "llm", "prefill", {"p1"});
}

TEST_CASE("store whose answer never ends counts as unreachable",
          "[front][endless]") {
  for (const EndlessAnswer& answer : EndlessAnswers("-")) {
    INFO(answer.name);
    EndlessPeer peer(answer);
    TestDeployment it;
    it.settings.store = peer.endpoint().ToString();
    size_t before = HeldBytes();
    it.Start();
    it.loop.RunFor(absl::Milliseconds(400));
    CHECK(it.Get("GET", "/check/x").status == 503);
    CHECK(HeldBytes() < before + kMaxGrowth);
  }
}

// Engine that begins a stream and then sends `chunk` every 100 ms until the
// client disconnects.
class TricklingEngine {
 public:
  TricklingEngine(EventLoop& loop, std::string chunk)
      : chunk_(std::move(chunk)),
        server_(loop,
                {[this](ExchangeId id, const Endpoint&,
                        const HttpRequest& request) { Begin(id, request); },
                 [this](ExchangeId) { disconnected_ = true; }}),
        timer_(loop, [this] {
          server_.SendStream(id_, chunk_);
          if (!disconnected_) timer_.Arm(absl::Milliseconds(100));
        }) {
    address_ = FreeEndpoint();
    server_.Listen(address_);
  }

  const Endpoint& address() const { return address_; }
  bool disconnected() const { return disconnected_; }

 private:
  void Begin(ExchangeId id, const HttpRequest& request) {
    id_ = id;
    server_.BeginStream(id, 200,
                        {{"X-Request-Id", request.head.Get("X-Request-Id")},
                         {"X-Response-Stamp", "e"},
                         {"Content-Type", "text/event-stream"}});
    server_.SendStream(id, StreamEvents(1, 2));
    timer_.Arm(absl::Milliseconds(100));
  }

  std::string chunk_;
  Endpoint address_;
  EventHttpServer server_;
  Timer timer_;
  ExchangeId id_;
  bool disconnected_ = false;
};

TEST_CASE("stalled stream is aborted although bytes keep arriving", "[front]") {
  for (const char* chunk : {"x", ": still here\n\n", "id: 2\ndata: e2\n\n"}) {
    INFO(chunk);
    TestDeployment it;
    it.settings.stall_patience = 1;
    nlohmann::json config = DeploymentConfig(1);
    for (auto& route : config["routes"]) route["timeout_ms"] = 20000;
    it.store.Put("op/config", config.dump());
    TricklingEngine engine(it.loop, chunk);
    for (const char* id : {"d1", "d2"}) {
      it.store.Remove(absl::StrCat("servers/", id));
    }
    it.store.Put("servers/e1", EntryAt(engine.address(), "llm", "decode"));
    it.Start();
    absl::Time start = it.loop.Now();
    auto answer = it.SendRequest("POST", "/note/x", "", /*deadline_ms=*/20000);
    while (!answer->is_broken && it.loop.Now() - start < absl::Seconds(4)) {
      it.loop.RunFor(absl::Milliseconds(5));
    }
    CHECK(answer->is_broken);
    CHECK_FALSE(answer->is_complete);
    // Clients of the platform wait for an event for at least two seconds.
    CHECK(it.loop.Now() - start >= absl::Seconds(2));
    CHECK(it.loop.Now() - start < absl::Seconds(3));
    it.loop.RunFor(absl::Milliseconds(50));
    CHECK(engine.disconnected());
    CHECK(it.Story("id1").reason == "engine_stalled");
  }
}

TEST_CASE("slow stream that makes progress is not aborted", "[front]") {
  TestDeployment it;
  it.settings.stall_patience = 1;
  nlohmann::json config = DeploymentConfig(1);
  for (auto& route : config["routes"]) route["timeout_ms"] = 20000;
  it.store.Put("op/config", config.dump());
  for (const char* id : {"d1", "d2"}) {
    it.engines.at(id)->SetEventTime(absl::Milliseconds(1200));
  }
  it.Start();
  auto answer = it.SendRequest("POST", "/note/x", "", /*deadline_ms=*/20000);
  it.loop.RunFor(absl::Milliseconds(11000));
  CHECK(answer->is_complete);
  CHECK(answer->body == StreamEvents(1, 8));
}

}  // namespace
}  // namespace chervilwick
