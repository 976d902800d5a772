// Admission control, queueing and placement of streams on model engines.

#ifndef CHERVILWICK_DISPATCH_STREAM_SCHEDULER_H_
#define CHERVILWICK_DISPATCH_STREAM_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/route_table.h"
#include "chervilwick/net/http_server.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// A stream that waits to be placed.
struct StreamJob {
  ExchangeId id;
  ServiceName service;
  int priority = 0;  // 0 is the most urgent
  absl::Time arrived;
  absl::Time first_event_due;  // latency objective for the next event
  absl::Time client_deadline;  // when the client stops waiting for an event
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;  // expected
  // When the prompt's KV cache expires at the prefill engine; until then only a
  // decode engine is needed. InfiniteFuture() if the decode engine is to read
  // the prompt itself.
  absl::Time prompt_cached_until = absl::InfinitePast();
  std::set<BackendName> excluded;  // engines where the stream failed
  // The client has the first part of the stream.
  bool is_started = false;
  // Version of the engine that began the stream. Engines of another one can't
  // continue it, and do not detect that.
  std::optional<SoftwareVersion> software;
  // A refusal would not tell the client that nothing has run.
  bool may_have_run = false;
  // Set by the scheduler.
  absl::Time queued_at;
  bool awaits_return = false;  // of an engine that may continue it
};

// The engines that a stream is assigned to. Their capacity is reserved until it
// is released.
struct StreamPlacement {
  ExchangeId id;
  BackendName decode;
  int64_t memory_tokens = 0;
  // Engine that reads the prompt. Empty if the decode engine reads it, or if
  // its KV cache exists already.
  std::optional<BackendName> prefill;
  int64_t prompt_tokens = 0;
  absl::Duration waited;
  absl::Duration prefill_estimate;
};

enum class StreamRefusalReason {
  kQueueTooLong,        // expected to exceed the client's timeout
  kWaitedTooLong,       // could no longer be served within the client's timeout
  kNoEngines,           // all engines that were tried refused it
  kNoRetryBudget,       // a retry would exceed the retry budget
  kQuarantined,         // such requests are suspected to crash servers
  kVersionGone,         // no engine of the version that began it is left
  kVersionUnreachable,  // those that are listed can't be reached
};

struct StreamRefusal {
  ExchangeId id;
  StreamRefusalReason reason = StreamRefusalReason::kQueueTooLong;
  // Estimated time until capacity is available.
  absl::Duration retry_after;
};

// Streams that can no longer meet their latency objective wait for capacity
// that the others leave.
struct LateService {};

// For callers who compete for engines that are too few at times. Serving a late
// stream makes a later one late, too, so that a long overload makes all of them
// late. Streams that can't be served in time are refused while their clients
// can still come back. Some memory is kept for the most urgent ones.
struct PromptRefusal {
  // Streams up to this priority are urgent; none if no streams are less urgent.
  std::optional<int> urgent_priority;
  // How long a stream that is late may wait for capacity.
  absl::Duration max_late_wait = absl::Milliseconds(400);
  // Of a part of the engines, other streams use only this part of the memory.
  // Concentrated, the rest has room for a whole stream.
  double shared_memory = 0.5;
  // Memory kept for urgent streams, as a multiple of their share of all.
  double urgent_margin = 1.3;
};

using OverloadPolicy = std::variant<LateService, PromptRefusal>;

using StreamDecision = std::variant<StreamPlacement, StreamRefusal>;

// Weights and limits. The defaults suit engines that read 33 prompt tokens per
// millisecond and hold ten streams in memory.
struct StreamSchedulerOptions {
  // Fraction of an engine's memory that the expected use of its streams may
  // reach. Above one, since streams reach their peak use at different times.
  double memory_fill = 1.05;
  // The same for streams that can no longer meet their latency objective;
  // lower, to leave room for streams that still can.
  double late_memory_fill = 0.85;
  // Maximum prompt work queued at one engine. Further streams wait in the
  // scheduler, where they can still be reordered or refused.
  absl::Duration max_prompt_backlog = absl::Milliseconds(350);
  // Initial estimates. The prompt rate and the stream duration are updated from
  // observations.
  double prompt_tokens_per_ms = 33;
  absl::Duration first_event_overhead = absl::Milliseconds(60);
  absl::Duration stream_duration = absl::Seconds(3);
  // Penalty for a failure rate of one: as load of a decode engine, and as
  // backlog of a prefill engine.
  double failure_load = 1.5;
  absl::Duration failure_backlog = absl::Milliseconds(600);
  // Penalty for an engine in another availability zone: as load of a decode
  // engine, and as a fraction of the prompt's time on a prefill engine.
  double other_zone_load = 0.1;
  absl::Duration max_retry_after = absl::Seconds(4);
};

// Returns a random delay before scheduling after a peer front's usage update.
// Fronts learn of freed capacity at the same time; with different delays, each
// front learns of the placements made by those before it. `draw` must be
// uniformly distributed.
absl::Duration PeerUseJitter(uint64_t draw);

// Schedules streams when demand doubles within seconds while engines fail or
// drain. Streams that have started go before new ones that are not more urgent:
// their prompts were paid for, and their clients wait for the rest only. No
// such stream takes capacity that one of them waits for. Streams whose prompt
// has been read follow, since its KV cache expires within half a second.
// Streams that can still meet their latency objective follow, by priority and
// due time. Late streams use the remaining capacity. Streams that can't be
// served within the client's timeout are refused on arrival.
class StreamScheduler {
 public:
  // Interval between scheduling passes while streams wait: well below the
  // latency objectives, and a few passes in the time it takes to read a prompt.
  static constexpr absl::Duration kSchedulingInterval = absl::Milliseconds(15);

  StreamScheduler(BackendTable& backends, ZoneName zone,
                  const StreamSchedulerOptions& options);

  // Sets the engine traits of each service from the active configuration.
  void SetEngineTraits(const std::map<ServiceName, ServiceTraits>& services);
  // Queues a stream, or returns a refusal.
  std::optional<StreamRefusal> Submit(StreamJob job, absl::Time now);
  // Removes a stream from the queues.
  void Withdraw(ExchangeId id);
  // Places and refuses queued streams. Call it when load, engines or the queues
  // may have changed.
  std::vector<StreamDecision> Decide(absl::Time now);

  // Releases the capacity reserved for reading the prompt.
  void ReleasePrompt(const StreamPlacement& placement);
  // Releases the capacity reserved for decoding.
  void ReleaseDecode(const StreamPlacement& placement);
  // Records the time taken to read a prompt, as a multiple of its estimate.
  void ObservePrompt(double scale);
  // Records the time that a stream took at its decode engine.
  void ObserveStream(absl::Duration taken);
  // Sets the number of streams that wait at the other fronts.
  void SetPeersWaiting(size_t streams) { peers_waiting_ = streams; }
  // Whether an engine of that version generates streams and does not leave, or
  // is expected back.
  bool IsVersionServed(const ServiceName& service,
                       const SoftwareVersion& software, absl::Time now) const;
  // The record of an engine that did not announce that it leaves is gone.
  void OnEngineRemoved(const BackendState& engine, absl::Time now);
  // Engines to be asked whether they are back: a started stream waits for one
  // of them, and no other can continue it.
  std::vector<BackendName> EnginesToAsk(absl::Time now);
  // Version of all engines that generate streams of the service, also of those
  // that leave; nullopt if there are several, or no engine.
  std::optional<SoftwareVersion> OnlyVersion(const ServiceName& service) const;
  void SetOverloadPolicy(const OverloadPolicy& policy) { policy_ = policy; }
  // Sets the number of fronts that place streams, this one included.
  void SetFrontCount(uint32_t fronts) { fronts_ = fronts; }

  size_t waiting() const {
    return started_.size() + with_cached_prompt_.size() + on_time_.size() +
           late_.size();
  }

 private:
  enum class Class { kOnTime, kLate };

  // Until more is known, and the least that memory is kept for: fronts that see
  // few streams would otherwise disagree on the engines.
  static constexpr double kLeastUrgentShare = 0.08;

  void ServeClass(std::deque<StreamJob>& queue, Class which, absl::Time now,
                  std::vector<StreamDecision>& out);
  // Places started streams, in order, where there is room for them.
  void ServeStarted(absl::Time now, std::vector<StreamDecision>& out);
  // Places new streams that are in time and more urgent than a started one.
  void ServeMoreUrgent(const StreamJob& started, absl::Time now,
                       std::vector<StreamDecision>& out);
  // Whether a new stream that is in time and more urgent waits for a place.
  bool HasMoreUrgent(const StreamJob& started) const;
  // Number of started streams that are served before the stream. Those that
  // wait for an engine to return take no capacity.
  size_t CountStartedAhead(const StreamJob& job) const;
  void KeepForStarted(const StreamJob& started);
  // Moves streams whose prompt's KV cache has expired to the queue of streams
  // without one.
  void RequeueExpiredPrompts(absl::Time now);
  void DemoteLate(absl::Time now);
  void RefuseTimedOut(std::deque<StreamJob>& queue, absl::Time now,
                      std::vector<StreamDecision>& out);
  // When a late stream is refused at the latest.
  absl::Time RefusalTime(const StreamJob& job) const;
  bool IsUrgent(const StreamJob& job) const;
  // Places urgent streams that are in time, whatever else waits.
  void ServeUrgent(absl::Time now, std::vector<StreamDecision>& out);
  // Fraction of the engine's memory that the stream may reach.
  double MemoryFill(const StreamJob& job, Class which,
                    const BackendState& engine) const;
  // Whether a part of the engine's memory is kept for urgent streams.
  bool IsKeptForUrgent(const BackendState& engine) const;
  // Updates the averages of what streams ask for.
  void ObserveDemand(const StreamJob& job);
  // Number of streams that are served before a new one.
  size_t CountAhead(const StreamJob& job) const;
  // Time until there is room for a refused stream and for those that were
  // refused just before it.
  absl::Duration TimeToReturn(const StreamJob& job, absl::Duration wait,
                              absl::Time now);
  std::optional<StreamPlacement> Place(const StreamJob& job, Class which,
                                       absl::Time now);
  // Whether the engine generates streams and may generate this one.
  bool IsUsable(const BackendState& engine, const StreamJob& job) const;
  bool IsKeptForStarted(const BackendState& engine, const StreamJob& job) const;
  // The same for the version that the job needs, if it needs one.
  bool IsVersionServed(const StreamJob& job, absl::Time now) const;
  // Whether the engine has the version that the job needs, and does not leave.
  static bool MayContinue(const BackendState& engine, const StreamJob& job);
  // Whether an engine that may continue the stream is not in doubt. True if any
  // version may.
  bool HasReachable(const StreamJob& job) const;
  // Until when a started stream waits while HasReachable() is false.
  absl::Time ReturnLimit(const StreamJob& job, absl::Time now) const;
  std::vector<BackendState*> DecodeCandidates(const StreamJob& job,
                                              absl::Time now);
  BackendState* ChooseDecode(const StreamJob& job, Class which, absl::Time now);
  BackendState* ChoosePrefill(const StreamJob& job, const ZoneName& decode_zone,
                              absl::Time now);
  absl::Duration PromptTime(int64_t tokens) const;
  absl::Duration ServiceTime(const StreamJob& job) const;
  // Estimates how many streams per second the engines that may generate the
  // stream can start.
  double PlacesPerSecond(const StreamJob& job, absl::Time now);
  absl::Duration ExpectedWait(const StreamJob& job, size_t ahead,
                              absl::Time now);
  bool HasRoom(const StreamJob& job, absl::Time now);
  StreamRefusal RefuseVersionGone(const StreamJob& job, absl::Time now);
  StreamRefusal Refuse(const StreamJob& job, StreamRefusalReason reason,
                       absl::Duration wait, absl::Time now);

  BackendTable& backends_;
  ZoneName zone_;
  StreamSchedulerOptions options_;
  std::deque<StreamJob> started_;  // by priority and the client's deadline
  // Engines whose free capacity a started stream waits for: those of a version,
  // or all of a service; with the priority of the most urgent one.
  std::map<std::pair<ServiceName, std::optional<SoftwareVersion>>, int>
      kept_for_started_;
  // When the last record of an engine of a version was removed.
  std::map<std::pair<ServiceName, SoftwareVersion>, absl::Time> removed_at_;
  // With a cached prompt; by priority and expiry time.
  std::deque<StreamJob> with_cached_prompt_;
  std::deque<StreamJob> on_time_;  // by priority and due time
  std::deque<StreamJob> late_;     // by priority and arrival
  size_t peers_waiting_ = 0;
  OverloadPolicy policy_;
  uint32_t fronts_ = 1;
  // Streams that were refused lately and are expected to come back.
  double refused_ = 0;
  absl::Time refused_at_ = absl::InfinitePast();
  double prompt_tokens_per_ms_;
  double stream_seconds_;
  double memory_per_stream_ = 0;
  double urgent_share_ = kLeastUrgentShare;  // of the memory asked for
  std::map<ServiceName, EngineTraits> engines_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_STREAM_SCHEDULER_H_
