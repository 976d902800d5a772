// Detection of requests that crash the backend servers that run them.

#include "chervilwick/dispatch/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

// Clients retry such a request within that time or not at all.
constexpr absl::Duration kRetention = absl::Seconds(120);
// Limited, as the request may only have been running when its servers crashed
// for other reasons. Doubles with each further crash.
constexpr absl::Duration kFirstQuarantine = kRetention;
constexpr absl::Duration kMaxQuarantine = absl::Minutes(30);
// The longest quarantine plus the retention.
constexpr absl::Duration kMaxAge = absl::Minutes(32);
// Per fingerprint; enough to reach the longest quarantine.
constexpr size_t kMaxCrashes = 12;
constexpr size_t kMaxEntries = 4096;
// A full table evicts one entry in so many at once.
constexpr size_t kEvictedPart = 4;
// A few full digests of a front, any of which may be lost.
constexpr absl::Duration kResendTime = absl::Seconds(5);
// Crashes of a fingerprint from which on a front records its own outside the
// fronts.
constexpr size_t kRecordedCrashes = 2;
// Longest time to detect a server's end: its entry expires after three missed
// reports, and the store delivers changes with a delay.
constexpr absl::Duration kEndDetectionTime = absl::Seconds(6);
// A server that sends anything within that time after it closed a connection
// has not crashed; a crashed one takes seconds to restart.
constexpr absl::Duration kSettleTime = absl::Milliseconds(500);
// Longest time between two calls of Settle.
constexpr absl::Duration kSettleInterval = absl::Milliseconds(100);
// Connections closed by one end of a server are noticed within that time; a
// restart takes seconds.
constexpr absl::Duration kSameEndTime = absl::Seconds(1);
// Bytes that the server sent before it ended may arrive that much later.
constexpr absl::Duration kInFlightTime = absl::Milliseconds(150);
// Limits per datagram, to keep datagrams short: those of a large fleet arrive
// together, and long ones are lost.
constexpr size_t kMaxSentCrashes = 24;
constexpr size_t kMaxSentExonerations = 8;

uint64_t HashOfServer(const LostRun& run) {
  return StableHash(absl::StrCat(run.backend.value(), "/", run.born_unix_ms));
}

}  // namespace

absl::Time CrashSuspects::Entry::LastChange() const {
  absl::Time last = exonerated;
  for (const auto& it : crashes) last = std::max(last, it.second);
  return last;
}

absl::Time CrashSuspects::Entry::QuarantineEnd() const {
  if (crashes.size() < kQuarantineCrashes) return absl::InfinitePast();
  absl::Duration length = kFirstQuarantine;
  for (size_t it = kQuarantineCrashes; it < crashes.size(); ++it) length *= 2;
  return LastChange() + std::min(length, kMaxQuarantine);
}

absl::Time CrashSuspects::Entry::Expiry() const {
  return std::max(LastChange(), QuarantineEnd()) + kRetention;
}

CrashSuspects::Entry& CrashSuspects::FindOrCreateEntry(Fingerprint fingerprint,
                                                       absl::Time now) {
  if (entries_.size() >= kMaxEntries && entries_.count(fingerprint) == 0) {
    EvictEntries(now);
  }
  return entries_[fingerprint];
}

void CrashSuspects::EvictEntries(absl::Time now) {
  Prune(now);
  if (entries_.size() < kMaxEntries) return;
  std::vector<EntryMap::iterator> order;
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    order.push_back(it);
  }
  auto middle = order.begin() + kMaxEntries / kEvictedPart;
  std::nth_element(
      order.begin(), middle, order.end(),
      [](const EntryMap::iterator& a, const EntryMap::iterator& b) {
        size_t a_crashes = a->second.crashes.size();
        size_t b_crashes = b->second.crashes.size();
        if (a_crashes != b_crashes) return a_crashes < b_crashes;
        return a->second.LastChange() < b->second.LastChange();
      });
  for (auto it = order.begin(); it != middle; ++it) entries_.erase(*it);
}

std::optional<ServerEndId> CrashSuspects::Entry::NewEnd(
    const LostRun& run, absl::Time ended) const {
  ServerEndId end{HashOfServer(run), 0};
  // For a silent run the server may have ended at any time since the request
  // was sent.
  absl::Time first = (run.is_closed ? ended : run.sent) - kSameEndTime;
  absl::Time last = ended + kSameEndTime;
  for (const auto& it : crashes) {
    if (it.first.server != end.server) continue;
    if (first < it.second && it.second < last) return std::nullopt;
    end.number = std::max(end.number, it.first.number + 1);
  }
  return end;
}

void CrashSuspects::CountCrash(const LostRun& run, absl::Time ended,
                               absl::Time now) {
  Entry& entry = FindOrCreateEntry(run.fingerprint, now);
  if (ended <= entry.exonerated) return;
  std::optional<ServerEndId> end = entry.NewEnd(run, ended);
  if (!end) return;
  if (entry.crashes.size() >= kMaxCrashes) {
    // The quarantine is at its longest; only the latest crash's time matters.
    entry.crashes.erase(std::min_element(
        entry.crashes.begin(), entry.crashes.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  entry.crashes[*end] = ended;
  unsent_crashes_.emplace_back(run.fingerprint, *end);
  own_[{run.fingerprint, *end}] = false;
  if (on_counted_) on_counted_(run.fingerprint, run.backend, now);
}

void CrashSuspects::ReportLost(const LostRun& run, absl::Time now) {
  auto end = server_ends_.find(run.backend);
  if (end != server_ends_.end() && run.sent <= end->second) {
    CountCrash(run, end->second, now);
  } else if (pending_runs_.size() < kMaxEntries) {
    pending_runs_.emplace(run.fingerprint, PendingRun{run, now});
  }
}

void CrashSuspects::ReportServerEnd(const BackendName& backend,
                                    absl::Time now) {
  server_ends_[backend] = now;
  for (auto it = pending_runs_.begin(); it != pending_runs_.end();) {
    const PendingRun& pending = it->second;
    if (pending.run.backend != backend) {
      ++it;
      continue;
    }
    bool is_recent = now - pending.lost <= kEndDetectionTime;
    if (is_recent) {
      CountCrash(pending.run, pending.run.is_closed ? pending.lost : now, now);
    }
    it = pending_runs_.erase(it);
  }
}

void CrashSuspects::Settle(LastHeard last_heard, absl::Time now) {
  for (auto it = pending_runs_.begin(); it != pending_runs_.end();) {
    const PendingRun& pending = it->second;
    bool is_due = pending.run.is_closed && now - pending.lost >= kSettleTime;
    bool is_over = now - pending.lost > kEndDetectionTime;
    if (is_due &&
        last_heard(pending.run.backend) < pending.lost + kInFlightTime) {
      CountCrash(pending.run, pending.lost, now);
    }
    it = is_due || is_over ? pending_runs_.erase(it) : std::next(it);
  }
}

void CrashSuspects::ReportCompleted(Fingerprint fingerprint, absl::Time now) {
  pending_runs_.erase(fingerprint);
  auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return;
  it->second.crashes.clear();
  it->second.exonerated = now;
  unsent_exonerations_.push_back(fingerprint);
}

std::vector<Fingerprint> CrashSuspects::MergeUpdate(const CrashUpdate& news,
                                                    absl::Time now) {
  for (const Exoneration& it : news.exonerations) {
    if (it.age > kMaxAge) continue;
    absl::Time at = now - it.age;
    Entry& entry = FindOrCreateEntry(it.fingerprint, now);
    if (at <= entry.exonerated) continue;
    entry.exonerated = at;
    for (auto run = entry.crashes.begin(); run != entry.crashes.end();) {
      run = run->second <= at ? entry.crashes.erase(run) : std::next(run);
    }
  }
  std::vector<Fingerprint> updated;
  for (const CrashedRun& it : news.crashed_runs) {
    absl::Time at = now - it.age;
    if (it.age > kMaxAge) continue;
    Entry& entry = FindOrCreateEntry(it.fingerprint, now);
    if (at <= entry.exonerated) continue;
    if (entry.crashes.size() >= kMaxCrashes) continue;
    if (!entry.crashes.emplace(it.end, at).second) continue;
    updated.push_back(it.fingerprint);
  }
  return updated;
}

absl::Duration CrashSuspects::QuarantineLeft(Fingerprint fingerprint,
                                             absl::Time now) const {
  auto it = entries_.find(fingerprint);
  absl::Time end =
      it == entries_.end() ? absl::InfinitePast() : it->second.QuarantineEnd();
  // A closed connection counts at this front while it is undecided.
  auto [first, last] = pending_runs_.equal_range(fingerprint);
  std::set<uint64_t> servers;
  absl::Time settled = absl::InfinitePast();
  for (auto pending = first; pending != last; ++pending) {
    const LostRun& run = pending->second.run;
    absl::Time lost = pending->second.lost;
    if (!run.is_closed) continue;
    if (it != entries_.end() && !it->second.NewEnd(run, lost)) continue;
    servers.insert(HashOfServer(run));
    // The decision may come up to one interval late.
    settled = std::max({settled, lost + kSettleTime, now + kSettleInterval});
  }
  size_t crashes = CrashCount(fingerprint) + servers.size();
  if (crashes >= kQuarantineCrashes) end = std::max(end, settled);
  return std::max(absl::ZeroDuration(), end - now);
}

uint32_t CrashSuspects::CrashCount(Fingerprint fingerprint) const {
  auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return 0;
  return static_cast<uint32_t>(it->second.crashes.size());
}

CrashUpdate CrashSuspects::TakeUnsent(absl::Time now) {
  CrashUpdate news;
  for (const auto& it : unsent_crashes_) {
    auto entry = entries_.find(it.first);
    if (entry == entries_.end()) continue;
    auto run = entry->second.crashes.find(it.second);
    if (run == entry->second.crashes.end()) continue;
    news.crashed_runs.push_back({it.first, it.second, now - run->second});
  }
  for (Fingerprint it : unsent_exonerations_) {
    auto entry = entries_.find(it);
    if (entry == entries_.end()) continue;
    news.exonerations.push_back({it, now - entry->second.exonerated});
  }
  unsent_crashes_.clear();
  unsent_exonerations_.clear();
  return news;
}

CrashUpdate CrashSuspects::Select(Filter is_selected,
                                  absl::Time exonerated_since,
                                  absl::Time now) const {
  std::vector<const EntryMap::value_type*> order;
  for (const auto& it : entries_) order.push_back(&it);
  // Most crashes first, as not all may fit.
  std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) {
    return a->second.crashes.size() > b->second.crashes.size();
  });
  CrashUpdate news;
  for (const EntryMap::value_type* it : order) {
    const Entry& entry = it->second;
    if (entry.exonerated >= exonerated_since &&
        news.exonerations.size() < kMaxSentExonerations) {
      news.exonerations.push_back({it->first, now - entry.exonerated});
    }
    for (const auto& run : entry.crashes) {
      if (news.crashed_runs.size() == kMaxSentCrashes) break;
      if (!is_selected({it->first, run.first}, entry, run.second)) continue;
      news.crashed_runs.push_back({it->first, run.first, now - run.second});
    }
  }
  return news;
}

CrashUpdate CrashSuspects::RecentUpdate(absl::Time now) const {
  auto is_selected = [&](const CrashId& id, const Entry& entry, absl::Time at) {
    bool is_own = own_.count(id) != 0 && now - at <= kResendTime;
    return is_own || entry.crashes.size() >= kQuarantineCrashes;
  };
  return Select(is_selected, now - kResendTime, now);
}

CrashUpdate CrashSuspects::FullUpdate(absl::Time now) const {
  auto is_selected = [](const CrashId& /*id*/, const Entry& /*entry*/,
                        absl::Time /*at*/) { return true; };
  return Select(is_selected, now - kMaxAge, now);
}

std::vector<CrashedRun> CrashSuspects::Unrecorded(absl::Time now) const {
  std::vector<CrashedRun> runs;
  for (const auto& it : own_) {
    auto entry = entries_.find(it.first.first);
    if (it.second || entry == entries_.end()) continue;
    auto found = entry->second.crashes.find(it.first.second);
    bool is_repeated = entry->second.crashes.size() >= kRecordedCrashes;
    if (!is_repeated || found == entry->second.crashes.end()) continue;
    runs.push_back({it.first.first, it.first.second, now - found->second});
  }
  return runs;
}

void CrashSuspects::MarkRecorded(const std::vector<CrashedRun>& runs) {
  for (const CrashedRun& it : runs) {
    auto own = own_.find({it.fingerprint, it.end});
    if (own != own_.end()) own->second = true;
  }
}

void CrashSuspects::Prune(absl::Time now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    bool is_over = it->second.Expiry() < now;
    it = is_over ? entries_.erase(it) : std::next(it);
  }
  for (auto it = own_.begin(); it != own_.end();) {
    bool is_over = entries_.count(it->first.first) == 0;
    it = is_over ? own_.erase(it) : std::next(it);
  }
  for (auto it = server_ends_.begin(); it != server_ends_.end();) {
    bool is_over = now - it->second > kRetention;
    it = is_over ? server_ends_.erase(it) : std::next(it);
  }
}

}  // namespace chervilwick
