// Dispatch of streaming requests: choice of backend servers, reservation,
// prefill and decode.

#include <algorithm>
#include <utility>

#include "chervilwick/entry/outcomes.h"
#include "chervilwick/entry/stream_flow.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

// How far ahead a decode place may be reserved under the predictive policy.
constexpr absl::Duration kReservationHorizon = absl::Milliseconds(400);
// Work queued at the chosen prefill backend server beyond which requests stay
// in the entry's queue, ordered by priority.
constexpr absl::Duration kMaxPrefillBacklog = absl::Milliseconds(150);
constexpr absl::Duration kHoldMargin = absl::Milliseconds(1500);
constexpr absl::Duration kAvoidTime = absl::Milliseconds(100);
constexpr absl::Duration kNotReadyAvoidTime = absl::Seconds(1);
constexpr double kPrefixConfidence = 0.5;
constexpr absl::Duration kPreemptMargin = absl::Milliseconds(500);

uint32_t ToMs(absl::Duration duration) {
  int64_t ms = absl::ToInt64Milliseconds(duration);
  return static_cast<uint32_t>(std::clamp<int64_t>(ms, 0, UINT32_MAX));
}

BackendAttempt MakeAttempt(const AttemptId& id, const Backend& backend,
                           absl::Time now) {
  BackendAttempt attempt;
  attempt.id = id;
  attempt.backend = backend.name;
  attempt.agent = backend.agent;
  attempt.target = backend.incarnation;
  attempt.started = now;
  return attempt;
}

}  // namespace

void StreamFlow::Dispatch(absl::Time now) {
  for (auto& [model, queue] : queues_) {
    while (std::optional<QueuedRequest> next = queue.waiting.Pop()) {
      StreamRequest& request = *requests_.at(next->id);
      if (!DispatchOne(request, now)) {
        // DispatchOne may have finished the request, which removes it.
        if (requests_.contains(next->id)) queue.waiting.PushFront(*next);
        break;
      }
      RecordDispatch(model, now);
    }
  }
}

// A response that has started may stay on its pools after their route was
// removed, as long as both pools still exist and serve the same weights.
bool StreamFlow::KeepsPinnedPair(const StreamRequest& request) const {
  if (request.delivered_tokens == 0) return false;
  const auto& pools = context_.config.setup().pools;
  auto prefill = pools.find(request.prefill_pool);
  auto decode = pools.find(request.decode_pool);
  return prefill != pools.end() && decode != pools.end() &&
         prefill->second.weights == request.weights &&
         decode->second.weights == request.weights;
}

bool StreamFlow::ChooseRoute(StreamRequest& request) {
  const RoutingSetup& setup = context_.config.setup();
  auto model = setup.models.find(request.client_request.model);
  if (model == setup.models.end()) return false;
  std::vector<const ModelRoute*> routes;
  uint64_t total = 0;
  for (const ModelRoute& it : model->second.routes) {
    // A response must not mix the output of different weights.
    bool fits = request.delivered_tokens == 0 ||
                setup.pools.at(it.decode).weights == request.weights;
    if (!fits || it.share == 0) continue;
    routes.push_back(&it);
    total += it.share;
  }
  if (total == 0) return KeepsPinnedPair(request);
  uint64_t point =
      StableHash("route", request.client_request.id.value() ^
                              context_.options.incarnation.value()) %
      total;
  for (const ModelRoute* it : routes) {
    if (point >= it->share) {
      point -= it->share;
      continue;
    }
    request.prefill_pool = it->prefill;
    request.decode_pool = it->decode;
    request.weights = setup.pools.at(it->decode).weights;
    request.version = context_.config.number();
    return true;
  }
  return false;
}

// An urgent request may preempt batch work, but only when waiting for a free
// place would miss its first-token deadline.
bool StreamFlow::MayPreempt(const StreamRequest& request, absl::Time now) {
  return request.priority == Priority::kUrgent &&
         now + ServiceTime(request) + kPreemptMargin >
             request.first_token_deadline;
}

RoutingRequest StreamFlow::MakeRoutingRequest(const StreamRequest& request,
                                              absl::Time now) {
  RoutingRequest routing;
  routing.prompt_tokens = request.PromptTokens();
  routing.output_tokens = request.TokensLeft();
  routing.pieces = request.pieces;
  routing.priority = request.priority;
  routing.may_preempt = MayPreempt(request, now);
  routing.zone = context_.options.zone;
  routing.prefixes = &request.prefixes;
  routing.index = &prefixes_;
  routing.max_wait =
      IsPredictive(context_.policy)
          ? kReservationHorizon
          : std::max(absl::ZeroDuration(), request.deadline - now);
  routing.now = now;
  return routing;
}

bool StreamFlow::DispatchOne(StreamRequest& request, absl::Time now) {
  if (!ChooseRoute(request)) {
    bool can_restart = request.delivered_tokens == 0;
    Finish(request,
           can_restart
               ? NotRun(503, "no_route", "no route serves this model",
                        absl::Seconds(1))
               : Failed(502, "weights_changed",
                        "the response was interrupted and no pool serves the "
                        "weights that it started with"));
    return false;
  }
  const RoutingSetup& setup = context_.config.setup();
  RoutingRequest routing = MakeRoutingRequest(request, now);
  std::optional<RoutingChoice> prefill = ChoosePrefill(
      context_.policy,
      context_.directory.Usable(setup.pools.at(request.prefill_pool), now),
      routing, context_.random);
  if (!prefill) return false;
  if (IsPredictive(context_.policy)) {
    absl::Duration own = PrefillTime(*prefill->backend, request.PromptTokens());
    if (prefill->ready_in > own + kMaxPrefillBacklog) return false;
    routing.max_wait = std::max(kReservationHorizon, prefill->ready_in);
  }
  std::optional<RoutingChoice> decode = ChooseDecode(
      context_.policy,
      context_.directory.Usable(setup.pools.at(request.decode_pool), now),
      routing, context_.random);
  if (!decode) return false;
  request.decode = MakeAttempt(context_.NewAttempt(), *decode->backend, now);
  request.place_available_at = now + prefill->ready_in;
  ++decode->backend->unreported_places;
  Track(request.decode->id, request.client_request.id);
  request.phase = StreamPhase::kReserving;
  request.dispatched = now;
  RecordSpan(request, "entry.queue", BackendName(""), "ok", request.arrived,
             now);
  ++context_.stats.reservations;
  SendReserve(request, now);
  return true;
}

void StreamFlow::SendReserve(StreamRequest& request, absl::Time now) {
  BackendAttempt& attempt = *request.decode;
  attempt.last_sent = now;
  ++attempt.sends;
  absl::Duration needed_in =
      std::max(absl::ZeroDuration(), request.place_available_at - now);
  Reserve reserve;
  reserve.attempt = attempt.id;
  reserve.pieces = request.pieces;
  reserve.needed_in_ms = ToMs(needed_in);
  reserve.max_wait_ms = ToMs(MakeRoutingRequest(request, now).max_wait);
  reserve.hold_ms = ToMs(needed_in + kHoldMargin);
  reserve.output_tokens = request.TokensLeft();
  reserve.priority = request.priority;
  reserve.may_preempt = MayPreempt(request, now);
  reserve.target = attempt.target;
  reserve.fingerprint = request.fingerprint;
  context_.Send(attempt.agent, reserve);
}

bool StreamFlow::On(const Reserved& message, absl::Time now) {
  StreamRequest* request = Find(message.attempt);
  if (request == nullptr) return false;
  bool expected = request->phase == StreamPhase::kReserving &&
                  request->decode && request->decode->id == message.attempt;
  if (!expected) return true;
  context_.directory.OnLoad(request->decode->backend, message.load, now);
  request->place_available_at =
      now + absl::Milliseconds(message.available_in_ms);
  request->phase = StreamPhase::kScheduled;
  RecordSpan(*request, "entry.reserve", request->decode->backend, "ok",
             request->decode->started, now);
  StartPrefill(*request, now);
  return true;
}

// Starts the prefill once it is predicted to end no earlier than the decode
// place becomes free. Returns whether it started.
bool StreamFlow::StartPrefill(StreamRequest& request, absl::Time now) {
  const auto& pools = context_.config.setup().pools;
  auto pool = pools.find(request.prefill_pool);
  bool withdrawn =
      pool == pools.end() || pool->second.weights != request.weights;
  std::optional<RoutingChoice> choice;
  if (!withdrawn) {
    choice = ChoosePrefill(context_.policy,
                           context_.directory.Usable(pool->second, now),
                           MakeRoutingRequest(request, now), context_.random);
  }
  if (!choice) {
    bool should_restart =
        withdrawn || now > request.decode->started + kHoldMargin;
    if (should_restart) Restart(request, false, "no prefill server", now);
    return false;
  }
  if (now + choice->ready_in < request.place_available_at) return false;
  request.phase = StreamPhase::kPrefilling;
  request.prefill = SendPrefill(request, *choice, now);
  return true;
}

BackendAttempt StreamFlow::SendPrefill(StreamRequest& request,
                                       const RoutingChoice& choice,
                                       absl::Time now) {
  Backend& backend = *choice.backend;
  BackendAttempt attempt = MakeAttempt(context_.NewAttempt(), backend, now);
  attempt.expected_end = now + choice.ready_in;
  backend.unreported_queue_us +=
      absl::ToDoubleMicroseconds(PrefillTime(backend, request.PromptTokens()));
  ++backend.unreported_places;
  Track(attempt.id, request.client_request.id);
  ++context_.stats.prefills_started;
  ++request.open_orders;
  attempt.last_sent = now;
  attempt.sends = 1;
  SendPrefillOrder(request, attempt, now);
  return attempt;
}

void StreamFlow::SendPrefillOrder(StreamRequest& request,
                                  const BackendAttempt& attempt,
                                  absl::Time now) {
  StartWork start;
  start.attempt = attempt.id;
  start.kind = WorkKind::kPrefill;
  start.priority = request.priority;
  start.target = attempt.target;
  start.fingerprint = request.fingerprint;
  start.deadline_ms = ToMs(request.deadline - now);
  start.model = request.client_request.model.value();
  start.prompt = request.FullPrompt();
  start.prompt_tokens = request.PromptTokens();
  start.output_tokens = 1;
  start.pieces = request.pieces;
  start.trace = request.client_request.trace;
  context_.Send(attempt.agent, std::move(start));
}

bool StreamFlow::On(const Accepted& message, absl::Time now) {
  StreamRequest* request = Find(message.attempt);
  if (request == nullptr) return false;
  bool is_hedge = request->hedge && request->hedge->id == message.attempt;
  std::optional<BackendAttempt>& attempt =
      is_hedge ? request->hedge : request->prefill;
  if (!attempt || !(attempt->id == message.attempt)) return true;
  context_.directory.OnLoad(attempt->backend, message.load, now);
  attempt->expected_end = now + absl::Milliseconds(message.expected_in_ms);
  return true;
}

void StreamFlow::OnPrefillDone(StreamRequest& request, const Done& message,
                               absl::Time now) {
  std::optional<BackendAttempt>& attempt =
      request.prefill && request.prefill->id == message.attempt
          ? request.prefill
          : request.hedge;
  context_.directory.OnLoad(attempt->backend, message.load, now);
  if (message.status != WorkStatus::kOk) {
    OnPrefillFailed(request, message.attempt, now);
    return;
  }
  double predicted = prefixes_.Match(request.prefixes, attempt->backend, now);
  if (predicted > kPrefixConfidence && message.prefix_hit_tokens == 0) {
    prefixes_.OnMiss(request.prefixes, attempt->backend);
  }
  prefixes_.Insert(request.prefixes, attempt->backend, now);
  RecordSpan(request, "entry.prefill", attempt->backend, "ok", attempt->started,
             now);
  EndAttempt(attempt, true);
  bool has_other_prefill = request.prefill || request.hedge;
  if (has_other_prefill) ++context_.stats.prefills_wasted;
  EndAttempt(request.prefill, true);
  EndAttempt(request.hedge, true);
  StartDecode(request, message.kv_params, now);
}

void StreamFlow::StartDecode(StreamRequest& request, std::string kv_params,
                             absl::Time now) {
  ++request.open_orders;
  request.kv_params = std::move(kv_params);
  request.phase = StreamPhase::kDecoding;
  request.decode_started = now;
  request.base_tokens = request.delivered_tokens;
  request.last_progress = now;
  request.last_resume = now;
  request.window_tokens = 0;
  SendDecodeOrder(request, now);
}

void StreamFlow::SendDecodeOrder(StreamRequest& request, absl::Time now) {
  BackendAttempt& attempt = *request.decode;
  attempt.last_sent = now;
  StartWork start;
  start.attempt = attempt.id;
  start.kind = WorkKind::kDecode;
  start.priority = request.priority;
  start.target = attempt.target;
  start.fingerprint = request.fingerprint;
  start.deadline_ms = ToMs(request.deadline - now);
  start.model = request.client_request.model.value();
  start.prompt = request.FullPrompt();
  start.prompt_tokens = request.PromptTokens();
  start.output_tokens = request.TokensLeft();
  start.pieces = request.pieces;
  start.kv_params = request.kv_params;
  start.trace = request.client_request.trace;
  context_.Send(attempt.agent, std::move(start));
}

void StreamFlow::OnAttemptRefused(StreamRequest& request,
                                  const Refused& message, absl::Time now) {
  bool is_decode = request.decode && request.decode->id == message.attempt;
  std::optional<BackendAttempt>& attempt =
      is_decode ? request.decode
      : request.prefill && request.prefill->id == message.attempt
          ? request.prefill
          : request.hedge;
  Backend* backend =
      context_.directory.OnLoad(attempt->backend, message.load, now);
  if (backend != nullptr) {
    bool is_down = message.reason == RefusalReason::kEngineNotReady;
    backend->avoid_until = now + (is_down ? kNotReadyAvoidTime : kAvoidTime);
  }
  bool was_ordered = !is_decode || request.phase == StreamPhase::kDecoding;
  if (was_ordered) --request.open_orders;
  if (message.reason == RefusalReason::kStaleVersion) {
    ++context_.stats.stale_version_refusals;
  }
  if (message.reason == RefusalReason::kCrashSuspect) {
    Finish(request, Failed(422, "quarantined",
                           "this request crashed backend servers and is "
                           "temporarily refused"));
    return;
  }
  if (!is_decode) {
    OnPrefillFailed(request, message.attempt, now);
    return;
  }
  ++context_.stats.reservations_refused;
  // A refused decode wastes the completed prefill.
  bool prefilled = request.phase == StreamPhase::kDecoding;
  if (prefilled) ++context_.stats.prefills_wasted;
  Restart(request, prefilled, RefusalReasonName(message.reason), now);
}

}  // namespace chervilwick
