// Backend servers as one front knows them.

#include "chervilwick/dispatch/backend_table.h"

#include <algorithm>
#include <cmath>

namespace chervilwick {
namespace {

// Failures in a row that don't make a server suspect: a single failure may be
// caused by the request.
constexpr int kToleratedFailures = 1;
// Length of the first avoidance; it doubles with each further failure.
constexpr absl::Duration kFirstAvoidance = absl::Milliseconds(400);
constexpr absl::Duration kMaxAvoidance = absl::Seconds(4);
// Weight of one outcome in the moving average of failures.
constexpr double kFailureWeight = 0.2;
// Time in which the failure rate halves without new outcomes.
constexpr absl::Duration kFailureHalfLife = absl::Seconds(4);
// About the time in which a full engine frees a slot.
constexpr absl::Duration kFirstFullPause = absl::Milliseconds(60);
// A server with at most so many requests, the refused one included, is idle.
constexpr int64_t kIdleRequests = 2;
constexpr absl::Duration kMaxFullPause = absl::Seconds(1);
// How long a notice is repeated: a few digests, any of which may be lost.
constexpr absl::Duration kNoticeRepeatTime = absl::Seconds(2);
// Longer than a leaving server keeps running, and than its discovery entry may
// be missing in a store outage.
constexpr absl::Duration kAnnouncementRetention = absl::Minutes(10);
constexpr size_t kMaxAnnouncements = 4096;
// Longest time for which another front's notice makes a server suspect.
constexpr absl::Duration kMaxPeerSuspicion = absl::Seconds(4);
// A server that sent bytes to this front within that time, a few events of a
// stream, is alive whatever another front reports.
constexpr absl::Duration kRecentlyAlive = absl::Milliseconds(150);
// Share of a service's servers that notices may make suspect.
constexpr double kMaxPeerSuspectShare = 0.5;

}  // namespace

BackendUse& BackendUse::operator+=(const BackendUse& other) {
  requests += other.requests;
  memory_tokens += other.memory_tokens;
  prompt_tokens += other.prompt_tokens;
  return *this;
}

BackendUse& BackendUse::operator-=(const BackendUse& other) {
  requests -= other.requests;
  memory_tokens -= other.memory_tokens;
  prompt_tokens -= other.prompt_tokens;
  return *this;
}

BackendUse BackendState::Total() const {
  BackendUse total = own;
  total += peers;
  return total;
}

double BackendState::FailureRate(absl::Time now) const {
  if (failure_rate == 0) return 0;
  return failure_rate * std::exp2(-absl::FDivDuration(now - failure_rate_at,
                                                      kFailureHalfLife));
}

void BackendState::RecordOutcome(bool failed, absl::Time now) {
  double rate = FailureRate(now);
  failure_rate = rate + kFailureWeight * ((failed ? 1 : 0) - rate);
  failure_rate_at = now;
}

BackendChange BackendTable::Upsert(const BackendRecord& record) {
  auto [it, is_new] = backends_.try_emplace(record.id);
  BackendState& backend = it->second;
  if (is_new) {
    backend.record = record;
    for (const auto& peer : peer_use_) {
      auto use = peer.second.find(record.id);
      if (use != peer.second.end()) backend.peers += use->second;
    }
    ApplyAnnouncement(backend);
    return BackendChange::kNew;
  }
  if (record.born_unix_ms < backend.record.born_unix_ms) {
    return BackendChange::kNone;
  }
  bool was_lapsing = backend.removal_due.has_value();
  backend.removal_due.reset();
  if (record == backend.record) {
    return was_lapsing ? BackendChange::kUpdated : BackendChange::kNone;
  }
  bool restarted = record.born_unix_ms > backend.record.born_unix_ms ||
                   record.endpoint != backend.record.endpoint;
  if (restarted) {
    BackendState fresh;
    // Requests in flight are subtracted when they end.
    fresh.own = backend.own;
    fresh.peers = backend.peers;
    fresh.stated_start_ms = backend.stated_start_ms;
    backend = fresh;
  }
  backend.record = record;
  if (restarted) ApplyAnnouncement(backend);
  return restarted ? BackendChange::kRestarted : BackendChange::kUpdated;
}

void BackendTable::ApplyAnnouncement(BackendState& backend) const {
  auto it = announcements_.find(backend.record.id);
  if (it == announcements_.end()) return;
  if (it->second.born_unix_ms < backend.record.born_unix_ms) return;
  backend.announced_leaving = it->second.leaving;
  backend.pause_ends_at = it->second.pause_ends_at;
}

BackendTable::Announcement* BackendTable::FindOrCreateAnnouncement(
    const BackendName& id, int64_t born, absl::Time now) {
  if (announcements_.size() >= kMaxAnnouncements) PruneAnnouncements(now);
  bool is_full = announcements_.size() >= kMaxAnnouncements;
  bool is_unknown_server =
      announcements_.count(id) == 0 && backends_.count(id) == 0;
  if (is_full && is_unknown_server) return nullptr;
  auto [it, is_new] = announcements_.try_emplace(id);
  Announcement& announcement = it->second;
  if (!is_new && announcement.born_unix_ms > born) return nullptr;
  if (is_new || announcement.born_unix_ms < born) {
    announcement = Announcement();
    announcement.born_unix_ms = born;
  }
  announcement.updated_at = now;
  return &announcement;
}

void BackendTable::PruneAnnouncements(absl::Time now) {
  for (auto it = announcements_.begin(); it != announcements_.end();) {
    bool is_over = now - it->second.updated_at > kAnnouncementRetention &&
                   backends_.count(it->first) == 0;
    it = is_over ? announcements_.erase(it) : std::next(it);
  }
}

bool BackendTable::ReportLeaving(const BackendName& id, absl::Time now) {
  BackendState* backend = Find(id);
  if (backend == nullptr) return false;
  Announcement* announcement =
      FindOrCreateAnnouncement(id, backend->record.born_unix_ms, now);
  if (announcement != nullptr) {
    if (announcement->leaving_heard_at == absl::InfinitePast()) {
      announcement->leaving_heard_at = now;
    }
    announcement->leaving = true;
  }
  bool is_change = !backend->announced_leaving;
  backend->announced_leaving = true;
  return is_change;
}

bool BackendTable::ReportStart(const BackendName& id, int64_t born_unix_ms) {
  BackendState* backend = Find(id);
  if (backend == nullptr || born_unix_ms <= backend->stated_start_ms) {
    return false;
  }
  backend->stated_start_ms = born_unix_ms;
  return backend->HasOutdatedRecord();
}

bool BackendTable::HasOutdatedRecords() const {
  return std::any_of(backends_.begin(), backends_.end(), [](const auto& it) {
    return it.second.HasOutdatedRecord();
  });
}

bool BackendTable::ReportPauseRequest(const BackendName& id, absl::Time until,
                                      absl::Time now) {
  BackendState* backend = Find(id);
  if (backend == nullptr || until <= backend->pause_ends_at) return false;
  backend->pause_ends_at = until;
  Announcement* announcement =
      FindOrCreateAnnouncement(id, backend->record.born_unix_ms, now);
  if (announcement != nullptr) announcement->pause_ends_at = until;
  return true;
}

std::vector<BackendNotice> BackendTable::Notices(absl::Time now) {
  PruneAnnouncements(now);
  std::vector<BackendNotice> notices;
  for (const auto& it : announcements_) {
    const Announcement& announcement = it.second;
    if (now - announcement.leaving_heard_at < kNoticeRepeatTime) {
      notices.push_back({it.first, announcement.born_unix_ms,
                         BackendNotice::Kind::kLeaving, absl::ZeroDuration()});
    }
    if (announcement.pause_ends_at > now) {
      notices.push_back({it.first, announcement.born_unix_ms,
                         BackendNotice::Kind::kPauseRequested,
                         announcement.pause_ends_at - now});
    }
  }
  for (const auto& it : backends_) {
    const BackendState& backend = it.second;
    bool is_fresh = now - backend.unreachable_at < kNoticeRepeatTime;
    if (!is_fresh || backend.suspect_until <= now) continue;
    notices.push_back({it.first, backend.record.born_unix_ms,
                       BackendNotice::Kind::kUnreachable,
                       backend.suspect_until - now});
  }
  return notices;
}

bool BackendTable::ApplyNotice(const BackendNotice& notice, absl::Time now) {
  BackendState* backend = Find(notice.backend);
  bool is_known =
      backend != nullptr && backend->record.born_unix_ms == notice.born_unix_ms;
  switch (notice.kind) {
    case BackendNotice::Kind::kLeaving: {
      if (Announcement* announcement = FindOrCreateAnnouncement(
              notice.backend, notice.born_unix_ms, now)) {
        announcement->leaving = true;
      }
      if (!is_known || backend->announced_leaving) return false;
      backend->announced_leaving = true;
      return true;
    }
    case BackendNotice::Kind::kPauseRequested:
      return is_known && SetPeerSuspect(*backend, notice.left, now);
    case BackendNotice::Kind::kUnreachable:
      if (!is_known || now - backend->last_alive < kRecentlyAlive) return false;
      return SetPeerSuspect(*backend, notice.left, now);
  }
  return false;
}

bool BackendTable::SetPeerSuspect(BackendState& backend, absl::Duration time,
                                  absl::Time now) {
  absl::Time until = now + std::min(time, kMaxPeerSuspicion);
  if (backend.peer_suspect_until > now) {
    backend.peer_suspect_until = std::max(backend.peer_suspect_until, until);
    return false;
  }
  size_t all = 0;
  size_t suspects = 1;
  for (const auto& it : backends_) {
    if (it.second.record.service != backend.record.service) continue;
    ++all;
    if (it.second.peer_suspect_until > now) ++suspects;
  }
  bool is_too_many = static_cast<double>(suspects) >
                     kMaxPeerSuspectShare * static_cast<double>(all);
  if (is_too_many) return false;
  backend.peer_suspect_until = until;
  return true;
}

std::optional<absl::Time> BackendTable::FirstPauseEnd(
    const ServiceName& service, Filter is_usable, absl::Time now) const {
  std::optional<absl::Time> first;
  for (const auto& it : backends_) {
    const BackendState& backend = it.second;
    if (backend.record.service != service || backend.IsLeaving()) continue;
    if (backend.changing_until > now || !is_usable(backend)) continue;
    if (backend.pause_ends_at <= now) return std::nullopt;
    first =
        std::min(first.value_or(absl::InfiniteFuture()), backend.pause_ends_at);
  }
  return first;
}

bool BackendTable::Remove(const BackendName& id) {
  return backends_.erase(id) != 0;
}

void BackendTable::ScheduleRemoval(const BackendName& id, absl::Time at) {
  BackendState* backend = Find(id);
  if (backend != nullptr && !backend->removal_due) backend->removal_due = at;
}

std::vector<BackendName> BackendTable::RemoveExpired(absl::Time now) {
  std::vector<BackendName> expired;
  for (const auto& it : backends_) {
    if (it.second.removal_due && *it.second.removal_due <= now) {
      expired.push_back(it.first);
    }
  }
  for (const BackendName& it : expired) backends_.erase(it);
  return expired;
}

BackendState* BackendTable::Find(const BackendName& id) {
  auto it = backends_.find(id);
  return it == backends_.end() ? nullptr : &it->second;
}

const BackendState* BackendTable::Find(const BackendName& id) const {
  auto it = backends_.find(id);
  return it == backends_.end() ? nullptr : &it->second;
}

std::vector<BackendState*> BackendTable::Candidates(
    const ServiceName& service, Filter is_usable,
    const std::set<BackendName>& excluded, absl::Time now) {
  std::vector<BackendState*> trusted;
  std::vector<BackendState*> suspects;
  for (auto& it : backends_) {
    BackendState& backend = it.second;
    if (backend.record.service != service || backend.IsLeaving()) continue;
    if (backend.pause_ends_at > now || backend.changing_until > now) continue;
    if (!is_usable(backend)) continue;
    if (excluded.count(it.first) != 0) continue;
    (backend.IsSuspect(now) ? suspects : trusted).push_back(&backend);
  }
  return trusted.empty() ? suspects : trusted;
}

void BackendTable::ReportFailure(const BackendName& id, absl::Time now) {
  BackendState* backend = Find(id);
  if (backend == nullptr) return;
  backend->RecordOutcome(/*failed=*/true, now);
  ++backend->failures_in_a_row;
  int excess = backend->failures_in_a_row - kToleratedFailures;
  if (excess <= 0) return;
  absl::Duration avoidance = kFirstAvoidance;
  for (int it = 1; it < excess && avoidance < kMaxAvoidance; ++it) {
    avoidance *= 2;
  }
  backend->suspect_until = now + std::min(avoidance, kMaxAvoidance);
}

void BackendTable::ReportUnreachable(const BackendName& id, absl::Time now) {
  BackendState* backend = Find(id);
  if (backend == nullptr) return;
  backend->failures_in_a_row =
      std::max(backend->failures_in_a_row, kToleratedFailures);
  backend->unreachable_at = now;
  if (!backend->unreachable_since) backend->unreachable_since = now;
  ReportFailure(id, now);
}

void BackendTable::ReportError(const BackendName& id, absl::Time now) {
  BackendState* backend = Find(id);
  if (backend != nullptr) backend->RecordOutcome(/*failed=*/true, now);
}

void BackendTable::ReportAlive(const BackendName& id, absl::Time now) {
  BackendState* backend = Find(id);
  if (backend == nullptr) return;
  backend->failures_in_a_row = 0;
  backend->suspect_until = absl::InfinitePast();
  backend->peer_suspect_until = absl::InfinitePast();
  backend->last_alive = now;
  backend->unreachable_since.reset();
}

void BackendTable::ReportSuccess(const BackendName& id, absl::Time now) {
  BackendState* backend = Find(id);
  if (backend == nullptr) return;
  backend->RecordOutcome(/*failed=*/false, now);
  backend->refusals_in_a_row = 0;
  ReportAlive(id, now);
}

void BackendTable::ReportFull(const BackendName& id, absl::Time now) {
  BackendState* backend = Find(id);
  if (backend == nullptr) return;
  absl::Duration pause = kFirstFullPause;
  for (int it = 0; it < backend->refusals_in_a_row; ++it) {
    pause = std::min(2 * pause, kMaxFullPause);
  }
  // A server that refuses while nearly idle is not full: it changes its stage
  // or is faulty, so the longest pause applies.
  if (backend->Total().requests <= kIdleRequests) pause = kMaxFullPause;
  ++backend->refusals_in_a_row;
  backend->full_until = now + pause;
}

void BackendTable::SetChanging(const BackendName& id, absl::Time until) {
  BackendState* backend = Find(id);
  if (backend == nullptr) return;
  backend->changing_until = std::max(backend->changing_until, until);
}

std::map<BackendName, absl::Time> BackendTable::Changing(absl::Time now) const {
  std::map<BackendName, absl::Time> changing;
  for (const auto& it : backends_) {
    if (it.second.changing_until > now) {
      changing[it.first] = it.second.changing_until;
    }
  }
  return changing;
}

void BackendTable::AdjustPeerUse(const std::map<BackendName, BackendUse>& use,
                                 bool add) {
  for (const auto& it : use) {
    BackendState* backend = Find(it.first);
    if (backend == nullptr) continue;
    if (add) {
      backend->peers += it.second;
    } else {
      backend->peers -= it.second;
    }
  }
}

void BackendTable::SetPeerUse(const std::string& peer,
                              const std::map<BackendName, BackendUse>& use) {
  auto& known = peer_use_[peer];
  AdjustPeerUse(known, /*add=*/false);
  AdjustPeerUse(use, /*add=*/true);
  known = use;
  if (use.empty()) peer_use_.erase(peer);
}

std::map<BackendName, BackendUse> BackendTable::OwnUse() const {
  std::map<BackendName, BackendUse> use;
  for (const auto& it : backends_) {
    if (it.second.own == BackendUse()) continue;
    use[it.first] = it.second.own;
  }
  return use;
}

}  // namespace chervilwick
