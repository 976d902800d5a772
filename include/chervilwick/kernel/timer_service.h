// Timer service that other services subscribe to.

#ifndef CHERVILWICK_KERNEL_TIMER_SERVICE_H_
#define CHERVILWICK_KERNEL_TIMER_SERVICE_H_

#include <functional>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/time/time.h"
#include "chervilwick/kernel/duty.h"
#include "chervilwick/kernel/kernel.h"
#include "chervilwick/support/mutex.h"

namespace chervilwick {

// Calls subscribers at fixed intervals: on its own duty thread by the machine's
// clock, or from RunOnce by virtual time.
class TimerService : public Service {
 public:
  using Callback = std::function<void(absl::Time now)>;

  // Subscribes before Start. The callback must not block.
  void Subscribe(absl::Duration interval, Callback callback);

  void Start() override;
  void Stop() override;
  bool RunOnce(absl::Time now) override;

 private:
  struct Subscription {
    absl::Duration interval;
    absl::Time due;
    Callback callback;
  };

  absl::Time NextDue() const;
  void Loop();

  std::vector<Subscription> subscriptions_;
  Mutex mutex_;
  CondVar stop_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  Duty duty_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_KERNEL_TIMER_SERVICE_H_
