// One client request on its way through a front.

#ifndef CHERVILWICK_FRONT_RELAY_H_
#define CHERVILWICK_FRONT_RELAY_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"
#include "chervilwick/net/http_server.h"

namespace chervilwick {

// A request with the route that it was admitted under.
struct AdmittedRequest {
  ExchangeId id;
  HttpRequest request;
  RequestFacts facts;
  Route route;
  VersionNumber version;
  ServiceName service;
  Fingerprint fingerprint;
  absl::Time arrived;
};

// Why a request ends without an engine's answer.
struct Ending {
  int status = 503;
  absl::string_view reason;
  // Only with a status that promises that the request has not run.
  absl::Duration retry_after = absl::ZeroDuration();
};

// Owned by the front until it calls `finished`, its last act.
class Relay {
 public:
  using Finished = std::function<void(ExchangeId)>;

  Relay(FrontContext& context, AdmittedRequest admitted, Finished finished);
  virtual ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  virtual void Start() = 0;
  // The client has closed its connection.
  virtual void OnClientGone() = 0;
  // A new version may have changed the route's timeout.
  void OnNewVersion();
  const AdmittedRequest& admitted() const { return admitted_; }

 protected:
  // The client's deadline or the route's timeout has been reached.
  virtual void OnTimeout() = 0;

  absl::Time Now() const { return context_.loop.Now(); }
  absl::Duration Elapsed() const { return Now() - admitted_.arrived; }
  // Until the deadline or the timeout, whichever is first.
  absl::Duration Remaining() const;
  // How long the client waits, from now.
  absl::Duration ClientRemaining() const;
  CallOptions EngineCallOptions() const;
  void End(const Ending& ending);
  // Logs and counts the outcome and lets the front delete this.
  void Finish(absl::string_view outcome, int status, absl::string_view reason);
  void Log(absl::string_view event, absl::string_view backend,
           absl::string_view detail);
  // Logs and counts what went wrong at a backend server.
  void LogTrouble(absl::string_view event, absl::string_view backend,
                  absl::string_view detail);
  // Logs and counts a run that ended without the server's whole answer, and by
  // which sign. Over all fronts' logs its fingerprint tells whether the request
  // may be the cause.
  void LogLostRun(absl::string_view backend, absl::string_view sign);
  // Takes one repeated send out of the fleet's budget.
  bool TakeRepeat();
  bool is_finished() const { return is_finished_; }
  FrontContext& context() const { return context_; }

 private:
  void ArmTimeout();

  FrontContext& context_;
  AdmittedRequest admitted_;
  Finished finished_;
  Timer timeout_;
  bool is_finished_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_RELAY_H_
