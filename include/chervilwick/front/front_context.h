// What the parts of a front share.

#ifndef CHERVILWICK_FRONT_FRONT_CONTEXT_H_
#define CHERVILWICK_FRONT_FRONT_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/crash_suspects.h"
#include "chervilwick/dispatch/retry_quota.h"
#include "chervilwick/dispatch/stream_scheduler.h"
#include "chervilwick/front/front_stats.h"
#include "chervilwick/front/outside_protocol.h"
#include "chervilwick/net/event_loop.h"
#include "chervilwick/net/http_client.h"
#include "chervilwick/net/http_server.h"
#include "chervilwick/settings/settings.h"
#include "chervilwick/telemetry/decision_log.h"

namespace chervilwick {

// As in the lines of the log.
std::string FingerprintText(Fingerprint fingerprint);

// Owned by the daemon; outlives every relay.
struct FrontContext {
  FrontContext(EventLoop& event_loop, const OutsideProtocol& outside,
               const FrontSettings& front_settings, int log_descriptor);

  // Believes what an answer of a backend server says of the server itself. Not
  // for answers of another server than was meant.
  void NoteAnswer(const BackendName& backend, const AnswerFacts& facts);

  EventLoop& loop;
  const OutsideProtocol& protocol;
  FrontSettings settings;
  DecisionLog log;
  FrontStats stats;
  HttpClient client;
  BackendTable backends;
  StreamScheduler scheduler;
  RetryQuota quota;
  CrashSuspects suspects;
  // Counts the time for which the host is suspended; leases run on meanwhile.
  std::function<absl::Time()> boot_time;
  // Age of the list of backend servers and of the configuration.
  std::function<absl::Duration()> store_age;
  // Set by the daemon once it listens.
  EventHttpServer* server = nullptr;
  // Asks for another round of scheduling soon.
  std::function<void()> wake_scheduler;
  // The route by that name in the version in force; null if it is gone.
  std::function<const Route*(const std::string&)> current_route;
  // Traits of a service's engines in the version in force; null if unknown.
  std::function<const EngineTraits*(const ServiceName&)> engine_traits;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_FRONT_CONTEXT_H_
