// Timer service.

#include "chervilwick/kernel/timer_service.h"

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"

namespace chervilwick {

void TimerService::Subscribe(absl::Duration interval, Callback callback) {
  subscriptions_.push_back(
      {interval, absl::InfinitePast(), std::move(callback)});
}

bool TimerService::RunOnce(absl::Time now) {
  bool worked = false;
  for (Subscription& it : subscriptions_) {
    if (now < it.due) continue;
    it.due = now + it.interval;
    it.callback(now);
    worked = true;
  }
  return worked;
}

absl::Time TimerService::NextDue() const {
  absl::Time due = absl::InfiniteFuture();
  for (const Subscription& it : subscriptions_) due = std::min(due, it.due);
  return due;
}

void TimerService::Loop() {
  while (true) {
    RunOnce(absl::Now());
    MutexLock lock(&mutex_);
    absl::Duration wait = NextDue() - absl::Now();
    if (stop_.WaitFor(mutex_, wait, [this] { return stopping_; })) return;
  }
}

void TimerService::Start() {
  duty_.Start("timer", [this] { Loop(); });
}

void TimerService::Stop() {
  {
    MutexLock lock(&mutex_);
    stopping_ = true;
    stop_.NotifyAll();
  }
  duty_.Join();
}

}  // namespace chervilwick
