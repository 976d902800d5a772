// Client for the backend server of an agent: a model engine with disaggregated
// prefill, or a plain HTTP service.

#ifndef CHERVILWICK_ENGINE_ENGINE_CLIENT_H_
#define CHERVILWICK_ENGINE_ENGINE_CLIENT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "chervilwick/engine/engine_types.h"
#include "chervilwick/support/mutex.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

// Cancels a call that another thread is blocked on.
class CallCanceller {
 public:
  // Interrupts the call that is in progress, if any, and keeps RunOnEngine from
  // starting one with this canceller.
  void Cancel();
  bool IsCancelled() const { return cancelled_; }

 private:
  friend class EngineCallScope;

  std::atomic<bool> cancelled_{false};
  Mutex mutex_;
  std::function<void()> stop_ ABSL_GUARDED_BY(mutex_);
};

// vLLM's OpenAI-compatible server with kv_transfer_params.
struct VllmEngine {
  std::string address;  // ip:port
  bool checks_fencing = false;
};
// Any HTTP service.
struct PlainEngine {
  std::string address;  // ip:port
};
using Engine = std::variant<VllmEngine, PlainEngine>;

using TokenHandler = std::function<void(std::vector<std::string>)>;

// Runs one attempt to completion on the calling thread.
EngineFinished RunOnEngine(const Engine& engine, const StartWork& start,
                           CallCanceller& canceller,
                           const TokenHandler& on_tokens);
// Queries the engine's status; `up` is false if it does not answer.
EngineStatus ReadEngineStatus(const Engine& engine);
// Sends an order and returns whether the engine carried it out. For a plain
// engine it does nothing and returns true.
bool SendOrder(const Engine& engine, const EngineOrder& order);

}  // namespace chervilwick

#endif  // CHERVILWICK_ENGINE_ENGINE_CLIENT_H_
