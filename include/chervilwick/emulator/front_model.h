// Fronts under virtual time: the product's decisions, and baselines.

#ifndef CHERVILWICK_EMULATOR_FRONT_MODEL_H_
#define CHERVILWICK_EMULATOR_FRONT_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_record.h"
#include "chervilwick/dispatch/stream_lifecycle.h"
#include "chervilwick/emulator/engine_model.h"
#include "chervilwick/kernel/event_queue.h"

namespace chervilwick {

// One stream that a client asks for.
struct EmulatedRequest {
  uint64_t number = 0;  // of the client's request; its repeats have the same
  int priority = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  uint32_t output_hint = 0;
  absl::Duration objective;
  absl::Duration pause_objective;
  bool resumable = false;
};

struct EmulatedOutcome {
  enum class Kind {
    kWhole,
    kRefused,  // not run, the client was told so
    kFailed,   // ran, or may have run, and the client has nothing
    kCut,      // the client has a part
    kLeft,     // the client's patience ended
  };
  Kind kind = Kind::kWhole;
  absl::Duration first_event = absl::InfiniteDuration();
  absl::Duration longest_pause = absl::ZeroDuration();
  absl::Duration retry_after = absl::ZeroDuration();
};

using OutcomeHandler = std::function<void(const EmulatedOutcome&)>;

// Engines of one service, by name.
using EngineModels = std::map<BackendName, std::unique_ptr<EngineModel>>;

class FrontModel {
 public:
  virtual ~FrontModel() = default;
  // Serves a request; the handler is called once.
  virtual void Submit(const EmulatedRequest& request,
                      OutcomeHandler handler) = 0;
  // Word of discovery.
  virtual void OnRecord(const BackendRecord& record) = 0;
  virtual void OnRemoved(const BackendName& id) = 0;
  // What it knows that the other fronts have to hear, and what they said.
  virtual void Exchange(const std::vector<FrontModel*>& others) = 0;

  // Streams that wait for a place here.
  virtual size_t waiting() const = 0;
  // Whether anything is still held for a request.
  virtual bool IsIdle() const = 0;
  // Times of repeated sends.
  virtual const std::vector<absl::Time>& repeats() const = 0;
};

// How a front is told to choose.
enum class FrontPolicy {
  kDispatch,  // the product's own lib/dispatch
  kRoundRobin,
  kLeastRequests,  // of this front, at each kind of engine
  kTwoChoices,     // the less used of two drawn at random
};

struct FrontModelOptions {
  FrontPolicy policy = FrontPolicy::kDispatch;
  StreamSchedulerOptions scheduler;
  EngineModelOptions engine;
  ServiceName service{"models"};
  uint32_t fronts = 1;
  double retry_ratio = 0.2;
  double retry_slack = 50;
  // Whether placements are told to the other fronts at once.
  bool announces = true;
  uint64_t seed = 1;
};

std::unique_ptr<FrontModel> MakeFront(EventQueue& queue, EngineModels& engines,
                                      const std::string& name,
                                      const FrontModelOptions& options);

}  // namespace chervilwick

#endif  // CHERVILWICK_EMULATOR_FRONT_MODEL_H_
