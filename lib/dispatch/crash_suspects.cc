// Requests that were running when backend servers broke off.

#include "chervilwick/dispatch/crash_suspects.h"

#include <algorithm>

namespace chervilwick {
namespace {

// A caller sends such a request again within that time or not at all.
constexpr absl::Duration kRetention = absl::Seconds(120);
constexpr size_t kMaxEntries = 4096;
constexpr uint32_t kNotableBreaks = 2;
constexpr size_t kMaxNotable = 32;

}  // namespace

void CrashSuspects::ReportBreak(Fingerprint fingerprint, absl::Time now) {
  if (entries_.size() >= kMaxEntries) Prune(now);
  if (entries_.size() >= kMaxEntries) return;
  Entry& entry = entries_[fingerprint];
  ++entry.breaks;
  entry.last = now;
}

void CrashSuspects::Clear(Fingerprint fingerprint) {
  entries_.erase(fingerprint);
}

void CrashSuspects::Merge(const CrashCount& count, absl::Time now) {
  if (entries_.size() >= kMaxEntries) return;
  Entry& entry = entries_[count.fingerprint];
  if (count.breaks <= entry.breaks) return;
  entry.breaks = count.breaks;
  entry.last = now;
}

bool CrashSuspects::IsQuarantined(Fingerprint fingerprint) const {
  return Breaks(fingerprint) >= kQuarantineBreaks;
}

uint32_t CrashSuspects::Breaks(Fingerprint fingerprint) const {
  auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0 : it->second.breaks;
}

std::vector<CrashCount> CrashSuspects::Notable() const {
  std::vector<CrashCount> notable;
  for (const auto& it : entries_) {
    if (it.second.breaks < kNotableBreaks) continue;
    notable.push_back({it.first, it.second.breaks});
    if (notable.size() == kMaxNotable) break;
  }
  return notable;
}

void CrashSuspects::Prune(absl::Time now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    it =
        now - it->second.last > kRetention ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace chervilwick
