// Order of timers and input in the event loop.

#include "chervilwick/net/event_loop.h"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

namespace chervilwick {
namespace {

// More than the loop takes from the kernel in its first turns.
constexpr size_t kManyPipes = 200;
constexpr absl::Duration kDelay = absl::Milliseconds(20);
constexpr absl::Duration kPause = absl::Milliseconds(60);

// The loop's thread does not run, as in a stopped process.
void StandStill(absl::Duration duration) {
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(duration));
}

class Pipe {
 public:
  Pipe() { REQUIRE(pipe(ends_.data()) == 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int reader() const { return ends_[0]; }
  void Fill() const { REQUIRE(write(ends_[1], "x", 1) == 1); }
  void Drain() const {
    char byte = 0;
    REQUIRE(read(ends_[0], &byte, 1) == 1);
  }

 private:
  std::array<int, 2> ends_{-1, -1};
};

// Pipes whose input a loop counts.
struct ManyPipes {
  explicit ManyPipes(EventLoop& loop) {
    for (size_t n = 0; n < kManyPipes; ++n) {
      pipes.push_back(std::make_unique<Pipe>());
      Pipe* pipe = pipes.back().get();
      loop.OnReadable(pipe->reader(), [this, pipe] {
        pipe->Drain();
        ++heard;
      });
    }
  }
  void Fill() const {
    for (const auto& it : pipes) it->Fill();
  }

  std::vector<std::unique_ptr<Pipe>> pipes;
  size_t heard = 0;
};

TEST_CASE("a timer that expired in a pause fires after the input that waits",
          "[net][pause]") {
  EventLoop loop;
  ManyPipes pipes(loop);
  size_t heard_before = 0;
  Timer timer(loop, [&] { heard_before = pipes.heard; });
  timer.Arm(kDelay);
  pipes.Fill();
  StandStill(kPause);
  loop.RunFor(kPause);
  CHECK(heard_before == kManyPipes);
}

TEST_CASE("a timer armed after a pause within a turn does not fire early",
          "[net][pause]") {
  EventLoop loop;
  absl::Time armed;
  absl::Time fired = absl::InfinitePast();
  Timer timer(loop, [&] { fired = loop.Now(); });
  Timer turn(loop, [&] {
    StandStill(kPause);
    armed = loop.Now();
    timer.Arm(kDelay);
  });
  turn.Arm(absl::Milliseconds(1));
  loop.RunFor(2 * kPause);
  CHECK(fired >= armed + kDelay - absl::Milliseconds(1));
}

TEST_CASE("a timer armed with a due time in the past lets input go first",
          "[net][pause]") {
  EventLoop loop;
  ManyPipes pipes(loop);
  size_t heard_before = 0;
  Timer timer(loop, [&] { heard_before = pipes.heard; });
  pipes.Fill();
  timer.Arm(-kDelay);
  loop.RunFor(kPause);
  CHECK(heard_before == kManyPipes);
}

TEST_CASE("a periodic callback after a pause runs after the input that waits",
          "[net][pause]") {
  EventLoop loop;
  ManyPipes pipes(loop);
  std::vector<size_t> heard_before;
  loop.Every(kDelay, [&] { heard_before.push_back(pipes.heard); });
  pipes.Fill();
  StandStill(kPause);
  loop.RunFor(kDelay / 2);
  REQUIRE(heard_before.size() == 1);
  CHECK(heard_before[0] == kManyPipes);
}

TEST_CASE("a periodic callback keeps its rate", "[net]") {
  EventLoop loop;
  int calls = 0;
  loop.Every(absl::Milliseconds(5), [&] { ++calls; });
  loop.RunFor(absl::Milliseconds(102));
  CHECK(calls >= 10);
  CHECK(calls <= 20);
}

TEST_CASE("input that keeps coming does not starve a late timer",
          "[net][pause]") {
  EventLoop loop;
  Pipe endless;
  endless.Fill();
  loop.OnReadable(endless.reader(), [] {});
  absl::Time fired = absl::InfiniteFuture();
  Timer timer(loop, [&] { fired = loop.Now(); });
  timer.Arm(kDelay);
  StandStill(kPause);
  absl::Time start = loop.Now();
  loop.RunFor(absl::Milliseconds(500));
  CHECK(fired - start < absl::Milliseconds(250));
}

TEST_CASE("a late timer that input cancels or restarts does not fire",
          "[net][pause]") {
  EventLoop loop;
  Pipe pipe;
  int cancelled = 0;
  int restarted = 0;
  Timer first(loop, [&] { ++cancelled; });
  Timer second(loop, [&] { ++restarted; });
  auto third = std::make_unique<Timer>(loop, [&] { ++cancelled; });
  // Read in a turn after that in which the timers expire.
  Timer later(loop, [&] { pipe.Fill(); });
  loop.OnReadable(pipe.reader(), [&] {
    pipe.Drain();
    first.Cancel();
    second.Arm(kPause);
    third.reset();
  });
  for (Timer* it : {&first, &second, third.get()}) it->Arm(kDelay);
  StandStill(kPause);
  later.Arm(absl::ZeroDuration());
  loop.RunFor(kDelay);
  CHECK(cancelled == 0);
  CHECK(restarted == 0);
  loop.RunFor(2 * kPause);
  CHECK(cancelled == 0);
  CHECK(restarted == 1);
}

TEST_CASE("a late timer may destroy another late timer", "[net][pause]") {
  EventLoop loop;
  int calls = 0;
  std::vector<std::unique_ptr<Timer>> timers;
  for (int n = 0; n < 2; ++n) {
    timers.push_back(std::make_unique<Timer>(loop, [&] {
      ++calls;
      timers[1].reset();
    }));
    timers.back()->Arm(kDelay);
  }
  StandStill(kPause);
  loop.RunFor(kPause);
  CHECK(calls == 1);
}

}  // namespace
}  // namespace chervilwick
