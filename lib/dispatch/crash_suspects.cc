// Detection of requests, and of parts of prompts, that crash the backend
// servers that run them.

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
// Of parts with which requests were served lately: crashes with one cause, such
// as a failing rack, may have ended all runs since.
constexpr absl::Duration kFirstTrustedQuarantine = absl::Seconds(10);
// Longest time from a send to the crash that it causes.
constexpr absl::Duration kTrialTime = absl::Seconds(10);
// Time from a crash until all fronts know of it and its server is back.
constexpr absl::Duration kBeforeTrial = absl::Seconds(3);
// Turn of one front: most trials show within it whether a server ends.
constexpr absl::Duration kTurnTime = absl::Seconds(5);
// Shortest Retry-After while a trial may clear a request.
constexpr absl::Duration kMinTrialRetry = absl::Seconds(1);
// A request that crashed so many servers is tried only after its quarantine.
constexpr size_t kMaxTrialCrashes = 5;
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
constexpr size_t kMaxSentParts = 256;
// Crashes of blamed parts in one datagram, enough for the verdict.
constexpr size_t kMaxSentPerBlame = 6;
// Least time between two messages in favour of one part or request.
constexpr absl::Duration kTellInterval = absl::Milliseconds(400);

// Whether two runs ended with the same end of a server.
bool IsSameEnd(const ServerEndId& a, absl::Time a_at, const ServerEndId& b,
               absl::Time b_at, bool is_time_known) {
  return a.server == b.server &&
         (!is_time_known || absl::AbsDuration(a_at - b_at) < kSameEndTime);
}

uint64_t HashOfServer(const LostRun& run) {
  return StableHash(absl::StrCat(run.backend.value(), "/", run.born_unix_ms));
}

}  // namespace

absl::Time CrashSuspects::Entry::LastCrash() const {
  absl::Time last = absl::InfinitePast();
  for (const auto& it : crashes) last = std::max(last, it.second.at);
  return last;
}

absl::Time CrashSuspects::Entry::LastChange() const {
  return std::max(LastCrash(), exonerated);
}

absl::Time CrashSuspects::Entry::QuarantineEnd() const {
  if (crashes.size() < kQuarantineCrashes) return absl::InfinitePast();
  absl::Duration length = kFirstQuarantine;
  for (size_t it = kQuarantineCrashes; it < crashes.size(); ++it) length *= 2;
  return LastChange() + std::min(length, kMaxQuarantine);
}

absl::Time CrashSuspects::Entry::Expiry() const {
  return std::max({LastChange(), QuarantineEnd(), evidence_until}) + kRetention;
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
    if (first < it.second.at && it.second.at < last) return std::nullopt;
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
    entry.crashes.erase(std::min_element(entry.crashes.begin(),
                                         entry.crashes.end(),
                                         [](const auto& a, const auto& b) {
                                           return a.second.at < b.second.at;
                                         }));
  }
  Crash& crash = entry.crashes[*end];
  crash = {ended, run.parts, false};
  StrikeServedParts(crash, now);
  unsent_crashes_.emplace_back(run.fingerprint, *end);
  own_[{run.fingerprint, *end}] = false;
  if (on_counted_) on_counted_(run.fingerprint, run.backend, now);
}

void CrashSuspects::ReportLost(const LostRun& run, absl::Time now) {
  auto end = server_ends_.find(run.backend);
  if (end != server_ends_.end() && run.sent <= end->second) {
    CountCrash(run, end->second, now);
    UpdateBlamed();
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
  UpdateBlamed();
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
  UpdateBlamed();
}

void CrashSuspects::ReportCompleted(const RequestContent& content,
                                    absl::Time now) {
  pending_runs_.erase(content.request);
  auto it = entries_.find(content.request);
  if (it != entries_.end()) {
    Entry& entry = it->second;
    bool had_crashes = !entry.crashes.empty();
    if (on_cleared_ && had_crashes) on_cleared_(content.request, now);
    entry.crashes.clear();
    entry.exonerated = now;
    if (had_crashes || now - entry.told >= kTellInterval) {
      entry.told = now;
      unsent_exonerations_.push_back(content.request);
    }
    has_new_evidence_ = has_new_evidence_ || had_crashes;
  }
  for (Fingerprint part : content.parts) {
    FindOrCreateServed(part).completed = now;
    StrikePart(part, now);
  }
  UpdateBlamed();
}

void CrashSuspects::ReportWritten(const std::vector<Fingerprint>& parts,
                                  absl::Time now) {
  for (Fingerprint it : parts) {
    ServedPart& served = FindOrCreateServed(it);
    has_new_evidence_ = has_new_evidence_ || !served.IsTrusted();
    served.written = now;
  }
  UpdateBlamed();
}

CrashSuspects::ServedPart& CrashSuspects::FindOrCreateServed(Fingerprint part) {
  if (served_parts_.size() >= kMaxEntries && served_parts_.count(part) == 0) {
    // Those that are served often are kept.
    std::vector<absl::Time> times;
    for (const auto& it : served_parts_) times.push_back(it.second.Last());
    auto middle = times.begin() + kMaxEntries / kEvictedPart;
    std::nth_element(times.begin(), middle, times.end());
    for (auto it = served_parts_.begin(); it != served_parts_.end();) {
      bool is_old = it->second.Last() <= *middle;
      it = is_old ? served_parts_.erase(it) : std::next(it);
    }
  }
  return served_parts_[part];
}

void CrashSuspects::StrikePart(Fingerprint part, absl::Time completed) {
  for (auto& entry : entries_) {
    for (auto& it : entry.second.crashes) {
      Crash& crash = it.second;
      // The time of a recorded crash is not known.
      if (crash.at > completed && !crash.is_recorded) continue;
      auto found = std::find(crash.parts.begin(), crash.parts.end(), part);
      if (found == crash.parts.end()) continue;
      crash.parts.erase(found);
      has_new_evidence_ = true;
      TellServed(part, completed);
    }
  }
}

void CrashSuspects::StrikeServedParts(Crash& crash, absl::Time now) {
  std::vector<Fingerprint> kept;
  for (Fingerprint part : crash.parts) {
    auto served = served_parts_.find(part);
    if (served != served_parts_.end()) {
      TellServed(part, now);
      bool is_sound = crash.at <= served->second.completed ||
                      (crash.is_recorded &&
                       served->second.completed > absl::InfinitePast());
      if (is_sound) continue;
    }
    kept.push_back(part);
  }
  crash.parts = std::move(kept);
  has_new_evidence_ = true;
}

void CrashSuspects::TellServed(Fingerprint part, absl::Time now) {
  ServedPart& served = FindOrCreateServed(part);
  if (now - std::max(served.told, served.heard) < kTellInterval) return;
  served.told = now;
  unsent_served_.push_back(part);
}

void CrashSuspects::MergeExoneration(const Exoneration& it, absl::Time now) {
  if (it.age > kMaxAge) return;
  absl::Time at = now - it.age;
  if (it.kind != Exoneration::Kind::kRequest) {
    ServedPart& served = FindOrCreateServed(it.fingerprint);
    has_new_evidence_ = has_new_evidence_ || !served.IsTrusted();
    served.heard = now;
    if (it.kind == Exoneration::Kind::kPartWritten) {
      served.written = std::max(served.written, at);
      return;
    }
    served.completed = std::max(served.completed, at);
    StrikePart(it.fingerprint, at);
    return;
  }
  Entry& entry = FindOrCreateEntry(it.fingerprint, now);
  if (at <= entry.exonerated) return;
  entry.exonerated = at;
  has_new_evidence_ = true;
  bool is_cleared = !entry.crashes.empty() && entry.LastCrash() <= at;
  if (on_cleared_ && is_cleared) on_cleared_(it.fingerprint, now);
  for (auto run = entry.crashes.begin(); run != entry.crashes.end();) {
    run = run->second.at <= at ? entry.crashes.erase(run) : std::next(run);
  }
}

bool CrashSuspects::MergeCrash(const CrashedRun& run, absl::Time now) {
  absl::Time at = now - run.age;
  if (run.age > kMaxAge) return false;
  Entry& entry = FindOrCreateEntry(run.fingerprint, now);
  if (at <= entry.exonerated) return false;
  auto known = entry.crashes.find(run.end);
  if (known != entry.crashes.end()) {
    // The other front may know that more of the parts are sound, and when it
    // was if this one read it from the store.
    Crash& crash = known->second;
    for (auto it = crash.parts.begin(); it != crash.parts.end();) {
      // Records keep all parts, those of older fronts none.
      bool is_kept =
          run.is_recorded ||
          std::find(run.parts.begin(), run.parts.end(), *it) != run.parts.end();
      has_new_evidence_ = has_new_evidence_ || !is_kept;
      it = is_kept ? std::next(it) : crash.parts.erase(it);
    }
    if (crash.is_recorded && !run.is_recorded) {
      crash.is_recorded = false;
      crash.at = at;
    }
    return false;
  }
  if (entry.crashes.size() >= kMaxCrashes) return false;
  Crash& crash = entry.crashes[run.end];
  crash = {at, run.parts, run.is_recorded};
  StrikeServedParts(crash, now);
  return true;
}

std::vector<Fingerprint> CrashSuspects::MergeUpdate(const CrashUpdate& news,
                                                    absl::Time now) {
  for (const Exoneration& it : news.exonerations) MergeExoneration(it, now);
  std::vector<Fingerprint> updated;
  for (const CrashedRun& it : news.crashed_runs) {
    if (MergeCrash(it, now)) updated.push_back(it.fingerprint);
  }
  UpdateBlamed();
  return updated;
}

void CrashSuspects::UpdateBlamed() {
  if (!has_new_evidence_) return;
  has_new_evidence_ = false;
  std::vector<SuspectRun> runs;
  std::vector<Entry*> entries;
  for (auto& it : entries_) {
    for (const auto& crash : it.second.crashes) {
      if (crash.second.parts.empty()) continue;
      runs.push_back({crash.first.server, crash.second.at, it.first,
                      crash.second.parts, crash.second.is_recorded});
      entries.push_back(&it.second);
    }
  }
  auto is_trusted = [this](Fingerprint part) {
    auto it = served_parts_.find(part);
    return it != served_parts_.end() && it->second.IsTrusted();
  };
  std::vector<std::set<Fingerprint>> before;
  for (const BlamedParts& it : blamed_) before.push_back(it.parts);
  blamed_ = FindBlamedParts(runs, is_trusted);
  std::vector<std::set<Fingerprint>> after;
  for (const BlamedParts& it : blamed_) {
    after.push_back(it.parts);
    for (size_t run : it.runs) {
      Entry& entry = *entries[run];
      entry.evidence_until = std::max(entry.evidence_until, QuarantineEnd(it));
    }
  }
  if (on_blame_ && before != after) on_blame_(blamed_);
}

absl::Time CrashSuspects::QuarantineEnd(const BlamedParts& blamed) const {
  absl::Duration length =
      blamed.is_trusted ? kFirstTrustedQuarantine : kFirstQuarantine;
  for (uint32_t it = 0; it < blamed.later_crashes; ++it) {
    if (length >= kMaxQuarantine) break;
    length *= 2;
  }
  absl::Duration delay =
      std::min(trial_delay_, std::min(length, kMaxQuarantine) / 2);
  return blamed.last_crash + std::min(length, kMaxQuarantine) + delay;
}

bool CrashSuspects::HasParts(const RequestContent& content,
                             const BlamedParts& blamed) {
  return std::all_of(
      blamed.parts.begin(), blamed.parts.end(), [&](Fingerprint it) {
        return std::find(content.parts.begin(), content.parts.end(), it) !=
               content.parts.end();
      });
}

void CrashSuspects::ReportSent(const RequestContent& content, absl::Time now) {
  for (const BlamedParts& it : blamed_) {
    if (!HasParts(content, it)) continue;
    Trial& trial = trials_[it.parts];
    if (trial.request != content.request && now < trial.end) continue;
    trial = {content.request, now + kTrialTime};
  }
}

size_t CrashSuspects::CrashesAndPending(Fingerprint request) const {
  auto it = entries_.find(request);
  auto [first, last] = pending_runs_.equal_range(request);
  std::set<uint64_t> servers;
  for (auto pending = first; pending != last; ++pending) {
    const LostRun& run = pending->second.run;
    if (it != entries_.end() && !it->second.NewEnd(run, pending->second.lost)) {
      continue;
    }
    servers.insert(HashOfServer(run));
  }
  return CrashCount(request) + servers.size();
}

bool CrashSuspects::IsTrialOpen(Fingerprint request, absl::Time now) const {
  auto it = request_trials_.find(request);
  return it != request_trials_.end() && now < it->second.end &&
         CrashesAndPending(request) <= it->second.crashes;
}

bool CrashSuspects::HasOtherSuspect(const EntryMap::value_type& suspect) const {
  auto ran_there = [](const Entry& other, const ServerEndId& end,
                      const Crash& crash) {
    return std::any_of(
        other.crashes.begin(), other.crashes.end(), [&](const auto& it) {
          return IsSameEnd(it.first, it.second.at, end, crash.at,
                           !it.second.is_recorded && !crash.is_recorded);
        });
  };
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& other) {
    if (other.first == suspect.first) return false;
    if (other.second.crashes.size() < suspect.second.crashes.size()) {
      return false;
    }
    return std::all_of(suspect.second.crashes.begin(),
                       suspect.second.crashes.end(), [&](const auto& it) {
                         return ran_there(other.second, it.first, it.second);
                       });
  });
}

std::optional<absl::Duration> CrashSuspects::TrialLeft(
    const EntryMap::value_type& suspect, absl::Time now) const {
  if (suspect.second.crashes.size() >= kMaxTrialCrashes) return std::nullopt;
  if (!HasOtherSuspect(suspect)) return std::nullopt;
  absl::Duration since = now - suspect.second.LastCrash() - kBeforeTrial;
  if (since < absl::ZeroDuration()) return -since;
  absl::Duration into_turn;
  absl::IDivDuration(since, kTurnTime, &into_turn);
  return kTurnTime - into_turn;
}

bool CrashSuspects::BeginTrial(const RequestContent& content, absl::Time now) {
  auto it = entries_.find(content.request);
  if (!has_turn_ || it == entries_.end()) return false;
  size_t crashes = it->second.crashes.size();
  absl::Duration since = now - it->second.LastCrash() - kBeforeTrial;
  if (crashes < kQuarantineCrashes || crashes >= kMaxTrialCrashes ||
      since < absl::ZeroDuration() ||
      CrashesAndPending(content.request) != crashes) {
    return false;
  }
  if (PartsQuarantineLeft(content, now) > absl::ZeroDuration()) return false;
  auto trial = request_trials_.find(content.request);
  if (trial != request_trials_.end() && now < trial->second.end) return false;
  absl::Duration rest;
  int64_t turn = absl::IDivDuration(since, kTurnTime, &rest);
  if (!has_turn_(content.request, static_cast<uint64_t>(turn)) ||
      !HasOtherSuspect(*it)) {
    return false;
  }
  request_trials_[content.request] = {crashes, now + kTrialTime};
  return true;
}

absl::Duration CrashSuspects::QuarantineLeft(const RequestContent& content,
                                             absl::Time now) const {
  bool is_free = content.is_trial && IsTrialOpen(content.request, now);
  absl::Duration left =
      is_free ? absl::ZeroDuration() : QuarantineLeft(content.request, now);
  return std::max(left, PartsQuarantineLeft(content, now));
}

absl::Duration CrashSuspects::PartsQuarantineLeft(const RequestContent& content,
                                                  absl::Time now) const {
  absl::Duration left = absl::ZeroDuration();
  for (const BlamedParts& it : blamed_) {
    if (!HasParts(content, it)) continue;
    absl::Time end = QuarantineEnd(it);
    auto trial = trials_.find(it.parts);
    if (now >= end && trial != trials_.end() &&
        trial->second.request != content.request) {
      end = trial->second.end;
    }
    left = std::max(left, end - now);
  }
  return left;
}

absl::Duration CrashSuspects::RetryAfter(const RequestContent& content,
                                         absl::Time now) const {
  absl::Duration left = QuarantineLeft(content.request, now);
  auto it = entries_.find(content.request);
  if (it != entries_.end()) {
    std::optional<absl::Duration> trial = TrialLeft(*it, now);
    if (trial) left = std::min(left, std::max(*trial, kMinTrialRetry));
  }
  return std::max(left, PartsQuarantineLeft(content, now));
}

absl::Duration CrashSuspects::QuarantineLeft(Fingerprint request,
                                             absl::Time now) const {
  auto it = entries_.find(request);
  absl::Time end =
      it == entries_.end() ? absl::InfinitePast() : it->second.QuarantineEnd();
  // A closed connection counts at this front while it is undecided.
  auto [first, last] = pending_runs_.equal_range(request);
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
  size_t crashes = CrashCount(request) + servers.size();
  if (crashes >= kQuarantineCrashes) end = std::max(end, settled);
  return std::max(absl::ZeroDuration(), end - now);
}

uint32_t CrashSuspects::CrashCount(Fingerprint fingerprint) const {
  auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return 0;
  return static_cast<uint32_t>(it->second.crashes.size());
}

CrashedRun CrashSuspects::Describe(const CrashId& id, const Crash& crash,
                                   absl::Time now) {
  CrashedRun run;
  run.fingerprint = id.first;
  run.end = id.second;
  run.age = now - crash.at;
  run.parts = crash.parts;
  return run;
}

void CrashSuspects::AddServed(Fingerprint part, absl::Time now,
                              std::vector<Exoneration>& out) const {
  auto it = served_parts_.find(part);
  if (it == served_parts_.end()) return;
  const ServedPart& served = it->second;
  using Kind = Exoneration::Kind;
  if (served.completed > absl::InfinitePast()) {
    out.push_back({part, now - served.completed, Kind::kPart});
  } else if (served.written > absl::InfinitePast()) {
    out.push_back({part, now - served.written, Kind::kPartWritten});
  }
}

CrashUpdate CrashSuspects::TakeUnsent(absl::Time now) {
  CrashUpdate news;
  for (const auto& it : unsent_crashes_) {
    auto entry = entries_.find(it.first);
    if (entry == entries_.end()) continue;
    auto run = entry->second.crashes.find(it.second);
    if (run == entry->second.crashes.end()) continue;
    news.crashed_runs.push_back(Describe(it, run->second, now));
  }
  for (Fingerprint it : unsent_exonerations_) {
    auto entry = entries_.find(it);
    if (entry == entries_.end()) continue;
    news.exonerations.push_back({it, now - entry->second.exonerated});
  }
  for (Fingerprint it : unsent_served_) AddServed(it, now, news.exonerations);
  unsent_crashes_.clear();
  unsent_exonerations_.clear();
  unsent_served_.clear();
  return news;
}

std::set<CrashSuspects::CrashId> CrashSuspects::BlamedCrashes() const {
  std::map<std::set<Fingerprint>, std::vector<std::pair<absl::Time, CrashId>>>
      by_blame;
  for (const auto& it : entries_) {
    for (const auto& crash : it.second.crashes) {
      RequestContent content{it.first, crash.second.parts};
      for (const BlamedParts& blamed : blamed_) {
        if (!HasParts(content, blamed)) continue;
        by_blame[blamed.parts].push_back(
            {crash.second.at, {it.first, crash.first}});
      }
    }
  }
  std::set<CrashId> ids;
  for (auto& it : by_blame) {
    auto& crashes = it.second;
    std::sort(crashes.rbegin(), crashes.rend());
    if (crashes.size() > kMaxSentPerBlame) crashes.resize(kMaxSentPerBlame);
    for (const auto& crash : crashes) ids.insert(crash.second);
  }
  return ids;
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
  for (const auto& it : served_parts_) {
    if (it.second.told < exonerated_since) continue;
    if (news.exonerations.size() == kMaxSentExonerations) break;
    AddServed(it.first, now, news.exonerations);
  }
  size_t exonerations = news.exonerations.size() + kMaxSentExonerations;
  size_t parts = 0;
  auto add = [&](const CrashId& id, const Crash& crash) {
    parts += crash.parts.size();
    bool is_full = news.crashed_runs.size() == kMaxSentCrashes ||
                   (!news.crashed_runs.empty() && parts > kMaxSentParts);
    if (!is_full) news.crashed_runs.push_back(Describe(id, crash, now));
  };
  std::set<CrashId> blamed = BlamedCrashes();
  for (const CrashId& it : blamed) {
    add(it, entries_.at(it.first).crashes.at(it.second));
  }
  for (const EntryMap::value_type* it : order) {
    const Entry& entry = it->second;
    if (entry.exonerated >= exonerated_since &&
        news.exonerations.size() < exonerations) {
      news.exonerations.push_back({it->first, now - entry.exonerated});
    }
    for (const auto& run : entry.crashes) {
      CrashId id(it->first, run.first);
      if (blamed.count(id) != 0) continue;
      if (is_selected(id, entry, run.second.at)) add(id, run.second);
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
    if (found == entry->second.crashes.end()) continue;
    bool is_repeated = entry->second.crashes.size() >= kRecordedCrashes;
    RequestContent content{it.first.first, found->second.parts};
    bool is_blamed = std::any_of(
        blamed_.begin(), blamed_.end(),
        [&](const BlamedParts& blamed) { return HasParts(content, blamed); });
    if (!is_repeated && !is_blamed) continue;
    runs.push_back(Describe(it.first, found->second, now));
  }
  return runs;
}

void CrashSuspects::MarkRecorded(const std::vector<CrashedRun>& runs) {
  for (const CrashedRun& it : runs) {
    auto own = own_.find({it.fingerprint, it.end});
    if (own != own_.end()) own->second = true;
  }
}

void CrashSuspects::ForgetRecorded() {
  for (auto& it : own_) it.second = false;
}

void CrashSuspects::Prune(absl::Time now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    bool is_over = it->second.Expiry() < now;
    has_new_evidence_ = has_new_evidence_ || is_over;
    it = is_over ? entries_.erase(it) : std::next(it);
  }
  for (auto it = served_parts_.begin(); it != served_parts_.end();) {
    bool is_over = it->second.Last() + kRetention < now;
    it = is_over ? served_parts_.erase(it) : std::next(it);
  }
  for (auto it = trials_.begin(); it != trials_.end();) {
    it = it->second.end < now ? trials_.erase(it) : std::next(it);
  }
  for (auto it = request_trials_.begin(); it != request_trials_.end();) {
    it = it->second.end < now ? request_trials_.erase(it) : std::next(it);
  }
  for (auto it = own_.begin(); it != own_.end();) {
    bool is_over = entries_.count(it->first.first) == 0;
    it = is_over ? own_.erase(it) : std::next(it);
  }
  for (auto it = server_ends_.begin(); it != server_ends_.end();) {
    bool is_over = now - it->second > kRetention;
    it = is_over ? server_ends_.erase(it) : std::next(it);
  }
  UpdateBlamed();
}

}  // namespace chervilwick
