// Timing of a front's calls to the store.

#ifndef CHERVILWICK_DISPATCH_STORE_CALL_PLAN_H_
#define CHERVILWICK_DISPATCH_STORE_CALL_PLAN_H_

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

namespace chervilwick {

// Why a call to the store has no usable answer.
enum class StoreCallFailure {
  kDropped,    // the connection ended
  kTimeout,    // nothing came
  kRefused,    // an error status
  kMalformed,  // an answer that can't be read
};

// Times of a watch call.
struct StoreWatchTimes {
  absl::Duration wait;     // how long the store may wait for a change
  absl::Duration timeout;  // of the call
};

// Decides how long calls to the store last and when the next one begins.
//
// A store that was silent never answers the calls that it got meanwhile. The
// one that is open at its return and the pause after it delay the front's next
// call, which has to be answered within `contact_limit` of the return, whatever
// their phase.
class StoreCallPlan {
 public:
  explicit StoreCallPlan(absl::Duration contact_limit)
      : contact_limit_(contact_limit) {}

  // Times of the next watch. The store's answer to one after a failure shows
  // that it is back, so that it is asked for at once.
  StoreWatchTimes Watch(absl::BitGenRef random) const;
  absl::Duration ReadTimeout() const;
  void RecordAnswer(bool has_changes);
  // Returns the delay before the next call.
  absl::Duration RecordFailure(StoreCallFailure failure,
                               absl::BitGenRef random);
  // A single dropped connection is no outage, as the store may drop a long
  // poll. A second failure in a row, a timeout or an error status is one.
  bool IsOutage() const { return failures_ >= kOutageFailures; }

  // Time after the return of a silent store until the next call has begun.
  absl::Duration LongestGap() const;
  // Time in which a store that works answers a call.
  absl::Duration AnswerTime() const;

 private:
  static constexpr int kOutageFailures = 2;

  absl::Duration Backoff(absl::BitGenRef random) const;

  absl::Duration contact_limit_;
  int failures_ = 0;  // in a row
  bool has_changes_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_STORE_CALL_PLAN_H_
