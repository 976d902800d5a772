// Base class for forwarding one client request to backend servers.

#ifndef CHERVILWICK_FRONT_RELAY_H_
#define CHERVILWICK_FRONT_RELAY_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"
#include "chervilwick/net/http_server.h"

namespace chervilwick {

// A client request with the route and configuration version that were in force
// when it was admitted.
struct AdmittedRequest {
  ExchangeId id;
  HttpRequest request;
  RequestMetadata facts;
  Route route;
  VersionNumber version;
  ServiceName service;
  Endpoint client;
  Fingerprint fingerprint;
  // Of the parts of the prompt that other requests may share, in order.
  std::vector<Fingerprint> parts;
  absl::Time arrived;
  // Set if the client takes up a stream.
  std::optional<StreamOrigin> origin;
  Credentials credentials;
  // Set if the configuration holds accounts; empty for a request on a public
  // route without a valid key. Follows the configuration in force.
  std::optional<AccountName> account;
  CapCharge charge;  // to be given back if the request does not run
  int priority = 0;  // of the account, else of the route
  bool reserves_place = false;
  // Time that earlier attempts of the client took.
  absl::Duration spent_before = absl::ZeroDuration();
  // One run of a quarantined request, which may not be repeated.
  bool is_trial = false;

  RequestContent Content() const { return {fingerprint, parts, is_trial}; }
  // Number of tokens that the response is estimated to have; 0 if unknown.
  uint32_t OutputTokens() const {
    uint32_t limit = facts.max_output_tokens;
    if (!facts.output_hint) return limit;
    return limit == 0 ? *facts.output_hint
                      : std::min(limit, *facts.output_hint);
  }
};

// Error response that the front itself generates for a request.
struct ErrorResponse {
  int status = 503;
  absl::string_view reason;
  // Non-zero only with a status which guarantees that no backend server ran the
  // request.
  absl::Duration retry_after = absl::ZeroDuration();
};

// Forwards one client request and its response. The front owns the relay until
// the relay calls `finished`, which is the last thing it does.
class Relay {
 public:
  using Finished = std::function<void(ExchangeId)>;

  Relay(FrontContext& context, AdmittedRequest admitted, Finished finished);
  virtual ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  virtual void Start() = 0;
  // Called when the client closes its connection.
  virtual void OnClientGone() = 0;
  // Called when a new configuration version is in force. Applies a changed
  // timeout of the route, and the account that holds the request's key now.
  // Ends what has not run if none does.
  void OnConfigChange();
  // Called when the front shuts down and can't wait for the response. Responds
  // with an error; a response that has begun is cut off.
  // Whether the end of the answer is about to be known, so that the limit of a
  // shutdown should wait for it.
  virtual bool IsEndPending() const = 0;
  virtual void OnShutdownLimit() = 0;
  // Whether a backend server may have run the request.
  virtual bool MayHaveRun() const = 0;
  // Time that the request would need if it started now.
  TimeNeeded EstimateTimeNeeded() const;
  const AdmittedRequest& admitted() const { return admitted_; }

 protected:
  // Called at the client's deadline or the route's timeout.
  virtual void OnTimeout() = 0;
  // Called when no account holds the key of the request any more. A run goes
  // on but is not repeated.
  virtual void OnKeyRevoked() = 0;
  // Called when an account holds it again.
  virtual void OnKeyRestored() {}
  // Cancels the open calls and the timers.
  virtual void CancelCalls() = 0;

  absl::Time Now() const { return context_.loop.Now(); }
  absl::Duration Elapsed() const { return Now() - admitted_.arrived; }
  // Time left until the client's deadline or the route's timeout, whichever is
  // first.
  absl::Duration Remaining() const;
  // Time left until the client's deadline; the route's timeout if the client
  // gave none.
  absl::Duration ClientRemaining() const;
  // Forwards the request to an engine. No connection carries two calls of one
  // request: these bear the same id, so a repeated answer to the first would be
  // taken for the answer to the second.
  CallId CallEngine(const Endpoint& engine, const ForwardOptions& forward,
                    size_t max_body_bytes, CallHandler handler);
  // Called when the head of the response is sent.
  void MarkOutput() { until_output_ = Elapsed(); }
  // Sends the client an error response and finishes the request.
  void RespondWithError(const ErrorResponse& error);
  // Cancels the open calls, logs and counts the outcome, then calls `finished`.
  // Later calls do nothing.
  void Finish(absl::string_view outcome, int status, absl::string_view reason);
  void Log(absl::string_view event, absl::string_view backend,
           absl::string_view detail);
  // Logs and counts an error at a backend server.
  void LogBackendError(absl::string_view event, absl::string_view backend,
                       absl::string_view detail);
  // Logs and counts an answer that ends with its connection: its bytes do not
  // show whether it is whole.
  void LogAnswerHead(absl::string_view backend, const HttpHead& head);
  // Logs and counts a run whose complete response was not received. `sign` says
  // how the loss was detected. The fingerprint lets the logs of all fronts be
  // searched for a request that crashes servers.
  void LogLostRun(absl::string_view backend, absl::string_view sign);
  // Takes one retry from the service's retry budget and returns when it was
  // taken; nullopt if the budget is used up.
  std::optional<absl::Time> TakeRepeat();
  // Returns the retry that was taken at `taken`: its call was not sent.
  void ReturnRepeat(absl::Time taken);
  bool is_finished() const { return is_finished_; }
  bool is_key_revoked() const { return is_key_revoked_; }
  FrontContext& context() const { return context_; }

 private:
  void ArmTimeout();
  // Finds the account that holds the request's key in the configuration in
  // force. Calls that start from now on carry it.
  void UpdateAccount();
  // Returns what the request took from its account's cap if it has not run.
  void SettleCap();
  CallOptions EngineCallOptions() const;

  FrontContext& context_;
  AdmittedRequest admitted_;
  Finished finished_;
  Timer timeout_;
  std::set<ConnectionId> used_connections_;
  std::optional<absl::Duration> until_output_;
  bool is_finished_ = false;
  bool is_key_revoked_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_RELAY_H_
