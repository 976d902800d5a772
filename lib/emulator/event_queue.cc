// Virtual time.

#include "chervilwick/emulator/event_queue.h"

#include <algorithm>
#include <utility>

namespace chervilwick {

void EventQueue::After(absl::Duration delay, Callback callback) {
  absl::Time at = now_ + std::max(delay, absl::ZeroDuration());
  entries_.push({at, next_sequence_++, std::move(callback)});
}

void EventQueue::RunUntil(absl::Time end) {
  while (!entries_.empty() && entries_.top().at <= end) {
    Callback callback = entries_.top().callback;
    now_ = entries_.top().at;
    entries_.pop();
    callback();
  }
  now_ = std::max(now_, end);
}

}  // namespace chervilwick
