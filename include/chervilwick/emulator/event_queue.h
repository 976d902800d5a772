// Virtual time: callbacks in order of their time, then of their making.

#ifndef CHERVILWICK_EMULATOR_EVENT_QUEUE_H_
#define CHERVILWICK_EMULATOR_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "absl/time/time.h"

namespace chervilwick {

class EventQueue {
 public:
  using Callback = std::function<void()>;

  absl::Time now() const { return now_; }
  // Calls back after a delay; a negative one counts as zero.
  void After(absl::Duration delay, Callback callback);
  // Runs what is due up to `end`, and sets the time to it.
  void RunUntil(absl::Time end);

 private:
  struct Entry {
    absl::Time at;
    uint64_t sequence = 0;
    Callback callback;

    friend bool operator<(const Entry& a, const Entry& b) {
      return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
  };

  absl::Time now_ = absl::UnixEpoch();
  uint64_t next_sequence_ = 0;
  std::priority_queue<Entry, std::vector<Entry>> entries_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_EMULATOR_EVENT_QUEUE_H_
