// AgentCore: event dispatch, messages from entries and heartbeats.

#include "chervilwick/agent/agent_core.h"

#include <algorithm>
#include <utility>

#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kPeerExpiry = absl::Seconds(10);
constexpr uint32_t kUsPerMs = 1000;

}  // namespace

AgentCore::AgentCore(AgentOptions options)
    : options_(std::move(options)),
      ledger_(options_.ledger),
      reconciler_(options_.backend) {}

std::vector<AgentAction> AgentCore::Handle(const AgentEvent& event,
                                           absl::Time now) {
  std::visit(
      Overloaded{
          [&](const AgentMessageReceived& it) { OnMessage(it.envelope, now); },
          [&](const EngineTokens& it) { OnTokens(it, now); },
          [&](const EngineFinished& it) { OnFinished(it, now); },
          [&](const EngineStatusChanged& it) {
            reconciler_.OnStatus(it.status);
          },
          [&](const EngineOrderDone&) { reconciler_.OnOrderDone(); },
          [&](const AgentStopRequested&) { stopping_ = true; },
          [&](const AgentTick&) {
            Expire(now);
            ledger_.Prune(now);
            crashes_.Prune(now);
          },
      },
      event);
  RunQueued(now);
  Reconcile(now);
  SendHeartbeats(now);
  CheckDrained(now);
  return std::exchange(actions_, {});
}

void AgentCore::Send(const NodeName& to, Message message) {
  actions_.emplace_back(SendMessage{to, std::move(message)});
}

void AgentCore::OnMessage(const Envelope& envelope, absl::Time now) {
  Peer& peer = peers_[envelope.from];
  peer.last_heard = now;
  peer.incarnation = envelope.incarnation;
  FollowVersion(envelope, now);
  std::visit([&](const auto& message) { On(envelope, message, now); },
             envelope.message);
}

void AgentCore::FollowVersion(const Envelope& envelope, absl::Time now) {
  if (envelope.version == config_.number()) last_confirmed_ = now;
  std::optional<ConfigPull> pull = config_.OnPeerVersion(envelope.version, now);
  if (pull) Send(envelope.from, *pull);
}

void AgentCore::On(const Envelope& envelope, const Hello& /*message*/,
                   absl::Time now) {
  Heartbeat heartbeat;
  heartbeat.leaving = IsLeaving();
  heartbeat.load = Load(now);
  heartbeat.crashes = crashes_.LatestReports(now);
  Send(envelope.from, std::move(heartbeat));
}

void AgentCore::On(const Envelope& envelope, const Heartbeat& message,
                   absl::Time now) {
  for (const AttemptId& id : message.active.items) {
    AttemptRecord* record = ledger_.Find(id);
    if (record == nullptr) continue;
    record->lease_until = now + options_.lease_timeout;
    record->owner = envelope.from;
  }
  for (const CrashReport& it : message.crashes.items) crashes_.Add(it, now);
}

void AgentCore::On(const Envelope& envelope, const Reserve& message,
                   absl::Time now) {
  if (message.target != options_.incarnation) {
    Send(envelope.from, UnknownAttempt{message.attempt});
    return;
  }
  if (AttemptRecord* record = ledger_.Find(message.attempt)) {
    if (record->state == AttemptState::kFenced) {
      Send(envelope.from,
           Refused{message.attempt, record->refusal, 0, Load(now)});
      return;
    }
    AnswerReserve(envelope.from, *record, now);
    return;
  }
  std::optional<RefusalReason> reason =
      CheckNewWork(envelope, message.fingerprint, WorkKind::kDecode, now);
  std::optional<absl::Time> place;
  // A crash suspect gets a place only if no other suspect is reserved, queued
  // or running here.
  if (!reason && !IsIsolated(message.fingerprint, true)) {
    reason = RefusalReason::kNoPlace;
  }
  if (!reason) {
    place = FindPlace(message, now);
    if (!place && message.may_preempt && PreemptFor(message, now)) {
      place = now + absl::Milliseconds(message.needed_in_ms);
    }
    if (!place) reason = RefusalReason::kNoPlace;
  }
  if (reason) {
    RefuseAndFence(envelope.from, message.attempt, true, *reason, now);
    return;
  }
  AttemptRecord record;
  record.id = message.attempt;
  record.owner = envelope.from;
  record.state = AttemptState::kReserved;
  record.start.attempt = message.attempt;
  record.start.kind = WorkKind::kDecode;
  record.start.priority = message.priority;
  record.start.fingerprint = message.fingerprint;
  record.start.output_tokens = message.output_tokens;
  record.start.pieces = message.pieces;
  record.place_from = *place;
  record.expires = record.place_from + absl::Milliseconds(message.hold_ms);
  record.lease_until = now + options_.lease_timeout;
  reserved_pieces_ += message.pieces;
  ++reserved_places_;
  AnswerReserve(envelope.from, ledger_.Insert(std::move(record)), now);
}

void AgentCore::AnswerReserve(const NodeName& to, const AttemptRecord& record,
                              absl::Time now) {
  absl::Duration wait = std::max(absl::ZeroDuration(), record.place_from - now);
  Reserved reserved;
  reserved.attempt = record.id;
  reserved.available_in_ms =
      static_cast<uint32_t>(absl::ToInt64Milliseconds(wait));
  reserved.load = Load(now);
  Send(to, reserved);
}

void AgentCore::On(const Envelope& envelope, const StartWork& message,
                   absl::Time now) {
  if (message.target != options_.incarnation) {
    Send(envelope.from, UnknownAttempt{message.attempt});
    return;
  }
  AttemptRecord* record = ledger_.Find(message.attempt);
  if (record == nullptr) {
    bool may_have_run =
        !message.idempotent && ledger_.MayHaveRun(message.attempt);
    if (may_have_run) {
      Send(envelope.from, UnknownAttempt{message.attempt});
      return;
    }
    std::optional<RefusalReason> reason =
        CheckNewWork(envelope, message.fingerprint, message.kind, now);
    if (!reason) reason = CheckQueue(message, now);
    if (reason) {
      RefuseAndFence(envelope.from, message.attempt, message.idempotent,
                     *reason, now);
      return;
    }
    AttemptRecord fresh;
    fresh.id = message.attempt;
    fresh.state = AttemptState::kReserved;
    record = &ledger_.Insert(std::move(fresh));
  } else if (record->state == AttemptState::kFenced) {
    Send(envelope.from,
         Refused{message.attempt, record->refusal, 0, Load(now)});
    return;
  } else if (record->state == AttemptState::kDone) {
    Send(envelope.from, record->done);
    return;
  } else if (record->state != AttemptState::kReserved) {
    record->lease_until = now + options_.lease_timeout;
    return;
  } else {
    ReleaseReservation(*record);
  }
  record->owner = envelope.from;
  record->state = AttemptState::kQueued;
  record->start = message;
  record->queued_at = now;
  record->deadline = now + absl::Milliseconds(message.deadline_ms);
  record->lease_until = now + options_.lease_timeout;
  ++queued_;
  if (message.kind == WorkKind::kPrefill) {
    LoadReport load = Load(now);
    uint32_t ahead_us = message.priority == Priority::kUrgent
                            ? load.urgent_queue_us
                            : load.queue_us;
    Accepted accepted{message.attempt, ahead_us / kUsPerMs, load};
    Send(envelope.from, accepted);
  }
}

void AgentCore::On(const Envelope& envelope, const Resume& message,
                   absl::Time now) {
  AttemptRecord* record = ledger_.Find(message.attempt);
  if (record == nullptr) {
    Send(envelope.from, UnknownAttempt{message.attempt});
    return;
  }
  record->lease_until = now + options_.lease_timeout;
  record->owner = envelope.from;
  if (record->state == AttemptState::kFenced) {
    Send(envelope.from,
         Refused{message.attempt, record->refusal, 0, Load(now)});
    return;
  }
  if (message.next_offset < record->output.size()) {
    Piece piece;
    piece.attempt = message.attempt;
    piece.offset = message.next_offset;
    piece.tokens.items.assign(record->output.begin() + message.next_offset,
                              record->output.end());
    Send(envelope.from, std::move(piece));
  }
  if (record->state == AttemptState::kDone) Send(envelope.from, record->done);
}

void AgentCore::On(const Envelope& envelope, const Release& message,
                   absl::Time now) {
  AttemptRecord* record = ledger_.Find(message.attempt);
  if (record == nullptr) {
    // The release may have overtaken its order, which must not run when it
    // arrives.
    if (!ledger_.MayHaveRun(message.attempt)) {
      AttemptRecord fenced;
      fenced.id = message.attempt;
      fenced.owner = envelope.from;
      ledger_.End(ledger_.Insert(std::move(fenced)), AttemptState::kFenced,
                  now);
    }
    return;
  }
  switch (record->state) {
    case AttemptState::kReserved:
    case AttemptState::kQueued:
      RefuseLive(*record, RefusalReason::kFenced, now);
      return;
    case AttemptState::kRunning:
      if (record->start.idempotent) {
        StopWork(*record, WorkStatus::kCancelled, now);
      }
      return;
    case AttemptState::kDone:
      if (record->start.idempotent) ledger_.Erase(message.attempt);
      return;
    case AttemptState::kFenced:
      return;
  }
}

void AgentCore::On(const Envelope& envelope, const Fence& message,
                   absl::Time now) {
  FenceResult result{message.attempt, FenceState::kUnknown};
  if (message.target != options_.incarnation) {
    // The order went to an earlier incarnation, whose records are lost. A
    // record in this incarnation only stems from a late release.
    Send(envelope.from, result);
    return;
  }
  AttemptRecord* record = ledger_.Find(message.attempt);
  if (record == nullptr) {
    if (!ledger_.MayHaveRun(message.attempt)) {
      AttemptRecord fenced;
      fenced.id = message.attempt;
      fenced.owner = envelope.from;
      fenced.start.idempotent = false;
      ledger_.End(ledger_.Insert(std::move(fenced)), AttemptState::kFenced,
                  now);
      result.state = FenceState::kNeverRan;
    }
    Send(envelope.from, result);
    return;
  }
  switch (record->state) {
    case AttemptState::kReserved:
    case AttemptState::kQueued:
      RefuseLive(*record, RefusalReason::kFenced, now);
      result.state = FenceState::kNeverRan;
      break;
    case AttemptState::kRunning:
      // The final message goes to the node that asked last.
      record->owner = envelope.from;
      result.state = FenceState::kRunning;
      break;
    case AttemptState::kDone:
      result.state = FenceState::kFinished;
      Send(envelope.from, record->done);
      break;
    case AttemptState::kFenced:
      result.state = FenceState::kNeverRan;
      break;
  }
  Send(envelope.from, result);
}

void AgentCore::On(const Envelope& envelope, const ConfigPull& message,
                   absl::Time /*now*/) {
  std::optional<ConfigPush> push = config_.OnPull(message);
  if (push) Send(envelope.from, *std::move(push));
}

void AgentCore::On(const Envelope& envelope, const ConfigPush& message,
                   absl::Time now) {
  config_.OnPush(message, now);
  if (envelope.version == config_.number()) last_confirmed_ = now;
}

void AgentCore::SendHeartbeats(absl::Time now) {
  bool changed = IsLeaving() != announced_leaving_ ||
                 reconciler_.IsReconciled(config_) != announced_ready_;
  if (!changed && now < next_heartbeat_) return;
  LoadReport load = Load(now);
  next_heartbeat_ = now + options_.heartbeat_interval;
  announced_leaving_ = load.leaving;
  announced_ready_ = load.ready;
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.last_heard > kPeerExpiry) {
      it = peers_.erase(it);
      continue;
    }
    Heartbeat heartbeat;
    heartbeat.leaving = load.leaving;
    heartbeat.load = load;
    heartbeat.crashes = crashes_.LatestReports(now);
    Send(it->first, std::move(heartbeat));
    ++it;
  }
}

}  // namespace chervilwick
