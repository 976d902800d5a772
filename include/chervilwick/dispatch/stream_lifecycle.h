// State machine of one stream, from its arrival to its end.

#ifndef CHERVILWICK_DISPATCH_STREAM_LIFECYCLE_H_
#define CHERVILWICK_DISPATCH_STREAM_LIFECYCLE_H_

#include <cstdint>
#include <optional>
#include <set>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/crash_suspects.h"
#include "chervilwick/dispatch/route_table.h"
#include "chervilwick/dispatch/stream_scheduler.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// A stream's request and the limits of the route that admitted it.
struct StreamTerms {
  ExchangeId id;
  ServiceName service;
  RequestContent content;
  absl::Time arrived;
  // Time that earlier attempts of the client took.
  absl::Duration spent_before = absl::ZeroDuration();
  absl::Duration objective;        // from the first attempt to the first event
  absl::Duration pause_objective;  // between events
  // A stream without a new event for this long is ended as stalled.
  absl::Duration stall_limit = absl::InfiniteDuration();
  int priority = 0;
  uint32_t attempts = 1;
  bool resumable = false;
  // The client has the first part of the stream and takes it up.
  bool is_taken_up = false;
  // Version of the engine that began a stream which is taken up.
  std::optional<SoftwareVersion> software;
  // A place at the decode engine is reserved before the prompt is read.
  bool reserves_place = false;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  std::optional<uint32_t> output_hint;  // the client's estimate
};

// How a stream ended that no engine completed.
struct StreamEnding {
  enum class Kind {
    kRefused,  // it did not run
    kFailed,   // it may have run, but the client received nothing
    kCut,      // the client received a part
  };
  Kind kind = Kind::kRefused;
  absl::string_view reason;
  absl::Duration retry_after = absl::ZeroDuration();
};

// The calls of a stream.
enum class StreamStage { kPrompt, kDecode };

// Steps of replacing a silent engine, up to the send to another one.
enum class ReplacementStep {
  kSought,
  kRefused,    // the open call goes on
  kWithdrawn,  // the silent engine went on, or the replacement was silent too
};

// Performs the actions of a StreamLifecycle.
class StreamPort {
 public:
  virtual ~StreamPort() = default;

  // Time within which an event must be sent to the client, counted from the
  // arrival of the request or from the last event.
  virtual absl::Duration EventTimeout() const = 0;
  // How long a prefill engine keeps a prompt's KV cache for the decode engine.
  virtual absl::Duration HandleLifetime() const = 0;
  // Takes one retry from the fleet-wide budget. Returns false if none is left.
  virtual bool TakeRepeat() = 0;
  // Returns the retry taken last, whose call reached no engine.
  virtual void ReturnRepeat() = 0;
  virtual bool HasRepeats(uint32_t repeats) = 0;
  // Asks a decode engine for a place. At most one such call is open. Only for
  // streams that reserve places.
  virtual void ReservePlace(const BackendName& /*engine*/,
                            int64_t /*memory_tokens*/) {}
  // Cancels the open call for a place, or gives back the place that was
  // reserved and not used.
  virtual void DropReservation() {}
  // Sends the prompt to a prefill engine. At most one prompt call is open.
  virtual void SendPrompt(const BackendName& engine) = 0;
  // Sends the stream to a decode engine: with the handle of the KV cache of the
  // prompt read last, or without one for the engine to read the prompt. At most
  // one decode call is open.
  virtual void SendDecode(const BackendName& engine, bool with_handle) = 0;
  // Asks a decode engine whose record states a start when it started;
  // StreamLifecycle::OnStartStated() follows. At most one such question is
  // open. The next send to a decode engine drops it.
  virtual void AskStart(const BackendName& /*engine*/) {}
  // The software version of the engine that began the stream is known now.
  virtual void OnSoftwareKnown() {}
  // Cancel the open call. `sign` says why its response is not awaited. Returns
  // whether the call may have reached the engine.
  virtual bool CancelPrompt(absl::string_view sign) = 0;
  virtual bool CancelDecode(absl::string_view sign) = 0;
  // Requests OnTimer() after `delay`, in place of an earlier request.
  virtual void ArmTimer(absl::Duration delay) = 0;
  // Frees the KV cache of the prompt read last.
  virtual void FreeHandle() = 0;
  // Called when an engine has sent nothing for longer than usual.
  virtual void OnSilent(StreamStage stage, const BackendName& engine) = 0;
  // Called when another engine is sought for a silent one, and what became of
  // it. `reason` is empty for kSought.
  virtual void OnReplacement(ReplacementStep step,
                             absl::string_view reason) = 0;
  // Called when the stream is to be resumed at another engine.
  virtual void OnResumed() = 0;
  // Ends the stream.
  virtual void End(const StreamEnding& ending) = 0;
  // Requests a scheduling pass, since queues or free capacity have changed.
  virtual void WakeScheduler() = 0;
};

// Why no place was reserved.
enum class ReservationFailure {
  kRefused,      // the engine is full
  kUnreachable,  // the call did not reach the engine
  kBroken,       // invalid or late response
};

// Why a prompt was not read.
enum class PromptFailure {
  kRefused,      // the engine reported that it did not read it
  kUnreachable,  // the call did not reach the engine
  kClosed,       // connection closed by the engine; possibly a crash
  kBroken,       // invalid or late response
};

// Why a stream was not generated completely.
enum class DecodeFailure {
  kUnreachable,  // the call did not reach the engine
  kClosed,       // connection closed by the engine; possibly a crash
  kBroken,       // invalid response, or no data for too long
};

// Waits for a placement, has the prompt read by a prefill engine, then the
// stream generated by a decode engine. A call that an engine refuses is retried
// at another one. A stream that failed part way is resumed at another engine
// only if its route is resumable. The call to a silent engine stays open until
// its replacement can be sent: an engine that still works may be slow, and the
// budget, the quarantine and the scheduler may refuse a replacement.
class StreamLifecycle {
 public:
  // State shared by all streams.
  struct Services {
    BackendTable& backends;
    StreamScheduler& scheduler;
    CrashSuspects& suspects;
  };

  enum class Phase { kWaiting, kReserving, kPrompt, kDecode };

  // Maximum prompt calls of one stream, including refused ones.
  static constexpr uint32_t kMaxPromptSends = 3;

  StreamLifecycle(const Services& services, const StreamTerms& terms,
                  StreamPort& port);
  StreamLifecycle(const StreamLifecycle&) = delete;
  StreamLifecycle& operator=(const StreamLifecycle&) = delete;

  // Time that a client is assumed to wait for an event, by the route's
  // objectives.
  static absl::Duration ClientTimeout(absl::Duration objective,
                                      absl::Duration pause_objective);
  // Part of ClientTimeout() within which the event must be sent.
  static absl::Duration EventTimeoutFor(absl::Duration objective,
                                        absl::Duration pause_objective);
  // Time without data from the decode engine before it counts as silent.
  static absl::Duration SilenceThreshold();

  void Start(absl::Time now) { Submit(now); }
  void OnPlaced(const StreamPlacement& placement, absl::Time now);
  void OnRefused(const StreamRefusal& refusal, absl::Time now);
  // Called at the time that was requested by StreamPort::ArmTimer.
  void OnTimer(absl::Time now);

  void OnPlaceReserved(absl::Time now);
  void OnReservationFailed(ReservationFailure why, absl::Time now);

  void OnPromptRead(absl::Time now);
  void OnPromptFailed(PromptFailure why, absl::Time now);

  // The decode engine's response started with a success status.
  void OnAnswered(absl::Time now);
  // Whether the response may be passed on: an engine that has restarted may
  // have another software version than the one that began the stream.
  bool IsRunCertain() const { return !software_ || is_start_certain_; }
  // The decode engine stated when it started, in Unix milliseconds; nullopt if
  // it can't be learned.
  void OnStartStated(std::optional<int64_t> born_unix_ms, absl::Time now);
  // The record of a server has changed.
  void OnRecordChanged(const BackendName& engine, absl::Time now);
  // The response is passed on, from its head.
  void OnStreaming(absl::Time now);
  // The decode engine sent a complete event. Partial events are not progress: a
  // stalled engine may send single bytes indefinitely.
  void OnProgress(absl::Time now);
  // Whether the events that the client has received tell another engine where
  // to go on; true before the first.
  void SetResumePoint(bool is_known) { has_resume_point_ = is_known; }
  void OnCompleted(absl::Time now);
  // The decode engine reported that it did not run the stream.
  // `is_wrong_server`: another server answered than the intended one.
  void OnDecodeRefused(bool is_wrong_server, absl::Time now);
  void OnDecodeFailed(DecodeFailure why, absl::Time now);
  // The open call of a stage is abandoned: the client has disconnected or a
  // deadline has passed.
  void OnAbandoned(StreamStage stage, absl::Time now);

  // Whether the stream may be sent to another engine from now on.
  void SetMayRunAgain(bool may_run) { may_run_again_ = may_run; }
  // Ends a waiting stream whose request has been quarantined.
  void RecheckQuarantine(absl::Time now);

  // Releases all reserved capacity. The port is not called afterwards.
  void Close();

  Phase phase() const { return phase_; }
  const StreamPlacement& placement() const { return step_->placement; }
  // Engines of the open calls.
  const BackendName& decode_engine() const { return step_->placement.decode; }
  const BackendName& prompt_engine() const {
    return *PromptStep().placement.prefill;
  }
  bool is_streaming() const { return is_streaming_; }
  // Version of the engine that began the stream; nullopt before it is certain.
  const std::optional<SoftwareVersion>& software() const { return software_; }
  // Whether events were passed on of which the version is not certain yet.
  bool IsVersionPending() const { return has_events_ && !software_; }
  // The start of the engine whose version IsVersionPending() waits for, if its
  // record is known; nullopt otherwise.
  struct ExpectedStart {
    int64_t born_unix_ms = 0;
    SoftwareVersion software;
  };
  std::optional<ExpectedStart> expected_start() const {
    if (run_start_ms_ != run_record_.born_unix_ms) return std::nullopt;
    return run_record_;
  }
  uint32_t runs() const { return runs_; }

 private:
  // A placement and the call made for it.
  struct Step {
    StreamPlacement placement;
    bool holds_prompt_place = false;
    bool holds_decode_place = false;
    bool holds_reservation = false;  // asked for or made, and not used
    bool placed_on_suspect = false;  // no other decode engine was available
    absl::Time started;              // of the call
    int64_t engine_started_ms = 0;   // start time of the called engine
  };
  // Progress of the replacement for a call that is still open.
  enum class Replacement { kNone, kQueued, kPrompt };

  void Submit(absl::Time now);
  StreamJob MakeJob(absl::Time now) const;
  Step MakeStep(const StreamPlacement& placement, absl::Time now);
  const Step& PromptStep() const { return next_ ? *next_ : *step_; }
  // Ends the stream if such requests are suspected to crash servers.
  bool RefuseIfQuarantined(absl::Time now);
  bool IsQuarantined(absl::Time now) const;
  // A trial is one run only.
  bool MayNotRunAgain(absl::Time now) const;
  static absl::Duration PromptTimeout(const Step& step);
  void StartReservation(absl::Time now);
  void OnReservationTimer(absl::Time now);
  void SendPrompt(Step& step, absl::Time now);
  void StartPrompt(absl::Time now);
  void StartDecode(absl::Time now);
  void SendDecode(absl::Time now);
  // The engine was removed, asked for a pause or was found unreachable since it
  // was chosen.
  bool IsDecodeLost(const Step& step, absl::Time now) const;
  // Takes a retry from the budget, unless this is the first send.
  bool TakeSendBudget();
  // The call sent last reached no engine and is not counted.
  void UncountSend();
  // Waits for a retry as long as the client waits, or ends the stream.
  void OnNoBudget(absl::Time now);
  void OnWaitingTimer(absl::Time now);
  // Until when an event may be sent to the client.
  absl::Time ClientDeadline() const;

  // Has another engine take over from one that has sent nothing for too long.
  void SeekReplacement(absl::Time now);
  void OnReplacementPlaced(const StreamPlacement& placement, absl::Time now);
  // Cancels the open prompt call and sends the prompt to the engine of `next_`.
  void ReplacePrompt(absl::Time now);
  // Cancels the open prompt call and has the decode engine read the prompt.
  void ReplacePromptByDecode(absl::Time now);
  void CancelSilentPrompt(absl::Time now);
  // Makes sure that the decode call of `step` can be sent, with a retry taken;
  // else the open call goes on.
  bool AcquireDecodeSend(const Step& step, absl::Time now);
  // Has the prompt read for the engine of `next_`.
  void PrepareReplacement(absl::Time now);
  // Cancels the open decode call and sends the stream to the engine of `next_`.
  void ReplaceDecode(absl::Time now);
  // The open call goes on; another replacement may be sought later.
  void OnReplacementRefused(absl::string_view reason, absl::Time now);
  // Gives up the replacement that is being prepared.
  void DropReplacement(absl::string_view sign, absl::Time now);
  // Continues with the replacement after the open call has failed. Returns
  // false if there is none.
  bool TakeOverReplacement();
  void OnReplacementPromptFailed(PromptFailure why, absl::Time now);
  void ReportPromptFailure(const Step& step, PromptFailure why, absl::Time now);

  // Whether a run has to be of a certain software version, or may have to be
  // continued at its version.
  bool NeedsVersion() const { return terms_.resumable || software_; }
  void AskStart();
  // The engine has started again, or another one than expected answers.
  void AssumeStart(int64_t born_unix_ms, absl::Time now);
  // Learns the version of the run's engine if its start is certain.
  void LearnSoftware(absl::Time now);
  // The run is not known to be of the version that it has to be of.
  void OnUncertainRun(absl::string_view reason, absl::Time now);
  // Waits for the version of a stream that broke off before it was certain.
  void AwaitVersion(absl::Time now);
  void GiveUpVersion();
  void Resume(absl::Time now);

  void OnPromptTimer(absl::Time now);
  void OnDecodeTimer(absl::Time now);
  void EndStalled(absl::Time now);
  // The decode engine has shown that it works.
  void OnAlive(absl::Time now);
  absl::Duration ResumeThreshold() const;
  void ArmTimer(absl::Time now);
  // Ends the stream as cut, failed or refused, depending on what the client has
  // received and what may have run.
  void End(absl::string_view reason, absl::Duration retry_after);
  // Reports a call that ended without a complete response.
  void ReportLost(const Step& step, StreamStage stage, bool is_closed,
                  absl::Time now);
  void ReportUnreachable(const BackendName& engine, absl::Time now);
  bool HasFreshHandle(absl::Time now) const;
  bool MayResume() const;
  void DropHandle();
  void ReleasePrompt(Step& step);
  void ReleaseDecode(Step& step);
  void Release(std::optional<Step>& step);

  Services services_;
  StreamTerms terms_;
  StreamPort& port_;
  Phase phase_ = Phase::kWaiting;
  std::optional<Step> step_;
  Replacement replacement_ = Replacement::kNone;
  std::optional<Step> next_;  // of a replacement
  std::optional<absl::Time> handle_made_;
  absl::Time last_event_;    // or the response head
  absl::Time silent_since_;  // last data of the open decode call, or its start
  absl::Duration longest_gap_ = absl::ZeroDuration();  // of this run's events
  bool is_run_streaming_ = false;
  absl::Time run_written_since_;  // the response head of this run
  bool is_run_written_ = false;   // for CrashSuspects::kWrittenTime
  bool silence_reported_ = false;
  // When another engine is to be sought, or a retry to be asked for.
  absl::Time ask_at_ = absl::InfiniteFuture();
  absl::Time next_prompt_due_;  // of the replacement
  std::set<BackendName> excluded_;
  uint32_t counted_sends_ = 0;  // sends that count against the retry budget
  uint32_t retries_taken_ = 0;  // from the retry budget
  uint32_t prompt_sends_ = 0;
  uint32_t decode_sends_ = 0;
  uint32_t unreachable_sends_ = 0;
  uint32_t runs_ = 0;  // decode sends that may have run
  uint32_t handle_refusals_ = 0;
  bool is_streaming_ = false;  // the client has the response head
  bool has_events_ = false;    // of this response, passed on to the client
  BackendName run_engine_;     // that was sent the last run
  ExpectedStart run_record_;   // by its record at that time
  // Start of the decode engine that the run is assumed to be of, in Unix
  // milliseconds.
  int64_t run_start_ms_ = 0;
  bool is_start_certain_ = false;
  // The engine sent a part of the run after `run_start_ms_` was known.
  bool has_sent_since_ = false;
  bool is_start_asked_ = false;
  absl::Time start_ask_at_;  // when what is sent leads to the next question
  // The stream broke off and goes on once its version is certain.
  bool awaits_version_ = false;
  // Engines of this version alone can go on.
  std::optional<SoftwareVersion> software_;
  bool reads_at_decode_ = false;
  bool has_resume_point_ = true;
  bool may_run_again_ = true;
};

// Returns the name of a reason as used in logs and metrics.
absl::string_view ReasonText(StreamRefusalReason reason);

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_STREAM_LIFECYCLE_H_
