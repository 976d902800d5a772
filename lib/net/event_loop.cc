// Event loop.

#include "chervilwick/net/event_loop.h"

#include <event2/event.h>

#include <algorithm>
#include <ctime>
#include <stdexcept>

namespace chervilwick {
namespace {

// libevent runs a callback only in a turn without callbacks of a lower number.
constexpr int kPriorities = 3;
constexpr int kIdlePriority = 2;
// A timer is late from here on.
constexpr absl::Duration kLateness = absl::Milliseconds(2);
// A timer may fire earlier by this.
constexpr absl::Duration kTimerResolution = absl::Milliseconds(1);
// Longest work of the thread before a late timer fires although input is left.
constexpr absl::Duration kMaxLateWork = absl::Milliseconds(10);

// Stands still while the thread does not run.
absl::Duration ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return absl::DurationFromTimespec(time);
}

timeval NonNegativeTimeval(absl::Duration duration) {
  return absl::ToTimeval(std::max(duration, absl::ZeroDuration()));
}

}  // namespace

struct EventLoop::Watch {
  event* handle = nullptr;
  Callback callback;

  ~Watch() {
    if (handle != nullptr) event_free(handle);
  }
};

struct EventLoop::Periodic {
  Periodic(EventLoop& loop, absl::Duration interval, Callback callback)
      : loop(loop),
        interval(interval),
        callback(std::move(callback)),
        next(loop.Now() + interval),
        timer(loop, [this] { OnTimer(); }) {
    timer.Arm(interval);
  }

  void OnTimer() {
    absl::Time now = loop.Now();
    next += interval;
    if (next <= now) next = now + interval;
    timer.Arm(next - now);
    callback();
  }

  EventLoop& loop;
  absl::Duration interval;
  Callback callback;
  absl::Time next;
  Timer timer;
};

EventLoop::EventLoop() : base_(event_base_new()) {
  if (base_ == nullptr || event_base_priority_init(base_, kPriorities) != 0) {
    throw std::runtime_error("no event base");
  }
  idle_ = event_new(base_, -1, 0, &EventLoop::OnIdle, this);
  event_priority_set(idle_, kIdlePriority);
  late_limit_ = event_new(base_, -1, 0, &EventLoop::OnLateLimit, this);
}

EventLoop::~EventLoop() {
  garbage_.clear();
  periodic_.clear();
  watches_.clear();
  event_free(idle_);
  event_free(late_limit_);
  event_base_free(base_);
}

void EventLoop::Run() {
  while (running_) RunOnce();
}

void EventLoop::RunFor(absl::Duration duration) {
  absl::Time end = Now() + duration;
  Timer wake(*this, [] {});
  while (running_ && Now() < end) {
    wake.Arm(end - Now());
    RunOnce();
  }
}

void EventLoop::CollectGarbage() {
  // Destructors may defer further objects.
  std::vector<std::shared_ptr<void>> garbage = std::move(garbage_);
  garbage_.clear();
}

void EventLoop::RunOnce() {
  CollectGarbage();
  event_base_loop(base_, EVLOOP_ONCE);
  CollectGarbage();
}

absl::Time EventLoop::Now() const {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return absl::TimeFromTimespec(now);
}

void EventLoop::OnWatch(int /*descriptor*/, int16_t /*what*/, void* context) {
  static_cast<Watch*>(context)->callback();
}

void EventLoop::AddWatch(int descriptor, int16_t what, Callback callback) {
  auto watch = std::make_unique<Watch>();
  watch->callback = std::move(callback);
  watch->handle = event_new(base_, descriptor, static_cast<int16_t>(what),
                            &EventLoop::OnWatch, watch.get());
  event_add(watch->handle, nullptr);
  watches_.push_back(std::move(watch));
}

void EventLoop::Every(absl::Duration interval, Callback callback) {
  periodic_.push_back(
      std::make_unique<Periodic>(*this, interval, std::move(callback)));
}

void EventLoop::OnSignal(int signal, Callback callback) {
  AddWatch(signal, EV_SIGNAL | EV_PERSIST, std::move(callback));
}

void EventLoop::OnReadable(int descriptor, Callback callback) {
  AddWatch(descriptor, EV_READ | EV_PERSIST, std::move(callback));
}

void EventLoop::AddLate(Timer* timer) {
  if (event_pending(late_limit_, EV_TIMEOUT, nullptr) == 0) {
    event_active(idle_, 0, 0);
    timeval limit = NonNegativeTimeval(kMaxLateWork);
    event_add(late_limit_, &limit);
  }
  timer->is_late_ = true;
  late_.push_back({timer, ThreadTime()});
}

void EventLoop::RemoveLate(Timer* timer) {
  if (!timer->is_late_) return;
  timer->is_late_ = false;
  late_.erase(std::find_if(late_.begin(), late_.end(),
                           [&](const auto& it) { return it.timer == timer; }));
}

void EventLoop::FireLate(absl::Duration since) {
  while (!late_.empty() && late_.front().since <= since) {
    Timer* timer = late_.front().timer;
    RemoveLate(timer);
    timer->callback_();
  }
}

void EventLoop::OnIdle(int /*descriptor*/, int16_t /*what*/, void* context) {
  auto& self = *static_cast<EventLoop*>(context);
  event_del(self.late_limit_);
  self.FireLate(absl::InfiniteDuration());
}

void EventLoop::OnLateLimit(int /*descriptor*/, int16_t /*what*/,
                            void* context) {
  auto& self = *static_cast<EventLoop*>(context);
  self.FireLate(ThreadTime() - kMaxLateWork);
  // An active event keeps event_base_loop from returning.
  if (self.late_.empty()) {
    event_del(self.idle_);
    return;
  }
  event_base_loopbreak(self.base_);
  // The thread has not run all the time: a second pause costs no input.
  timeval left = NonNegativeTimeval(self.late_.front().since + kMaxLateWork -
                                    ThreadTime());
  event_add(self.late_limit_, &left);
}

Timer::Timer(EventLoop& loop, EventLoop::Callback callback)
    : loop_(loop),
      event_(event_new(loop.base(), -1, 0, &Timer::OnExpiry, this)),
      callback_(std::move(callback)) {}

Timer::~Timer() {
  loop_.RemoveLate(this);
  event_free(event_);
}

void Timer::Arm(absl::Duration delay) {
  loop_.RemoveLate(this);
  // Without a delay a timer is a call from the next turn, which is never late.
  due_ = delay == absl::ZeroDuration() ? absl::InfiniteFuture()
                                       : loop_.Now() + delay;
  Schedule(delay);
}

void Timer::Schedule(absl::Duration delay) {
  timeval period = NonNegativeTimeval(delay);
  event_add(event_, &period);
}

void Timer::Cancel() {
  loop_.RemoveLate(this);
  event_del(event_);
}

void Timer::OnExpiry(int /*descriptor*/, int16_t /*what*/, void* context) {
  auto& self = *static_cast<Timer*>(context);
  absl::Duration late = self.loop_.Now() - self.due_;
  bool has_due = self.due_ != absl::InfiniteFuture();
  if (has_due && late < -kTimerResolution) {
    // libevent counts from the start of the turn in which the timer was armed.
    self.Schedule(-late);
  } else if (late > kLateness) {
    self.loop_.AddLate(&self);
  } else {
    self.callback_();
  }
}

}  // namespace chervilwick
