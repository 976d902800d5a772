// Calls of plain services: claims on idempotency keys, and recovery from
// attempts that are refused, lost or late.

#include <algorithm>
#include <utility>

#include "chervilwick/entry/call_flow.h"
#include "chervilwick/entry/outcomes.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kCheckInterval = absl::Milliseconds(20);
constexpr absl::Duration kResendInterval = absl::Milliseconds(400);
constexpr absl::Duration kRetryAfter = absl::Seconds(1);
// A claim younger than this is probably still being served by its entry, so its
// attempt is not fenced yet.
constexpr absl::Duration kClaimGrace = absl::Seconds(3);
// An attempt without an answer is fenced this long before the deadline.
constexpr absl::Duration kFenceMargin = absl::Milliseconds(600);
constexpr absl::Duration kExtraPeerLifetime = absl::Seconds(30);
constexpr uint32_t kMaxTries = 6;

}  // namespace

void CallFlow::RequestClaim(CallRequest& request, int64_t revision,
                            absl::Time now) {
  request.phase = CallPhase::kClaiming;
  Claim claim;
  claim.attempt = request.leg->id;
  claim.agent = request.leg->agent;
  claim.agent_incarnation = request.leg->target;
  Backend* backend = context_.directory.Find(request.leg->backend);
  if (backend != nullptr) claim.agent_address = backend->address;
  claim.body_hash =
      StableHash(request.call.body, StableHash(request.call.path));
  request.claim = claim;
  claims_.Put(request.call.id.value(), request.claim_key, std::move(claim),
              revision, now);
}

void CallFlow::OnStoreReply(const KvReply& reply, absl::Time now) {
  claims_.OnReply(reply, now);
  FlushClaims(now);
}

void CallFlow::FlushClaims(absl::Time now) {
  for (const ClaimResult& it : claims_.TakeResults()) OnClaimResult(it, now);
  for (KvCall& it : claims_.TakeCalls()) {
    context_.Act(CallStore{StoreUser::kClaims, std::move(it)});
  }
}

void CallFlow::OnClaimResult(const ClaimResult& result, absl::Time now) {
  auto it = requests_.find(RequestId(result.op_id));
  if (it == requests_.end()) return;
  CallRequest& request = *it->second;
  if (request.phase != CallPhase::kClaiming) return;
  switch (result.outcome) {
    case ClaimOutcome::kGranted:
      request.claim_revision = result.revision;
      if (now > request.deadline) {
        Finish(request, NotRun(504, "deadline_exceeded",
                               "the deadline passed before the call could run",
                               kRetryAfter));
        return;
      }
      request.phase = CallPhase::kRunning;
      SendStart(request, *request.leg, now);
      return;
    case ClaimOutcome::kExists:
      OnClaimExists(request, result, now);
      return;
    case ClaimOutcome::kUnavailable:
      // The attempt was not sent to the agent, whether or not the store
      // recorded the claim.
      Finish(request,
             NotRun(503, "store_unreachable",
                    "the key-value store for idempotency keys can't be "
                    "reached",
                    kRetryAfter));
      return;
  }
}

void CallFlow::OnClaimExists(CallRequest& request, const ClaimResult& result,
                             absl::Time now) {
  uint64_t own_hash = request.claim.body_hash;
  DropLeg(request, request.leg, false);
  if (result.current.body_hash != own_hash) {
    Finish(request,
           NotRun(422, "key_reused",
                  "this idempotency key was used for a different request",
                  absl::ZeroDuration()));
    return;
  }
  request.claim = result.current;
  request.claim_revision = result.revision;
  if (!request.claim.done) {
    Follow(request, now);
    return;
  }
  RequestOutcome outcome;
  outcome.run = RunState::kDone;
  outcome.http_status = static_cast<int>(request.claim.http_status);
  outcome.content_type = request.claim.content_type;
  outcome.body = request.claim.body;
  if (request.claim.body_omitted) {
    outcome.code = "answer_not_kept";
    outcome.message =
        "the call ran, but its response was too large to be stored";
  }
  Finish(request, std::move(outcome));
}

// Another attempt holds the claim: waits for its result, and fences it at its
// agent once the claim is older than kClaimGrace.
void CallFlow::Follow(CallRequest& request, absl::Time now) {
  request.phase = CallPhase::kFollowing;
  BackendAttempt leg;
  leg.id = request.claim.attempt;
  leg.agent = request.claim.agent;
  leg.target = request.claim.agent_incarnation;
  leg.started = now;
  request.leg = leg;
  Track(leg.id, request.call.id);
  if (!request.claim.agent_address.empty()) {
    context_.extra_peers[request.claim.agent_address] =
        now + kExtraPeerLifetime;
  }
  absl::Time claimed = absl::FromUnixMillis(request.claim.claimed_unix_ms);
  request.next_step = std::min(claimed + kClaimGrace, now + kClaimGrace);
  if (request.next_step <= now) SendFence(request, now);
}

void CallFlow::SendFence(CallRequest& request, absl::Time now) {
  request.next_step = now + kResendInterval;
  context_.Send(request.leg->agent,
                Fence{request.leg->id, request.leg->target});
}

bool CallFlow::On(const FenceResult& message, absl::Time now) {
  std::vector<CallRequest*> found = Find(message.attempt);
  for (CallRequest* it : found) {
    bool awaits_fence =
        it->phase == CallPhase::kFencing || it->phase == CallPhase::kFollowing;
    if (!awaits_fence) continue;
    switch (message.state) {
      case FenceState::kNeverRan:
        if (it->phase == CallPhase::kFencing) --it->open_orders;
        OnNeverRan(*it, now);
        break;
      case FenceState::kRunning:
      case FenceState::kFinished:
        // The attempt's Done message follows or has already arrived.
        break;
      case FenceState::kUnknown:
        Finish(*it, UnknownOutcome(
                        "the backend server lost its records; the call may "
                        "have run"));
        break;
    }
  }
  FlushClaims(now);
  return !found.empty();
}

void CallFlow::OnNeverRan(CallRequest& request, absl::Time now) {
  DropLeg(request, request.leg, false);
  RetryNotRun(request, now);
}

// The call has certainly not run, so it may be sent to another backend server.
void CallFlow::RetryNotRun(CallRequest& request, absl::Time now) {
  ++request.tries;
  bool give_up = request.tries > kMaxTries || now > request.deadline ||
                 request.client_gone;
  if (give_up) {
    Finish(request, NotRun(503, "refused_by_backend_servers",
                           "no backend server accepted the call", kRetryAfter));
    return;
  }
  Begin(request, now);
}

void CallFlow::RetryIdempotent(CallRequest& request, absl::Time now) {
  ++request.tries;
  bool give_up = request.tries > kMaxTries || now > request.deadline ||
                 !context_.retries.TryTake();
  if (give_up) {
    Finish(request, Failed(502, "upstream_failed",
                           "the backend servers did not answer"));
    return;
  }
  ++context_.stats.retries;
  Begin(request, now);
}

bool CallFlow::On(const Refused& message, absl::Time now) {
  std::vector<CallRequest*> found = Find(message.attempt);
  for (CallRequest* it : found) {
    std::optional<BackendAttempt>& leg = LegOf(*it, message.attempt);
    Backend* backend =
        context_.directory.OnLoad(leg->backend, message.load, now);
    if (backend != nullptr) {
      backend->avoid_until = now + kResendInterval;
    }
    if (message.reason == RefusalReason::kStaleVersion) {
      ++context_.stats.stale_version_refusals;
    }
    --it->open_orders;
    bool was_hedge = &leg == &it->hedge;
    DropLeg(*it, leg, false);
    if (!was_hedge && it->hedge) {
      it->leg = std::exchange(it->hedge, std::nullopt);
    } else if (!was_hedge) {
      RetryNotRun(*it, now);
    }
  }
  FlushClaims(now);
  return !found.empty();
}

bool CallFlow::On(const Done& message, absl::Time now) {
  std::vector<CallRequest*> found = Find(message.attempt);
  for (CallRequest* it : found) {
    std::optional<BackendAttempt>& leg = LegOf(*it, message.attempt);
    context_.directory.OnLoad(leg->backend, message.load, now);
    if (message.status == WorkStatus::kOk) {
      Complete(*it, message, now);
    } else if (!it->route.idempotent) {
      Finish(*it, UnknownOutcome("the backend server failed while it ran the "
                                 "call; the call may have taken effect"));
    } else {
      DropLeg(*it, leg, true);
      if (it->hedge) it->leg = std::exchange(it->hedge, std::nullopt);
      if (!it->leg) RetryIdempotent(*it, now);
    }
  }
  FlushClaims(now);
  return !found.empty();
}

bool CallFlow::On(const UnknownAttempt& message, absl::Time now) {
  std::vector<CallRequest*> found = Find(message.attempt);
  for (CallRequest* it : found) {
    std::optional<BackendAttempt>& leg = LegOf(*it, message.attempt);
    if (!it->route.idempotent) {
      if (it->phase == CallPhase::kRunning) it->phase = CallPhase::kFencing;
      SendFence(*it, now);
      continue;
    }
    DropLeg(*it, leg, false);
    if (it->hedge) it->leg = std::exchange(it->hedge, std::nullopt);
    if (!it->leg) RetryIdempotent(*it, now);
  }
  return !found.empty();
}

bool CallFlow::IsLost(const BackendAttempt& leg, absl::Time now) {
  Backend* backend = context_.directory.Find(leg.backend);
  if (backend == nullptr || backend->incarnation != leg.target) return true;
  return context_.directory.LivenessOf(*backend, now) == Liveness::kSilent;
}

void CallFlow::OnLegLost(CallRequest& request, absl::Time now) {
  if (!request.route.idempotent) {
    request.phase = CallPhase::kFencing;
    SendFence(request, now);
    return;
  }
  DropLeg(request, request.leg, true);
  if (request.hedge) {
    request.leg = std::exchange(request.hedge, std::nullopt);
    return;
  }
  RetryIdempotent(request, now);
}

void CallFlow::Tick(absl::Time now) {
  claims_.Tick(now);
  FlushClaims(now);
  if (now < next_check_) return;
  next_check_ = now + kCheckInterval;
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) ids.push_back(id);
  for (const RequestId& id : ids) {
    auto it = requests_.find(id);
    if (it != requests_.end()) CheckOne(*it->second, now);
  }
  FlushClaims(now);
}

void CallFlow::CheckOne(CallRequest& request, absl::Time now) {
  if (now > request.deadline) {
    CheckDeadline(request, now);
    return;
  }
  switch (request.phase) {
    case CallPhase::kClaiming:
    case CallPhase::kEnded:
      return;
    case CallPhase::kRunning:
      CheckRunning(request, now);
      return;
    case CallPhase::kFencing:
    case CallPhase::kFollowing:
      if (now >= request.next_step) SendFence(request, now);
      return;
  }
}

void CallFlow::CheckRunning(CallRequest& request, absl::Time now) {
  if (IsLost(*request.leg, now)) {
    OnLegLost(request, now);
    return;
  }
  bool near_deadline =
      !request.route.idempotent && now > request.deadline - kFenceMargin;
  if (near_deadline) {
    // The fence keeps an attempt that has not started yet from starting later.
    request.phase = CallPhase::kFencing;
    SendFence(request, now);
    return;
  }
  MaybeHedge(request, now);
  if (now - request.next_step < kResendInterval) return;
  request.next_step = now;
  context_.Send(request.leg->agent, Resume{request.leg->id, 0});
}

void CallFlow::CheckDeadline(CallRequest& request, absl::Time now) {
  switch (request.phase) {
    case CallPhase::kEnded:
      return;
    case CallPhase::kClaiming:
      Finish(request, NotRun(504, "deadline_exceeded",
                             "the deadline passed before the call could run",
                             kRetryAfter));
      return;
    case CallPhase::kRunning:
    case CallPhase::kFencing:
    case CallPhase::kFollowing:
      if (request.route.idempotent) {
        Finish(
            request,
            Failed(504, "deadline_exceeded",
                   "the deadline passed before the backend server answered"));
        return;
      }
      SendFence(request, now);
      Finish(request,
             UnknownOutcome("no answer within the deadline; the call may have "
                            "run: retry it with the same idempotency key"));
      return;
  }
}

void CallFlow::OnClientGone(const RequestId& id) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  ++context_.stats.client_gone;
  CallRequest& request = *it->second;
  request.client_gone = true;
  // A call that may be running and must not be retried is kept until it ends.
  bool cancellable =
      request.route.idempotent || request.phase == CallPhase::kClaiming;
  if (!cancellable) return;
  DropLeg(request, request.leg, true);
  DropLeg(request, request.hedge, true);
  Retire(request);
}

}  // namespace chervilwick
