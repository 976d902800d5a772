// Retention of crash reports and the quarantine rule.

#include "chervilwick/ledger/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace chervilwick {
namespace {

constexpr absl::Duration kRetention = absl::Minutes(10);
constexpr size_t kMaxCrashes = 1024;
constexpr size_t kMaxReportsPerHeartbeat = 8;
constexpr size_t kCrashesToQuarantine = 2;

bool Contains(const std::vector<Fingerprint>& all, Fingerprint one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

}  // namespace

bool CrashLedger::Add(const CrashReport& report, absl::Time now) {
  absl::Duration age = absl::Milliseconds(report.age_ms);
  if (age > kRetention || crashes_.count(report.crash_id) != 0) return false;
  Crash crash{now - age, report.running.items};
  if (crashes_.size() >= kMaxCrashes && !EvictOldest(crash.at)) return false;
  return crashes_.emplace(report.crash_id, std::move(crash)).second;
}

bool CrashLedger::EvictOldest(absl::Time before) {
  auto oldest = std::min_element(
      crashes_.begin(), crashes_.end(),
      [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
  if (oldest->second.at >= before) return false;
  crashes_.erase(oldest);
  return true;
}

void CrashLedger::ClearSuspect(Fingerprint fingerprint) {
  for (auto& [id, crash] : crashes_) {
    auto& running = crash.running;
    running.erase(std::remove(running.begin(), running.end(), fingerprint),
                  running.end());
  }
}

void CrashLedger::Prune(absl::Time now) {
  for (auto it = crashes_.begin(); it != crashes_.end();) {
    bool expired = now - it->second.at > kRetention;
    it = expired ? crashes_.erase(it) : std::next(it);
  }
}

std::vector<const CrashLedger::Crash*> CrashLedger::CrashesWith(
    Fingerprint fingerprint) const {
  std::vector<const Crash*> found;
  for (const auto& [id, crash] : crashes_) {
    if (Contains(crash.running, fingerprint)) found.push_back(&crash);
  }
  return found;
}

bool CrashLedger::IsSuspect(Fingerprint fingerprint) const {
  return !CrashesWith(fingerprint).empty();
}

bool CrashLedger::IsQuarantined(Fingerprint fingerprint) const {
  std::vector<const Crash*> found = CrashesWith(fingerprint);
  if (found.size() < kCrashesToQuarantine) return false;
  const Crash& first = *found.front();
  return std::none_of(
      first.running.begin(), first.running.end(), [&](Fingerprint other) {
        return other != fingerprint &&
               std::all_of(found.begin(), found.end(), [&](const Crash* it) {
                 return Contains(it->running, other);
               });
      });
}

List<CrashReport> CrashLedger::LatestReports(absl::Time now) const {
  std::vector<std::pair<absl::Time, uint64_t>> order;
  for (const auto& [id, crash] : crashes_) order.emplace_back(crash.at, id);
  std::sort(order.rbegin(), order.rend());
  if (order.size() > kMaxReportsPerHeartbeat) {
    order.resize(kMaxReportsPerHeartbeat);
  }
  List<CrashReport> latest;
  for (const auto& [at, id] : order) {
    CrashReport report;
    report.crash_id = id;
    report.age_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(now - at));
    report.running.items = crashes_.at(id).running;
    latest.items.push_back(std::move(report));
  }
  return latest;
}

}  // namespace chervilwick
