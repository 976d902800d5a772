// Requests that were running when backend servers broke off.

#include "chervilwick/dispatch/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

// A caller sends such a request again within that time or not at all.
constexpr absl::Duration kRetention = absl::Seconds(120);
// A request that only happened to be there may run again after that time; it
// doubles with each further break.
constexpr absl::Duration kFirstQuarantine = kRetention;
constexpr absl::Duration kLongestQuarantine = absl::Minutes(30);
// The two together.
constexpr absl::Duration kLongestMemory = absl::Minutes(32);
// Of one fingerprint: enough for the longest quarantine.
constexpr size_t kMaxBreaks = 12;
constexpr size_t kMaxEntries = 4096;
// Part of a full table that is forgotten at once.
constexpr size_t kForgottenPart = 4;
// A few whole digests of a front, any of which may be lost.
constexpr absl::Duration kRepeatTime = absl::Seconds(5);
// Breaks from which on a front wants its own kept outside of the fronts.
constexpr size_t kNotableBreaks = 2;
// A server's end is known that much later: its entry lapses after three missed
// reports, and the store tells changes with a delay.
constexpr absl::Duration kEndNotice = absl::Seconds(6);
// A server that is heard within that time after it closed a connection lives;
// one that ended is back after seconds.
constexpr absl::Duration kSettleTime = absl::Milliseconds(500);
// Longest time between two calls that decide.
constexpr absl::Duration kTick = absl::Milliseconds(100);
// Closed connections of one end are seen within that time; the server is back
// after seconds.
constexpr absl::Duration kSameEnd = absl::Seconds(1);
// What it sent before may still be on its way.
constexpr absl::Duration kInFlightTime = absl::Milliseconds(150);
// Of one datagram, which is not to be much longer than without them: the
// datagrams of a large fleet arrive together, and long ones are lost.
constexpr size_t kMaxToldRuns = 24;
constexpr size_t kMaxToldExonerations = 8;

uint64_t HashOfServer(const LostRun& run) {
  return StableHash(absl::StrCat(run.backend.value(), "/", run.born_unix_ms));
}

}  // namespace

absl::Time CrashSuspects::Entry::LastChange() const {
  absl::Time last = exonerated;
  for (const auto& it : breaks) last = std::max(last, it.second);
  return last;
}

absl::Time CrashSuspects::Entry::QuarantineEnd() const {
  if (breaks.size() < kQuarantineBreaks) return absl::InfinitePast();
  absl::Duration length = kFirstQuarantine;
  for (size_t it = kQuarantineBreaks; it < breaks.size(); ++it) length *= 2;
  return LastChange() + std::min(length, kLongestQuarantine);
}

absl::Time CrashSuspects::Entry::Expiry() const {
  return std::max(LastChange(), QuarantineEnd()) + kRetention;
}

CrashSuspects::Entry& CrashSuspects::EntryOf(Fingerprint fingerprint,
                                             absl::Time now) {
  if (entries_.size() >= kMaxEntries && entries_.count(fingerprint) == 0) {
    MakeRoom(now);
  }
  return entries_[fingerprint];
}

void CrashSuspects::MakeRoom(absl::Time now) {
  Prune(now);
  if (entries_.size() < kMaxEntries) return;
  std::vector<EntryMap::iterator> order;
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    order.push_back(it);
  }
  auto middle = order.begin() + kMaxEntries / kForgottenPart;
  std::nth_element(
      order.begin(), middle, order.end(),
      [](const EntryMap::iterator& a, const EntryMap::iterator& b) {
        size_t a_breaks = a->second.breaks.size();
        size_t b_breaks = b->second.breaks.size();
        if (a_breaks != b_breaks) return a_breaks < b_breaks;
        return a->second.LastChange() < b->second.LastChange();
      });
  for (auto it = order.begin(); it != middle; ++it) entries_.erase(*it);
}

std::optional<ServerEndId> CrashSuspects::Entry::NewEnd(
    const LostRun& run, absl::Time ended) const {
  ServerEndId end{HashOfServer(run), 0};
  // A silent run says only that its server ended since it was sent.
  absl::Time first = (run.is_closed ? ended : run.sent) - kSameEnd;
  absl::Time last = ended + kSameEnd;
  for (const auto& it : breaks) {
    if (it.first.server != end.server) continue;
    if (first < it.second && it.second < last) return std::nullopt;
    end.number = std::max(end.number, it.first.number + 1);
  }
  return end;
}

void CrashSuspects::Count(const LostRun& run, absl::Time ended,
                          absl::Time now) {
  Entry& entry = EntryOf(run.fingerprint, now);
  if (ended <= entry.exonerated) return;
  std::optional<ServerEndId> end = entry.NewEnd(run, ended);
  if (!end) return;
  if (entry.breaks.size() >= kMaxBreaks) {
    // As many again: only the last one's time matters.
    entry.breaks.erase(std::min_element(
        entry.breaks.begin(), entry.breaks.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  entry.breaks[*end] = ended;
  untold_breaks_.emplace_back(run.fingerprint, *end);
  own_[{run.fingerprint, *end}] = false;
  if (on_counted_) on_counted_(run.fingerprint, run.backend, now);
}

void CrashSuspects::ReportLost(const LostRun& run, absl::Time now) {
  auto end = server_ends_.find(run.backend);
  if (end != server_ends_.end() && run.sent <= end->second) {
    Count(run, end->second, now);
  } else if (open_runs_.size() < kMaxEntries) {
    open_runs_.emplace(run.fingerprint, OpenRun{run, now});
  }
}

void CrashSuspects::ReportServerEnd(const BackendName& backend,
                                    absl::Time now) {
  server_ends_[backend] = now;
  for (auto it = open_runs_.begin(); it != open_runs_.end();) {
    const OpenRun& open = it->second;
    if (open.run.backend != backend) {
      ++it;
      continue;
    }
    bool is_recent = now - open.lost <= kEndNotice;
    if (is_recent) Count(open.run, open.run.is_closed ? open.lost : now, now);
    it = open_runs_.erase(it);
  }
}

void CrashSuspects::Settle(LastHeard last_heard, absl::Time now) {
  for (auto it = open_runs_.begin(); it != open_runs_.end();) {
    const OpenRun& open = it->second;
    bool is_due = open.run.is_closed && now - open.lost >= kSettleTime;
    bool is_over = now - open.lost > kEndNotice;
    if (is_due && last_heard(open.run.backend) < open.lost + kInFlightTime) {
      Count(open.run, open.lost, now);
    }
    it = is_due || is_over ? open_runs_.erase(it) : std::next(it);
  }
}

void CrashSuspects::ReportWhole(Fingerprint fingerprint, absl::Time now) {
  open_runs_.erase(fingerprint);
  auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return;
  it->second.breaks.clear();
  it->second.exonerated = now;
  untold_exonerations_.push_back(fingerprint);
}

std::vector<Fingerprint> CrashSuspects::Take(const CrashNews& news,
                                             absl::Time now) {
  for (const Exoneration& it : news.exonerations) {
    if (it.age > kLongestMemory) continue;
    absl::Time at = now - it.age;
    Entry& entry = EntryOf(it.fingerprint, now);
    if (at <= entry.exonerated) continue;
    entry.exonerated = at;
    for (auto run = entry.breaks.begin(); run != entry.breaks.end();) {
      run = run->second <= at ? entry.breaks.erase(run) : std::next(run);
    }
  }
  std::vector<Fingerprint> grown;
  for (const BrokenRun& it : news.broken) {
    absl::Time at = now - it.age;
    if (it.age > kLongestMemory) continue;
    Entry& entry = EntryOf(it.fingerprint, now);
    if (at <= entry.exonerated) continue;
    if (entry.breaks.size() >= kMaxBreaks) continue;
    if (!entry.breaks.emplace(it.end, at).second) continue;
    grown.push_back(it.fingerprint);
  }
  return grown;
}

absl::Duration CrashSuspects::QuarantineLeft(Fingerprint fingerprint,
                                             absl::Time now) const {
  auto it = entries_.find(fingerprint);
  absl::Time end =
      it == entries_.end() ? absl::InfinitePast() : it->second.QuarantineEnd();
  // Until it is decided, a closed connection counts here.
  auto [first, last] = open_runs_.equal_range(fingerprint);
  std::set<uint64_t> servers;
  absl::Time settled = absl::InfinitePast();
  for (auto open = first; open != last; ++open) {
    const LostRun& run = open->second.run;
    absl::Time lost = open->second.lost;
    if (!run.is_closed) continue;
    if (it != entries_.end() && !it->second.NewEnd(run, lost)) continue;
    servers.insert(HashOfServer(run));
    // It may be decided a little late.
    settled = std::max({settled, lost + kSettleTime, now + kTick});
  }
  size_t breaks = Breaks(fingerprint) + servers.size();
  if (breaks >= kQuarantineBreaks) end = std::max(end, settled);
  return std::max(absl::ZeroDuration(), end - now);
}

uint32_t CrashSuspects::Breaks(Fingerprint fingerprint) const {
  auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return 0;
  return static_cast<uint32_t>(it->second.breaks.size());
}

CrashNews CrashSuspects::TakeUntold(absl::Time now) {
  CrashNews news;
  for (const auto& it : untold_breaks_) {
    auto entry = entries_.find(it.first);
    if (entry == entries_.end()) continue;
    auto run = entry->second.breaks.find(it.second);
    if (run == entry->second.breaks.end()) continue;
    news.broken.push_back({it.first, it.second, now - run->second});
  }
  for (Fingerprint it : untold_exonerations_) {
    auto entry = entries_.find(it);
    if (entry == entries_.end()) continue;
    news.exonerations.push_back({it, now - entry->second.exonerated});
  }
  untold_breaks_.clear();
  untold_exonerations_.clear();
  return news;
}

CrashNews CrashSuspects::Select(Filter is_told, absl::Time exonerated_since,
                                absl::Time now) const {
  std::vector<const EntryMap::value_type*> order;
  for (const auto& it : entries_) order.push_back(&it);
  // What matters most comes first, should not all of it fit.
  std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) {
    return a->second.breaks.size() > b->second.breaks.size();
  });
  CrashNews news;
  for (const EntryMap::value_type* it : order) {
    const Entry& entry = it->second;
    if (entry.exonerated >= exonerated_since &&
        news.exonerations.size() < kMaxToldExonerations) {
      news.exonerations.push_back({it->first, now - entry.exonerated});
    }
    for (const auto& run : entry.breaks) {
      if (news.broken.size() == kMaxToldRuns) break;
      if (!is_told({it->first, run.first}, entry, run.second)) continue;
      news.broken.push_back({it->first, run.first, now - run.second});
    }
  }
  return news;
}

CrashNews CrashSuspects::Recent(absl::Time now) const {
  auto is_told = [&](const BreakId& id, const Entry& entry, absl::Time at) {
    bool is_own = own_.count(id) != 0 && now - at <= kRepeatTime;
    return is_own || entry.breaks.size() >= kQuarantineBreaks;
  };
  return Select(is_told, now - kRepeatTime, now);
}

CrashNews CrashSuspects::All(absl::Time now) const {
  auto is_told = [](const BreakId& /*id*/, const Entry& /*entry*/,
                    absl::Time /*at*/) { return true; };
  return Select(is_told, now - kLongestMemory, now);
}

std::vector<BrokenRun> CrashSuspects::Unrecorded(absl::Time now) const {
  std::vector<BrokenRun> runs;
  for (const auto& it : own_) {
    auto entry = entries_.find(it.first.first);
    if (it.second || entry == entries_.end()) continue;
    auto found = entry->second.breaks.find(it.first.second);
    bool is_notable = entry->second.breaks.size() >= kNotableBreaks;
    if (!is_notable || found == entry->second.breaks.end()) continue;
    runs.push_back({it.first.first, it.first.second, now - found->second});
  }
  return runs;
}

void CrashSuspects::MarkRecorded(const std::vector<BrokenRun>& runs) {
  for (const BrokenRun& it : runs) {
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
