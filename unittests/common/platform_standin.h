// Stand-ins of the users' platform: its store, model engines, plain services.

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

// Key-value store with revisions, watches, leases and conditional writes.
class PlatformStore {
 public:
  enum class Fault { kNone, kSilent, kBusy };

  explicit PlatformStore(EventLoop& loop);

  const Endpoint& endpoint() const { return endpoint_; }
  void Put(const std::string& key, const std::string& value);
  // Changes an item while watches hear nothing.
  void PutUnheard(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void SetFault(Fault fault) { fault_ = fault; }
  // Watches from before now are answered as no longer possible.
  void ForgetHistory();
  bool Has(const std::string& key) const { return items_.count(key) != 0; }
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
  struct Watch {
    ExchangeId id;
    uint64_t after = 0;
    std::unique_ptr<Timer> timer;
  };

  void OnRequest(ExchangeId id, const HttpRequest& request);
  void OnRange(ExchangeId id, const std::string& prefix);
  void OnWatch(ExchangeId id, uint64_t after, absl::Duration wait);
  void OnTransaction(ExchangeId id, const nlohmann::json& body);
  void AnswerWatch(Watch& watch);
  void WakeWatches();
  void Reply(ExchangeId id, int status, const nlohmann::json& body);
  nlohmann::json ItemJson(const std::string& key) const;

  EventLoop& loop_;
  Endpoint endpoint_;
  EventHttpServer server_;
  Fault fault_ = Fault::kNone;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  uint64_t forgotten_ = 0;
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  uint64_t calls_ = 0;
  std::list<Watch> watches_;
};

// One request that an engine has begun.
struct EngineRun {
  std::string request_id;
  std::string last_event_id;
  bool cancelled = false;
  bool finished = false;
};

// A model engine or, without a stage, a plain service. A decoding engine has
// room for a number of tokens; what doesn't fit is refused as not run.
class PlatformEngine {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string stage;  // "prefill", "decode" or empty
    std::string zone = "a";
    uint64_t memory_tokens = 38000;
    absl::Duration plain_time = absl::Milliseconds(5);
    absl::Duration event_time = absl::Milliseconds(10);
    double prompt_tokens_per_ms = 330;
    uint32_t events = 8;
  };
  // What happens to the next requests.
  enum class Fault {
    kNone,
    kRefuse,         // 503, not run
    kLoseAnswer,     // runs, then closes without an answer
    kBreakMidway,    // streams half of its events, then closes
    kFail,           // 500 of its own
    kNeverAnswer,    // accepts and stays silent
    kForeignAnswer,  // an answer to another request first
    kNoStamp,        // a success that proves nothing
  };

  // How a request that ends its engines does so.
  enum class CrashSign {
    kClosed,  // connections are reset, new ones refused
    kDark,    // nothing is heard any more
  };

  PlatformEngine(EventLoop& loop, Options options);

  std::string Entry(const std::string& state = "ready") const;
  std::string Key() const { return "servers/" + options_.id; }
  void SetFault(Fault fault, int count = 1000000);
  // From now on a request for that target ends the engine as it begins to run.
  // It is back `down` later as another start of the same id.
  void CrashAt(std::string target, CrashSign sign, absl::Duration down,
               std::function<void()> on_back);
  int crashes() const { return crashes_; }
  // Says in every answer that it is leaving.
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  // Added to refusals; empty for none.
  void SetRetryAfter(std::string value) { retry_after_ = std::move(value); }
  void SetEventTime(absl::Duration time) { options_.event_time = time; }
  const std::vector<EngineRun>& runs() const { return runs_; }
  int prefills() const { return prefills_; }
  int refusals() const { return refusals_; }
  uint64_t used_tokens() const { return used_tokens_; }
  std::vector<nlohmann::json> orders;

 private:
  struct Stream {
    size_t run = 0;
    uint32_t next = 0;
    uint64_t tokens = 0;
    bool breaks = false;
    HttpRequest request;
    std::unique_ptr<Timer> timer;
  };

  void OnRequest(ExchangeId id, HttpRequest request);
  void Prefill(ExchangeId id, const HttpRequest& request);
  void Decode(ExchangeId id, HttpRequest request, Fault fault);
  void Plain(ExchangeId id, const HttpRequest& request, Fault fault);
  void NextEvent(ExchangeId id);
  void EndStream(ExchangeId id);
  void Refuse(ExchangeId id, const HttpRequest& request, int status);
  void After(absl::Duration delay, std::function<void()> action);
  std::vector<HttpField> Fields(const HttpRequest& request, bool stamp) const;
  Fault TakeFault();
  void Crash();

  EventLoop& loop_;
  Options options_;
  std::string crash_target_;
  CrashSign crash_sign_ = CrashSign::kClosed;
  absl::Duration crash_down_;
  std::function<void()> on_back_;
  int crashes_ = 0;
  bool is_down_ = false;
  std::set<ExchangeId> open_;  // and those answered, until a crash
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
  int prefills_ = 0;
  int refusals_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_COMMON_PLATFORM_STANDIN_H_
