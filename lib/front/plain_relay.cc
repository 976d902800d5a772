// Relay of a plain call.

#include "chervilwick/front/plain_relay.h"

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "chervilwick/dispatch/call_balancer.h"
#include "chervilwick/dispatch/retry_after.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

// Servers that one request is offered to, refusals included.
constexpr uint32_t kMaxSends = 4;
// Longest answer that is held.
constexpr size_t kMaxAnswerBytes = size_t{8} << 20;
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(200);
// A full service of short calls has room again about then.
constexpr absl::Duration kRetryAfterFull = absl::Milliseconds(150);
// A service without a server may have one again about then.
constexpr absl::Duration kRetryAfterNone = absl::Milliseconds(800);
// Part of the objective after which a second run is started.
constexpr double kSlowShare = 0.5;
// Repeated sends that are kept for failures.
constexpr double kHedgeReserve = 4;
constexpr int kFirstFailure = 500;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

PlainRelay::PlainRelay(FrontContext& context, AdmittedRequest admitted,
                       Finished finished)
    : Relay(context, std::move(admitted), std::move(finished)),
      slow_(context.loop, [this] { OnSlow(); }) {}

PlainRelay::~PlainRelay() { CancelAll(); }

void PlainRelay::Start() {
  Send();
  if (!is_finished() && MayRunAgain()) {
    slow_.Arm(admitted().route.objective * kSlowShare);
  }
}

bool PlainRelay::MayRunAgain() const {
  return admitted().route.kind == RouteKind::kIdempotent &&
         runs_ < admitted().route.attempts && sends_ < kMaxSends &&
         !is_client_gone_;
}

bool PlainRelay::EndIfQuarantined() {
  absl::Duration left =
      context().suspects.QuarantineLeft(admitted().fingerprint, Now());
  if (left == absl::ZeroDuration()) return false;
  if (!attempts_.empty()) return true;  // it ends with the run that is open
  ++context().stats.quarantined;
  if (failure_answer_) {
    Deliver(*failure_answer_);
    return true;
  }
  End(runs_ == 0 ? Ending{503, "quarantined", left}
                 : Ending{502, "quarantined"});
  return true;
}

void PlainRelay::Send() {
  ZoneName zone(context().settings.zone);
  BackendState* backend = ChooseForCall(context().backends, admitted().service,
                                        zone, tried_, Now());
  // A server that answered with a failure may succeed the next time; it is
  // asked again if there is no other.
  if (backend == nullptr && failure_answer_ && attempts_.empty()) {
    backend = ChooseForCall(context().backends, admitted().service, zone,
                            broken_, Now());
  }
  if (backend == nullptr) {
    if (!attempts_.empty()) return;
    if (failure_answer_) {
      Deliver(*failure_answer_);
    } else if (runs_ > 0) {
      End({502, "no_other_backend"});
    } else {
      End(NoBackend());
    }
    return;
  }
  ++sends_;
  ++runs_;
  uint32_t number = sends_;
  ForwardOptions forward;
  forward.expected = backend->record.id;
  forward.remaining = ClientRemaining();
  CallOptions options = EngineCallOptions();
  options.connect_timeout = kConnectTimeout;
  options.max_body_bytes = kMaxAnswerBytes;
  Attempt& attempt = attempts_[number];
  attempt.backend = backend->record.id;
  attempt.born_unix_ms = backend->record.born_unix_ms;
  attempt.sent = Now();
  tried_.insert(attempt.backend);
  backend->own += {1, 0, 0};
  attempt.call = context().client.Start(
      backend->record.endpoint,
      context().protocol.Forward(admitted().request, forward), options,
      [this, number](CallEvent event) { OnEvent(number, std::move(event)); });
  context().log.Write(Now(), "sent",
                      {{"id", admitted().facts.request_id},
                       {"backend", attempt.backend.value()},
                       {"send", sends_},
                       {"in_flight", backend->Total().requests},
                       {"slowness", backend->time_percent},
                       {"list_age_ms", context().store_age()}});
}

Ending PlainRelay::NoBackend() const {
  auto any = [](const BackendState& /*backend*/) { return true; };
  std::optional<absl::Time> quiet_end =
      context().backends.QuietEnd(admitted().service, any, Now());
  if (quiet_end) {
    return {503, "backends_asked_for_quiet",
            SpreadRetryAfter(*quiet_end - Now(), admitted().id.value())};
  }
  if (tried_.empty()) return {503, "no_backend", kRetryAfterNone};
  return {503, "all_refused", kRetryAfterFull};
}

void PlainRelay::OnEvent(uint32_t number, CallEvent event) {
  auto it = attempts_.find(number);
  if (it == attempts_.end()) return;
  Attempt& attempt = it->second;
  std::visit(Overloaded{
                 [&](HttpHead& head) { attempt.head = std::move(head); },
                 [&](HttpBodyPart& part) {
                   absl::StrAppend(&attempt.body, part.bytes);
                 },
                 [&](HttpEnd&) { OnAnswer(number); },
                 [&](CallFailure& failure) { OnFailure(number, failure); },
             },
             event);
}

PlainRelay::Attempt PlainRelay::Take(uint32_t number) {
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
  Attempt attempt = Take(number);
  broken_.insert(attempt.backend);
  if (!failure.sent) {
    ReportUnreachable(attempt.backend);
    --runs_;
    LogTrouble("not_sent", attempt.backend.value(), "connection failed");
    SendAgainOrEnd(Cost::kNone, {503, "backend_unreachable", kRetryAfterNone});
    return;
  }
  context().backends.ReportFailure(attempt.backend, Now());
  ReportLost(attempt, CallErrorText(failure.error),
             failure.error == CallError::kClosed);
  LogTrouble("broke_off", attempt.backend.value(),
             failure.error == CallError::kMalformed ? "malformed answer"
                                                    : "connection closed");
  RepeatOrFail("backend_broke_off");
}

void PlainRelay::ReportLost(const Attempt& attempt, absl::string_view sign,
                            bool is_closed) {
  LogLostRun(attempt.backend.value(), sign);
  context().suspects.ReportLost({admitted().fingerprint, attempt.backend,
                                 attempt.born_unix_ms, attempt.sent, is_closed},
                                Now());
}

void PlainRelay::ReportUnreachable(const BackendName& backend) {
  context().backends.ReportUnreachable(backend, Now());
  context().suspects.ReportServerEnd(backend, Now());
}

void PlainRelay::RepeatOrFail(absl::string_view reason) {
  if (MayRunAgain()) {
    SendAgainOrEnd(Cost::kRepeat, {502, reason});
  } else if (attempts_.empty()) {
    End({502, reason});
  }
}

void PlainRelay::SendAgainOrEnd(Cost cost, const Ending& otherwise) {
  if (EndIfQuarantined()) return;
  bool may_send = sends_ < kMaxSends && !is_client_gone_ &&
                  Remaining() > absl::ZeroDuration();
  if (may_send && (cost == Cost::kNone || TakeRepeat())) {
    Send();
    return;
  }
  if (!attempts_.empty()) return;
  if (failure_answer_) {
    Deliver(*failure_answer_);
    return;
  }
  Ending ending = otherwise;
  // Only a request that ran nowhere may be said not to have run.
  if (runs_ > 0 && ending.status == 503) ending = {502, otherwise.reason};
  End(ending);
}

void PlainRelay::OnAnswer(uint32_t number) {
  Attempt attempt = Take(number);
  AnswerFacts facts = context().protocol.ReadAnswer(attempt.head);
  int status = attempt.head.status;
  context().NoteAnswer(attempt.backend, facts);
  if (facts.is_not_run) {
    --runs_;
    OnNotRun(attempt.backend, facts.is_wrong_server);
    return;
  }
  if (status >= kFirstFailure) {
    context().backends.ReportError(attempt.backend, Now());
  } else {
    context().backends.ReportSuccess(attempt.backend, Now());
  }
  if (IsSuccess(status) && !facts.is_engines_own) {
    LogTrouble("unproven_answer", attempt.backend.value(), "no receipt");
    RepeatOrFail("unproven_answer");
    return;
  }
  if (IsSuccess(status)) {
    context().suspects.ReportWhole(admitted().fingerprint, Now());
  }
  if (status >= kFirstFailure && MayRunAgain()) {
    failure_answer_ = attempt;
    LogTrouble("engine_failed", attempt.backend.value(), "repeating");
    SendAgainOrEnd(Cost::kRepeat, {502, "backend_failed"});
    return;
  }
  if (status >= kFirstFailure && !attempts_.empty()) {
    failure_answer_ = attempt;
    return;
  }
  Deliver(attempt);
}

void PlainRelay::OnNotRun(const BackendName& backend, bool is_wrong_server) {
  if (is_wrong_server) {
    ReportUnreachable(backend);
  } else {
    context().backends.ReportFull(backend, Now());
  }
  LogTrouble("not_run", backend.value(),
             is_wrong_server ? "another server has the address" : "full");
  SendAgainOrEnd(Cost::kRepeat, {503, "backends_full", kRetryAfterFull});
}

void PlainRelay::OnSlow() {
  if (!MayRunAgain() || attempts_.empty()) return;
  if (context().suspects.IsQuarantined(admitted().fingerprint, Now())) return;
  if (context().quota.Left(admitted().service, Now()) < kHedgeReserve) return;
  if (!TakeRepeat()) return;
  LogTrouble("slow", attempts_.begin()->second.backend.value(), "second run");
  Send();
}

void PlainRelay::Deliver(const Attempt& attempt) {
  CancelAll();
  HttpResponse response;
  response.status = attempt.head.status;
  response.fields = context().protocol.AnswerFields(attempt.head);
  response.body = attempt.body;
  context().server->Respond(admitted().id, response);
  Finish(is_client_gone_ ? "client_gone" : "answered", response.status,
         attempt.backend.value());
}

void PlainRelay::CancelAll() {
  slow_.Cancel();
  std::vector<uint32_t> numbers;
  for (const auto& it : attempts_) numbers.push_back(it.first);
  for (uint32_t it : numbers) context().client.Cancel(Take(it).call);
}

void PlainRelay::OnClientGone() {
  is_client_gone_ = true;
  // A run that can't be repeated goes on: cutting it would leave its outcome
  // unknown to the service.
  if (!admitted().route.MayRepeat() && !attempts_.empty()) return;
  for (const auto& it : attempts_) {
    ReportLost(it.second, "client_gone", /*is_closed=*/false);
  }
  CancelAll();
  Finish("client_gone", 0, "");
}

void PlainRelay::OnTimeout() {
  bool ran = runs_ > 0;
  if (!ran || attempts_.empty()) {
    CancelAll();
    End({ran ? 504 : 503, "timeout"});
    return;
  }
  bool all_unsent = runs_ == attempts_.size();
  for (const auto& it : attempts_) {
    all_unsent = all_unsent && context().client.IsUnsent(it.second.call);
    context().backends.ReportFailure(it.second.backend, Now());
    ReportLost(it.second, "timeout", /*is_closed=*/false);
  }
  CancelAll();
  End({all_unsent ? 503 : 504, "timeout"});
}

}  // namespace chervilwick
