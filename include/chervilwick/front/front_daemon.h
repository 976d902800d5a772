// Daemon that takes clients' requests on a platform that gives discovery.

#ifndef CHERVILWICK_FRONT_FRONT_DAEMON_H_
#define CHERVILWICK_FRONT_FRONT_DAEMON_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "absl/random/random.h"
#include "absl/time/clock.h"
#include "chervilwick/front/crash_records.h"
#include "chervilwick/front/front_context.h"
#include "chervilwick/front/peer_copy.h"
#include "chervilwick/front/peer_link.h"
#include "chervilwick/front/relay.h"
#include "chervilwick/front/stage_keeper.h"
#include "chervilwick/front/store_sync.h"
#include "chervilwick/front/stream_relay.h"

namespace chervilwick {

// One event loop for clients, backend servers, the store and other fronts.
class FrontDaemon {
 public:
  static constexpr int kStandardOutput = 1;

  // The settings file is read again on SIGHUP and when it changes.
  FrontDaemon(EventLoop& loop, const FrontSettings& settings,
              std::string settings_file, const OutsideProtocol& protocol,
              int log_descriptor = kStandardOutput);
  ~FrontDaemon();

  // Returns why it can't start; nothing if it listens.
  std::optional<std::string> Start();
  // Runs until SIGTERM and the end of what was in flight. Returns whether
  // nothing was cut.
  bool Run();
  // Starts the graceful stop, as SIGTERM does.
  void BeginShutdown();
  bool IsReady() const;
  const FrontContext& context() const { return context_; }
  // In place of the host's clock that runs on in a suspension.
  void SetBootClock(std::function<absl::Time()> clock) {
    context_.boot_time = std::move(clock);
  }

 private:
  void OnRequest(ExchangeId id, const Endpoint& client, HttpRequest request);
  void Admit(AdmittedRequest admitted);
  // `retry_after` only with 503.
  void Reject(ExchangeId id, const RequestFacts& facts, int status,
              absl::string_view reason,
              absl::Duration retry_after = absl::ZeroDuration());
  void OnControlRequest(EventHttpServer& server, ExchangeId id,
                        const HttpRequest& request);
  void OnTable(const RouteTable& table);
  void OnBackend(const BackendRecord& record);
  void OnRemoved(const BackendName& id, absl::Time at);
  void OnReachable(bool reachable, absl::string_view why);
  void OnDigest(const PeerDigest& digest, const Endpoint& from);
  void RunScheduler();
  // Has the scheduler run within that time, or sooner if it is due.
  void WakeScheduler(absl::Duration delay);
  // Runs that other fronts lost, from them or from the store.
  void HearCrashNews(const CrashNews& news, const std::string& source);
  void Housekeep();
  // Those that wait for a place; what runs has been sent.
  void EndQuarantinedStreams(absl::Time now);
  // Ties the process's clock, by which lines are stamped, to the time of day.
  void LogClock();
  void ReloadSettings();
  void ApplyLimits();
  void CheckShutdown();
  std::string Metrics() const;
  std::string Status();

  EventLoop& loop_;
  std::string settings_file_;
  std::string settings_text_;
  FrontContext context_;
  EventHttpServer clients_;
  EventHttpServer ready_;
  EventHttpServer control_;
  EventHttpServer metrics_;
  StoreSync store_;
  PeerLink peers_;
  PeerCopy peer_copy_;
  StageKeeper stages_;
  CrashRecords crash_records_;
  Timer scheduler_wake_;
  absl::Time scheduler_due_ = absl::InfiniteFuture();
  absl::BitGen random_;
  RouteTable table_;
  std::map<ExchangeId, std::unique_ptr<Relay>> relays_;
  std::map<ExchangeId, StreamRelay*> streams_;
  const absl::Time started_ = absl::Now();
  bool stopping_ = false;
  bool was_ready_ = false;
  absl::Time stop_began_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_FRONT_DAEMON_H_
