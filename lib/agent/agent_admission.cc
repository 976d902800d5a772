// AgentCore: admission of new work, load prediction and load reports.

#include <algorithm>
#include <utility>

#include "chervilwick/agent/agent_core.h"

namespace chervilwick {
namespace {

constexpr uint32_t kRetryAfterMs = 250;
constexpr double kMaxSlowdown = 20;

absl::Duration Microseconds(double count) {
  return absl::Nanoseconds(static_cast<int64_t>(count * 1000));
}

PoolRole RoleFor(WorkKind kind) {
  switch (kind) {
    case WorkKind::kPrefill:
      return PoolRole::kPrefill;
    case WorkKind::kDecode:
      return PoolRole::kDecode;
    case WorkKind::kPlain:
      return PoolRole::kPlain;
  }
  return PoolRole::kPlain;
}

}  // namespace

PoolRole AgentCore::RoleInForce() const {
  const Pool* pool = config_.setup().FindPoolOf(options_.backend);
  return pool == nullptr ? PoolRole::kPlain : pool->role;
}

bool AgentCore::IsRemovedOrDrained() const {
  const Pool* pool = config_.setup().FindPoolOf(options_.backend);
  return pool == nullptr || pool->servers.at(options_.backend).drained;
}

bool AgentCore::IsLeaving() const { return stopping_ || IsRemovedOrDrained(); }

std::optional<RefusalReason> AgentCore::CheckNewWork(const Envelope& envelope,
                                                     Fingerprint fingerprint,
                                                     WorkKind kind,
                                                     absl::Time now) {
  // A sender whose version was superseded longer than the grace period ago may
  // route by a withdrawn configuration.
  absl::Time superseded = config_.SupersededAt(envelope.version);
  if (now > superseded + options_.stale_version_grace) {
    ++stats_.refused_stale_version;
    return RefusalReason::kStaleVersion;
  }
  if (IsLeaving()) return RefusalReason::kDraining;
  if (RoleInForce() != RoleFor(kind)) return RefusalReason::kWrongRole;
  if (!reconciler_.IsReconciled(config_)) {
    return RefusalReason::kEngineNotReady;
  }
  if (crashes_.IsQuarantined(fingerprint)) return RefusalReason::kCrashSuspect;
  return std::nullopt;
}

std::optional<RefusalReason> AgentCore::CheckQueue(const StartWork& start,
                                                   absl::Time now) {
  // A decode runs only on a reservation, and this one's is gone.
  if (start.kind == WorkKind::kDecode) {
    return RefusalReason::kReservationExpired;
  }
  if (queued_ >= options_.max_queued) return RefusalReason::kQueueTooLong;
  if (start.kind != WorkKind::kPrefill) return std::nullopt;
  absl::Duration wait =
      PrefillBacklog(start.priority, now) + PrefillTime(start.prompt_tokens);
  bool late = wait > absl::Milliseconds(start.deadline_ms);
  return late ? std::optional(RefusalReason::kQueueTooLong) : std::nullopt;
}

std::optional<absl::Time> AgentCore::FindPlace(const Reserve& reserve,
                                               absl::Time now) {
  PlaceCapacity capacity{options_.decode_places, options_.pieces};
  absl::Time from = now + absl::Milliseconds(reserve.needed_in_ms);
  absl::Time latest = from + absl::Milliseconds(reserve.max_wait_ms);
  return EarliestPlace(capacity, PlaceUses(now), from, latest, reserve.pieces);
}

bool AgentCore::IsPreemptible(const AttemptRecord& record) {
  return record.state == AttemptState::kRunning && !record.stopping &&
         record.start.kind == WorkKind::kDecode &&
         record.start.priority == Priority::kBatch;
}

bool AgentCore::HasPreemptibleAttempt() {
  bool any = false;
  ledger_.ForEachLive([&](AttemptRecord& it) { any |= IsPreemptible(it); });
  return any;
}

bool AgentCore::PreemptFor(const Reserve& reserve, absl::Time now) {
  AttemptRecord* victim = nullptr;
  ledger_.ForEachLive([&](AttemptRecord& it) {
    if (!IsPreemptible(it) || it.start.pieces < reserve.pieces) return;
    // Preempting the attempt with the least output wastes the least work.
    bool better = victim == nullptr || it.output.size() < victim->output.size();
    if (better) victim = &it;
  });
  if (victim == nullptr) return false;
  ++stats_.preempted;
  StopWork(*victim, WorkStatus::kPreempted, now);
  return true;
}

std::vector<PlaceUse> AgentCore::PlaceUses(absl::Time now) {
  std::vector<PlaceUse> uses;
  uses.reserve(ledger_.live_count());
  ledger_.ForEachLive([&](AttemptRecord& it) {
    if (it.start.kind != WorkKind::kDecode || it.stopping) return;
    absl::Time from = it.state == AttemptState::kReserved
                          ? std::max(now, it.place_from)
                          : now;
    uses.push_back({PredictedEnd(it, from), it.start.pieces});
  });
  return uses;
}

absl::Time AgentCore::PredictedEnd(const AttemptRecord& record,
                                   absl::Time from) const {
  size_t produced =
      std::min<size_t>(record.output.size(), record.start.output_tokens);
  double left = static_cast<double>(record.start.output_tokens - produced);
  // Adds one token time because the end is reported after the last token.
  return from + Microseconds((left + 1) * token_us_);
}

absl::Duration AgentCore::PrefillTime(uint32_t tokens) const {
  return Microseconds(prefill_ns_per_token_ * tokens / 1000);
}

absl::Duration AgentCore::PrefillBacklog(Priority min_priority,
                                         absl::Time now) {
  absl::Duration running = absl::ZeroDuration();
  absl::Duration queued = absl::ZeroDuration();
  double slowdown = 1;
  ledger_.ForEachLive([&](AttemptRecord& it) {
    if (it.start.kind != WorkKind::kPrefill) return;
    absl::Duration work = PrefillTime(it.start.prompt_tokens);
    if (it.state != AttemptState::kRunning) {
      if (it.start.priority <= min_priority) queued += work;
      return;
    }
    absl::Duration elapsed = now - it.started_at;
    if (elapsed <= work) {
      running += work - elapsed;
      return;
    }
    // Overdue: the engine is currently slower than its moving average.
    running += elapsed - work;
    double factor =
        absl::FDivDuration(elapsed, std::max(work, absl::Milliseconds(1)));
    slowdown = std::max(slowdown, factor);
  });
  absl::Duration backlog = running + queued * std::min(slowdown, kMaxSlowdown);
  return backlog / std::max<uint32_t>(options_.prefill_places, 1);
}

void AgentCore::Refuse(const NodeName& to, const AttemptId& attempt,
                       RefusalReason reason, absl::Time now) {
  ++stats_.refused;
  Send(to, Refused{attempt, reason, kRetryAfterMs, Load(now)});
}

void AgentCore::RefuseAndFence(const NodeName& to, const AttemptId& attempt,
                               bool idempotent, RefusalReason reason,
                               absl::Time now) {
  // A refusal guarantees that the attempt does not run, so a duplicate of the
  // order that arrives later must find this record.
  AttemptRecord record;
  record.id = attempt;
  record.owner = to;
  record.start.idempotent = idempotent;
  record.refusal = reason;
  ledger_.End(ledger_.Insert(std::move(record)), AttemptState::kFenced, now);
  Refuse(to, attempt, reason, now);
}

LoadReport AgentCore::Load(absl::Time now) {
  LoadReport load;
  PoolRole role = RoleInForce();
  load.running = running_decode_ + running_prefill_ + running_plain_;
  load.places_total = role == PoolRole::kDecode    ? options_.decode_places
                      : role == PoolRole::kPrefill ? options_.prefill_places
                                                   : options_.plain_places;
  load.places_used = load.running + reserved_places_ + queued_;
  load.pieces_total = options_.pieces;
  load.pieces_used = pieces_held();
  if (role == PoolRole::kDecode) {
    PlaceCapacity capacity{options_.decode_places, options_.pieces};
    std::optional<absl::Time> free =
        EarliestPlace(capacity, PlaceUses(now), now, absl::InfiniteFuture(), 1);
    ledger_.ForEachLive([&](AttemptRecord& it) {
      if (IsPreemptible(it)) ++load.preemptible;
    });
    load.next_free_us = static_cast<uint32_t>(
        absl::ToInt64Microseconds(free.value_or(now) - now));
  }
  if (role == PoolRole::kPrefill) {
    load.queue_us = static_cast<uint32_t>(
        absl::ToInt64Microseconds(PrefillBacklog(Priority::kBatch, now)));
    load.urgent_queue_us = static_cast<uint32_t>(
        absl::ToInt64Microseconds(PrefillBacklog(Priority::kUrgent, now)));
  }
  load.token_us = static_cast<uint32_t>(token_us_);
  load.prefill_ns_per_token = static_cast<uint32_t>(prefill_ns_per_token_);
  load.leaving = IsLeaving();
  load.ready = reconciler_.IsReconciled(config_);
  return load;
}

}  // namespace chervilwick
