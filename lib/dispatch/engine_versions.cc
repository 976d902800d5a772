// Engines of the software version that a started stream needs.

#include <algorithm>

#include "chervilwick/dispatch/stream_scheduler.h"

namespace chervilwick {
namespace {

// How long a started stream waits for engines of its version that can't be
// reached, or whose records are missing: those that were only cut off are back
// by then, and a client waits longer for an event.
constexpr absl::Duration kReturnTime = absl::Milliseconds(1500);
// In which an engine that is back answers. Others wait no longer once the
// return time is over.
constexpr absl::Duration kAskTime = absl::Milliseconds(250);
constexpr absl::Duration kAskInterval = absl::Milliseconds(250);
constexpr size_t kMaxRemovedVersions = 1000;

}  // namespace

bool StreamScheduler::MayContinue(const BackendState& engine,
                                  const StreamJob& job) {
  return engine.record.service == job.service && !engine.IsLeaving() &&
         engine.GeneratesStreams() &&
         (!job.software || engine.IsOfVersion(*job.software));
}

bool StreamScheduler::IsVersionServed(const StreamJob& job,
                                      absl::Time now) const {
  return !job.software || IsVersionServed(job.service, *job.software, now);
}

bool StreamScheduler::IsVersionServed(const ServiceName& service,
                                      const SoftwareVersion& software,
                                      absl::Time now) const {
  StreamJob job;
  job.service = service;
  job.software = software;
  bool is_listed =
      std::any_of(backends_.all().begin(), backends_.all().end(),
                  [&](const auto& it) { return MayContinue(it.second, job); });
  if (is_listed) return true;
  auto removed = removed_at_.find({service, software});
  return removed != removed_at_.end() && now - removed->second < kReturnTime;
}

void StreamScheduler::OnEngineRemoved(const BackendState& engine,
                                      absl::Time now) {
  // One that could not be reached either is not expected back.
  if (engine.IsLeaving() || engine.unreachable_since) return;
  if (!engine.GeneratesStreams() || engine.HasOutdatedRecord()) return;
  if (removed_at_.size() >= kMaxRemovedVersions) removed_at_.clear();
  removed_at_[{engine.record.service, engine.record.software}] = now;
}

bool StreamScheduler::HasReachable(const StreamJob& job) const {
  if (!job.software) return true;
  return std::any_of(
      backends_.all().begin(), backends_.all().end(), [&](const auto& it) {
        return MayContinue(it.second, job) && !it.second.IsInDoubt();
      });
}

absl::Time StreamScheduler::ReturnLimit(const StreamJob& job,
                                        absl::Time now) const {
  std::optional<absl::Time> since;
  for (const auto& it : backends_.all()) {
    if (!MayContinue(it.second, job)) continue;
    since = std::max(since.value_or(absl::InfinitePast()),
                     it.second.unreachable_since.value_or(now));
  }
  if (!since) return job.queued_at + kReturnTime;
  return std::max(*since + kReturnTime, job.queued_at + kAskTime);
}

std::vector<BackendName> StreamScheduler::EnginesToAsk(absl::Time now) {
  std::set<BackendName> engines;
  for (const StreamJob& job : started_) {
    if (HasReachable(job)) continue;
    for (const auto& it : backends_.all()) {
      bool is_due = now - it.second.last_asked >= kAskInterval;
      if (is_due && MayContinue(it.second, job)) engines.insert(it.first);
    }
  }
  for (const BackendName& it : engines) backends_.Find(it)->last_asked = now;
  return {engines.begin(), engines.end()};
}

std::optional<SoftwareVersion> StreamScheduler::OnlyVersion(
    const ServiceName& service) const {
  std::optional<SoftwareVersion> only;
  for (const auto& it : backends_.all()) {
    const BackendRecord& record = it.second.record;
    if (record.service != service || !it.second.GeneratesStreams()) continue;
    if (it.second.HasOutdatedRecord()) return std::nullopt;
    if (only && *only != record.software) return std::nullopt;
    only = record.software;
  }
  return only;
}

}  // namespace chervilwick
