// Agent process: the threads and sockets that drive AgentCore.

#ifndef CHERVILWICK_AGENT_AGENT_DAEMON_H_
#define CHERVILWICK_AGENT_AGENT_DAEMON_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/time/time.h"
#include "chervilwick/agent/agent_core.h"
#include "chervilwick/engine/work_pool.h"
#include "chervilwick/kernel/duty.h"
#include "chervilwick/kernel/kernel.h"
#include "chervilwick/kernel/timer_service.h"
#include "chervilwick/net/http_service.h"
#include "chervilwick/settings/settings.h"
#include "chervilwick/store/host_list_client.h"
#include "chervilwick/support/bounded_ring.h"
#include "chervilwick/support/mutex.h"
#include "chervilwick/telemetry/span_recorder.h"
#include "chervilwick/wire/transport.h"

namespace chervilwick {

class AgentDaemon {
 public:
  explicit AgentDaemon(AgentSettings settings);
  ~AgentDaemon();

  // Binds all addresses and starts the threads. Returns an error message if an
  // address cannot be bound.
  std::optional<std::string> Start();
  // Initiates a graceful stop without blocking.
  void RequestStop();
  // Waits until all accepted work has ended, at most for the shutdown limit.
  // Returns whether it ended in time.
  bool WaitUntilDrained();
  void Stop();

 private:
  void Post(AgentEvent event);
  void CoreLoop();
  void Perform(AgentAction action);
  void StatusLoop();
  void OnHttpRequest(ExchangeId id, const HttpRequest& request);
  std::string NotReadyReason();
  std::string RenderAgentMetrics();

  const AgentSettings settings_;
  const Incarnation incarnation_;
  const Engine engine_;
  BoundedRing<AgentEvent> events_;
  BoundedRing<EngineOrder> orders_;
  Kernel kernel_;
  TimerService* timers_ = nullptr;
  Transport* transport_ = nullptr;
  WorkPool* work_ = nullptr;
  SpanRecorder* spans_ = nullptr;
  HttpService* http_ = nullptr;
  Mutex core_mutex_;
  AgentCore core_ ABSL_GUARDED_BY(core_mutex_);
  Mutex state_mutex_;
  CondVar state_changed_;
  bool drained_ ABSL_GUARDED_BY(state_mutex_) = false;
  std::atomic<bool> stopping_{false};
  Duty core_duty_;
  Duty status_duty_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_AGENT_AGENT_DAEMON_H_
