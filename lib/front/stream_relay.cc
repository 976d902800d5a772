#include "chervilwick/front/stream_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

constexpr int kOk = 200;
constexpr absl::string_view kEventStream = "text/event-stream";
// Maximum body size of a response that is not a stream: a KV handle or a
// failure.
constexpr size_t kMaxBufferedAnswerBytes = size_t{256} << 10;
// Time limit of the request that frees a KV cache. If it fails, the engine
// drops the cache when the handle expires.
constexpr absl::Duration kFreeTimeout = absl::Seconds(1);

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Content type without parameters.
std::string MediaType(const HttpHead& head) {
  std::string type = head.Get("Content-Type");
  return absl::AsciiStrToLower(
      absl::StripAsciiWhitespace(type.substr(0, type.find(';'))));
}

StreamTerms MakeStreamTerms(const AdmittedRequest& admitted,
                            double stall_patience) {
  StreamTerms terms;
  terms.id = admitted.id;
  terms.service = admitted.service;
  terms.fingerprint = admitted.fingerprint;
  terms.arrived = admitted.arrived;
  terms.objective = admitted.route.objective;
  terms.pause_objective = admitted.route.pause_objective;
  terms.stall_limit =
      stall_patience *
      StreamLifecycle::ClientTimeout(terms.objective, terms.pause_objective);
  terms.priority = admitted.route.priority;
  terms.attempts = admitted.route.attempts;
  terms.resumable = admitted.route.resumable;
  terms.prompt_tokens = admitted.facts.prompt_tokens;
  terms.max_output_tokens = admitted.facts.max_output_tokens;
  terms.output_hint = admitted.facts.output_hint;
  return terms;
}

}  // namespace

StreamRelay::StreamRelay(FrontContext& context, AdmittedRequest admitted,
                         Finished finished)
    : Relay(context, std::move(admitted), std::move(finished)),
      lifecycle_(
          {context.backends, context.scheduler, context.suspects},
          MakeStreamTerms(this->admitted(), context.settings.stall_patience),
          *this),
      idle_timer_(context.loop, [this] { OnIdleTimeout(); }) {}

StreamRelay::~StreamRelay() {
  CancelCall();
  lifecycle_.Close();
}

void StreamRelay::Start() { lifecycle_.Start(Now()); }

absl::Duration StreamRelay::EventTimeout() const {
  const Route& route = admitted().route;
  return std::min(
      {StreamLifecycle::EventTimeoutFor(route.objective, route.pause_objective),
       route.timeout, admitted().facts.deadline.value_or(route.timeout)});
}

absl::Duration StreamRelay::HandleLifetime() const {
  const EngineTraits* traits = context().engine_traits(admitted().service);
  return traits == nullptr ? EngineTraits().handle_lifetime
                           : traits->handle_lifetime;
}

bool StreamRelay::TakeRepeat() { return Relay::TakeRepeat(); }

void StreamRelay::OnResumed() { ++context().stats.resumed_streams; }

void StreamRelay::WakeScheduler() { context().wake_scheduler(); }

void StreamRelay::End(const StreamEnding& ending) {
  if (ending.reason == ReasonText(StreamRefusalReason::kQuarantined)) {
    ++context().stats.quarantined;
  }
  switch (ending.kind) {
    case StreamEnding::Kind::kCut:
      AbortStream(ending.reason);
      return;
    case StreamEnding::Kind::kFailed:
      Relay::RespondWithError({502, ending.reason});
      return;
    case StreamEnding::Kind::kRefused:
      Relay::RespondWithError({503, ending.reason, ending.retry_after});
      return;
  }
}

void StreamRelay::AbortStream(absl::string_view reason) {
  context().server->Abort(admitted().id);
  Finish("cut", kOk, reason);
}

void StreamRelay::OnRefused(const StreamRefusal& refusal) {
  lifecycle_.OnRefused(refusal);
}

void StreamRelay::OnPlaced(const StreamPlacement& placement) {
  context().stats.queue_time[admitted().route.name].Add(placement.waited);
  const BackendState* decode = context().backends.Find(placement.decode);
  context().log.Write(
      Now(), "placed",
      {{"id", admitted().facts.request_id},
       {"decode", placement.decode.value()},
       {"prefill", placement.prefill ? placement.prefill->value() : "-"},
       {"tokens", placement.memory_tokens},
       {"engine_tokens",
        decode == nullptr ? int64_t{0} : decode->Total().memory_tokens},
       {"list_age_ms", context().store_age()},
       {"waited_ms", placement.waited},
       {"prefill_ms", placement.prefill_estimate}});
  lifecycle_.OnPlaced(placement, Now());
}

void StreamRelay::Call(const BackendState& engine,
                       const ForwardOptions& forward, size_t max_body_bytes,
                       CallHandler handler) {
  body_.clear();
  call_started_ = Now();
  call_ = CallEngine(engine.record.endpoint, forward, max_body_bytes,
                     std::move(handler));
}

void StreamRelay::SendPrompt(const BackendName& engine,
                             absl::Duration patience) {
  ForwardOptions forward;
  forward.expected = engine;
  forward.remaining = ClientRemaining();
  forward.prefill_only = true;
  idle_timer_.Arm(patience);
  Call(*context().backends.Find(engine), forward, kMaxBufferedAnswerBytes,
       [this](CallEvent event) { OnPromptEvent(std::move(event)); });
}

void StreamRelay::OnPromptEvent(CallEvent event) {
  std::visit(
      Overloaded{
          [&](HttpHead& head) {
            head_ = std::move(head);
            context().RecordAnswer(*lifecycle_.placement().prefill,
                                   context().protocol.ParseResponse(head_));
          },
          [&](HttpBodyPart& part) { absl::StrAppend(&body_, part.bytes); },
          [&](HttpEnd&) { OnPromptEnd(); },
          [&](CallFailure& failure) {
            if (failure.sent) {
              LogLostRun(lifecycle_.placement().prefill->value(),
                         absl::StrCat("prompt_", CallErrorText(failure.error)));
            }
            bool is_closed = failure.error == CallError::kClosed;
            OnPromptFailed("connection failed",
                           !failure.sent ? PromptFailure::kUnreachable
                           : is_closed   ? PromptFailure::kClosed
                                         : PromptFailure::kBroken);
          },
      },
      event);
}

void StreamRelay::OnPromptEnd() {
  EndCall();
  std::optional<std::string> handle = context().protocol.ParseHandle(body_);
  if (head_.status != kOk || !handle) {
    bool is_refused = context().protocol.ParseResponse(head_).is_not_run;
    OnPromptFailed("engine refused", is_refused ? PromptFailure::kRefused
                                                : PromptFailure::kBroken);
    return;
  }
  const BackendState* engine =
      context().backends.Find(*lifecycle_.placement().prefill);
  if (engine == nullptr) {
    OnPromptFailed("engine no longer listed", PromptFailure::kBroken);
    return;
  }
  context().stats.prompt_time.Add(Now() - call_started_);
  handle_ = {engine->record.id, {engine->record.endpoint, *handle}};
  lifecycle_.OnPromptRead(Now());
}

void StreamRelay::OnPromptFailed(absl::string_view why, PromptFailure kind) {
  EndCall();
  LogBackendError("prefill_failed", lifecycle_.placement().prefill->value(),
                  why);
  lifecycle_.OnPromptFailed(kind, Now());
}

void StreamRelay::SendDecode(const BackendName& engine, bool with_handle) {
  ForwardOptions forward;
  forward.expected = engine;
  forward.remaining = ClientRemaining();
  if (with_handle && handle_) forward.kv_source = handle_->source;
  forward.resume_after =
      events_.last_id() ? events_.last_id() : admitted().facts.last_event;
  // The first run of a response is forwarded as the engine sends it.
  events_.BeginRun(lifecycle_.is_streaming() ? forward.resume_after
                                             : std::nullopt);
  idle_timer_.Arm(StreamLifecycle::SilenceThreshold());
  Call(*context().backends.Find(engine), forward, CallOptions::kNoBodyLimit,
       [this](CallEvent event) { OnDecodeEvent(std::move(event)); });
}

void StreamRelay::OnDecodeEvent(CallEvent event) {
  std::visit(Overloaded{
                 [&](HttpHead& head) { OnDecodeHead(std::move(head)); },
                 [&](HttpBodyPart& part) { OnDecodeBytes(part.bytes); },
                 [&](HttpEnd&) { OnDecodeEnd(); },
                 [&](CallFailure& failure) { OnDecodeBroken(failure); },
             },
             event);
}

void StreamRelay::OnDecodeHead(HttpHead head) {
  const BackendName& engine = lifecycle_.placement().decode;
  ResponseMetadata facts = context().protocol.ParseResponse(head);
  context().RecordAnswer(engine, facts);
  head_ = std::move(head);
  if (!IsSuccess(head_.status) || !facts.has_server_stamp) return;
  bool is_first = !lifecycle_.is_streaming();
  if (!is_first && !ContinuesStream(head_)) {
    OnInvalidAnswer("resumed run is not an event stream");
    return;
  }
  handle_.reset();
  lifecycle_.OnStreaming(Now());
  // A resumed stream keeps the response head of the first engine.
  if (!is_first) return;
  MarkOutput();
  stream_head_ = head_;
  context().stats.first_event[admitted().route.name].Add(Elapsed());
  Log("streaming", engine.value(), "head received");
  context().server->BeginStream(admitted().id, head_.status,
                                context().protocol.ForwardedFields(head_));
}

void StreamRelay::OnDecodeBytes(absl::string_view bytes) {
  ResponseMetadata facts = context().protocol.ParseResponse(head_);
  if (!IsSuccess(head_.status) || !facts.has_server_stamp) {
    absl::StrAppend(&body_, bytes);
    if (body_.size() > kMaxBufferedAnswerBytes) OnInvalidAnswer("too long");
    return;
  }
  uint64_t before = events_.events();
  context().server->SendStream(admitted().id, events_.Append(bytes));
  if (events_.IsTooLong()) {
    OnInvalidAnswer("event too long");
    return;
  }
  if (events_.IsOutOfOrder()) {
    OnInvalidAnswer("resumed run does not go on at the next event");
    return;
  }
  // Only complete events count as progress, so that an engine which sends
  // fragments without end is detected as stalled.
  if (events_.events() == before) return;
  lifecycle_.SetResumePoint(events_.CanResume());
  idle_timer_.Arm(StreamLifecycle::SilenceThreshold());
  lifecycle_.OnProgress(Now());
}

bool StreamRelay::ContinuesStream(const HttpHead& head) const {
  return head.status == stream_head_.status &&
         MediaType(head) == kEventStream &&
         MediaType(stream_head_) == kEventStream;
}

void StreamRelay::OnInvalidAnswer(absl::string_view why) {
  LogBackendError("decode_invalid", lifecycle_.placement().decode.value(), why);
  CancelCall();
  OnDecodeBroken({CallError::kMalformed, true});
}

void StreamRelay::OnDecodeEnd() {
  EndCall();
  const std::string& engine = lifecycle_.placement().decode.value();
  ResponseMetadata facts = context().protocol.ParseResponse(head_);
  if (facts.is_not_run) {
    LogBackendError("decode_refused", engine,
                    facts.is_wrong_server
                        ? "other server or stage at this address"
                    : handle_ ? "full or KV cache of the prompt gone"
                              : "full");
    lifecycle_.OnDecodeRefused(facts.is_wrong_server, Now());
    return;
  }
  if (!IsSuccess(head_.status)) {
    if (lifecycle_.is_streaming()) {
      AbortStream("resumed run failed");
      return;
    }
    HttpResponse response{head_.status,
                          context().protocol.ForwardedFields(head_), body_};
    context().server->Respond(admitted().id, response);
    Finish("answered", head_.status, engine);
    return;
  }
  if (!facts.has_server_stamp) {
    OnDecodeBroken({CallError::kMalformed, true});
    return;
  }
  bool is_broken_off =
      MediaType(stream_head_) == kEventStream && events_.HasPartialEvent();
  if (is_broken_off || events_.IsResumedRunEmpty()) {
    OnInvalidAnswer(is_broken_off ? "ended inside an event"
                                  : "resumed run without an event");
    return;
  }
  context().server->SendStream(admitted().id, events_.TakeRemainder());
  context().server->EndStream(admitted().id);
  lifecycle_.OnCompleted(Now());
  Finish("answered", head_.status, engine);
}

void StreamRelay::OnDecodeBroken(const CallFailure& failure) {
  EndCall();
  if (failure.sent) {
    LogLostRun(lifecycle_.placement().decode.value(),
               CallErrorText(failure.error));
  }
  LogBackendError("decode_broke_off", lifecycle_.placement().decode.value(),
                  failure.sent ? "response incomplete" : "request not sent");
  bool is_closed = failure.error == CallError::kClosed;
  lifecycle_.OnDecodeFailed(!failure.sent ? DecodeFailure::kUnreachable
                            : is_closed   ? DecodeFailure::kClosed
                                          : DecodeFailure::kBroken,
                            Now());
}

void StreamRelay::OnIdleTimeout() {
  if (lifecycle_.phase() == Phase::kPrompt) {
    LogLostRun(lifecycle_.placement().prefill->value(), "prompt_silent");
    CancelCall();
    OnPromptFailed("no answer in time", PromptFailure::kBroken);
    return;
  }
  if (lifecycle_.phase() != Phase::kDecode) return;
  LogBackendError("decode_silent", lifecycle_.placement().decode.value(),
                  "no event received");
  switch (lifecycle_.OnDecodeSilent(Now())) {
    case StreamLifecycle::SilenceVerdict::kIgnore:
      if (lifecycle_.is_streaming()) {
        idle_timer_.Arm(lifecycle_.TimeUntilStall(Now()));
      }
      return;
    case StreamLifecycle::SilenceVerdict::kEnd:
      AbandonCall("stalled");
      CancelCall();
      AbortStream("engine_stalled");
      return;
    case StreamLifecycle::SilenceVerdict::kWait:
      idle_timer_.Arm(StreamLifecycle::ResumeDelay());
      return;
    case StreamLifecycle::SilenceVerdict::kResume:
      CancelCall();
      OnDecodeBroken({CallError::kTimeout, true});
      return;
  }
}

void StreamRelay::EndCall() {
  call_ = CallId();
  idle_timer_.Cancel();
}

void StreamRelay::CancelCall() {
  if (call_.value() != 0) context().client.Cancel(call_);
  EndCall();
}

void StreamRelay::FreeHandle() {
  if (!handle_) return;
  const BackendState* engine = context().backends.Find(handle_->backend);
  if (engine != nullptr && engine->pause_ends_at > Now()) {
    // The engine asked for no requests; it drops the cache when the handle
    // expires.
    handle_.reset();
    return;
  }
  CallOptions options;
  options.timeout = kFreeTimeout;
  context().client.Start(handle_->source.engine,
                         context().protocol.FreeHandle(handle_->source.handle),
                         options, [](const CallEvent&) {});
  handle_.reset();
}

void StreamRelay::AbandonCall(absl::string_view sign) {
  if (call_.value() == 0 || context().client.IsUnsent(call_)) return;
  bool is_prompt = lifecycle_.phase() == Phase::kPrompt;
  const StreamPlacement& placement = lifecycle_.placement();
  LogLostRun((is_prompt ? *placement.prefill : placement.decode).value(), sign);
  lifecycle_.OnAbandoned(Now());
}

void StreamRelay::OnClientGone() {
  AbandonCall("client_gone");
  context().scheduler.Withdraw(admitted().id);
  CancelCall();
  FreeHandle();
  Finish("client_gone", 0,
         lifecycle_.is_streaming() ? "streaming" : "before first event");
}

void StreamRelay::OnQuarantined() { lifecycle_.RecheckQuarantine(Now()); }

bool StreamRelay::IsWaiting() const {
  return lifecycle_.phase() == Phase::kWaiting && lifecycle_.runs() == 0;
}

void StreamRelay::OnTooLateToStart(absl::Duration retry_after) {
  context().scheduler.Withdraw(admitted().id);
  FreeHandle();
  Relay::RespondWithError({503, "stopping", retry_after});
}

void StreamRelay::EndAsOpen(absl::string_view reason) {
  AbandonCall(reason);
  context().scheduler.Withdraw(admitted().id);
  bool unsent = call_.value() != 0 && context().client.IsUnsent(call_);
  CancelCall();
  FreeHandle();
  if (lifecycle_.is_streaming()) {
    AbortStream(reason);
    return;
  }
  uint32_t runs = lifecycle_.runs();
  bool never_ran = runs == 0 || (runs == 1 && unsent);
  Relay::RespondWithError({never_ran ? 503 : 504, reason});
}

}  // namespace chervilwick
