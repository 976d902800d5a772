// What one client sees of its stream, and when it loses patience.

#ifndef CHERVILWICK_LIB_EMULATOR_CLIENT_WATCH_H_
#define CHERVILWICK_LIB_EMULATOR_CLIENT_WATCH_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "absl/time/time.h"
#include "chervilwick/emulator/front_model.h"
#include "chervilwick/kernel/event_queue.h"

namespace chervilwick {

// Calls back once for each silence that reaches a limit. Arming restarts it.
class SilenceWatch {
 public:
  SilenceWatch(EventQueue& queue, std::function<void()> on_silence)
      : state_(std::make_shared<State>(queue, std::move(on_silence))) {}
  ~SilenceWatch() { state_->armed = false; }
  SilenceWatch(const SilenceWatch&) = delete;
  SilenceWatch& operator=(const SilenceWatch&) = delete;

  void Arm(absl::Duration limit) {
    state_->armed = true;
    state_->due = state_->queue.now() + limit;
    if (!state_->pending || state_->due < state_->wakes_at) Wait(state_);
  }
  void Cancel() { state_->armed = false; }

 private:
  struct State {
    State(EventQueue& event_queue, std::function<void()> callback)
        : queue(event_queue), on_silence(std::move(callback)) {}

    EventQueue& queue;
    std::function<void()> on_silence;
    bool armed = false;
    bool pending = false;
    absl::Time due;
    absl::Time wakes_at;  // of the pending event
  };

  // One event is pending at most: bytes come far more often than silence.
  static void Wait(const std::shared_ptr<State>& state) {
    state->pending = true;
    state->wakes_at = state->due;
    state->queue.After(state->due - state->queue.now(),
                       [state, at = state->due] {
                         if (!state->pending || at != state->wakes_at) return;
                         state->pending = false;
                         if (!state->armed) return;
                         if (state->queue.now() < state->due) {
                           Wait(state);
                           return;
                         }
                         state->armed = false;
                         state->on_silence();
                       });
  }

  std::shared_ptr<State> state_;
};

// Measures a stream as its client does.
class ClientWatch {
 public:
  ClientWatch(EventQueue& queue, absl::Duration patience,
              std::function<void()> on_left)
      : queue_(queue),
        patience_(patience),
        arrived_(queue.now()),
        last_(queue.now()),
        silence_(queue, std::move(on_left)) {
    silence_.Arm(patience_);
  }

  void OnToken() {
    absl::Duration pause = queue_.now() - last_;
    if (outcome_.first_event == absl::InfiniteDuration()) {
      outcome_.first_event = queue_.now() - arrived_;
    } else {
      outcome_.longest_pause = std::max(outcome_.longest_pause, pause);
    }
    last_ = queue_.now();
    silence_.Arm(patience_);
  }

  EmulatedOutcome End(EmulatedOutcome::Kind kind, absl::Duration retry_after) {
    silence_.Cancel();
    outcome_.kind = kind;
    outcome_.retry_after = retry_after;
    return outcome_;
  }

 private:
  EventQueue& queue_;
  absl::Duration patience_;
  absl::Time arrived_;
  absl::Time last_;
  SilenceWatch silence_;
  EmulatedOutcome outcome_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LIB_EMULATOR_CLIENT_WATCH_H_
