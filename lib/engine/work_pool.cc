// Threads, queue and cancellation of a WorkPool.

#include "chervilwick/engine/work_pool.h"

#include <utility>

namespace chervilwick {
namespace {

constexpr absl::Duration kPopTimeout = absl::Milliseconds(500);

}  // namespace

WorkPool::WorkPool(Engine engine, size_t max_threads, OutputHandler on_tokens,
                   FinishHandler on_finished)
    : engine_(std::move(engine)),
      max_threads_(max_threads),
      on_tokens_(std::move(on_tokens)),
      on_finished_(std::move(on_finished)),
      queue_(max_threads + 64) {}

WorkPool::~WorkPool() { Stop(); }

void WorkPool::Stop() {
  std::vector<std::unique_ptr<Duty>> threads;
  {
    MutexLock lock(&mutex_);
    for (auto& [id, canceller] : cancellers_) canceller->Cancel();
    threads = std::move(threads_);
  }
  queue_.Close();
  for (auto& it : threads) it->Join();
}

void WorkPool::Run(StartWork start) {
  EngineFinished not_sent;
  not_sent.attempt = start.attempt;
  not_sent.status = WorkStatus::kNotSent;
  {
    MutexLock lock(&mutex_);
    cancellers_[start.attempt] = std::make_shared<CallCanceller>();
    ++unfinished_;
    if (unfinished_ > threads_.size() && threads_.size() < max_threads_) {
      threads_.push_back(std::make_unique<Duty>());
      threads_.back()->Start("engine-call", [this] { Loop(); });
    }
  }
  if (queue_.TryPush(std::move(start))) return;
  RemoveAttempt(not_sent.attempt);
  on_finished_(std::move(not_sent));
}

void WorkPool::RemoveAttempt(const AttemptId& attempt) {
  MutexLock lock(&mutex_);
  cancellers_.erase(attempt);
  --unfinished_;
}

size_t WorkPool::unfinished() {
  MutexLock lock(&mutex_);
  return unfinished_;
}

void WorkPool::Cancel(const AttemptId& attempt) {
  std::shared_ptr<CallCanceller> canceller;
  {
    MutexLock lock(&mutex_);
    auto it = cancellers_.find(attempt);
    if (it == cancellers_.end()) return;
    canceller = it->second;
  }
  canceller->Cancel();
}

void WorkPool::Loop() {
  while (!queue_.IsClosed()) {
    std::optional<StartWork> start = queue_.Pop(kPopTimeout);
    if (start) RunOne(*start);
  }
}

void WorkPool::RunOne(const StartWork& start) {
  std::shared_ptr<CallCanceller> canceller;
  {
    MutexLock lock(&mutex_);
    canceller = cancellers_[start.attempt];
  }
  AttemptId attempt = start.attempt;
  EngineFinished finished = RunOnEngine(
      engine_, start, *canceller, [&](std::vector<std::string> tokens) {
        on_tokens_({attempt, std::move(tokens)});
      });
  RemoveAttempt(attempt);
  on_finished_(std::move(finished));
}

}  // namespace chervilwick
