// Timing of a front's calls to the store.

#include "chervilwick/dispatch/store_call_plan.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace chervilwick {
namespace {

// Parts of the contact limit.
constexpr double kAnswerShare = 0.2;
constexpr double kWatchWaitShare = 0.5;
constexpr double kReadShare = 0.5;
constexpr double kProbeWaitShare = 0.01;
constexpr double kMaxBackoffShare = 0.2;
// Spreads the calls of fronts that lost the store at the same time.
constexpr double kSpreadShare = 0.06;

constexpr double kLongestCallShare =
    std::max(kWatchWaitShare + kAnswerShare, kReadShare);
constexpr double kLongestGapShare =
    std::max(kLongestCallShare + kSpreadShare, kMaxBackoffShare);
static_assert(kLongestGapShare + kAnswerShare < 1,
              "the first answer after an outage may come too late");
static_assert(kProbeWaitShare + kAnswerShare <= kReadShare,
              "a probe's timeout leaves no time for its answer");

// Shortest wait after changes, as a part of the usual one. The waits of fronts
// that saw the same change differ, so that they don't go on in step: in an
// outage, those that call earlier pass on what they read.
constexpr double kMinWaitAfterChanges = 0.5;
constexpr absl::Duration kMinBackoff = absl::Milliseconds(60);

}  // namespace

StoreWatchTimes StoreCallPlan::Watch(absl::BitGenRef random) const {
  if (failures_ > 0) {
    return {contact_limit_ * kProbeWaitShare, contact_limit_ * kReadShare};
  }
  absl::Duration wait = contact_limit_ * kWatchWaitShare;
  if (has_changes_) wait *= absl::Uniform(random, kMinWaitAfterChanges, 1.0);
  return {wait, wait + AnswerTime()};
}

absl::Duration StoreCallPlan::ReadTimeout() const {
  return contact_limit_ * kReadShare;
}

absl::Duration StoreCallPlan::AnswerTime() const {
  return contact_limit_ * kAnswerShare;
}

absl::Duration StoreCallPlan::LongestGap() const {
  return contact_limit_ * kLongestGapShare;
}

void StoreCallPlan::RecordAnswer(bool has_changes) {
  failures_ = 0;
  has_changes_ = has_changes;
}

absl::Duration StoreCallPlan::RecordFailure(StoreCallFailure failure,
                                            absl::BitGenRef random) {
  bool is_certain = failure == StoreCallFailure::kTimeout ||
                    failure == StoreCallFailure::kRefused;
  if (is_certain) failures_ = std::max(failures_, kOutageFailures - 1);
  ++failures_;
  // A dropped connection is replaced at once.
  if (!IsOutage()) return absl::ZeroDuration();
  // The call itself has kept its distance.
  if (failure == StoreCallFailure::kTimeout) {
    return contact_limit_ * kSpreadShare * absl::Uniform(random, 0.0, 1.0);
  }
  return Backoff(random);
}

absl::Duration StoreCallPlan::Backoff(absl::BitGenRef random) const {
  absl::Duration most = contact_limit_ * kMaxBackoffShare;
  absl::Duration delay = kMinBackoff;
  for (int it = kOutageFailures; it < failures_ && delay < most; ++it) {
    delay *= 2;
  }
  return std::min(delay, most) * absl::Uniform(random, 0.5, 1.0);
}

}  // namespace chervilwick
