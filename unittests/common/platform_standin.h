// In-process fakes of the platform: key-value store, model engines and plain
// services.

#ifndef CHERVILWICK_UNITTESTS_COMMON_PLATFORM_STANDIN_H_
#define CHERVILWICK_UNITTESTS_COMMON_PLATFORM_STANDIN_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/net/event_loop.h"
#include "chervilwick/net/http_server.h"

namespace chervilwick {

// Fake key-value store with revisions, watches, leases and conditional writes.
class PlatformStore {
 public:
  enum class Fault { kNone, kSilent, kBusy };

  explicit PlatformStore(EventLoop& loop);

  const Endpoint& endpoint() const { return endpoint_; }
  void Put(const std::string& key, const std::string& value);
  // Changes an item without notifying open watches.
  void PutWithoutNotify(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void SetFault(Fault fault) { fault_ = fault; }
  // Open watches get no answer.
  void DropWatches() { watches_.clear(); }
  // From now on, renewals of leases get no answer until AnswerRenewals.
  void HoldRenewals() { holds_renewals_ = true; }
  void AnswerRenewals(int status);
  size_t held_renewals() const { return held_renewals_.size(); }
  void KeepCopy();
  // Returns from the kept copy: later changes and leases are lost, revisions
  // are given out again, and the era rises.
  void ReturnFromCopy();
  uint64_t revision() const { return state_.revision; }
  // Discards the history. Open watches and watches that start at an older
  // revision get status 410.
  void CompactHistory();
  bool Has(const std::string& key) const {
    return state_.items.count(key) != 0;
  }
  uint64_t calls() const { return calls_; }

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    uint64_t revision = 0;
    bool removed = false;
  };
  // What a copy of the store holds.
  struct State {
    std::map<std::string, Item> items;
    std::vector<Change> history;
    uint64_t compacted_revision = 0;
    uint64_t revision = 1;
    std::set<uint64_t> leases;
  };
  struct Watch {
    ExchangeId id;
    uint64_t after = 0;
    std::unique_ptr<Timer> timer;
  };

  void OnRequest(ExchangeId id, const HttpRequest& request);
  void HandleRange(ExchangeId id, const std::string& prefix);
  void HandleKey(ExchangeId id, const std::string& key);
  void HandleWatch(ExchangeId id, uint64_t after, absl::Duration wait);
  void HandleTransaction(ExchangeId id, const nlohmann::json& body);
  void AnswerWatch(Watch& watch);
  void NotifyWatches();
  void Reply(ExchangeId id, int status, const nlohmann::json& body);
  nlohmann::json ItemJson(const std::string& key) const;

  EventLoop& loop_;
  Endpoint endpoint_;
  EventHttpServer server_;
  Fault fault_ = Fault::kNone;
  State state_;
  State copy_;
  uint64_t era_ = 1;
  uint64_t next_lease_ = 1;
  uint64_t calls_ = 0;
  std::list<Watch> watches_;
  bool holds_renewals_ = false;
  std::vector<ExchangeId> held_renewals_;
};

// A request that an engine has started to run.
struct EngineRun {
  std::string request_id;
  std::string last_event_id;
  bool cancelled = false;
  bool finished = false;
  std::string version;  // of the engine's software
};

// Fake of a model engine or, without a stage, of a plain service. A decode
// engine has a limited KV memory and refuses requests that do not fit as not
// run. The query of a request may set its own `events` (of a stream) or `ms`
// (of a plain call).
class PlatformEngine {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string stage;  // "prefill", "decode" or empty
    std::string zone = "a";
    std::string version = "v1";
    uint64_t memory_tokens = 38000;
    absl::Duration plain_time = absl::Milliseconds(5);
    absl::Duration event_time = absl::Milliseconds(10);
    double prompt_tokens_per_ms = 330;
    uint32_t events = 8;
  };
  // Fault injected into the next requests.
  enum class Fault {
    kNone,
    kRefuse,              // responds 503, not run
    kLoseResponse,        // runs, then closes without a response
    kAbortStream,         // streams half of the events, then closes
    kFail,                // responds 500 (plain services only)
    kNeverRespond,        // accepts the request and sends nothing
    kMismatchedResponse,  // sends an answer to another request first
    kNoStamp,             // responds 200 without a stamp (plain services only)
  };

  // What happens to calls that reserve a place.
  enum class ReservationFault { kNone, kRefuse, kNeverRespond, kAbort };

  // What clients observe when a request crashes the engine.
  enum class CrashMode {
    kClosed,        // connections are reset, new ones refused
    kUnresponsive,  // connections stay open, new requests get no response
  };

  PlatformEngine(EventLoop& loop, Options options);

  std::string Entry(const std::string& state = "ready") const;
  std::string Key() const { return "servers/" + options_.id; }
  void SetFault(Fault fault, int count = 1000000);
  void SetReservationFault(ReservationFault fault) {
    reservation_fault_ = fault;
  }
  void SetMemory(uint64_t tokens) { options_.memory_tokens = tokens; }
  // From now on, such a request crashes the engine when it starts to run. The
  // engine restarts under the same id after `down`.
  using Condition = std::function<bool(const HttpRequest&)>;
  void CrashOn(Condition condition, CrashMode sign, absl::Duration down,
               std::function<void()> on_back);
  // From now on, a request for `target` crashes the engine when it starts to
  // run. The engine restarts under the same id after `down`.
  void CrashOnTarget(std::string target, CrashMode sign, absl::Duration down,
                     std::function<void()> on_back);
  int crashes() const { return crashes_; }
  // Crashes now and restarts under the same id after `down`. The entry in the
  // store stays as it is.
  void Restart(
      absl::Duration down, std::function<void()> on_back = [] {});
  // Version of the software from now on.
  void SetVersion(std::string version) {
    options_.version = std::move(version);
  }
  // The data of each event begins with the version from now on.
  void MarkEvents() { marks_events_ = true; }
  // From now on, questions for the engine's state get no answer, or one again.
  void SetAnswersReports(bool answers) { answers_reports_ = answers; }
  int reports() const { return reports_; }
  // Announces in every response that the engine is shutting down.
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  // Retry-After value of refusals; empty for none.
  void SetRetryAfter(std::string value) { retry_after_ = std::move(value); }
  void SetEventTime(absl::Duration time) { options_.event_time = time; }
  void SetPlainTime(absl::Duration time) { options_.plain_time = time; }
  void SetPromptRate(double tokens_per_ms) {
    options_.prompt_tokens_per_ms = tokens_per_ms;
  }
  const std::vector<EngineRun>& runs() const { return runs_; }
  int prefills() const { return prefills_; }
  int refusals() const { return refusals_; }
  int extra_answers() const { return extra_answers_; }
  uint64_t used_tokens() const { return used_tokens_; }
  int reservations() const { return reservations_; }
  int dropped_reservations() const { return dropped_reservations_; }
  size_t open_reservations() const { return reserved_tokens_.size(); }
  std::vector<nlohmann::json> orders;

 private:
  struct Stream {
    size_t run = 0;
    uint32_t next = 0;
    uint32_t events = 0;
    uint64_t tokens = 0;
    bool aborts = false;
    HttpRequest request;
    std::unique_ptr<Timer> timer;
  };

  void OnRequest(ExchangeId id, HttpRequest request);
  int64_t Born() const { return 1700000000000 + crashes_; }
  void Report(ExchangeId id);
  void ReservePlace(ExchangeId id, const HttpRequest& request);
  uint64_t TakenTokens() const;
  void RunPrefill(ExchangeId id, const HttpRequest& request);
  void StartDecode(ExchangeId id, HttpRequest request, Fault fault);
  void RunPlain(ExchangeId id, const HttpRequest& request, Fault fault);
  void SendNextEvent(ExchangeId id);
  void EndStream(ExchangeId id);
  void Refuse(ExchangeId id, const HttpRequest& request, int status);
  void RunAfter(absl::Duration delay, std::function<void()> action);
  std::vector<HttpField> ResponseFields(const HttpRequest& request, bool stamp,
                                        int status = 200);
  // Last field of an answer to another request, with its body and the status
  // line of the proper answer, whose fields follow.
  HttpField ExtraAnswer(int status);
  Fault ConsumeFault();
  void Crash();

  EventLoop& loop_;
  Options options_;
  Condition crash_condition_;
  CrashMode crash_mode_ = CrashMode::kClosed;
  absl::Duration crash_down_;
  std::function<void()> on_back_;
  int crashes_ = 0;
  bool is_down_ = false;
  std::set<ExchangeId> open_;  // since the last crash, completed ones included
  Endpoint endpoint_;
  EventHttpServer server_;
  Fault fault_ = Fault::kNone;
  int fault_count_ = 0;
  bool leaving_ = false;
  std::string retry_after_;
  std::vector<EngineRun> runs_;
  std::map<ExchangeId, Stream> streams_;
  std::list<std::unique_ptr<Timer>> timers_;
  uint64_t used_tokens_ = 0;
  std::map<std::string, uint64_t> reserved_tokens_;
  ReservationFault reservation_fault_ = ReservationFault::kNone;
  int reservations_ = 0;
  int dropped_reservations_ = 0;
  bool marks_events_ = false;
  bool answers_reports_ = true;
  int reports_ = 0;
  int prefills_ = 0;
  int refusals_ = 0;
  int extra_answers_ = 0;
  bool sends_extra_ = false;  // before the answer to the current request
};

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_COMMON_PLATFORM_STANDIN_H_
