// A few entries and agents with fakes around them, in one thread under virtual
// time. For tests and measurements of the cores' decisions.

#ifndef CHERVILWICK_TESTBED_WORLD_H_
#define CHERVILWICK_TESTBED_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/agent/agent_core.h"
#include "chervilwick/entry/entry_core.h"
#include "chervilwick/kernel/event_queue.h"
#include "chervilwick/testbed/fake_engine.h"
#include "chervilwick/testbed/fake_store.h"

namespace chervilwick {

struct WorldAgentSpec {
  FakeEngineOptions engine;
  ZoneName zone;
};

struct WorldOptions {
  uint64_t seed = 1;
  std::vector<ZoneName> entry_zones;  // one entry each
  std::vector<WorldAgentSpec> agents;
  RoutingPolicy policy = PredictivePolicy{};
  absl::Duration local_delay = absl::Microseconds(300);
  absl::Duration zone_delay = absl::Milliseconds(1);
  absl::Duration store_delay = absl::Milliseconds(3);
  // Turns AgentOptions of an agent into others, for special cases.
  std::function<void(AgentOptions&)> adjust_agent;
};

// What one client saw of one request.
struct ClientRecord {
  uint64_t number = 0;
  size_t entry = 0;
  bool is_call = false;
  std::string prompt;  // or body
  std::string key;     // idempotency key of a call
  bool idempotent = true;
  uint32_t max_tokens = 0;
  absl::Time asked;
  absl::Time deadline;
  absl::Time first_token = absl::InfiniteFuture();
  absl::Time last_token;
  std::vector<std::string> tokens;
  std::vector<RequestOutcome> outcomes;
  absl::Time ended;
  bool gone = false;        // the client went away
  bool entry_died = false;  // its connection broke
};

// Faults of the key-value service.
struct StoreFaults {
  bool down = false;           // no call arrives
  bool loses_answers = false;  // writes take effect, no answer comes
  absl::Duration extra_delay;
};

class World {
 public:
  explicit World(WorldOptions options);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  absl::Time now() const { return events_.now(); }
  EventQueue& events() { return events_; }
  std::mt19937_64& random() { return random_; }
  void RunFor(absl::Duration duration);

  // ---- Clients ----
  // Sends a streaming request; returns its number.
  uint64_t AskStream(size_t entry, ClientStream ask);
  uint64_t AskCall(size_t entry, ClientCall ask, bool idempotent);
  void GoAway(uint64_t number);
  const std::map<uint64_t, ClientRecord>& clients() const { return clients_; }
  // Forgets requests that ended before `time`, to bound memory.
  void ForgetEndedBefore(absl::Time time);
  // Called when a request ends.
  std::function<void(const ClientRecord&)> on_end;

  // ---- Operators ----
  uint64_t Submit(size_t entry, VersionRequest request);
  const std::vector<VersionResult>& verdicts() const { return verdicts_; }

  // ---- Faults ----
  void CrashEntry(size_t index);
  void RestartEntry(size_t index);
  void CrashAgent(size_t index);
  void RestartAgent(size_t index);
  void StopAgent(size_t index);  // graceful
  void StopEntry(size_t index);  // graceful
  void PauseEntry(size_t index, absl::Duration duration);
  void PauseAgent(size_t index, absl::Duration duration);
  // Drops everything on the present connection between two processes.
  void SilenceLink(size_t entry, size_t agent);
  // Drops everything between two processes until the time.
  void CutLink(size_t entry, size_t agent, absl::Time until);
  void CutEntries(size_t a, size_t b, absl::Time until);
  void SetLoss(double loss, double duplication, bool reorders);
  StoreFaults& store_faults() { return store_faults_; }
  void HealAll();

  // ---- Looking in ----
  size_t entry_count() const { return entries_.size(); }
  size_t agent_count() const { return agents_.size(); }
  EntryCore* entry(size_t index) { return entries_[index].core.get(); }
  AgentCore* agent(size_t index) { return agents_[index].core.get(); }
  FakeEngine& engine(size_t index) { return *agents_[index].engine; }
  bool AgentDrainedSeen(size_t index) const { return agents_[index].drained; }
  bool EntryDrainedSeen(size_t index) const { return entries_[index].drained; }
  bool IsEntryPaused(size_t index) const;
  bool IsAgentPaused(size_t index) const;
  const FakeStore& store() const { return store_; }
  uint64_t messages() const { return messages_; }
  uint64_t message_bytes() const { return message_bytes_; }
  void CountBytes(bool on) { counts_bytes_ = on; }
  // When an agent last began work that was new to it.
  absl::Time LastNewWork(size_t agent) const;

 private:
  struct Node {
    NodeName name;
    ZoneName zone;
    uint64_t generation = 0;  // of the process
    absl::Time paused_until = absl::InfinitePast();
    // What arrived during the pause, in order.
    std::vector<EventQueue::Callback> held;
    bool drained = false;
  };
  struct EntryNode : Node {
    std::unique_ptr<EntryCore> core;
    std::vector<std::string> peers;
  };
  struct AgentNode : Node {
    std::unique_ptr<AgentCore> core;
    std::unique_ptr<FakeEngine> engine;
    EngineStatus reported;
    bool status_known = false;
  };
  // One direction between two processes.
  struct Link {
    absl::Time cut_until = absl::InfinitePast();
    bool silent = false;  // until the connection is replaced
    absl::Time last_delivery = absl::InfinitePast();
    absl::Time last_heard = absl::InfinitePast();
    bool connected = false;
  };

  void StartEntry(size_t index);
  void StartAgent(size_t index);
  void TickEntry(size_t index, uint64_t generation);
  void TickAgent(size_t index, uint64_t generation);
  void PublishHosts();
  void Reconnect();
  void Connect(const NodeName& from, const NodeName& to);
  void Disconnect(const NodeName& name);
  void HandleEntry(size_t index, uint64_t generation, const EntryEvent& event);
  void HandleAgent(size_t index, uint64_t generation, const AgentEvent& event);
  void PerformEntry(size_t index, EntryAction action);
  void PerformAgent(size_t index, AgentAction action);
  void Send(const Node& from, Incarnation incarnation, VersionNumber version,
            const NodeName& to, Message message);
  void Deliver(const NodeName& to, Envelope envelope);
  // Keeps what arrives while the process is stopped, as the kernel does.
  void HoldUntilResumed(Node& node, EventQueue::Callback callback);
  void Resume(Node& node);
  Hello HelloOf(const NodeName& name);
  void CallStoreFor(size_t index, const CallStore& action);
  ClientRecord& AddClient(size_t entry, const std::string& prompt);
  void FinishClient(FinishRequest action);
  Node* FindNode(const NodeName& name);
  bool IsUp(const NodeName& name);
  absl::Duration Delay(const ZoneName& a, const ZoneName& b);
  Link& LinkOf(const NodeName& from, const NodeName& to);
  double Draw();

  const WorldOptions options_;
  EventQueue events_;
  std::mt19937_64 random_;
  FakeStore store_;
  StoreFaults store_faults_;
  std::vector<EntryNode> entries_;
  std::vector<AgentNode> agents_;
  std::map<NodeName, std::pair<bool, size_t>> names_;  // is entry, index
  std::map<std::pair<NodeName, NodeName>, Link> links_;
  std::map<uint64_t, ClientRecord> clients_;
  std::vector<VersionResult> verdicts_;
  std::map<uint64_t, absl::Time> new_work_;
  double loss_ = 0;
  double duplication_ = 0;
  bool reorders_ = false;
  uint64_t next_client_ = 1;
  uint64_t next_incarnation_ = 1;
  uint64_t next_request_ = 1000000;
  uint64_t messages_ = 0;
  uint64_t message_bytes_ = 0;
  bool counts_bytes_ = false;
};

// A setup with one model and, if it has plain agents, a service at /booking
// (not idempotent) and /check (idempotent).
std::string MakeSetup(const std::vector<WorldAgentSpec>& agents,
                      const std::string& priority = "normal");

}  // namespace chervilwick

#endif  // CHERVILWICK_TESTBED_WORLD_H_
