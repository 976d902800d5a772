// AgentCore: starting, finishing and expiring work on the engine.

#include <algorithm>
#include <cassert>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/agent/agent_core.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

// Weight of a new sample in the moving averages of engine speed.
constexpr double kSpeedWeight = 0.1;
constexpr absl::Duration kConfirmationAge = absl::Seconds(2);
// How long an idle stopping agent keeps running, so that entries can request
// lost final messages again.
constexpr absl::Duration kLingerTime = absl::Seconds(1);
constexpr uint32_t kMinPrefillSampleTokens = 16;

const char* WorkKindName(WorkKind kind) {
  switch (kind) {
    case WorkKind::kPrefill:
      return "prefill";
    case WorkKind::kDecode:
      return "decode";
    case WorkKind::kPlain:
      return "plain";
  }
  return "unknown";
}

}  // namespace

uint32_t& AgentCore::RunningCount(WorkKind kind) {
  switch (kind) {
    case WorkKind::kPrefill:
      return running_prefill_;
    case WorkKind::kDecode:
      return running_decode_;
    case WorkKind::kPlain:
      return running_plain_;
  }
  return running_plain_;
}

uint32_t AgentCore::Places(WorkKind kind) const {
  switch (kind) {
    case WorkKind::kPrefill:
      return options_.prefill_places;
    case WorkKind::kDecode:
      return options_.decode_places;
    case WorkKind::kPlain:
      return options_.plain_places;
  }
  return 0;
}

void AgentCore::ReleaseReservation(const AttemptRecord& record) {
  reserved_pieces_ -= record.start.pieces;
  --reserved_places_;
}

// Returns false if `fingerprint` is a crash suspect and another suspect is
// running (with `includes_waiting`: reserved, queued or running). Suspects run
// one at a time so that a crash identifies the request that caused it.
bool AgentCore::IsIsolated(Fingerprint fingerprint, bool includes_waiting) {
  if (crashes_.size() == 0 || !crashes_.IsSuspect(fingerprint)) return true;
  bool alone = true;
  ledger_.ForEachLive([&](AttemptRecord& it) {
    bool counts = includes_waiting || it.state == AttemptState::kRunning;
    if (counts && crashes_.IsSuspect(it.start.fingerprint)) alone = false;
  });
  return alone;
}

bool AgentCore::CanRun(const AttemptRecord& record) {
  WorkKind kind = record.start.kind;
  if (RunningCount(kind) >= Places(kind)) return false;
  if (running_pieces_ + record.start.pieces > options_.pieces) return false;
  return IsIsolated(record.start.fingerprint, false);
}

void AgentCore::RunQueued(absl::Time now) {
  if (queued_ == 0 || !reconciler_.status().up) return;
  std::vector<AttemptRecord*> waiting;
  ledger_.ForEachLive([&](AttemptRecord& it) {
    if (it.state == AttemptState::kQueued) waiting.push_back(&it);
  });
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const AttemptRecord* a, const AttemptRecord* b) {
                     return a->start.priority < b->start.priority;
                   });
  for (AttemptRecord* it : waiting) {
    if (CanRun(*it)) Run(*it, now);
  }
}

void AgentCore::Run(AttemptRecord& record, absl::Time now) {
  record.state = AttemptState::kRunning;
  record.started_at = now;
  record.last_output_at = now;
  --queued_;
  ++RunningCount(record.start.kind);
  running_pieces_ += record.start.pieces;
  ++stats_.started;
  StartWork start = record.start;
  start.deadline_ms = static_cast<uint32_t>(
      std::max<int64_t>(0, absl::ToInt64Milliseconds(record.deadline - now)));
  actions_.emplace_back(RunWork{std::move(start)});
}

void AgentCore::UpdateTokenTime(AttemptRecord& record, size_t tokens,
                                absl::Time now) {
  bool is_first = record.output.empty();
  absl::Duration elapsed = now - record.last_output_at;
  record.last_output_at = now;
  if (is_first || tokens == 0) return;
  double sample =
      absl::ToDoubleMicroseconds(elapsed) / static_cast<double>(tokens);
  token_us_ += kSpeedWeight * (sample - token_us_);
}

void AgentCore::OnTokens(const EngineTokens& event, absl::Time now) {
  AttemptRecord* record = ledger_.Find(event.attempt);
  if (record == nullptr || record->state != AttemptState::kRunning) return;
  UpdateTokenTime(*record, event.tokens.size(), now);
  Piece piece;
  piece.attempt = event.attempt;
  piece.offset = static_cast<uint32_t>(record->output.size());
  piece.tokens.items = event.tokens;
  record->output.insert(record->output.end(), event.tokens.begin(),
                        event.tokens.end());
  if (!record->stopping) Send(record->owner, std::move(piece));
}

void AgentCore::OnFinished(const EngineFinished& event, absl::Time now) {
  AttemptRecord* record = ledger_.Find(event.attempt);
  if (record == nullptr || record->state != AttemptState::kRunning) return;
  if (event.status == WorkStatus::kEngineCrashed) OnCrash(now);
  if (event.status == WorkStatus::kOk) {
    crashes_.ClearSuspect(record->start.fingerprint);
  }
  if (event.status == WorkStatus::kNotSent) {
    // Refuses new work until the next status report says that the engine is up.
    reconciler_.OnUnreachable();
    --RunningCount(record->start.kind);
    running_pieces_ -= record->start.pieces;
    ++queued_;
    RefuseLive(*record, RefusalReason::kEngineNotReady, now);
    return;
  }
  const StartWork& start = record->start;
  uint32_t computed = start.prompt_tokens -
                      std::min(start.prompt_tokens, event.prefix_hit_tokens);
  bool measures_prefill = start.kind == WorkKind::kPrefill &&
                          event.status == WorkStatus::kOk &&
                          computed >= kMinPrefillSampleTokens;
  if (measures_prefill) {
    double sample = absl::ToDoubleNanoseconds(now - record->started_at) /
                    static_cast<double>(computed);
    prefill_ns_per_token_ += kSpeedWeight * (sample - prefill_ns_per_token_);
  }
  Done done;
  done.attempt = event.attempt;
  done.status = record->stopping.value_or(event.status);
  done.total_tokens = static_cast<uint32_t>(record->output.size());
  done.prefix_hit_tokens = event.prefix_hit_tokens;
  done.kv_params = event.kv_params;
  done.finish_reason = event.finish_reason;
  done.http_status = event.http_status;
  done.content_type = event.content_type;
  done.body = event.body;
  Finish(*record, std::move(done), now);
}

void AgentCore::RecordSpans(const AttemptRecord& record, absl::Time now) {
  if (record.start.trace.empty()) return;
  SpanEnded span;
  span.trace = record.start.trace;
  span.name = absl::StrCat("agent.", WorkKindName(record.start.kind));
  span.target = options_.backend.value();
  span.result = record.done.status == WorkStatus::kOk ? "ok" : "failed";
  span.start = record.queued_at;
  span.end = now;
  actions_.emplace_back(span);
  span.name = absl::StrCat("engine.", WorkKindName(record.start.kind));
  span.start = record.started_at;
  actions_.emplace_back(std::move(span));
}

void AgentCore::Finish(AttemptRecord& record, Done done, absl::Time now) {
  --RunningCount(record.start.kind);
  running_pieces_ -= record.start.pieces;
  ++stats_.finished;
  record.done = std::move(done);
  RecordSpans(record, now);
  ledger_.End(record, AttemptState::kDone, now);
  record.done.load = Load(now);
  Send(record.owner, record.done);
  if (running_decode_ + running_prefill_ + running_plain_ == 0) {
    crash_in_progress_ = false;
  }
}

void AgentCore::RefuseLive(AttemptRecord& record, RefusalReason reason,
                           absl::Time now) {
  if (record.state == AttemptState::kReserved) {
    ReleaseReservation(record);
  } else {
    assert(queued_ > 0 && "a queued attempt is counted");
    --queued_;
  }
  record.refusal = reason;
  ledger_.End(record, AttemptState::kFenced, now);
  Refuse(record.owner, record.id, reason, now);
}

void AgentCore::StopWork(AttemptRecord& record, WorkStatus status,
                         absl::Time /*now*/) {
  if (record.stopping) return;
  record.stopping = status;
  ++stats_.cancelled;
  actions_.emplace_back(CancelWork{record.id});
}

void AgentCore::Expire(absl::Time now) {
  ledger_.ForEachLive([&](AttemptRecord& it) { ExpireOne(it, now); });
}

void AgentCore::ExpireOne(AttemptRecord& record, absl::Time now) {
  bool lease_expired = now > record.lease_until;
  switch (record.state) {
    case AttemptState::kReserved:
      if (lease_expired || now > record.expires) {
        ++stats_.reservations_expired;
        RefuseLive(record, RefusalReason::kReservationExpired, now);
      }
      return;
    case AttemptState::kQueued: {
      bool waited_too_long = record.start.kind == WorkKind::kDecode &&
                             now > record.queued_at + options_.max_place_wait;
      if (lease_expired) {
        RefuseLive(record, RefusalReason::kFenced, now);
      } else if (waited_too_long || now > record.deadline) {
        RefuseLive(record, RefusalReason::kQueueTooLong, now);
      }
      return;
    }
    case AttemptState::kRunning:
      // A non-idempotent call is never cancelled, so that its outcome is
      // recorded.
      if (!record.start.idempotent) return;
      if (lease_expired) {
        ++stats_.lease_expired;
        StopWork(record, WorkStatus::kLeaseExpired, now);
      } else if (now > record.deadline) {
        StopWork(record, WorkStatus::kDeadlineExceeded, now);
      }
      return;
    case AttemptState::kDone:
    case AttemptState::kFenced:
      return;
  }
}

void AgentCore::OnCrash(absl::Time now) {
  // Refuses new work until the next status report says that the engine is up.
  reconciler_.OnUnreachable();
  if (crash_in_progress_) return;
  crash_in_progress_ = true;
  ++stats_.crashes;
  CrashReport report;
  report.crash_id = StableHash(options_.name.value(),
                               options_.incarnation.value() + stats_.crashes);
  ledger_.ForEachLive([&](AttemptRecord& it) {
    if (it.state != AttemptState::kRunning) return;
    report.running.items.push_back(it.start.fingerprint);
  });
  auto& running = report.running.items;
  std::sort(running.begin(), running.end());
  running.erase(std::unique(running.begin(), running.end()), running.end());
  crashes_.Add(report, now);
  next_heartbeat_ = now;
}

void AgentCore::Reconcile(absl::Time now) {
  bool is_empty = ledger_.live_count() == 0;
  bool confirmed = now - last_confirmed_ < kConfirmationAge;
  std::optional<EngineOrder> order =
      reconciler_.Next(config_, is_empty, confirmed, now);
  if (order) actions_.emplace_back(SendEngineOrder{*std::move(order)});
}

void AgentCore::CheckDrained(absl::Time now) {
  if (!stopping_ || drained_sent_) return;
  if (ledger_.live_count() > 0) {
    idle_since_ = absl::InfinitePast();
    return;
  }
  if (idle_since_ == absl::InfinitePast()) idle_since_ = now;
  if (now - idle_since_ < kLingerTime) return;
  drained_sent_ = true;
  actions_.emplace_back(AgentDrained{});
}

}  // namespace chervilwick
