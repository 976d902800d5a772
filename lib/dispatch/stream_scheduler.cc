// Admission control, queueing and placement of streams.

#include "chervilwick/dispatch/stream_scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "chervilwick/dispatch/retry_after.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

// Weight of a new observation in the moving averages.
constexpr double kAverageWeight = 0.1;
// The same for the share of urgent streams, which are few.
constexpr double kShareWeight = 0.02;
constexpr uint64_t kRanks = 1000;
// Limits of the moving averages, so that an outlier can't stop admission.
constexpr double kMinTokensPerMs = 3;
constexpr double kMaxTokensPerMs = 300;
constexpr double kMinStreamSeconds = 0.2;
constexpr double kMaxStreamSeconds = 30;
// Time in which refused streams count for the Retry-After of later refusals.
constexpr absl::Duration kRefusedMemory = absl::Seconds(2);
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(200);
// Servers that have crashed are back after some seconds.
constexpr absl::Duration kRetryAfterVersionGone = absl::Seconds(1);
// Memory assumed for engines without configured traits.
constexpr uint64_t kDefaultMemoryTokens = 32768;
// Range of the delay after a peer's usage update: for a dozen fronts, and one
// millisecond for each front's update to reach the others.
constexpr absl::Duration kMaxPeerUseJitter = absl::Milliseconds(12);
constexpr uint64_t kPeerUseJitterSteps = 128;

double UpdateAverage(double old_value, double sample, double low, double high) {
  double value = old_value + kAverageWeight * (sample - old_value);
  return std::clamp(value, low, high);
}

int64_t MemoryNeed(const StreamJob& job) {
  return int64_t{job.prompt_tokens} + job.output_tokens;
}

bool ReadsPrompts(const BackendState& backend) {
  return backend.record.stage == EngineStage::kPrefill;
}

// Returns true if the prompt's KV cache exists and will expire. A stream whose
// prompt is to be read by the decode engine has no such deadline.
bool HasCachedPrompt(const StreamJob& job, absl::Time now) {
  return job.prompt_cached_until > now &&
         job.prompt_cached_until != absl::InfiniteFuture();
}

// Subtracts `part` from `use`. A server that was removed and added again starts
// at zero; releasing earlier use must not make its counts negative.
void SubtractUse(BackendUse& use, const BackendUse& part) {
  use -= part;
  use.requests = std::max<int64_t>(use.requests, 0);
  use.memory_tokens = std::max<int64_t>(use.memory_tokens, 0);
  use.prompt_tokens = std::max<int64_t>(use.prompt_tokens, 0);
}

// Inserts a job into a queue sorted by priority, then by `time`.
void InsertByPriority(std::deque<StreamJob>& queue, StreamJob job,
                      absl::Time StreamJob::*time) {
  auto is_before = [time](const StreamJob& a, const StreamJob& b) {
    return a.priority != b.priority ? a.priority < b.priority
                                    : a.*time < b.*time;
  };
  auto at = std::upper_bound(queue.begin(), queue.end(), job, is_before);
  queue.insert(at, std::move(job));
}

}  // namespace

absl::Duration PeerUseJitter(uint64_t draw) {
  return kMaxPeerUseJitter * static_cast<double>(draw % kPeerUseJitterSteps) /
         static_cast<double>(kPeerUseJitterSteps);
}

StreamScheduler::StreamScheduler(BackendTable& backends, ZoneName zone,
                                 const StreamSchedulerOptions& options)
    : backends_(backends),
      zone_(std::move(zone)),
      options_(options),
      prompt_tokens_per_ms_(options.prompt_tokens_per_ms),
      stream_seconds_(absl::ToDoubleSeconds(options.stream_duration)) {}

void StreamScheduler::SetEngineTraits(
    const std::map<ServiceName, ServiceTraits>& services) {
  engines_.clear();
  for (const auto& it : services) {
    if (it.second.engine) engines_[it.first] = *it.second.engine;
  }
}

absl::Duration StreamScheduler::PromptTime(int64_t tokens) const {
  return absl::Milliseconds(static_cast<double>(tokens) /
                            prompt_tokens_per_ms_);
}

absl::Duration StreamScheduler::ServiceTime(const StreamJob& job) const {
  // The measured time to read a prompt contains waiting that urgent streams are
  // spared.
  if (IsUrgent(job)) return options_.first_event_overhead;
  absl::Duration prompt = job.prompt_cached_until == absl::InfinitePast()
                              ? PromptTime(job.prompt_tokens)
                              : absl::ZeroDuration();
  return prompt + options_.first_event_overhead;
}

double StreamScheduler::PlacesPerSecond(const StreamJob& job, absl::Time now) {
  auto traits = engines_.find(job.service);
  double memory = static_cast<double>(traits == engines_.end()
                                          ? kDefaultMemoryTokens
                                          : traits->second.memory_tokens);
  auto is_usable = [&](const BackendState& it) { return IsUsable(it, job); };
  memory *= static_cast<double>(
      backends_.Candidates(job.service, is_usable, {}, now).size());
  double per_stream = memory_per_stream_ > 0 ? memory_per_stream_ : 4000;
  return memory * options_.memory_fill / per_stream / stream_seconds_;
}

absl::Duration StreamScheduler::ExpectedWait(const StreamJob& job, size_t ahead,
                                             absl::Time now) {
  double rate = PlacesPerSecond(job, now);
  if (rate <= 0) {
    auto is_usable = [&](const BackendState& it) { return IsUsable(it, job); };
    std::optional<absl::Time> quiet_end =
        backends_.FirstPauseEnd(job.service, is_usable, now);
    return quiet_end ? *quiet_end - now : absl::InfiniteDuration();
  }
  return absl::Seconds(static_cast<double>(ahead) / rate);
}

bool StreamScheduler::HasRoom(const StreamJob& job, absl::Time now) {
  return ChooseDecode(job, Class::kOnTime, now) != nullptr;
}

bool StreamScheduler::IsUrgent(const StreamJob& job) const {
  const auto* policy = std::get_if<PromptRefusal>(&policy_);
  return policy != nullptr && policy->urgent_priority &&
         job.priority <= *policy->urgent_priority;
}

bool StreamScheduler::IsKeptForUrgent(const BackendState& engine) const {
  const auto* policy = std::get_if<PromptRefusal>(&policy_);
  if (policy == nullptr || !policy->urgent_priority) return false;
  double part = policy->urgent_margin *
                std::max(urgent_share_, kLeastUrgentShare) /
                (1 - policy->shared_memory);
  // The same engines at all fronts.
  uint64_t rank = StableHash(engine.record.id.value()) % kRanks;
  return static_cast<double>(rank) < part * static_cast<double>(kRanks);
}

double StreamScheduler::MemoryFill(const StreamJob& job, Class which,
                                   const BackendState& engine) const {
  bool is_late = which == Class::kLate;
  double fill = is_late ? options_.late_memory_fill : options_.memory_fill;
  bool is_urgent = !is_late && IsUrgent(job);
  if (is_urgent || job.is_started || !IsKeptForUrgent(engine)) return fill;
  return fill * std::get<PromptRefusal>(policy_).shared_memory;
}

void StreamScheduler::ObserveDemand(const StreamJob& job) {
  auto need = static_cast<double>(MemoryNeed(job));
  if (memory_per_stream_ == 0) memory_per_stream_ = need;
  memory_per_stream_ += kAverageWeight * (need - memory_per_stream_);
  double urgent = IsUrgent(job) ? 1 : 0;
  double weight = kShareWeight * need / memory_per_stream_;
  urgent_share_ += std::min(1.0, weight) * (urgent - urgent_share_);
}

size_t StreamScheduler::CountStartedAhead(const StreamJob& job) const {
  return static_cast<size_t>(
      std::count_if(started_.begin(), started_.end(), [&](const StreamJob& it) {
        return it.priority <= job.priority && !it.awaits_return;
      }));
}

size_t StreamScheduler::CountAhead(const StreamJob& job) const {
  auto count = [this](auto is_ahead) {
    return static_cast<size_t>(
        std::count_if(on_time_.begin(), on_time_.end(), is_ahead));
  };
  size_t ahead = CountStartedAhead(job);
  if (job.is_started) {
    return ahead + count([&](const StreamJob& it) {
             return it.priority < job.priority;
           });
  }
  if (!IsUrgent(job)) return ahead + on_time_.size() + peers_waiting_ + 1;
  return ahead + count([this](const StreamJob& it) { return IsUrgent(it); });
}

absl::Duration StreamScheduler::TimeToReturn(const StreamJob& job,
                                             absl::Duration wait,
                                             absl::Time now) {
  if (std::holds_alternative<LateService>(policy_)) return wait;
  double age = absl::FDivDuration(now - refused_at_, kRefusedMemory);
  refused_ = refused_ * std::exp2(-std::max(0.0, age)) + 1;
  refused_at_ = now;
  double rate = PlacesPerSecond(job, now);
  if (rate <= 0) return wait;
  // Each front knows only what it refused itself.
  return wait + absl::Seconds(refused_ * fronts_ / rate);
}

StreamRefusal StreamScheduler::Refuse(const StreamJob& job,
                                      StreamRefusalReason reason,
                                      absl::Duration wait, absl::Time now) {
  absl::Duration base = std::clamp(TimeToReturn(job, wait, now), kMinRetryAfter,
                                   options_.max_retry_after);
  return {job.id, reason, JitteredRetryAfter(base, job.id.value())};
}

StreamRefusal StreamScheduler::RefuseVersionGone(const StreamJob& job,
                                                 absl::Time now) {
  return Refuse(job, StreamRefusalReason::kVersionGone, kRetryAfterVersionGone,
                now);
}

std::optional<StreamRefusal> StreamScheduler::Submit(StreamJob job,
                                                     absl::Time now) {
  if (!IsVersionServed(job, now)) return RefuseVersionGone(job, now);
  ObserveDemand(job);
  job.queued_at = now;
  if (job.is_started) {
    job.awaits_return = !HasReachable(job);
    bool has_place =
        job.awaits_return || (CountAhead(job) == 0 && HasRoom(job, now));
    absl::Duration wait = has_place ? absl::ZeroDuration()
                                    : ExpectedWait(job, CountAhead(job), now);
    if (now + wait + ServiceTime(job) > job.client_deadline) {
      return Refuse(job, StreamRefusalReason::kQueueTooLong, wait, now);
    }
    InsertByPriority(started_, std::move(job), &StreamJob::client_deadline);
    return std::nullopt;
  }
  if (HasCachedPrompt(job, now)) {
    InsertByPriority(with_cached_prompt_, std::move(job),
                     &StreamJob::prompt_cached_until);
    return std::nullopt;
  }
  bool has_room = CountStartedAhead(job) == 0 && with_cached_prompt_.empty() &&
                  on_time_.empty() && HasRoom(job, now);
  size_t ahead = has_room ? 0 : CountAhead(job);
  absl::Duration wait = ExpectedWait(job, ahead, now);
  absl::Time first_event = now + wait + ServiceTime(job);
  if (first_event <= job.first_event_due) {
    InsertByPriority(on_time_, std::move(job), &StreamJob::first_event_due);
    return std::nullopt;
  }
  absl::Duration late_wait = ExpectedWait(job, ahead + late_.size(), now);
  if (now + late_wait + ServiceTime(job) > RefusalTime(job)) {
    return Refuse(job, StreamRefusalReason::kQueueTooLong, late_wait, now);
  }
  InsertByPriority(late_, std::move(job), &StreamJob::arrived);
  return std::nullopt;
}

void StreamScheduler::Withdraw(ExchangeId id) {
  auto remove = [&](std::deque<StreamJob>& queue) {
    queue.erase(
        std::remove_if(queue.begin(), queue.end(),
                       [&](const StreamJob& it) { return it.id == id; }),
        queue.end());
  };
  remove(started_);
  remove(with_cached_prompt_);
  remove(on_time_);
  remove(late_);
}

std::vector<StreamDecision> StreamScheduler::Decide(absl::Time now) {
  std::vector<StreamDecision> out;
  RequeueExpiredPrompts(now);
  DemoteLate(now);
  ServeStarted(now, out);
  ServeUrgent(now, out);
  ServeClass(with_cached_prompt_, Class::kOnTime, now, out);
  if (with_cached_prompt_.empty()) {
    ServeClass(on_time_, Class::kOnTime, now, out);
  }
  if (with_cached_prompt_.empty() && on_time_.empty()) {
    ServeClass(late_, Class::kLate, now, out);
  }
  RefuseTimedOut(started_, now, out);
  RefuseTimedOut(late_, now, out);
  return out;
}

void StreamScheduler::ServeStarted(absl::Time now,
                                   std::vector<StreamDecision>& out) {
  kept_for_started_.clear();
  for (auto it = started_.begin(); it != started_.end();) {
    if (!IsVersionServed(*it, now)) {
      out.push_back(RefuseVersionGone(*it, now));
      it = started_.erase(it);
      continue;
    }
    it->awaits_return = !HasReachable(*it);
    if (it->awaits_return) {
      if (now < ReturnLimit(*it, now)) {
        ++it;
        continue;
      }
      out.push_back(Refuse(*it, StreamRefusalReason::kVersionUnreachable,
                           kRetryAfterVersionGone, now));
      it = started_.erase(it);
      continue;
    }
    ServeMoreUrgent(*it, now, out);
    std::optional<StreamPlacement> placement;
    if (!HasMoreUrgent(*it)) placement = Place(*it, Class::kOnTime, now);
    if (!placement) {
      KeepForStarted(*it);
      ++it;
      continue;
    }
    out.push_back(*placement);
    it = started_.erase(it);
  }
}

void StreamScheduler::ServeMoreUrgent(const StreamJob& started, absl::Time now,
                                      std::vector<StreamDecision>& out) {
  for (std::deque<StreamJob>* queue : {&with_cached_prompt_, &on_time_}) {
    while (!queue->empty() && queue->front().priority < started.priority) {
      std::optional<StreamPlacement> placement =
          Place(queue->front(), Class::kOnTime, now);
      if (!placement) break;
      out.push_back(*placement);
      queue->pop_front();
    }
  }
}

bool StreamScheduler::HasMoreUrgent(const StreamJob& started) const {
  auto is_ahead = [&](const StreamJob& it) {
    return it.service == started.service && it.priority < started.priority;
  };
  return std::any_of(with_cached_prompt_.begin(), with_cached_prompt_.end(),
                     is_ahead) ||
         std::any_of(on_time_.begin(), on_time_.end(), is_ahead);
}

void StreamScheduler::KeepForStarted(const StreamJob& started) {
  auto [it, is_new] = kept_for_started_.try_emplace(
      {started.service, started.software}, started.priority);
  it->second = std::min(it->second, started.priority);
}

void StreamScheduler::ServeUrgent(absl::Time now,
                                  std::vector<StreamDecision>& out) {
  while (!on_time_.empty() && IsUrgent(on_time_.front())) {
    std::optional<StreamPlacement> placement =
        Place(on_time_.front(), Class::kOnTime, now);
    if (!placement) return;
    out.push_back(*placement);
    on_time_.pop_front();
  }
}

absl::Time StreamScheduler::RefusalTime(const StreamJob& job) const {
  const auto* policy = std::get_if<PromptRefusal>(&policy_);
  if (policy == nullptr || job.may_have_run || job.is_started) {
    return job.client_deadline;
  }
  // One that was late on arrival takes room that is free.
  absl::Time earliest =
      std::max(job.first_event_due, job.arrived + ServiceTime(job));
  return std::min(job.client_deadline, earliest + policy->max_late_wait);
}

void StreamScheduler::ServeClass(std::deque<StreamJob>& queue, Class which,
                                 absl::Time now,
                                 std::vector<StreamDecision>& out) {
  // Strictly in order: letting small prompts overtake would starve large ones.
  while (!queue.empty()) {
    std::optional<StreamPlacement> placement = Place(queue.front(), which, now);
    if (!placement) return;
    out.push_back(*placement);
    queue.pop_front();
  }
}

void StreamScheduler::RequeueExpiredPrompts(absl::Time now) {
  std::deque<StreamJob> still_cached;
  for (StreamJob& it : with_cached_prompt_) {
    if (HasCachedPrompt(it, now)) {
      still_cached.push_back(std::move(it));
      continue;
    }
    it.prompt_cached_until = absl::InfinitePast();
    // DemoteLate moves it on if it is late.
    InsertByPriority(on_time_, std::move(it), &StreamJob::first_event_due);
  }
  with_cached_prompt_ = std::move(still_cached);
}

void StreamScheduler::DemoteLate(absl::Time now) {
  for (auto it = on_time_.begin(); it != on_time_.end();) {
    if (now + ServiceTime(*it) <= it->first_event_due) {
      ++it;
      continue;
    }
    InsertByPriority(late_, std::move(*it), &StreamJob::arrived);
    it = on_time_.erase(it);
  }
}

void StreamScheduler::RefuseTimedOut(std::deque<StreamJob>& queue,
                                     absl::Time now,
                                     std::vector<StreamDecision>& out) {
  for (auto it = queue.begin(); it != queue.end();) {
    if (now + ServiceTime(*it) <= RefusalTime(*it)) {
      ++it;
      continue;
    }
    absl::Duration wait = ExpectedWait(*it, waiting() + peers_waiting_, now);
    out.push_back(Refuse(*it, StreamRefusalReason::kWaitedTooLong, wait, now));
    it = queue.erase(it);
  }
}

std::optional<StreamPlacement> StreamScheduler::Place(const StreamJob& job,
                                                      Class which,
                                                      absl::Time now) {
  BackendState* decode = ChooseDecode(job, which, now);
  if (decode == nullptr) return std::nullopt;
  StreamPlacement placement;
  placement.id = job.id;
  placement.decode = decode->record.id;
  placement.memory_tokens = MemoryNeed(job);
  placement.waited = now - job.arrived;
  bool needs_prompt = job.prompt_cached_until <= now;
  if (needs_prompt && decode->record.stage == EngineStage::kDecode) {
    BackendState* prefill = ChoosePrefill(job, decode->record.zone, now);
    if (prefill == nullptr) return std::nullopt;
    if (prefill->record.stage == EngineStage::kPrefill) {
      placement.prefill = prefill->record.id;
      placement.prompt_tokens = job.prompt_tokens;
      prefill->own += {1, 0, placement.prompt_tokens};
      placement.prefill_estimate = PromptTime(prefill->Total().prompt_tokens);
    } else {
      placement.prompt_tokens = job.prompt_tokens;
      decode->own += {0, 0, placement.prompt_tokens};
    }
  }
  decode->own += {1, placement.memory_tokens, 0};
  return placement;
}

bool StreamScheduler::IsKeptForStarted(const BackendState& engine,
                                       const StreamJob& job) const {
  const BackendRecord& record = engine.record;
  auto is_kept = [&](const std::optional<SoftwareVersion>& software) {
    auto it = kept_for_started_.find({record.service, software});
    return it != kept_for_started_.end() && it->second <= job.priority;
  };
  return is_kept(std::nullopt) || is_kept(record.software);
}

bool StreamScheduler::IsUsable(const BackendState& engine,
                               const StreamJob& job) const {
  if (!engine.GeneratesStreams()) return false;
  if (job.software && !engine.IsOfVersion(*job.software)) return false;
  return job.is_started || !IsKeptForStarted(engine, job);
}

std::vector<BackendState*> StreamScheduler::DecodeCandidates(
    const StreamJob& job, absl::Time now) {
  // No prompt is read for an engine that may be gone.
  bool needs_reachable = job.is_started && job.software;
  auto is_usable = [&](const BackendState& it) {
    return IsUsable(it, job) && !(needs_reachable && it.IsInDoubt());
  };
  std::vector<BackendState*> candidates =
      backends_.Candidates(job.service, is_usable, job.excluded, now);
  if (!candidates.empty()) return candidates;
  // Falls back to the engines where the stream failed.
  return backends_.Candidates(job.service, is_usable, {}, now);
}

BackendState* StreamScheduler::ChooseDecode(const StreamJob& job, Class which,
                                            absl::Time now) {
  auto traits = engines_.find(job.service);
  uint64_t memory = traits == engines_.end() ? kDefaultMemoryTokens
                                             : traits->second.memory_tokens;
  BackendState* best = nullptr;
  double least = std::numeric_limits<double>::infinity();
  for (BackendState* it : DecodeCandidates(job, now)) {
    if (it->full_until > now) continue;
    BackendUse use = it->Total();
    if (use.requests >= it->record.slots) continue;
    double filled = static_cast<double>(use.memory_tokens + MemoryNeed(job)) /
                    static_cast<double>(memory);
    // An idle engine accepts any stream: waiting would not free more memory.
    bool is_over = filled > MemoryFill(job, which, *it);
    if (is_over && use.requests > 0) continue;
    double load = filled * it->time_percent / 100;
    if (it->record.zone != zone_) load += options_.other_zone_load;
    load += it->FailureRate(now) * options_.failure_load;
    if (load >= least) continue;
    least = load;
    best = it;
  }
  return best;
}

BackendState* StreamScheduler::ChoosePrefill(const StreamJob& job,
                                             const ZoneName& decode_zone,
                                             absl::Time now) {
  BackendState* best = nullptr;
  absl::Duration least = absl::InfiniteDuration();
  std::vector<BackendState*> candidates =
      backends_.Candidates(job.service, ReadsPrompts, job.excluded, now);
  // Without prefill engines, the decode engine reads the prompt.
  if (candidates.empty()) return ChooseDecode(job, Class::kOnTime, now);
  for (BackendState* it : candidates) {
    if (it->full_until > now) continue;
    absl::Duration backlog =
        PromptTime(it->Total().prompt_tokens) * it->time_percent / 100;
    if (backlog > options_.max_prompt_backlog && !IsUrgent(job)) continue;
    backlog += it->FailureRate(now) * options_.failure_backlog;
    // KV cache transfers between zones take twice as long and cost more.
    if (it->record.zone != decode_zone) {
      backlog += PromptTime(job.prompt_tokens) * options_.other_zone_load;
    }
    if (backlog >= least) continue;
    least = backlog;
    best = it;
  }
  return best;
}

void StreamScheduler::ReleasePrompt(const StreamPlacement& placement) {
  bool reads_itself = !placement.prefill.has_value();
  BackendState* reader =
      backends_.Find(reads_itself ? placement.decode : *placement.prefill);
  if (reader == nullptr) return;
  SubtractUse(reader->own, {reads_itself ? 0 : 1, 0, placement.prompt_tokens});
}

void StreamScheduler::ReleaseDecode(const StreamPlacement& placement) {
  BackendState* decode = backends_.Find(placement.decode);
  if (decode == nullptr) return;
  SubtractUse(decode->own, {1, placement.memory_tokens, 0});
}

void StreamScheduler::ObservePrompt(double scale) {
  if (scale <= 0) return;
  prompt_tokens_per_ms_ =
      UpdateAverage(prompt_tokens_per_ms_, prompt_tokens_per_ms_ / scale,
                    kMinTokensPerMs, kMaxTokensPerMs);
}

void StreamScheduler::ObserveStream(absl::Duration taken) {
  stream_seconds_ = UpdateAverage(stream_seconds_, absl::ToDoubleSeconds(taken),
                                  kMinStreamSeconds, kMaxStreamSeconds);
}

}  // namespace chervilwick
