// Daemon that serves client requests on a platform with service discovery.

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
#include "chervilwick/front/start_queries.h"
#include "chervilwick/front/store_sync.h"
#include "chervilwick/front/stream_origins.h"
#include "chervilwick/front/stream_relay.h"

namespace chervilwick {

// Handles clients, backend servers, the store and other fronts on one event
// loop.
class FrontDaemon {
 public:
  static constexpr int kStandardOutput = 1;

  // Reloads the settings file on SIGHUP and when its content changes.
  FrontDaemon(EventLoop& loop, const FrontSettings& settings,
              std::string settings_file, const ExternalProtocol& protocol,
              int log_descriptor = kStandardOutput);
  ~FrontDaemon();

  // Returns the error if an address is unavailable, nullopt once it listens.
  std::optional<std::string> Start();
  // Runs until a graceful stop has completed or reached the shutdown limit.
  // Returns true if no request was open at the limit.
  bool Run();
  // Starts a graceful stop, as SIGTERM does.
  void BeginShutdown();
  bool IsReady() const;
  // Sets when this process started, for its share of the retry budget.
  void SetStartTime(absl::Time started) {
    context_.quota.SetStartTime(started);
  }
  const FrontContext& context() const { return context_; }
  // Replaces the host's boot-time clock, which counts suspended time.
  void SetBootClock(std::function<absl::Time()> clock) {
    context_.boot_time = std::move(clock);
  }

 private:
  // A request that has been read.
  struct ArrivedRequest {
    ExchangeId id;
    Endpoint client;
    HttpRequest request;
    absl::Time arrived;
    int holds = 0;  // times that it waited for the peers or the store
    // The store was asked for the origin of the stream that it takes up.
    bool is_origin_read = false;
  };

  void OnRequest(ArrivedRequest arrived);
  // Handles a request again shortly, once the peers know what its account used.
  void Hold(ArrivedRequest arrived, absl::Duration delay);
  void ReleaseHeld();
  // Finds where the stream began that the request takes up, and the service to
  // go on at. Rejects the request, or holds it until more is known, if it can't
  // go on now; returns whether it can.
  bool ResolveOrigin(ArrivedRequest& arrived, AdmittedRequest& admitted);
  void ReadOrigin(const std::string& attempt, ArrivedRequest arrived);
  void OnClientGone(ExchangeId id);
  void Admit(AdmittedRequest admitted);
  // Finds the account of the request's key. Rejects the request if its route
  // needs a key and it has no valid one; returns whether it did.
  bool RejectWithoutAccount(const HttpHead& head, AdmittedRequest& admitted);
  // Takes the request from its account's cap. Rejects it if the cap does not
  // allow it.
  AccountVerdict TakeFromCap(AdmittedRequest& admitted, bool may_wait);
  // `retry_after` is sent with statuses 429 and 503 only.
  void Reject(ExchangeId id, const RequestMetadata& facts, int status,
              absl::string_view reason,
              absl::Duration retry_after = absl::ZeroDuration());
  void OnControlRequest(EventHttpServer& server, ExchangeId id,
                        const HttpRequest& request);
  void OnRouteTable(const RouteTable& table);
  // Logs the parts of the version in force that can't be used.
  void LogDefects();
  void OnBackend(BackendRecord record);
  void OnBackendRemoved(const BackendName& id, absl::Time at);
  void OnStoreReachable(bool reachable, absl::string_view reason);
  void OnDigest(const PeerDigest& digest, const Endpoint& from);
  void RunScheduler();
  // Runs the scheduler after `delay`, or earlier if a run is due before.
  void WakeScheduler(absl::Duration delay);
  // Merges broken runs that other fronts saw, as reported by a peer or the
  // store.
  void MergeCrashNews(const CrashUpdate& news, const std::string& source);
  void LogBlamed(const std::vector<BlamedParts>& blamed);
  void RunPeriodicTasks();
  // Logs that the process did not run for some time: it was stopped, or its
  // host had no processor time for it.
  void RecordStall(absl::Time now);
  // Asks engines that started streams wait for whether they are back.
  void AskEngines(absl::Time now);
  // Asks an engine for its state, and records what that shows.
  void CheckEngine(const BackendName& engine);
  // Ends quarantined streams. The relay ends only those that wait for
  // placement; running ones were sent already.
  void EndQuarantinedStreams(absl::Time now);
  // Logs the time of day, to relate it to the process clock of the log lines.
  void LogWallClock();
  void ReloadSettings();
  // Limits for clients, by the configuration in force and the host's memory and
  // descriptors.
  void ApplyLimits();
  // Limits at the addresses for operators, other fronts and probes.
  void ApplyOperatorLimits();
  // Descriptors that this process may open.
  uint64_t DescriptorLimit() const;
  void CheckShutdown();
  // Checks the shutdown at the next time of its plan, which may lie between two
  // runs of the periodic tasks.
  void ArmShutdownTimer();
  // Refuses a request that the front, which is shutting down, has no time for.
  // Returns whether it was refused.
  bool RefuseIfTooLate(const AdmittedRequest& admitted);
  // Refuses streams without a placement that would not end in time.
  void RefuseLateStreams(absl::Time now);
  // Answers the requests that are open at the limit with an error.
  void EndOpenRequests();
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
  StageController stages_;
  CrashRecords crash_records_;
  StreamOrigins origins_;
  StartQueries start_queries_;
  Timer answer_excess_;
  Timer scheduler_wake_;
  absl::Time scheduler_due_ = absl::InfiniteFuture();
  absl::BitGen random_;
  RouteTable table_;
  std::map<ExchangeId, std::unique_ptr<Relay>> relays_;
  std::map<ExchangeId, StreamRelay*> streams_;
  std::map<ExchangeId, ArrivedRequest> held_;
  std::map<ExchangeId, ArrivedRequest> awaiting_origin_;
  Timer held_timer_;
  const absl::Time started_ = absl::Now();
  bool was_ready_ = false;
  absl::Time last_periodic_ = absl::InfiniteFuture();
  size_t cut_requests_ = 0;               // open at the shutdown limit
  std::optional<ShutdownPlan> shutdown_;  // set while shutting down
  Timer shutdown_timer_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_FRONT_DAEMON_H_
