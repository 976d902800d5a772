// Randomized fault-injection runs of two fronts, a store and engines over
// loopback. Checks the responses that clients get and the requests that servers
// ran against the guarantees of the front.

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "deployment.h"

namespace chervilwick {
namespace {

using Fault = PlatformEngine::Fault;

constexpr absl::Duration kRunDuration = absl::Seconds(4);
constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kFaultInterval = absl::Milliseconds(250);
// Longest route timeout plus a margin for the last bytes.
constexpr absl::Duration kDrainTime = absl::Seconds(5);
constexpr int kStreamEvents = 8;

struct SentRequest {
  std::string id;
  std::string path;
  std::shared_ptr<Answer> answer;
};

class FaultRun {
 public:
  explicit FaultRun(uint32_t seed) : random_(seed) {
    setup_.Add("p2", "llm", "prefill");
    setup_.Add("d3", "llm", "decode");
    setup_.Add("s3", "desk", "");
    setup_.Start();
    peer_settings_ = setup_.PeerSettings("front-2");
    peer_log_ = std::tmpfile();
    peer_ = std::make_unique<FrontDaemon>(setup_.loop, peer_settings_, "",
                                          setup_.protocol, fileno(peer_log_));
    REQUIRE_FALSE(peer_->Start().has_value());
    setup_.loop.RunFor(absl::Milliseconds(150));
  }
  ~FaultRun() { std::fclose(peer_log_); }

  void Run(bool with_faults) {
    absl::Time end = setup_.loop.Now() + kRunDuration;
    absl::Time next_fault = setup_.loop.Now() + kFaultInterval;
    while (setup_.loop.Now() < end) {
      SendRandomRequest();
      if (with_faults && setup_.loop.Now() >= next_fault) {
        next_fault += kFaultInterval;
        InjectFault();
      }
      setup_.loop.RunFor(kStep);
    }
    ClearFaults();
    setup_.loop.RunFor(kDrainTime);
  }

  // Every request has ended, with a result that is consistent with its runs.
  void CheckGuarantees() const {
    std::map<std::string, int> runs;
    for (const auto& it : setup_.engines) {
      for (const EngineRun& run : it.second->runs()) ++runs[run.request_id];
    }
    for (const SentRequest& it : sent_) {
      const Answer& answer = *it.answer;
      INFO(it.id << " " << it.path << " " << answer.status);
      CHECK((answer.is_complete || answer.is_broken));
      auto ran = runs.find(it.id);
      int count = ran == runs.end() ? 0 : ran->second;
      bool runs_once = it.path == "/book/" || it.path == "/note/";
      if (runs_once) CHECK(count <= 1);
      if (runs_once && answer.status == 503) CHECK(count == 0);
      // Valid requests never get a client error.
      CHECK_FALSE((answer.status >= 400 && answer.status < 500));
      if (answer.status != 200) continue;
      bool is_stream = it.path == "/note/" || it.path == "/report/";
      if (is_stream) {
        CheckStream(answer);
      } else if (answer.is_complete) {
        CHECK(absl::StartsWith(answer.body, "answer of s"));
      }
    }
  }

  void CheckNoMemoryHeld() const {
    for (const auto& it : setup_.engines) {
      INFO(it.first);
      CHECK(it.second->used_tokens() == 0);
    }
  }

  size_t sent() const { return sent_.size(); }
  size_t faults_injected() const { return faults_injected_; }
  size_t Succeeded() const {
    size_t n = 0;
    for (const SentRequest& it : sent_) {
      n += it.answer->is_complete && it.answer->status == 200 ? 1 : 0;
    }
    return n;
  }

 private:
  uint32_t Draw(uint32_t n) { return static_cast<uint32_t>(random_() % n); }

  void SendRandomRequest() {
    struct Kind {
      const char* method;
      const char* path;
    };
    constexpr Kind kinds[] = {{"POST", "/book/"},
                              {"GET", "/check/"},
                              {"POST", "/note/"},
                              {"POST", "/report/"}};
    const Kind& kind = kinds[Draw(4)];
    const std::string& front =
        Draw(2) == 0 ? setup_.settings.clients : peer_settings_.clients;
    auto answer =
        setup_.SendRequest(kind.method, absl::StrCat(kind.path, "x"), front);
    sent_.push_back({absl::StrCat("id", setup_.last_id), kind.path, answer});
  }

  void InjectFault() {
    ++faults_injected_;
    static const auto& names = *new std::vector<std::string>{
        "p1", "p2", "d1", "d2", "d3", "s1", "s2", "s3"};
    constexpr Fault faults[] = {Fault::kRefuse,
                                Fault::kLoseResponse,
                                Fault::kAbortStream,
                                Fault::kFail,
                                Fault::kNeverRespond,
                                Fault::kNoStamp,
                                Fault::kMismatchedResponse};
    const std::string& name = names[Draw(8)];
    switch (Draw(6)) {
      case 0:
        setup_.store.SetFault(PlatformStore::Fault::kSilent);
        return;
      case 1:
        setup_.store.SetFault(PlatformStore::Fault::kNone);
        return;
      case 2:
        setup_.store.CompactHistory();
        setup_.store.Put("op/config", DeploymentConfig(++version_).dump());
        return;
      case 3: {
        const PlatformEngine& engine = *setup_.engines.at(name);
        setup_.store.Put(engine.Key(),
                         engine.Entry(Draw(2) == 0 ? "draining" : "ready"));
        return;
      }
      default:
        setup_.SetFaults({name}, faults[Draw(7)],
                         1 + static_cast<int>(Draw(4)));
    }
  }

  void ClearFaults() {
    setup_.store.SetFault(PlatformStore::Fault::kNone);
    for (const auto& it : setup_.engines) it.second->SetFault(Fault::kNone);
  }

  // A truncated stream is a prefix of the expected one and ends between events.
  static void CheckStream(const Answer& answer) {
    if (answer.is_complete) {
      CHECK(answer.body == StreamEvents(1, kStreamEvents));
      return;
    }
    bool is_part = false;
    for (int last = 0; last <= kStreamEvents; ++last) {
      is_part = is_part || answer.body == StreamEvents(1, last);
    }
    CHECK(is_part);
  }

  std::mt19937 random_;
  TestDeployment setup_;
  FrontSettings peer_settings_;
  std::FILE* peer_log_ = nullptr;
  std::unique_ptr<FrontDaemon> peer_;
  std::vector<SentRequest> sent_;
  uint64_t version_ = 1;
  size_t faults_injected_ = 0;
};

TEST_CASE("all requests succeed without faults", "[front][day]") {
  FaultRun run(1);
  run.Run(/*with_faults=*/false);
  run.CheckGuarantees();
  run.CheckNoMemoryHeld();
  CHECK(run.sent() > 50);
  CHECK(run.Succeeded() == run.sent());
}

// Runs DAY_SEEDS seeds (default 3) from DAY_SEED on; both are environment
// variables.
TEST_CASE("all guarantees hold under random faults", "[front][day]") {
  auto env_or = [](const char* name, int fallback) {
    const char* text = std::getenv(name);
    int value = fallback;
    return text != nullptr && absl::SimpleAtoi(text, &value) ? value : fallback;
  };
  int first = env_or("DAY_SEED", 11);
  int seeds = env_or("DAY_SEEDS", 3);
  for (int seed = first; seed < first + seeds; ++seed) {
    INFO("seed " << seed);
    FaultRun run(static_cast<uint32_t>(seed));
    run.Run(/*with_faults=*/true);
    run.CheckGuarantees();
    run.CheckNoMemoryHeld();
    CHECK(run.faults_injected() > 10);
    // More than half of the requests succeed nevertheless.
    CHECK(2 * run.Succeeded() > run.sent());
  }
}

}  // namespace
}  // namespace chervilwick
