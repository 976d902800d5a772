#include "chervilwick/front/plain_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "chervilwick/dispatch/call_balancer.h"
#include "chervilwick/dispatch/retry_after.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

// Maximum number of sends per request, including those that were refused.
constexpr uint32_t kMaxSends = 4;
// Maximum size of a buffered response.
constexpr size_t kMaxAnswerBytes = size_t{8} << 20;
// Retry-After when all servers are full: short calls free capacity in about
// this time.
constexpr absl::Duration kRetryAfterFull = absl::Milliseconds(150);
// Retry-After when a service has no reachable server: one may be available
// again after about this time.
constexpr absl::Duration kRetryAfterNone = absl::Milliseconds(800);
// Fraction of the latency objective after which a hedged run is started.
constexpr double kHedgeDelayFraction = 0.5;
// Part of the retry budget that hedged runs leave for retries after failures.
constexpr double kHedgeReserve = 4;
constexpr int kMinFailureStatus = 500;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

PlainRelay::PlainRelay(FrontContext& context, AdmittedRequest admitted,
                       Finished finished)
    : Relay(context, std::move(admitted), std::move(finished)),
      hedge_timer_(context.loop, [this] { OnHedgeDelay(); }) {}

PlainRelay::~PlainRelay() { PlainRelay::CancelCalls(); }

void PlainRelay::Start() {
  BackendState* backend = NextBackend();
  if (backend == nullptr) {
    EndWithoutBackend();
    return;
  }
  Send(*backend, std::nullopt);
  if (!is_finished() && MayRunAgain()) {
    hedge_timer_.Arm(admitted().route.objective * kHedgeDelayFraction);
  }
}

bool PlainRelay::MayRunAgain() const {
  return admitted().route.kind == RouteKind::kIdempotent &&
         !admitted().is_trial && !is_key_revoked() &&
         runs_ < admitted().route.attempts && sends_ < kMaxSends &&
         !is_client_gone_;
}

bool PlainRelay::FailIfQuarantined() {
  if (!context().suspects.IsQuarantined(admitted().Content(), Now())) {
    return false;
  }
  // The request ends with the run that is still open.
  if (!attempts_.empty()) return true;
  ++context().stats.quarantined;
  if (failure_answer_) {
    DeliverFailure();
    return true;
  }
  if (runs_ > 0) {
    RespondWithError({502, "quarantined"});
  } else {
    RespondWithError(
        {503, "quarantined",
         context().suspects.RetryAfter(admitted().Content(), Now())});
  }
  return true;
}

BackendState* PlainRelay::NextBackend() {
  ZoneName zone(context().settings.zone);
  BackendState* backend = ChooseForCall(context().backends, admitted().service,
                                        zone, tried_backends_, Now());
  // Without another server, retry at one that responded with a failure: it may
  // succeed the next time. Servers that sent no response stay excluded.
  if (backend == nullptr && failure_answer_ && attempts_.empty()) {
    backend = ChooseForCall(context().backends, admitted().service, zone,
                            failed_backends_, Now());
  }
  return backend;
}

void PlainRelay::EndWithoutBackend() {
  if (!attempts_.empty()) return;
  if (failure_answer_) {
    DeliverFailure();
  } else if (runs_ > 0) {
    RespondWithError({502, "no_other_backend"});
  } else {
    RespondWithError(NoBackendError());
  }
}

void PlainRelay::Send(BackendState& target,
                      std::optional<absl::Time> retry_taken) {
  BackendState* backend = &target;
  ++sends_;
  ++runs_;
  uint32_t number = sends_;
  ForwardOptions forward;
  forward.expected = backend->record.id;
  forward.remaining = ClientRemaining();
  Attempt& attempt = attempts_[number];
  attempt.backend = backend->record.id;
  attempt.born_unix_ms = backend->record.born_unix_ms;
  attempt.sent = Now();
  attempt.retry_taken = retry_taken;
  attempt.held = std::make_unique<AnswerMemory::Answer>(
      context().answers, [this, number] { GiveUpAnswer(number); });
  tried_backends_.insert(attempt.backend);
  context().suspects.ReportSent(admitted().Content(), Now());
  backend->own += {1, 0, 0};
  attempt.call = CallEngine(
      backend->record.endpoint, forward, kMaxAnswerBytes,
      [this, number](CallEvent event) { OnEvent(number, std::move(event)); });
  context().log.Write(Now(), "sent",
                      {{"id", admitted().facts.request_id},
                       {"backend", attempt.backend.value()},
                       {"send", sends_},
                       {"in_flight", backend->Total().requests},
                       {"slowness", backend->time_percent},
                       {"list_age_ms", context().store_age()}});
}

ErrorResponse PlainRelay::NoBackendError() const {
  auto any = [](const BackendState& /*backend*/) { return true; };
  std::optional<absl::Time> quiet_end =
      context().backends.FirstPauseEnd(admitted().service, any, Now());
  if (quiet_end) {
    return {503, "backends_asked_for_quiet",
            JitteredRetryAfter(*quiet_end - Now(), admitted().id.value())};
  }
  if (tried_backends_.empty()) return {503, "no_backend", kRetryAfterNone};
  return {503, "all_refused", kRetryAfterFull};
}

void PlainRelay::OnEvent(uint32_t number, CallEvent event) {
  auto it = attempts_.find(number);
  if (it == attempts_.end()) return;
  Attempt& attempt = it->second;
  std::visit(Overloaded{
                 [&](HttpHead& head) {
                   LogAnswerHead(attempt.backend.value(), head);
                   attempt.head = std::move(head);
                 },
                 [&](HttpBodyPart& part) {
                   absl::StrAppend(&attempt.body, part.bytes);
                   attempt.held->Hold(attempt.backend, attempt.body.capacity());
                 },
                 [&](HttpEnd&) { OnAnswer(number); },
                 [&](CallFailure& failure) { OnFailure(number, failure); },
             },
             event);
}

PlainRelay::Attempt PlainRelay::RemoveAttempt(uint32_t number) {
  auto it = attempts_.find(number);
  Attempt attempt = std::move(it->second);
  attempts_.erase(it);
  BackendState* backend = context().backends.Find(attempt.backend);
  if (backend != nullptr && backend->own.requests > 0) {
    backend->own.requests -= 1;
  }
  return attempt;
}

void PlainRelay::OnFailure(uint32_t number, const CallFailure& failure) {
  Attempt attempt = RemoveAttempt(number);
  failed_backends_.insert(attempt.backend);
  if (!failure.sent) {
    ReportUnreachable(attempt.backend);
    --runs_;
    LogBackendError("not_sent", attempt.backend.value(), "connection failed");
    // The next send takes its own retry, in the window in which it arrives.
    if (attempt.retry_taken) ReturnRepeat(*attempt.retry_taken);
    ResendOrFail(attempt.retry_taken ? BudgetUse::kRetry : BudgetUse::kNone,
                 {503, "backend_unreachable", kRetryAfterNone});
    return;
  }
  context().backends.ReportFailure(attempt.backend, Now());
  ReportLostRun(attempt, CallErrorText(failure.error),
                IsClosedByServer(failure.error));
  LogBackendError("broke_off", attempt.backend.value(),
                  failure.error == CallError::kMalformed
                      ? "malformed response"
                      : "response incomplete");
  RetryOrFail("backend_broke_off");
}

void PlainRelay::GiveUpAnswer(uint32_t number) {
  auto it = attempts_.find(number);
  if (it == attempts_.end()) {
    failure_answer_.reset();
    return;
  }
  ++context().stats.answers_given_up;
  Log("answer_given_up", it->second.backend.value(),
      absl::StrCat(it->second.body.size(), " bytes held"));
  context().client.Cancel(it->second.call);
  OnFailure(number, {CallError::kMalformed, /*sent=*/true});
}

void PlainRelay::ReportLostRun(const Attempt& attempt, absl::string_view sign,
                               bool is_closed) {
  LogLostRun(attempt.backend.value(), sign);
  context().suspects.ReportLost(
      {admitted().fingerprint, attempt.backend, attempt.born_unix_ms,
       attempt.sent, is_closed, admitted().parts},
      Now());
}

void PlainRelay::ReportUnreachable(const BackendName& backend) {
  context().backends.ReportUnreachable(backend, Now());
  context().suspects.ReportServerEnd(backend, Now());
}

void PlainRelay::RetryOrFail(absl::string_view reason) {
  if (MayRunAgain()) {
    ResendOrFail(BudgetUse::kRetry, {502, reason});
  } else if (attempts_.empty()) {
    RespondWithError({502, reason});
  }
}

void PlainRelay::ResendOrFail(BudgetUse budget_use,
                              const ErrorResponse& error) {
  if (FailIfQuarantined()) return;
  if (is_key_revoked() && runs_ == 0 && attempts_.empty()) {
    RespondWithError({401, "key_revoked"});
    return;
  }
  bool may_send = sends_ < kMaxSends && !is_client_gone_ &&
                  Remaining() > absl::ZeroDuration();
  if (may_send) {
    BackendState* backend = NextBackend();
    if (backend == nullptr) {
      EndWithoutBackend();
      return;
    }
    std::optional<absl::Time> taken;
    if (budget_use == BudgetUse::kRetry) taken = TakeRepeat();
    if (budget_use == BudgetUse::kNone || taken) {
      Send(*backend, taken);
      return;
    }
  }
  if (!attempts_.empty()) return;
  if (failure_answer_) {
    DeliverFailure();
    return;
  }
  ErrorResponse response = error;
  // 503 guarantees that the request has not run.
  if (runs_ > 0 && response.status == 503) response = {502, error.reason};
  RespondWithError(response);
}

void PlainRelay::OnAnswer(uint32_t number) {
  Attempt attempt = RemoveAttempt(number);
  ResponseMetadata facts = context().protocol.ParseResponse(attempt.head);
  int status = attempt.head.status;
  context().RecordAnswer(attempt.backend, facts);
  if (facts.is_not_run) {
    --runs_;
    OnNotRun(attempt.backend, facts.is_wrong_server);
    return;
  }
  if (status >= kMinFailureStatus) {
    context().backends.ReportError(attempt.backend, Now());
  } else {
    context().backends.ReportSuccess(attempt.backend, Now());
  }
  if (IsSuccess(status) && !facts.has_server_stamp) {
    LogBackendError("unproven_answer", attempt.backend.value(),
                    "success response without the engine's stamp");
    RetryOrFail("unproven_answer");
    return;
  }
  if (IsSuccess(status)) {
    context().suspects.ReportCompleted(admitted().Content(), Now());
  }
  if (status >= kMinFailureStatus && MayRunAgain()) {
    LogBackendError("engine_failed", attempt.backend.value(), "repeating");
    failure_answer_ = std::move(attempt);
    ResendOrFail(BudgetUse::kRetry, {502, "backend_failed"});
    return;
  }
  if (status >= kMinFailureStatus && !attempts_.empty()) {
    failure_answer_ = std::move(attempt);
    return;
  }
  Deliver(std::move(attempt));
}

void PlainRelay::OnNotRun(const BackendName& backend, bool is_wrong_server) {
  if (is_wrong_server) {
    ReportUnreachable(backend);
  } else {
    context().backends.ReportFull(backend, Now());
  }
  LogBackendError("not_run", backend.value(),
                  is_wrong_server ? "another server has the address" : "full");
  ResendOrFail(BudgetUse::kRetry, {503, "backends_full", kRetryAfterFull});
}

void PlainRelay::OnHedgeDelay() {
  if (!MayRunAgain() || attempts_.empty()) return;
  if (context().suspects.IsQuarantined(admitted().Content(), Now())) return;
  if (context().quota.RetriesLeft(admitted().service, Now()) < kHedgeReserve) {
    return;
  }
  BackendState* backend = NextBackend();
  if (backend == nullptr) return;
  std::optional<absl::Time> taken = TakeRepeat();
  if (!taken) return;
  LogBackendError("slow", attempts_.begin()->second.backend.value(),
                  "hedged run started");
  Send(*backend, taken);
}

void PlainRelay::DeliverFailure() {
  Attempt attempt = std::move(*failure_answer_);
  failure_answer_.reset();
  Deliver(std::move(attempt));
}

void PlainRelay::Deliver(Attempt attempt) {
  CancelCalls();
  HttpResponse response;
  response.status = attempt.head.status;
  response.fields = context().protocol.ForwardedFields(attempt.head);
  response.body = std::move(attempt.body);
  context().server->Respond(admitted().id, response);
  Finish(is_client_gone_ ? "client_gone" : "answered", response.status,
         attempt.backend.value());
}

void PlainRelay::CancelCalls() {
  hedge_timer_.Cancel();
  std::vector<uint32_t> numbers;
  for (const auto& it : attempts_) numbers.push_back(it.first);
  for (uint32_t it : numbers) context().client.Cancel(RemoveAttempt(it).call);
}

void PlainRelay::OnClientGone() {
  is_client_gone_ = true;
  // A run that must not be repeated continues: cancelling it would leave the
  // service with an unknown outcome.
  if (!admitted().route.MayRepeat() && !attempts_.empty()) return;
  for (const auto& it : attempts_) {
    ReportLostRun(it.second, "client_gone", /*is_closed=*/false);
  }
  CancelCalls();
  Finish("client_gone", 0, "");
}

void PlainRelay::OnTimeout() {
  for (const auto& it : attempts_) {
    context().backends.ReportFailure(it.second.backend, Now());
  }
  EndAsOpen("timeout");
}

void PlainRelay::OnKeyRevoked() {
  if (attempts_.empty() && runs_ == 0) RespondWithError({401, "key_revoked"});
}

bool PlainRelay::IsEndPending() const {
  return std::any_of(attempts_.begin(), attempts_.end(), [&](const auto& it) {
    return context().client.IsEndPending(it.second.call);
  });
}

void PlainRelay::OnShutdownLimit() { EndAsOpen("shutdown_limit"); }

void PlainRelay::EndAsOpen(absl::string_view reason) {
  bool ran = runs_ > 0;
  bool all_unsent = runs_ == attempts_.size();
  for (const auto& it : attempts_) {
    all_unsent = all_unsent && context().client.IsUnsent(it.second.call);
    ReportLostRun(it.second, reason, /*is_closed=*/false);
  }
  CancelCalls();
  RespondWithError({ran && !all_unsent ? 504 : 503, reason});
}

}  // namespace chervilwick
