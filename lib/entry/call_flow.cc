// Calls of plain services: admission, dispatch, completion and hedging.

#include "chervilwick/entry/call_flow.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "chervilwick/entry/outcomes.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kRetryAfter = absl::Seconds(1);
constexpr absl::Duration kMinHedgeDelay = absl::Milliseconds(20);
// A call is hedged after the 95th percentile of the latency. kQuantileStep is
// the step of its running estimate, as a fraction of the estimate.
constexpr double kQuantile = 0.95;
constexpr double kQuantileStep = 0.05;
constexpr double kInitialP95Us = 200000;

}  // namespace

std::optional<RequestOutcome> CallFlow::CheckAdmission(
    const ClientCall& call) const {
  if (context_.stopping) {
    return NotRun(503, "stopping", "this entry is shutting down", kRetryAfter);
  }
  if (!context_.config.IsKnown()) {
    return NotRun(503, "not_ready",
                  "this entry has not received a configuration version yet",
                  kRetryAfter);
  }
  if (context_.config.setup().FindService(call.path) == nullptr) {
    return NotRun(404, "unknown_route",
                  absl::StrCat("no service is routed at path ", call.path),
                  absl::ZeroDuration());
  }
  return std::nullopt;
}

void CallFlow::OnClient(const ClientCall& call, absl::Time now) {
  ++context_.stats.calls;
  std::optional<RequestOutcome> refusal = CheckAdmission(call);
  Fingerprint fingerprint(StableHash(call.body, StableHash(call.path)));
  if (!refusal && context_.crashes.IsQuarantined(fingerprint)) {
    refusal = NotRun(422, "quarantined",
                     "this request crashed backend servers and is temporarily "
                     "quarantined",
                     absl::ZeroDuration());
  }
  if (refusal) {
    ++context_.stats.refused;
    context_.Act(FinishRequest{call.id, *std::move(refusal)});
    return;
  }
  const RoutingSetup& setup = context_.config.setup();
  auto owned = std::make_unique<CallRequest>();
  CallRequest& request = *owned;
  request.call = call;
  request.route = *setup.FindService(call.path, &request.prefix);
  request.fingerprint = fingerprint;
  request.arrived = now;
  request.deadline = now + std::min(call.deadline, request.route.deadline);
  bool needs_claim = !request.route.idempotent && !call.idempotency_key.empty();
  if (needs_claim) {
    // The client account is part of the key, so that equal idempotency keys of
    // different clients do not collide.
    request.claim_key = absl::StrFormat(
        "%016x%016x",
        StableHash(call.idempotency_key, StableHash(call.client.value())),
        StableHash(call.client.value(), StableHash(call.idempotency_key)));
  }
  context_.retries.OnFreshRequest(setup.limits.retry_percent);
  context_.hedges.OnFreshRequest(setup.limits.hedge_percent);
  requests_[call.id] = std::move(owned);
  Begin(request, now);
  FlushClaims(now);
}

bool CallFlow::ChooseLeg(CallRequest& request,
                         std::optional<BackendAttempt>& leg, absl::Time now) {
  const auto& pools = context_.config.setup().pools;
  auto pool = pools.find(request.route.pool);
  if (pool == pools.end()) return false;
  std::vector<Backend*> usable = context_.directory.Usable(pool->second, now);
  if (request.leg) {
    // A hedge uses another backend server than the first attempt.
    usable.erase(std::remove_if(usable.begin(), usable.end(),
                                [&](const Backend* it) {
                                  return it->name == request.leg->backend;
                                }),
                 usable.end());
  }
  RoutingRequest routing;
  routing.zone = context_.options.zone;
  routing.now = now;
  std::optional<RoutingChoice> choice =
      ChoosePlain(context_.policy, usable, routing, context_.random);
  if (!choice) return false;
  Backend& backend = *choice->backend;
  ++backend.unreported_places;
  leg = BackendAttempt{};
  leg->id = context_.NewAttempt();
  leg->backend = backend.name;
  leg->agent = backend.agent;
  leg->target = backend.incarnation;
  leg->started = now;
  Track(leg->id, request.call.id);
  return true;
}

void CallFlow::Begin(CallRequest& request, absl::Time now) {
  if (!ChooseLeg(request, request.leg, now)) {
    Finish(request,
           NotRun(503, "no_backend_server",
                  "no backend server is available for this call", kRetryAfter));
    return;
  }
  if (!request.claim_key.empty()) {
    RequestClaim(request, request.claim_revision, now);
    return;
  }
  request.phase = CallPhase::kRunning;
  SendStart(request, *request.leg, now);
}

void CallFlow::SendStart(CallRequest& request, const BackendAttempt& leg,
                         absl::Time now) {
  StartWork start;
  start.attempt = leg.id;
  start.kind = WorkKind::kPlain;
  start.priority = request.route.priority;
  start.target = leg.target;
  start.fingerprint = request.fingerprint;
  start.idempotent = request.route.idempotent;
  start.deadline_ms = static_cast<uint32_t>(
      std::max<int64_t>(0, absl::ToInt64Milliseconds(request.deadline - now)));
  start.prompt = request.call.body;
  start.method = request.call.method;
  start.path = request.call.path;
  start.content_type = request.call.content_type;
  start.trace = request.call.trace;
  context_.Send(leg.agent, std::move(start));
  ++request.open_orders;
  request.next_step = now;
}

void CallFlow::Complete(CallRequest& request, const Done& message,
                        absl::Time now) {
  PoolHealth& health = context_.health[request.route.pool];
  ++health.ok;
  const std::optional<BackendAttempt>& leg = LegOf(request, message.attempt);
  if (!request.call.trace.empty()) {
    SpanEnded span;
    span.trace = request.call.trace;
    span.name = "entry.call";
    span.target = leg->backend.value();
    span.result = "ok";
    span.start = leg->started;
    span.end = now;
    context_.Act(std::move(span));
  }
  if (request.phase == CallPhase::kRunning) {
    ObserveLatency(request.prefix, now - leg->started);
  }
  bool holds_claim =
      !request.claim_key.empty() && request.claim.attempt == message.attempt;
  if (holds_claim) {
    request.claim.done = true;
    request.claim.http_status = message.http_status;
    request.claim.content_type = message.content_type;
    request.claim.body = message.body;
    claims_.Record(request.claim_key, request.claim, request.claim_revision,
                   now);
  }
  RequestOutcome outcome;
  outcome.run = RunState::kDone;
  outcome.http_status = static_cast<int>(message.http_status);
  outcome.content_type = message.content_type;
  outcome.body = message.body;
  Finish(request, std::move(outcome));
}

void CallFlow::ObserveLatency(const std::string& prefix,
                              absl::Duration latency) {
  double sample = absl::ToDoubleMicroseconds(latency);
  auto [it, added] = p95_us_.emplace(prefix, kInitialP95Us);
  double step = kQuantileStep * it->second;
  it->second +=
      sample > it->second ? step * kQuantile : -step * (1 - kQuantile);
}

void CallFlow::MaybeHedge(CallRequest& request, absl::Time now) {
  if (!IsPredictive(context_.policy) || !request.route.idempotent ||
      !request.leg || request.hedge) {
    return;
  }
  auto estimate = p95_us_.find(request.prefix);
  double p95_us = estimate == p95_us_.end() ? kInitialP95Us : estimate->second;
  absl::Duration hedge_delay = std::max(
      kMinHedgeDelay, absl::Microseconds(static_cast<int64_t>(p95_us)));
  if (now - request.leg->started < hedge_delay) return;
  if (!context_.hedges.CanTake()) return;
  if (!ChooseLeg(request, request.hedge, now)) return;
  context_.hedges.TryTake();
  ++context_.stats.hedges;
  SendStart(request, *request.hedge, now);
}

void CallFlow::Finish(CallRequest& request, RequestOutcome outcome) {
  if (outcome.run == RunState::kNotRun && request.open_orders > 0) {
    outcome.run =
        request.route.idempotent ? RunState::kFailed : RunState::kUnknown;
  }
  switch (outcome.run) {
    case RunState::kDone:
      ++context_.stats.completed_requests;
      break;
    case RunState::kNotRun:
      ++context_.stats.refused;
      break;
    case RunState::kUnknown:
      ++context_.stats.unknown_outcomes;
      ++context_.health[request.route.pool].failed;
      break;
    case RunState::kFailed:
      ++context_.stats.failed;
      ++context_.health[request.route.pool].failed;
      break;
  }
  DropLeg(request, request.leg, request.phase != CallPhase::kFollowing);
  DropLeg(request, request.hedge, true);
  RequestId id = request.call.id;
  if (!request.client_gone) {
    context_.Act(FinishRequest{id, std::move(outcome)});
  }
  Retire(request);
}

void CallFlow::Retire(CallRequest& request) {
  auto it = requests_.find(request.call.id);
  request.phase = CallPhase::kEnded;
  ended_.push_back(std::move(it->second));
  requests_.erase(it);
}

void CallFlow::Track(const AttemptId& id, const RequestId& request) {
  by_attempt_[id].push_back(request);
}

void CallFlow::Untrack(const AttemptId& id, const RequestId& request) {
  auto it = by_attempt_.find(id);
  if (it == by_attempt_.end()) return;
  auto& ids = it->second;
  ids.erase(std::remove(ids.begin(), ids.end(), request), ids.end());
  if (ids.empty()) by_attempt_.erase(it);
}

void CallFlow::DropLeg(CallRequest& request, std::optional<BackendAttempt>& leg,
                       bool release) {
  if (!leg) return;
  if (release) context_.Send(leg->agent, Release{leg->id});
  Untrack(leg->id, request.call.id);
  leg.reset();
}

std::vector<CallRequest*> CallFlow::Find(const AttemptId& id) {
  std::vector<CallRequest*> found;
  auto it = by_attempt_.find(id);
  if (it == by_attempt_.end()) return found;
  for (const RequestId& request : it->second) {
    found.push_back(requests_.at(request).get());
  }
  return found;
}

std::optional<BackendAttempt>& CallFlow::LegOf(CallRequest& request,
                                               const AttemptId& id) {
  bool is_hedge = request.hedge && request.hedge->id == id;
  return is_hedge ? request.hedge : request.leg;
}

void CallFlow::AppendActive(const NodeName& agent,
                            List<AttemptId>& active) const {
  for (const auto& [id, request] : requests_) {
    for (const std::optional<BackendAttempt>* leg :
         {&request->leg, &request->hedge}) {
      if (*leg && (*leg)->agent == agent) active.items.push_back((*leg)->id);
    }
  }
}

}  // namespace chervilwick
