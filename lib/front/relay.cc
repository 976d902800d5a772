#include "chervilwick/front/relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(200);
// Pooled connections that were idle for longer are not reused, as the server
// may be closing them.
constexpr absl::Duration kMaxIdle = absl::Seconds(4);
// Shorter limit for requests that must not run twice: if the server closes the
// connection while the request is in transit, the outcome is unknown.
constexpr absl::Duration kMaxIdleRunOnce = absl::Seconds(1);

}  // namespace

Relay::Relay(FrontContext& context, AdmittedRequest admitted, Finished finished)
    : context_(context),
      admitted_(std::move(admitted)),
      finished_(std::move(finished)),
      timeout_(context.loop, [this] { OnTimeout(); }) {
  ArmTimeout();
}

Relay::~Relay() = default;

absl::Duration Relay::ClientRemaining() const {
  if (!admitted_.facts.deadline) return admitted_.route.timeout - Elapsed();
  return *admitted_.facts.deadline - Elapsed();
}

absl::Duration Relay::Remaining() const {
  return std::min(ClientRemaining(), admitted_.route.timeout - Elapsed());
}

TimeNeeded Relay::EstimateTimeNeeded() const {
  return chervilwick::EstimateTimeNeeded(
      admitted_.route,
      context_.durations.Expect(admitted_.route.name, admitted_.OutputTokens()),
      Remaining());
}

void Relay::ArmTimeout() { timeout_.Arm(Remaining()); }

void Relay::OnConfigChange() {
  UpdateAccount();
  if (is_finished_) return;
  const Route* route = context_.current_route(admitted_.route.name);
  if (route == nullptr || route->timeout == admitted_.route.timeout) return;
  admitted_.route.timeout = route->timeout;
  ArmTimeout();
}

void Relay::UpdateAccount() {
  const Route* route = context_.current_route(admitted_.route.name);
  bool is_public =
      admitted_.route.is_public || (route != nullptr && route->is_public);
  Authorization granted = context_.authorize(admitted_.credentials, is_public);
  if (!granted.is_allowed) {
    if (is_key_revoked_) return;
    is_key_revoked_ = true;
    Log("key_revoked", "", MayHaveRun() ? "run goes on" : "not run");
    OnKeyRevoked();
    return;
  }
  // A configuration without accounts does not ask for credentials, but those
  // that were given to the front are not a server's to see.
  if (admitted_.account && !granted.account) granted.account = AccountName();
  if (admitted_.account != granted.account) {
    context_.log.Write(
        Now(), "account_changed",
        {{"id", admitted_.facts.request_id},
         {"account", granted.account->value()},
         {"before", admitted_.account.value_or(AccountName()).value()}});
  }
  admitted_.account = granted.account;
  admitted_.priority = granted.priority.value_or(admitted_.route.priority);
  if (!is_key_revoked_) return;
  is_key_revoked_ = false;
  Log("key_restored", "", "runs are allowed again");
  OnKeyRestored();
}

CallId Relay::CallEngine(const Endpoint& engine, const ForwardOptions& forward,
                         size_t max_body_bytes, CallHandler handler) {
  CallOptions options = EngineCallOptions();
  options.max_body_bytes = max_body_bytes;
  ForwardOptions with_account = forward;
  with_account.account = admitted_.account;
  if (admitted_.account && admitted_.route.kind == RouteKind::kStream) {
    with_account.priority = admitted_.priority;
  }
  CallId call = context_.client.Start(
      engine, context_.protocol.Forward(admitted_.request, with_account),
      options, std::move(handler));
  used_connections_.insert(context_.client.ConnectionOf(call));
  return call;
}

CallOptions Relay::EngineCallOptions() const {
  CallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.excluded = used_connections_;
  options.max_idle = admitted_.route.MayRepeat() ? kMaxIdle : kMaxIdleRunOnce;
  options.accepts = [this](const HttpHead& head, bool is_fresh) {
    ResponseMetadata facts = context_.protocol.ParseResponse(head);
    // A response without a request id may be a late duplicate of an earlier
    // response, so it is accepted only on a fresh connection.
    bool is_match = facts.request_id.empty()
                        ? is_fresh
                        : facts.request_id == admitted_.facts.request_id;
    if (!is_match) ++context_.stats.mismatched_answers;
    return is_match;
  };
  return options;
}

void Relay::RespondWithError(const ErrorResponse& error) {
  HttpResponse response;
  response.status = error.status;
  if (!admitted_.facts.request_id.empty()) {
    response.fields.push_back(
        context_.protocol.RequestIdField(admitted_.facts.request_id));
  }
  if (error.retry_after > absl::ZeroDuration()) {
    response.fields.push_back(context_.protocol.RetryAfter(error.retry_after));
  }
  if (error.status == 401) {
    response.fields.push_back({"WWW-Authenticate", "Bearer"});
  }
  context_.server->Respond(admitted_.id, response);
  bool is_refused = error.status == 503;
  if (is_refused) {
    ++context_.stats
          .refusals[{admitted_.route.name, absl::StrCat(error.reason)}];
  }
  Finish(is_refused ? "refused" : "failed", error.status, error.reason);
}

void Relay::Finish(absl::string_view outcome, int status,
                   absl::string_view reason) {
  if (is_finished_) return;
  is_finished_ = true;
  timeout_.Cancel();
  SettleCap();
  // Until the relay is destroyed, answers and timers that wait may come.
  CancelCalls();
  context_.stats.CountOutcome(admitted_.route.name, absl::StrCat(outcome));
  context_.stats.answer_time[admitted_.route.name].Add(Elapsed());
  // A stream that the client resumed is only the rest of one.
  if (outcome == "answered" && status < 300 && !admitted_.facts.last_event) {
    absl::Duration until_output = until_output_.value_or(Elapsed());
    context_.durations.Add(
        admitted_.route.name,
        {until_output, Elapsed() - until_output, admitted_.OutputTokens()});
  }
  context_.log.Write(
      Now(), "request_done",
      {{"id", admitted_.facts.request_id},
       {"first_attempt", admitted_.facts.first_attempt.value_or("-")},
       {"route", admitted_.route.name},
       {"version", admitted_.version.value()},
       {"outcome", outcome},
       {"status", status},
       {"reason", reason},
       {"fingerprint", FingerprintText(admitted_.fingerprint)},
       {"took_ms", Elapsed()},
       {"left_ms", Remaining()}});
  finished_(admitted_.id);
}

void Relay::SettleCap() {
  const CapCharge& charge = admitted_.charge;
  if (charge.cost == 0) return;
  bool has_run = MayHaveRun();
  if (!has_run) context_.accounts.Return(charge, Now());
  context_.stats.OfAccount(charge.account.value())
      .CountDone(has_run, charge.cost);
}

void Relay::Log(absl::string_view event, absl::string_view backend,
                absl::string_view detail) {
  context_.log.Write(Now(), event,
                     {{"id", admitted_.facts.request_id},
                      {"backend", backend},
                      {"detail", detail},
                      {"at_ms", Elapsed()}});
}

void Relay::LogBackendError(absl::string_view event, absl::string_view backend,
                            absl::string_view detail) {
  ++context_.stats.backend_errors[{absl::StrCat(backend), absl::StrCat(event)}];
  Log(event, backend, detail);
}

void Relay::LogAnswerHead(absl::string_view backend, const HttpHead& head) {
  if (!head.ends_with_connection) return;
  ++context_.stats.unframed_answers;
  Log("answer_without_length", backend, absl::StrCat("status ", head.status));
}

void Relay::LogLostRun(absl::string_view backend, absl::string_view sign) {
  ++context_.stats.lost_runs[absl::StrCat(sign)];
  context_.log.Write(Now(), "run_lost",
                     {{"id", admitted_.facts.request_id},
                      {"fingerprint", FingerprintText(admitted_.fingerprint)},
                      {"client", admitted_.client.ToString()},
                      {"parts", FingerprintText(admitted_.parts)},
                      {"backend", backend},
                      {"sign", sign}});
}

std::optional<absl::Time> Relay::TakeRepeat() {
  absl::Time now = Now();
  if (context_.quota.TryTake(admitted_.service, now)) {
    ++context_.stats.repeated_sends;
    return now;
  }
  ++context_.stats.quota_refusals;
  return std::nullopt;
}

void Relay::ReturnRepeat(absl::Time taken) {
  context_.quota.Return(admitted_.service, taken);
  --context_.stats.repeated_sends;
}

}  // namespace chervilwick
