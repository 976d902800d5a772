// Admission, queueing and early refusal of streaming requests.

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/entry/outcomes.h"
#include "chervilwick/entry/stream_flow.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);
constexpr absl::Duration kRateWindow = absl::Milliseconds(500);
constexpr double kRateWeight = 0.5;
constexpr double kServiceWeight = 0.05;
constexpr double kServiceDeviations = 1;
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(30);
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

RequestOutcome OverloadedOutcome(absl::Duration wait) {
  return NotRun(kUnavailable, "overloaded",
                "the request cannot meet its target at the current load",
                std::clamp(wait, kDefaultRetryAfter, kMaxRetryAfter));
}

}  // namespace

std::optional<RequestOutcome> StreamFlow::ValidateRequest(
    const ClientStream& client_request) const {
  if (context_.stopping) {
    return NotRun(kUnavailable, "stopping", "this entry is shutting down",
                  kDefaultRetryAfter);
  }
  if (!context_.config.IsKnown()) {
    return NotRun(kUnavailable, "not_ready",
                  "this entry has no configuration version yet",
                  kDefaultRetryAfter);
  }
  const auto& models = context_.config.setup().models;
  auto it = models.find(client_request.model);
  if (it == models.end()) {
    return NotRun(
        kNotFound, "unknown_model",
        absl::StrCat("no model is named \"", client_request.model.value(),
                     "\" in version ", context_.config.number().value()),
        absl::ZeroDuration());
  }
  if (client_request.max_tokens == 0 ||
      client_request.max_tokens > context_.options.max_output_tokens) {
    return NotRun(kBadRequest, "bad_max_tokens",
                  absl::StrCat("max_tokens must be from 1 to ",
                               context_.options.max_output_tokens),
                  absl::ZeroDuration());
  }
  return std::nullopt;
}

void StreamFlow::OnClient(const ClientStream& client_request, absl::Time now) {
  ++context_.stats.streams;
  std::optional<RequestOutcome> refusal = ValidateRequest(client_request);
  Fingerprint fingerprint(
      StableHash(client_request.prompt, client_request.max_tokens));
  if (!refusal && context_.crashes.IsQuarantined(fingerprint)) {
    refusal = Failed(kUnprocessable, "quarantined",
                     "this request crashed backend servers and is temporarily "
                     "refused");
  }
  if (refusal) {
    ++context_.stats.refused;
    context_.Act(FinishRequest{client_request.id, *std::move(refusal)});
    return;
  }
  const Limits& limits = context_.config.setup().limits;
  context_.retries.OnFreshRequest(limits.retry_percent);
  context_.hedges.OnFreshRequest(limits.hedge_percent);
  const Model& model = context_.config.setup().models.at(client_request.model);
  auto owned = std::make_unique<StreamRequest>();
  StreamRequest& request = *owned;
  request.client_request = client_request;
  request.priority = std::max(client_request.priority, model.priority);
  request.fingerprint = fingerprint;
  request.prefixes = HashPrefixes(client_request.prompt);
  request.arrived = now;
  request.deadline = now + std::min(client_request.deadline, model.deadline);
  bool is_batch = request.priority == Priority::kBatch;
  request.first_token_deadline =
      is_batch ? request.deadline : now + model.first_token_target;
  request.token_target = model.token_target;
  uint32_t tokens = client_request.prompt_tokens + client_request.max_tokens;
  request.pieces =
      (tokens + model.tokens_per_piece - 1) / model.tokens_per_piece;
  requests_[client_request.id] = std::move(owned);
  Enqueue(request, false, now);
  Dispatch(now);
}

void StreamFlow::Enqueue(StreamRequest& request, bool at_front,
                         absl::Time now) {
  request.phase = StreamPhase::kWaiting;
  ModelQueue& queue = queues_[request.client_request.model];
  QueuedRequest queued{request.client_request.id, request.client_request.client,
                       request.priority,
                       request.PromptTokens() + request.TokensLeft()};
  if (at_front) {
    queue.waiting.PushFront(queued);
    return;
  }
  bool refuses_early =
      IsPredictive(context_.policy) && request.priority == Priority::kNormal;
  if (refuses_early) {
    absl::Duration wait =
        EstimateWait(request.client_request.model, request.priority, now);
    absl::Duration service = ServiceTime(request);
    if (now + wait + service > request.first_token_deadline) {
      Finish(request, OverloadedOutcome(wait));
      return;
    }
  }
  const Limits& limits = context_.config.setup().limits;
  AdmissionLimits bounds{limits.max_waiting_requests,
                         limits.max_waiting_per_client};
  AdmissionResult answer = queue.waiting.Push(queued, bounds);
  if (answer == AdmissionResult::kQueueFull) {
    std::optional<QueuedRequest> evicted =
        queue.waiting.EvictLessUrgent(request.priority);
    if (evicted) {
      Finish(*requests_.at(evicted->id), OverloadedOutcome(kMaxRetryAfter));
      answer = queue.waiting.Push(queued, bounds);
    }
  }
  if (answer == AdmissionResult::kQueueFull) {
    Finish(request, OverloadedOutcome(kMaxRetryAfter));
  } else if (answer == AdmissionResult::kClientLimit) {
    Finish(request, NotRun(kTooManyRequests, "client_limit",
                           "this client has too many queued requests",
                           kDefaultRetryAfter));
  }
}

absl::Duration StreamFlow::EstimateWait(const ModelName& model,
                                        Priority priority, absl::Time now) {
  ModelQueue& queue = queues_[model];
  size_t queued_before = 0;
  for (size_t it = 0; it <= static_cast<size_t>(priority); ++it) {
    queued_before += queue.waiting.SizeOf(static_cast<Priority>(it));
  }
  bool rate_known = queue.dispatch_per_second > 0 &&
                    now - queue.window_start < 4 * kRateWindow;
  if (queued_before == 0 || !rate_known) return absl::ZeroDuration();
  return absl::Seconds(static_cast<double>(queued_before) /
                       queue.dispatch_per_second);
}

void StreamFlow::RecordDispatch(const ModelName& model, absl::Time now) {
  ModelQueue& queue = queues_[model];
  ++queue.window_dispatches;
  absl::Duration elapsed = now - queue.window_start;
  if (elapsed < kRateWindow) return;
  bool was_waiting = elapsed < 4 * kRateWindow && queue.waiting.size() > 0;
  if (was_waiting) {
    double sample = static_cast<double>(queue.window_dispatches) /
                    absl::ToDoubleSeconds(elapsed);
    queue.dispatch_per_second +=
        (queue.dispatch_per_second == 0 ? 1 : kRateWeight) *
        (sample - queue.dispatch_per_second);
  }
  queue.window_dispatches = 0;
  queue.window_start = now;
}

void StreamFlow::RecordFirstToken(const StreamRequest& request,
                                  absl::Time now) {
  ModelQueue& queue = queues_[request.client_request.model];
  double sample = absl::ToDoubleMilliseconds(now - request.dispatched);
  double error = sample - queue.service_ms;
  queue.service_ms += kServiceWeight * error;
  queue.service_deviation_ms +=
      kServiceWeight * (std::abs(error) - queue.service_deviation_ms);
}

absl::Duration StreamFlow::ServiceTime(const StreamRequest& request) {
  const ModelQueue& queue = queues_[request.client_request.model];
  absl::Duration estimate = absl::Milliseconds(
      queue.service_ms + kServiceDeviations * queue.service_deviation_ms);
  // Without this cap, a high estimate could refuse all requests, and no new
  // sample would ever correct it.
  return std::min(estimate,
                  2 * (request.first_token_deadline - request.arrived) / 3);
}

bool StreamFlow::ServesBatch(absl::Time now) const {
  for (const auto& [id, request] : requests_) {
    if (request->priority == Priority::kBatch) return true;
  }
  const auto& all = context_.directory.all();
  return std::any_of(all.begin(), all.end(), [&](const auto& it) {
    return it.second.load.preemptible > 0 &&
           context_.directory.IsUsable(it.second, now);
  });
}

// Refuses queued requests that can no longer meet their target or deadline.
void StreamFlow::RefuseOverdueRequests(absl::Time now) {
  std::vector<StreamRequest*> late;
  // Batch work is preempted before an urgent request is refused.
  bool refuses_urgent = !ServesBatch(now);
  for (auto& [id, request] : requests_) {
    if (request->phase != StreamPhase::kWaiting) continue;
    bool started = request->delivered_tokens > 0;
    absl::Duration service = ServiceTime(*request);
    bool refusable = request->priority != Priority::kUrgent || refuses_urgent;
    bool past_target = IsPredictive(context_.policy) && !started && refusable &&
                       now + service > request->first_token_deadline;
    if (past_target || now > request->deadline) late.push_back(request.get());
  }
  for (StreamRequest* it : late) {
    queues_[it->client_request.model].waiting.Remove(
        it->client_request.id, it->client_request.client, it->priority);
    if (it->delivered_tokens > 0) {
      Finish(*it,
             Failed(kUnavailable, "deadline_exceeded",
                    "the deadline passed before the response was complete"));
    } else {
      Finish(*it, OverloadedOutcome(EstimateWait(it->client_request.model,
                                                 it->priority, now)));
    }
  }
}

size_t StreamFlow::waiting_count() const {
  size_t n = 0;
  for (const auto& [model, queue] : queues_) n += queue.waiting.size();
  return n;
}

}  // namespace chervilwick
