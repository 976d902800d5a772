// State shared by the components of a front.

#ifndef CHERVILWICK_FRONT_FRONT_CONTEXT_H_
#define CHERVILWICK_FRONT_FRONT_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chervilwick/dispatch/account_limiter.h"
#include "chervilwick/dispatch/answer_memory.h"
#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/client_deadlines.h"
#include "chervilwick/dispatch/crash_suspects.h"
#include "chervilwick/dispatch/retry_quota.h"
#include "chervilwick/dispatch/shutdown_plan.h"
#include "chervilwick/dispatch/stream_scheduler.h"
#include "chervilwick/front/front_stats.h"
#include "chervilwick/front/outside_protocol.h"
#include "chervilwick/net/event_loop.h"
#include "chervilwick/net/http_client.h"
#include "chervilwick/net/http_server.h"
#include "chervilwick/settings/settings.h"
#include "chervilwick/telemetry/decision_log.h"

namespace chervilwick {

// Fingerprint in the form used in the log.
std::string FingerprintText(Fingerprint fingerprint);
std::string FingerprintText(const std::vector<Fingerprint>& fingerprints);

// Owned by the daemon. Outlives every relay.
struct FrontContext {
  FrontContext(EventLoop& event_loop, const ExternalProtocol& outside,
               const FrontSettings& front_settings, int log_descriptor);

  // Updates the state of a backend server from the status that it reports in an
  // answer. Ignores answers of a server other than the addressed one.
  void RecordAnswer(const BackendName& backend, const ResponseMetadata& facts);

  EventLoop& loop;
  const ExternalProtocol& protocol;
  FrontSettings settings;
  DecisionLog log;
  FrontStats stats;
  HttpClient client;
  BackendTable backends;
  StreamScheduler scheduler;
  RetryQuota quota;
  AccountLimiter accounts;
  CrashSuspects suspects;
  RouteDurations durations;
  ClientDeadlines deadlines;
  AnswerMemory answers;
  // Clock that includes the time for which the host is suspended, because
  // leases expire meanwhile.
  std::function<absl::Time()> boot_time;
  // Time since the last answer of the store: the age of the list of backend
  // servers and of the configuration.
  std::function<absl::Duration()> store_age;
  // Set by the daemon once it listens.
  EventHttpServer* server = nullptr;
  // Records where a stream that clients may take up has begun.
  std::function<void(const StreamOrigin&)> record_origin;
  // Asks a backend server when it started; 0 if it answers without that,
  // nullopt if it does not answer. `done` is called later.
  std::function<void(
      const BackendName& backend,
      std::function<void(std::optional<int64_t> born_unix_ms)> done)>
      ask_start;
  // Asks an engine whether it can be reached and has restarted, and records it.
  std::function<void(const BackendName& engine)> check_engine;
  // Requests a scheduling round without delay.
  std::function<void()> wake_scheduler;
  // Route of that name in the configuration in force; null if there is none.
  std::function<const Route*(const std::string&)> current_route;
  // RouteTable::Authorize of the configuration in force.
  std::function<Authorization(const Credentials&, bool is_public)> authorize;
  // Traits of a service's engines in the configuration in force; null if
  // unknown.
  std::function<const EngineTraits*(const ServiceName&)> engine_traits;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_FRONT_CONTEXT_H_
