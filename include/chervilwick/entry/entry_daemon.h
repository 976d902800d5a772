// Entry process: the threads and sockets around EntryCore.

#ifndef CHERVILWICK_ENTRY_ENTRY_DAEMON_H_
#define CHERVILWICK_ENTRY_ENTRY_DAEMON_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/time/time.h"
#include "chervilwick/entry/entry_core.h"
#include "chervilwick/entry/http_front.h"
#include "chervilwick/kernel/duty.h"
#include "chervilwick/kernel/kernel.h"
#include "chervilwick/kernel/timer_service.h"
#include "chervilwick/settings/settings.h"
#include "chervilwick/store/host_list_client.h"
#include "chervilwick/store/kv_client.h"
#include "chervilwick/support/bounded_ring.h"
#include "chervilwick/support/mutex.h"
#include "chervilwick/telemetry/metrics.h"
#include "chervilwick/telemetry/span_recorder.h"
#include "chervilwick/wire/transport.h"

namespace chervilwick {

class EntryDaemon {
 public:
  explicit EntryDaemon(EntrySettings settings);
  ~EntryDaemon();

  // Binds all addresses and starts the threads. Returns an error message if an
  // address can't be bound.
  std::optional<std::string> Start();
  // Starts a graceful shutdown without waiting for it.
  void RequestStop();
  // Waits until all requests have ended. Those that are open shortly before the
  // shutdown limit are answered as unknown. Returns whether there were none.
  bool WaitUntilDrained();
  void Stop();

  // ---- For the HTTP front ----

  // Enqueues an event for the core. Returns false if its queue is full.
  bool Post(EntryEvent event);

  // A known entry or agent.
  struct PeerStatus {
    std::string name;
    PeerView view;
    std::string liveness;  // of an agent's backend server
    std::string backend;
  };
  struct Status {
    std::string name;
    uint64_t version = 0;
    std::string not_ready_reason;
    bool store_reachable = false;
    bool store_reader = false;
    EntryStats stats;
    size_t active_streams = 0;
    size_t waiting_streams = 0;
    size_t active_calls = 0;
    std::vector<PeerStatus> peers;
    std::map<PoolName, PoolHealth> health;
    std::vector<VersionRecord> history;
  };
  Status ReadStatus();
  // Returns the content of the current configuration and sets `version` to its
  // number.
  std::string ReadConfigContent(uint64_t& version);
  std::string RenderEntryMetrics(uint64_t slow_clients);
  const SpanRecorder& spans() const { return *spans_; }
  void RecordSpan(const SpanEnded& span) { spans_->Record(span); }
  const EntrySettings& settings() const { return settings_; }

 private:
  void CoreLoop();
  // Has the HTTP front close once its requests have been answered.
  void CloseHttp();
  bool WaitUntilClosed(absl::Duration limit);
  void Perform(EntryAction action);

  const EntrySettings settings_;
  const Incarnation incarnation_;
  BoundedRing<EntryEvent> events_;
  Kernel kernel_;
  TimerService* timers_ = nullptr;
  Transport* transport_ = nullptr;
  KvClient* version_kv_ = nullptr;
  KvClient* claim_kv_ = nullptr;
  HostListClient* hosts_ = nullptr;
  SpanRecorder* spans_ = nullptr;
  HttpFront* http_ = nullptr;
  Mutex core_mutex_;
  EntryCore core_ ABSL_GUARDED_BY(core_mutex_);
  Mutex state_mutex_;
  CondVar state_changed_;
  bool http_closed_ ABSL_GUARDED_BY(state_mutex_) = false;
  std::atomic<uint64_t> core_version_{0};
  std::atomic<bool> stopping_{false};
  Duty core_thread_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_ENTRY_DAEMON_H_
