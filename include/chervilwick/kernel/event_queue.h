// Virtual time: callbacks in order of their time, then of their making.

#ifndef CHERVILWICK_KERNEL_EVENT_QUEUE_H_
#define CHERVILWICK_KERNEL_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace chervilwick {

class EventQueue {
 public:
  using Callback = std::function<void()>;

  absl::Time now() const { return now_; }

  // A time that has passed counts as now.
  void At(absl::Time time, Callback callback) {
    queue_.push({time < now_ ? now_ : time, next_++, std::move(callback)});
  }
  void After(absl::Duration delay, Callback callback) {
    At(now_ + delay, std::move(callback));
  }

  // Runs all callbacks up to `until` and sets the clock to it.
  void RunUntil(absl::Time until) {
    while (!queue_.empty() && queue_.top().time <= until) {
      now_ = queue_.top().time;
      // The element is removed before it runs: it may add others.
      Callback callback = std::move(const_cast<Item&>(queue_.top()).callback);
      queue_.pop();
      ++executed_;
      callback();
    }
    now_ = until;
  }

  uint64_t executed() const { return executed_; }

 private:
  struct Item {
    absl::Time time;
    uint64_t order = 0;
    Callback callback;
  };
  struct Later {
    bool operator()(const Item& a, const Item& b) const {
      return a.time != b.time ? a.time > b.time : a.order > b.order;
    }
  };

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::priority_queue<Item, std::vector<Item>, Later> queue_;
  uint64_t next_ = 0;
  uint64_t executed_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_KERNEL_EVENT_QUEUE_H_
