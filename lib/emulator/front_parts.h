// What the modelled fronts have in common.

#ifndef CHERVILWICK_LIB_EMULATOR_FRONT_PARTS_H_
#define CHERVILWICK_LIB_EMULATOR_FRONT_PARTS_H_

#include <memory>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/dispatch/retry_quota.h"
#include "chervilwick/emulator/front_model.h"
#include "chervilwick/kernel/event_queue.h"

namespace chervilwick {

// A front's share of the budget of repeated sends, with what it took of it.
class RepeatBook {
 public:
  RepeatBook(EventQueue& queue, const FrontModelOptions& options)
      : queue_(queue),
        service_(options.service),
        quota_({options.retry_ratio, options.retry_slack, kWindow},
               queue.now()) {
    quota_.SetFrontCount(options.fronts);
  }

  void OnRequest() { quota_.OnRequest(service_, queue_.now()); }
  bool TryTake() {
    if (!quota_.TryTake(service_, queue_.now())) return false;
    times_.push_back(queue_.now());
    return true;
  }
  // Returns the retry taken last.
  void Return() {
    if (times_.empty()) return;
    quota_.Return(service_, times_.back());
    times_.pop_back();
  }
  double Left() { return quota_.RetriesLeft(service_, queue_.now()); }
  const std::vector<absl::Time>& times() const { return times_; }

 private:
  static constexpr absl::Duration kWindow = absl::Seconds(10);

  EventQueue& queue_;
  ServiceName service_;
  RetryQuota quota_;
  std::vector<absl::Time> times_;
};

// Takes an object out of a map and deletes it after the calls that are still on
// its stack.
template <typename Map, typename Key>
void EraseLater(EventQueue& queue, Map& map, const Key& key) {
  auto it = map.find(key);
  if (it == map.end()) return;
  // Shared, since a callback must be copyable.
  std::shared_ptr<void> object = std::move(it->second);
  map.erase(it);
  queue.After(absl::ZeroDuration(), [object] {});
}

}  // namespace chervilwick

#endif  // CHERVILWICK_LIB_EMULATOR_FRONT_PARTS_H_
