// Queueing, refusing and placing of streams before model engines.

#ifndef CHERVILWICK_DISPATCH_STREAM_SCHEDULER_H_
#define CHERVILWICK_DISPATCH_STREAM_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/route_table.h"
#include "chervilwick/net/http_server.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// A stream that waits for a place.
struct StreamJob {
  ExchangeId id;
  ServiceName service;
  int priority = 0;  // 0 is the most urgent
  absl::Time arrived;
  absl::Time first_event_due;  // the objective, counted from its arrival
  absl::Time give_up_at;       // the client won't wait longer for an event
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;  // expected
  // Until then its prompt's KV cache waits at the engine that read it, and only
  // a decoding engine is needed; for ever if that engine reads it itself.
  absl::Time prompt_kept_until = absl::InfinitePast();
  std::set<BackendName> excluded;  // engines that failed it
};

// Where a stream runs. The places count as used until they are released.
struct StreamPlacement {
  ExchangeId id;
  BackendName decode;
  int64_t memory_tokens = 0;
  // Engine that reads the prompt; the decoding engine itself if there is none.
  std::optional<BackendName> prefill;
  int64_t prompt_tokens = 0;
  absl::Duration waited;
  absl::Duration prefill_estimate;
};

enum class StreamRefusalReason {
  kQueueTooLong,  // it could not be served within the client's patience
  kWaitedTooLong,
  kNoEngines,    // those tried refused it
  kNoBudget,     // it would take a repeated send beyond the budget
  kQuarantined,  // servers end under such requests
};

struct StreamRefusal {
  ExchangeId id;
  StreamRefusalReason reason = StreamRefusalReason::kQueueTooLong;
  // When there will be room.
  absl::Duration retry_after;
};

using StreamDecision = std::variant<StreamPlacement, StreamRefusal>;

// Weights and limits; the defaults answer the load of today's engines, which
// read 33 tokens a millisecond and hold ten streams in memory.
struct StreamSchedulerOptions {
  // Part of an engine's memory that expected use may fill. Above one, since
  // streams reach their expected use at different times.
  double memory_fill = 1.05;
  // The same for streams whose objective can't be met any more: they leave
  // room for those that still can.
  double late_memory_fill = 0.85;
  // Prompt work that may wait at one engine; the rest waits here, where it can
  // still be reordered and refused.
  absl::Duration max_prompt_backlog = absl::Milliseconds(350);
  // First guesses, replaced by what is observed.
  double prompt_tokens_per_ms = 33;
  absl::Duration first_event_overhead = absl::Milliseconds(60);
  absl::Duration stream_duration = absl::Seconds(3);
  // Load that a failure rate of one is worth, and the same as prompt work.
  double failure_load = 1.5;
  absl::Duration failure_backlog = absl::Milliseconds(600);
  // Share of the load that a place in another availability zone is worth.
  double other_zone_load = 0.1;
  absl::Duration max_retry_after = absl::Seconds(4);
};

// When to look for places after another front told of its use. Fronts hear of a
// freed place together; looking at different times, each hears of the
// placements of those before it. `draw` is uniform over all values.
absl::Duration DelayAfterPeerUse(uint64_t draw);

// Answers demand that doubles within seconds while engines fail or drain:
// streams whose prompt has just been read go first, as it lapses within half a
// second; then those that can still meet their objective, by due time; those
// that can't use what is left; what can't be served within its client's
// patience is refused at arrival.
class StreamScheduler {
 public:
  // Streams that wait are looked at again after that time: well under the
  // objectives, and a few looks in the time that a prompt takes to read.
  static constexpr absl::Duration kLookInterval = absl::Milliseconds(15);

  StreamScheduler(BackendTable& backends, ZoneName zone,
                  const StreamSchedulerOptions& options);

  // Memory and slots of engines, from the configuration in force.
  void SetEngineTraits(const std::map<ServiceName, ServiceTraits>& services);
  // Queues a stream or refuses it at once.
  std::optional<StreamRefusal> Submit(StreamJob job, absl::Time now);
  // Forgets a stream that waits.
  void Withdraw(ExchangeId id);
  // Places and refuses; called when anything may have changed.
  std::vector<StreamDecision> Decide(absl::Time now);

  // The prompt has been read, or will not be.
  void ReleasePrompt(const StreamPlacement& placement);
  // The stream has ended or was given up.
  void ReleaseDecode(const StreamPlacement& placement);
  // How long a prompt took, as a multiple of its estimate.
  void ObservePrompt(double scale);
  // How long a stream took at its decoding engine.
  void ObserveStream(absl::Duration taken);
  // Streams that wait at the other fronts.
  void SetPeersWaiting(size_t streams) { peers_waiting_ = streams; }

  size_t waiting() const {
    return kept_.size() + on_time_.size() + late_.size();
  }

 private:
  enum class Class { kOnTime, kLate };

  void ServeClass(std::deque<StreamJob>& queue, Class which, absl::Time now,
                  std::vector<StreamDecision>& out);
  // Streams whose prompt has lapsed wait like those without.
  void RequeueLapsed(absl::Time now);
  void DemoteLate(absl::Time now);
  void RefuseHopeless(absl::Time now, std::vector<StreamDecision>& out);
  std::optional<StreamPlacement> Place(const StreamJob& job, Class which,
                                       absl::Time now);
  std::vector<BackendState*> DecodeCandidates(const StreamJob& job,
                                              absl::Time now);
  BackendState* ChooseDecode(const StreamJob& job, Class which, absl::Time now);
  BackendState* ChoosePrefill(const StreamJob& job, const ZoneName& near,
                              absl::Time now);
  absl::Duration PromptTime(int64_t tokens) const;
  absl::Duration ServiceTime(const StreamJob& job) const;
  // Places that free up in a second, over all engines of a service.
  double PlacesPerSecond(const ServiceName& service, absl::Time now);
  absl::Duration ExpectedWait(const StreamJob& job, size_t ahead,
                              absl::Time now);
  bool HasRoom(const StreamJob& job, absl::Time now);
  StreamRefusal Refuse(const StreamJob& job, StreamRefusalReason reason,
                       absl::Duration wait) const;

  BackendTable& backends_;
  ZoneName zone_;
  StreamSchedulerOptions options_;
  std::deque<StreamJob> kept_;     // with a prompt, by when it lapses
  std::deque<StreamJob> on_time_;  // by priority and due time
  std::deque<StreamJob> late_;     // by priority and arrival
  size_t peers_waiting_ = 0;
  double prompt_tokens_per_ms_;
  double stream_seconds_;
  double memory_per_stream_ = 0;
  std::map<ServiceName, EngineTraits> engines_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_STREAM_SCHEDULER_H_
