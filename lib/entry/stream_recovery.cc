// Timeouts, retries and failover of streaming requests.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/entry/outcomes.h"
#include "chervilwick/entry/stream_flow.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kCheckInterval = absl::Milliseconds(50);
constexpr absl::Duration kResendInterval = absl::Milliseconds(250);
constexpr absl::Duration kProgressInterval = absl::Milliseconds(500);
constexpr uint32_t kMaxReserveSends = 4;
constexpr uint32_t kMaxFailedAttempts = 6;
// A prefill is hedged once it has taken kHedgeFactor times its predicted time
// plus kHedgeMargin.
constexpr double kHedgeFactor = 2.0;
constexpr absl::Duration kHedgeMargin = absl::Milliseconds(100);

}  // namespace

StreamRequest* StreamFlow::Find(const AttemptId& id) {
  auto it = by_attempt_.find(id);
  if (it == by_attempt_.end()) return nullptr;
  return requests_.at(it->second).get();
}

void StreamFlow::RecordSpan(const StreamRequest& request, const char* name,
                            const BackendName& target, const char* result,
                            absl::Time start, absl::Time now) {
  if (request.client_request.trace.empty()) return;
  SpanEnded span;
  span.trace = request.client_request.trace;
  span.name = name;
  span.target = target.value();
  span.result = result;
  span.start = start;
  span.end = now;
  context_.Act(std::move(span));
}

void StreamFlow::Track(const AttemptId& id, const RequestId& request) {
  by_attempt_[id] = request;
}

void StreamFlow::EndAttempt(std::optional<BackendAttempt>& attempt,
                            bool release) {
  if (!attempt) return;
  if (release) context_.Send(attempt->agent, Release{attempt->id});
  by_attempt_.erase(attempt->id);
  attempt.reset();
}

void StreamFlow::EndAllAttempts(StreamRequest& request) {
  EndAttempt(request.decode, true);
  EndAttempt(request.prefill, true);
  EndAttempt(request.hedge, true);
}

void StreamFlow::Finish(StreamRequest& request, RequestOutcome outcome) {
  // kNotRun is reported only if no order was sent or all of them were refused.
  bool may_have_run = request.open_orders > 0;
  if (outcome.run == RunState::kNotRun && may_have_run) {
    outcome.run = RunState::kFailed;
  }
  EntryStats& stats = context_.stats;
  switch (outcome.run) {
    case RunState::kDone:
      ++stats.completed_requests;
      break;
    case RunState::kNotRun:
      ++stats.refused;
      break;
    case RunState::kUnknown:
    case RunState::kFailed:
      ++stats.failed;
      ++context_.health[request.decode_pool].failed;
      break;
  }
  if (request.phase == StreamPhase::kPrefilling) ++stats.prefills_wasted;
  EndAllAttempts(request);
  RequestId id = request.client_request.id;
  context_.Act(FinishRequest{id, std::move(outcome)});
  Retire(request);
}

void StreamFlow::Retire(StreamRequest& request) {
  auto it = requests_.find(request.client_request.id);
  request.phase = StreamPhase::kEnded;
  ended_.push_back(std::move(it->second));
  requests_.erase(it);
}

void StreamFlow::OnClientGone(const RequestId& id, absl::Time now) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  StreamRequest& request = *it->second;
  ++context_.stats.client_gone;
  if (request.phase == StreamPhase::kWaiting) {
    queues_[request.client_request.model].waiting.Remove(
        id, request.client_request.client, request.priority);
  }
  if (request.phase == StreamPhase::kPrefilling) {
    ++context_.stats.prefills_wasted;
  }
  EndAllAttempts(request);
  Retire(request);
  Dispatch(now);
}

bool StreamFlow::On(const Refused& message, absl::Time now) {
  StreamRequest* request = Find(message.attempt);
  if (request == nullptr) return false;
  OnAttemptRefused(*request, message, now);
  Dispatch(now);
  return true;
}

bool StreamFlow::On(const Done& message, absl::Time now) {
  StreamRequest* request = Find(message.attempt);
  if (request == nullptr) return false;
  bool is_decode = request->decode && request->decode->id == message.attempt;
  if (is_decode) {
    OnDecodeEnded(*request, message, now);
  } else {
    OnPrefillDone(*request, message, now);
  }
  Dispatch(now);
  return true;
}

void StreamFlow::OnDecodeEnded(StreamRequest& request, const Done& message,
                               absl::Time now) {
  context_.directory.OnLoad(request.decode->backend, message.load, now);
  if (message.status == WorkStatus::kOk) {
    request.end = message;
    TryComplete(request, now);
    return;
  }
  if (message.status == WorkStatus::kPreempted) {
    ++context_.stats.preempted;
    Restart(request, false, "preempted", now);
    return;
  }
  ++context_.health[request.decode_pool].failed;
  Restart(request, true, "decode failed", now);
}

bool StreamFlow::On(const UnknownAttempt& message, absl::Time now) {
  StreamRequest* request = Find(message.attempt);
  if (request == nullptr) return false;
  bool is_decode = request->decode && request->decode->id == message.attempt;
  if (is_decode) {
    bool ran = request->phase == StreamPhase::kDecoding;
    Restart(*request, ran, "agent restarted", now);
  } else {
    OnPrefillFailed(*request, message.attempt, now);
  }
  Dispatch(now);
  return true;
}

void StreamFlow::OnPrefillFailed(StreamRequest& request, const AttemptId& id,
                                 absl::Time now) {
  bool is_first = request.prefill && request.prefill->id == id;
  EndAttempt(is_first ? request.prefill : request.hedge, true);
  if (request.prefill || request.hedge) return;
  ++request.failed_attempts;
  if (request.failed_attempts > kMaxFailedAttempts) {
    Finish(request, Failed(502, "upstream_failed",
                           "prefill failed and no attempts are left"));
    return;
  }
  // The decode place is still reserved, so another prefill can use it.
  request.phase = StreamPhase::kScheduled;
  StartPrefill(request, now);
}

void StreamFlow::Restart(StreamRequest& request, bool charge_budget,
                         const std::string& cause, absl::Time now) {
  if (request.phase == StreamPhase::kDecoding) {
    RecordSpan(request, "entry.decode", request.decode->backend, cause.c_str(),
               request.decode_started, now);
  }
  bool was_prefilling = request.phase == StreamPhase::kPrefilling;
  if (was_prefilling) ++context_.stats.prefills_wasted;
  EndAllAttempts(request);
  request.phase = StreamPhase::kWaiting;
  request.buffered_pieces.clear();
  request.end.reset();
  if (request.TokensLeft() == 0) {
    // All tokens were delivered; only the Done message is missing.
    RequestOutcome outcome;
    outcome.run = RunState::kDone;
    outcome.http_status = 200;
    outcome.finish_reason = "length";
    Finish(request, std::move(outcome));
    return;
  }
  if (charge_budget) {
    ++request.failed_attempts;
    bool allowed = request.failed_attempts <= kMaxFailedAttempts &&
                   context_.retries.TryTake();
    if (!allowed) {
      Finish(request,
             Failed(502, "upstream_failed",
                    absl::StrCat("the response was interrupted (", cause,
                                 ") and could not be resumed")));
      return;
    }
    ++context_.stats.retries;
  }
  if (request.delivered_tokens > 0) ++context_.stats.resumed_streams;
  Enqueue(request, true, now);
}

bool StreamFlow::IsLost(const BackendAttempt& attempt, absl::Time now) {
  Backend* backend = context_.directory.Find(attempt.backend);
  if (backend == nullptr || backend->incarnation != attempt.target) return true;
  return context_.directory.LivenessOf(*backend, now) == Liveness::kSilent;
}

void StreamFlow::Tick(absl::Time now) {
  std::vector<RequestId> ids;
  bool checks = now >= next_check_;
  if (checks) next_check_ = now + kCheckInterval;
  for (const auto& [id, request] : requests_) {
    bool scheduled = request->phase == StreamPhase::kScheduled;
    if (checks || scheduled) ids.push_back(id);
  }
  // Requests are checked in order of arrival, independent of the table's order.
  std::sort(ids.begin(), ids.end());
  for (const RequestId& id : ids) {
    auto it = requests_.find(id);
    if (it != requests_.end()) CheckProgress(*it->second, now);
  }
  if (checks) RefuseOverdueRequests(now);
  Dispatch(now);
}

void StreamFlow::CheckProgress(StreamRequest& request, absl::Time now) {
  if (request.phase == StreamPhase::kWaiting) return;
  if (now > request.deadline) {
    Finish(request,
           Failed(504, "deadline_exceeded",
                  "the deadline passed before the response was complete"));
    return;
  }
  switch (request.phase) {
    case StreamPhase::kWaiting:
    case StreamPhase::kEnded:
      return;
    case StreamPhase::kReserving:
      CheckReserving(request, now);
      return;
    case StreamPhase::kScheduled:
      if (IsLost(*request.decode, now)) {
        Restart(request, false, "decode reservation lost", now);
      } else {
        StartPrefill(request, now);
      }
      return;
    case StreamPhase::kPrefilling:
      CheckPrefilling(request, now);
      return;
    case StreamPhase::kDecoding:
      CheckDecoding(request, now);
      return;
  }
}

void StreamFlow::CheckReserving(StreamRequest& request, absl::Time now) {
  BackendAttempt& attempt = *request.decode;
  if (now - attempt.last_sent < kResendInterval) return;
  if (attempt.sends >= kMaxReserveSends || IsLost(attempt, now)) {
    Restart(request, false, "no answer to the reservation", now);
    return;
  }
  SendReserve(request, now);
}

void StreamFlow::CheckPrefilling(StreamRequest& request, absl::Time now) {
  for (std::optional<BackendAttempt>* attempt :
       {&request.prefill, &request.hedge}) {
    if (!*attempt) continue;
    if (IsLost(**attempt, now)) {
      ++context_.stats.prefills_wasted;
      OnPrefillFailed(request, (*attempt)->id, now);
      return;
    }
    bool overdue = now > (*attempt)->expected_end + kResendInterval;
    if (!overdue || now - (*attempt)->last_sent < kProgressInterval) continue;
    (*attempt)->last_sent = now;
    // The original order may have been lost, so it is sent again.
    SendPrefillOrder(request, **attempt, now);
  }
  MaybeHedge(request, now);
}

void StreamFlow::MaybeHedge(StreamRequest& request, absl::Time now) {
  if (!IsPredictive(context_.policy) || !request.prefill || request.hedge) {
    return;
  }
  const BackendAttempt& attempt = *request.prefill;
  absl::Duration predicted = attempt.expected_end - attempt.started;
  if (now < attempt.started + kHedgeFactor * predicted + kHedgeMargin) return;
  const auto& pools = context_.config.setup().pools;
  auto pool = pools.find(request.prefill_pool);
  if (pool == pools.end()) return;
  std::vector<Backend*> others = context_.directory.Usable(pool->second, now);
  others.erase(std::remove_if(others.begin(), others.end(),
                              [&](const Backend* it) {
                                return it->name == attempt.backend;
                              }),
               others.end());
  std::optional<RoutingChoice> choice =
      ChoosePrefill(context_.policy, others, MakeRoutingRequest(request, now),
                    context_.random);
  if (!choice || !context_.hedges.TryTake()) return;
  ++context_.stats.hedges;
  request.hedge = SendPrefill(request, *choice, now);
}

void StreamFlow::CheckDecoding(StreamRequest& request, absl::Time now) {
  BackendAttempt& attempt = *request.decode;
  if (IsLost(attempt, now)) {
    ++context_.health[request.decode_pool].failed;
    Restart(request, true, "backend server lost", now);
    return;
  }
  bool stalled = now - request.last_progress >= kProgressInterval &&
                 now - request.last_resume >= kProgressInterval;
  if (!stalled) return;
  request.last_resume = now;
  ++context_.stats.resume_requests;
  bool order_may_be_lost = request.delivered_tokens == request.base_tokens;
  if (order_may_be_lost) SendDecodeOrder(request, now);
  context_.Send(attempt.agent, Resume{attempt.id, request.delivered_tokens -
                                                      request.base_tokens});
}

void StreamFlow::AppendActive(const NodeName& agent,
                              List<AttemptId>& active) const {
  for (const auto& [id, request] : requests_) {
    for (const std::optional<BackendAttempt>* it :
         {&request->decode, &request->prefill, &request->hedge}) {
      if (*it && (*it)->agent == agent) active.items.push_back((*it)->id);
    }
  }
}

}  // namespace chervilwick
