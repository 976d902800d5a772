// Calls on the backend server beside an agent: a model engine with
// disaggregated prefill, or a plain HTTP service.

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

// Lets one thread stop a call that another one waits for.
class CallCanceller {
 public:
  // Stops the call now or, if it has not begun, as soon as it begins.
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

// Runs one attempt to its end, on the calling thread.
EngineFinished RunOnEngine(const Engine& engine, const StartWork& start,
                           CallCanceller& canceller,
                           const TokenHandler& on_tokens);
// Asks the engine how it is.
EngineStatus ReadEngineStatus(const Engine& engine);
// Sends an order; returns whether the engine carried it out.
bool SendOrder(const Engine& engine, const EngineOrder& order);

}  // namespace chervilwick

#endif  // CHERVILWICK_ENGINE_ENGINE_CLIENT_H_
