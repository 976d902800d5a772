// Single-threaded event loop with timers, on libevent.

#ifndef CHERVILWICK_NET_EVENT_LOOP_H_
#define CHERVILWICK_NET_EVENT_LOOP_H_

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "absl/time/time.h"

struct event;
struct event_base;

namespace chervilwick {

class Timer;

// Owner of all sockets, timers and signals of one thread.
//
// After a pause of the process many timers have expired while input waits that
// would have stopped them. A timer that expires late therefore fires once no
// input is left, or after a bounded amount of work.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop.
  void Run();
  void Stop() { running_ = false; }
  // Runs for that long, or until Stop.
  void RunFor(absl::Duration duration);
  // Steady time: it never jumps, and its zero has no meaning.
  absl::Time Now() const;
  // Calls back at a fixed interval until the loop ends; late like a timer.
  void Every(absl::Duration interval, Callback callback);
  void OnSignal(int signal, Callback callback);
  // Calls back when the descriptor is readable, until the loop ends.
  void OnReadable(int descriptor, Callback callback);
  // Destroys an object after the callbacks that may still be using it.
  template <typename T>
  void DeferDelete(std::unique_ptr<T> object) {
    if (object) garbage_.push_back(std::shared_ptr<T>(std::move(object)));
  }
  event_base* base() { return base_; }

 private:
  friend class Timer;
  struct Watch;
  struct Periodic;
  struct LateTimer {
    Timer* timer;
    absl::Duration since;  // time that the thread had run when it expired
  };

  void RunOnce();
  void CollectGarbage();
  static void OnWatch(int descriptor, int16_t what, void* context);
  void AddWatch(int descriptor, int16_t what, Callback callback);
  void AddLate(Timer* timer);
  void RemoveLate(Timer* timer);
  // Fires late timers until the next has expired after `since`.
  void FireLate(absl::Duration since);
  static void OnIdle(int descriptor, int16_t what, void* context);
  static void OnLateLimit(int descriptor, int16_t what, void* context);

  event_base* base_;
  event* idle_;        // activated, it runs once there is nothing else to do
  event* late_limit_;  // bounds the wait of late timers
  std::deque<LateTimer> late_;
  std::vector<std::unique_ptr<Watch>> watches_;
  std::vector<std::unique_ptr<Periodic>> periodic_;
  std::vector<std::shared_ptr<void>> garbage_;
  bool running_ = true;
};

// One-shot timer; destroying it cancels it.
class Timer {
 public:
  Timer(EventLoop& loop, EventLoop::Callback callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Starts or restarts the timer. A negative delay stands for a time that has
  // passed: the timer is late.
  void Arm(absl::Duration delay);
  void Cancel();

 private:
  friend class EventLoop;
  static void OnExpiry(int descriptor, int16_t what, void* context);
  void Schedule(absl::Duration delay);

  EventLoop& loop_;
  event* event_;
  EventLoop::Callback callback_;
  absl::Time due_;
  bool is_late_ = false;  // expired and waiting for input
};

}  // namespace chervilwick

#endif  // CHERVILWICK_NET_EVENT_LOOP_H_
