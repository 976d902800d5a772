// Which parts of prompts are to blame for crashes of servers.

#include "chervilwick/dispatch/crash_blame.h"

#include <algorithm>
#include <map>
#include <optional>

namespace chervilwick {
namespace {

// Servers that end together, as those of one rack, count as one crash.
constexpr absl::Duration kSameMoment = absl::Milliseconds(100);
// Fronts notice one end of a server within that time.
constexpr absl::Duration kSameEndTime = absl::Seconds(1);
// Crashes under other requests than the one with most: a request that is sent
// again makes the same parts suspects each time.
constexpr uint32_t kOtherRequestCrashes = 2;
// Longest time from the crash that decides to the verdict at all fronts.
constexpr absl::Duration kKnownTime = absl::Seconds(5);

bool IsSameEnd(const SuspectRun& a, const SuspectRun& b) {
  bool is_time_known = !a.is_recorded && !b.is_recorded;
  return a.server == b.server &&
         (!is_time_known || absl::AbsDuration(a.at - b.at) < kSameEndTime);
}

class BlameSearch {
 public:
  BlameSearch(const std::vector<SuspectRun>& runs,
              absl::FunctionRef<bool(Fingerprint)> is_trusted)
      : runs_(runs), is_trusted_(is_trusted), is_explained_(runs.size()) {
    // By time, so that separate moments are found in one pass.
    for (size_t it = 0; it < runs.size(); ++it) order_.push_back(it);
    std::sort(order_.begin(), order_.end(),
              [&](size_t a, size_t b) { return runs_[a].at < runs_[b].at; });
  }

  // Returns the parts that explain most of the crashes left.
  std::optional<BlamedParts> Next() {
    BlamedParts blamed;
    blamed.is_trusted = true;
    for (size_t it : order_) {
      if (!is_explained_[it]) blamed.runs.push_back(it);
    }
    while (AddPart(blamed)) {
    }
    if (blamed.parts.empty()) return std::nullopt;
    for (size_t it : blamed.runs) MarkExplained(runs_[it]);
    return blamed;
  }

 private:
  struct Crashes {
    uint32_t total = 0;  // at separate moments
    uint32_t recorded = 0;
    uint32_t most_of_one_request = 0;
    std::vector<absl::Time> moments;
    absl::Time last = absl::InfinitePast();

    static uint32_t Needed(bool is_trusted) {
      return is_trusted ? kCertainCrashes : kBlamedCrashes;
    }
    uint32_t Later(bool is_trusted) const {
      uint32_t needed = Needed(is_trusted);
      if (moments.size() < needed) return 0;
      absl::Time known = moments[needed - 1] + kKnownTime;
      return static_cast<uint32_t>(
          std::count_if(moments.begin(), moments.end(),
                        [&](absl::Time it) { return it > known; }));
    }
    bool IsEnough(bool is_trusted) const {
      uint32_t needed = Needed(is_trusted);
      if (recorded >= needed) return true;
      return total >= needed &&
             total - most_of_one_request >= kOtherRequestCrashes;
    }
  };

  // Counts the crashes of runs, which are in order.
  Crashes Count(const std::vector<size_t>& runs) const {
    Crashes crashes;
    std::map<Fingerprint, uint32_t> by_request;
    absl::Time moment = absl::InfinitePast();
    std::set<uint64_t> recorded;
    for (size_t it : runs) {
      const SuspectRun& run = runs_[it];
      crashes.last = std::max(crashes.last, run.at);
      if (run.is_recorded) {
        recorded.insert(run.server);
        continue;
      }
      // A request that was sent on after the first crash caused the next one.
      bool is_same_moment = run.at - moment < kSameMoment;
      if (is_same_moment && by_request.count(run.request) == 0) continue;
      moment = run.at;
      ++crashes.total;
      crashes.moments.push_back(moment);
      crashes.most_of_one_request =
          std::max(crashes.most_of_one_request, ++by_request[run.request]);
    }
    // The times of those from the store are not known.
    crashes.recorded = static_cast<uint32_t>(recorded.size());
    crashes.total += crashes.recorded;
    return crashes;
  }

  // Adds the part which most of the blamed runs have. A part that some of them
  // lack is added only while the others may still prove sound.
  bool AddPart(BlamedParts& blamed) const {
    std::map<Fingerprint, std::vector<size_t>> by_part;
    for (size_t it : blamed.runs) {
      for (Fingerprint part : runs_[it].parts) {
        if (blamed.parts.count(part) == 0) by_part[part].push_back(it);
      }
    }
    bool is_settled = !blamed.parts.empty() && !blamed.is_trusted &&
                      blamed.crashes >= kCertainCrashes;
    uint32_t least = is_settled ? blamed.crashes : kBlamedCrashes;
    const std::pair<const Fingerprint, std::vector<size_t>>* best = nullptr;
    Crashes most;
    for (const auto& it : by_part) {
      Crashes crashes = Count(it.second);
      bool is_trusted = blamed.is_trusted && is_trusted_(it.first);
      if (crashes.total < least || !crashes.IsEnough(is_trusted)) continue;
      if (best != nullptr && crashes.total <= most.total) continue;
      best = &it;
      most = crashes;
    }
    if (best == nullptr) return false;
    blamed.parts.insert(best->first);
    blamed.is_trusted = blamed.is_trusted && is_trusted_(best->first);
    blamed.crashes = most.total;
    blamed.last_crash = most.last;
    blamed.later_crashes = most.Later(blamed.is_trusted);
    blamed.runs = best->second;
    return true;
  }

  void MarkExplained(const SuspectRun& run) {
    for (size_t it = 0; it < runs_.size(); ++it) {
      if (IsSameEnd(run, runs_[it])) is_explained_[it] = true;
    }
  }

  const std::vector<SuspectRun>& runs_;
  absl::FunctionRef<bool(Fingerprint)> is_trusted_;
  std::vector<size_t> order_;
  std::vector<bool> is_explained_;
};

}  // namespace

std::vector<BlamedParts> FindBlamedParts(
    const std::vector<SuspectRun>& runs,
    absl::FunctionRef<bool(Fingerprint)> is_trusted) {
  BlameSearch search(runs, is_trusted);
  std::vector<BlamedParts> found;
  while (std::optional<BlamedParts> next = search.Next()) {
    found.push_back(*std::move(next));
  }
  return found;
}

}  // namespace chervilwick
