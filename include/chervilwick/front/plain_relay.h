// Relay for calls whose response is buffered completely before it is forwarded.

#ifndef CHERVILWICK_FRONT_PLAIN_RELAY_H_
#define CHERVILWICK_FRONT_PLAIN_RELAY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "chervilwick/front/relay.h"

namespace chervilwick {

// Forwards a non-streaming call. A call that must not run twice is sent to a
// second backend server only if the first one certainly did not run it. Other
// calls are retried after a failure and hedged when the response is slow: a
// second run is started while the first one continues.
class PlainRelay : public Relay {
 public:
  PlainRelay(FrontContext& context, AdmittedRequest admitted,
             Finished finished);
  ~PlainRelay() override;

  void Start() override;
  void OnClientGone() override;
  bool IsEndPending() const override;
  void OnShutdownLimit() override;
  bool MayHaveRun() const override { return runs_ > 0; }

 protected:
  void OnTimeout() override;
  void OnKeyRevoked() override;

 private:
  struct Attempt {
    CallId call;
    BackendName backend;
    int64_t born_unix_ms = 0;  // start time of the server
    absl::Time sent;
    std::optional<absl::Time> retry_taken;  // from the retry budget
    HttpHead head;
    std::string body;
    std::unique_ptr<AnswerMemory::Answer> held;  // counts the body
  };

  // Returns the backend server for the next send; null if there is none.
  BackendState* NextBackend();
  // Ends the request, which can't be sent again, unless a run is still open.
  void EndWithoutBackend();
  void Send(BackendState& target, std::optional<absl::Time> retry_taken);
  // Stops sending if the request is quarantined because servers crashed while
  // running it. Fails the request unless a run is still open. Returns
  // whether the request is quarantined.
  bool FailIfQuarantined();
  // Returns the error for a request that no backend server can be asked to run.
  ErrorResponse NoBackendError() const;
  void OnEvent(uint32_t number, CallEvent event);
  void OnFailure(uint32_t number, const CallFailure& failure);
  // Drops the answer of that attempt, for which there is no memory left.
  void GiveUpAnswer(uint32_t number);
  void OnAnswer(uint32_t number);
  void OnNotRun(const BackendName& backend, bool is_wrong_server);
  void OnHedgeDelay();
  // Whether sending again is charged to the retry budget.
  enum class BudgetUse { kNone, kRetry };
  // Called after a run without a usable response. Retries if the route allows
  // it; otherwise fails the request unless another run is still open.
  void RetryOrFail(absl::string_view reason);
  // Logs and records that the complete response of an attempt was not received.
  void ReportLostRun(const Attempt& attempt, absl::string_view sign,
                     bool is_closed);
  void ReportUnreachable(const BackendName& backend);
  // Sends the request again without checking that the route allows a second
  // run: the caller ensures that the request has not run or may run again.
  // Responds with `error` if sends, time or retry budget are used up, unless
  // another run is still open or a failure response can be delivered instead.
  void ResendOrFail(BudgetUse budget_use, const ErrorResponse& error);
  void Deliver(Attempt attempt);
  void DeliverFailure();
  Attempt RemoveAttempt(uint32_t number);
  void CancelCalls() override;
  // Ends the request while attempts may be open.
  void EndAsOpen(absl::string_view reason);
  // Whether the route and the limits on attempts permit another run.
  bool MayRunAgain() const;

  Timer hedge_timer_;
  std::map<uint32_t, Attempt> attempts_;
  std::set<BackendName> tried_backends_;
  std::set<BackendName> failed_backends_;  // tried, sent no response
  // Failure response of an engine, delivered if no other run succeeds.
  std::optional<Attempt> failure_answer_;
  uint32_t sends_ = 0;
  uint32_t runs_ = 0;  // sends that may have run
  bool is_client_gone_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_PLAIN_RELAY_H_
