#include "chervilwick/front/stream_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
// A place is reserved for this multiple of the estimated time to read the
// prompt and this margin.
constexpr double kReservationPrompts = 2;
constexpr absl::Duration kReservationMargin = absl::Milliseconds(400);
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

// The answers of streaming routes are events unless their head says otherwise.
bool IsEventStream(const HttpHead& head) {
  std::string type = MediaType(head);
  return type.empty() || type == kEventStream;
}

StreamTerms MakeStreamTerms(const AdmittedRequest& admitted,
                            double stall_patience) {
  StreamTerms terms;
  terms.id = admitted.id;
  terms.service = admitted.service;
  terms.content = admitted.Content();
  terms.arrived = admitted.arrived;
  terms.spent_before = admitted.spent_before;
  terms.objective = admitted.route.objective;
  terms.pause_objective = admitted.route.pause_objective;
  terms.stall_limit =
      stall_patience *
      StreamLifecycle::ClientTimeout(terms.objective, terms.pause_objective);
  terms.priority = admitted.priority;
  terms.attempts = admitted.route.attempts;
  terms.resumable = admitted.route.resumable;
  terms.is_taken_up = admitted.origin.has_value();
  if (admitted.origin) terms.software = admitted.origin->software;
  terms.reserves_place = admitted.reserves_place;
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
      held_(context.answers, [this] { GiveUpAnswer(); }),
      timer_(context.loop, [this] { lifecycle_.OnTimer(Now()); }) {}

StreamRelay::~StreamRelay() {
  StreamRelay::CancelCalls();
  lifecycle_.Close();
}

void StreamRelay::AskStart(const BackendName& engine) {
  DropStartQuery();
  start_query_ = std::make_shared<StartQuery>();
  start_query_->relay = this;
  context().ask_start(
      engine, [engine, query = start_query_,
               &context = context()](std::optional<int64_t> born_unix_ms) {
        if (query->relay != nullptr) {
          query->relay->OnStartStated(engine, born_unix_ms);
        } else if (query->origin && born_unix_ms == query->born_unix_ms) {
          context.record_origin(*query->origin);
        }
      });
}

void StreamRelay::OnStartStated(const BackendName& engine,
                                std::optional<int64_t> born_unix_ms) {
  start_query_.reset();
  const BackendState* state = context().backends.Find(engine);
  bool was_outdated = state != nullptr && state->HasOutdatedRecord();
  lifecycle_.OnStartStated(born_unix_ms, Now());
  state = context().backends.Find(engine);
  if (state != nullptr && state->HasOutdatedRecord() && !was_outdated) {
    ++context().stats.restarts_found;
    Log("server_restarted", engine.value(),
        absl::StrCat("record of ", state->record.born_unix_ms, ", started ",
                     state->stated_start_ms));
  }
  if (!is_finished()) ReleaseDecodeEvents();
}

void StreamRelay::DropStartQuery() {
  if (start_query_) start_query_->relay = nullptr;
  start_query_.reset();
}

void StreamRelay::DetachStartQuery() {
  auto start = lifecycle_.expected_start();
  if (start_query_ && lifecycle_.IsVersionPending() && start) {
    start_query_->born_unix_ms = start->born_unix_ms;
    start_query_->origin = OriginOf(start->software);
  }
  DropStartQuery();
}

StreamOrigin StreamRelay::OriginOf(const SoftwareVersion& software) const {
  return {admitted().facts.request_id, admitted().service, software};
}

void StreamRelay::OnSoftwareKnown() {
  if (!admitted().route.resumable || admitted().origin) return;
  context().record_origin(OriginOf(*lifecycle_.software()));
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

bool StreamRelay::TakeRepeat() {
  std::optional<absl::Time> taken = Relay::TakeRepeat();
  if (taken) repeats_taken_.push_back(*taken);
  return taken.has_value();
}

void StreamRelay::ReturnRepeat() {
  Relay::ReturnRepeat(repeats_taken_.back());
  repeats_taken_.pop_back();
}

bool StreamRelay::HasRepeats(uint32_t repeats) {
  return context().quota.RetriesLeft(admitted().service, Now()) >= repeats;
}

void StreamRelay::ArmTimer(absl::Duration delay) { timer_.Arm(delay); }

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
  lifecycle_.OnRefused(refusal, Now());
}

void StreamRelay::OnPlaced(const StreamPlacement& placement) {
  context().stats.queue_time[admitted().route.name].Add(placement.waited);
  const BackendState* decode = context().backends.Find(placement.decode);
  context().log.Write(
      Now(), "placed",
      {{"id", admitted().facts.request_id},
       {"first_attempt", admitted().facts.first_attempt.value_or("-")},
       {"decode", placement.decode.value()},
       {"software", decode == nullptr ? "-" : decode->record.software.value()},
       {"prefill", placement.prefill ? placement.prefill->value() : "-"},
       {"tokens", placement.memory_tokens},
       {"engine_tokens",
        decode == nullptr ? int64_t{0} : decode->Total().memory_tokens},
       {"list_age_ms", context().store_age()},
       {"waited_ms", placement.waited},
       {"prefill_ms", placement.prefill_estimate}});
  // The answer comes while the prompt is read. A send to an engine that can't
  // continue the stream would be one of few.
  if (placement.prefill && lifecycle_.software()) {
    context().check_engine(placement.decode);
  }
  lifecycle_.OnPlaced(placement, Now());
}

void StreamRelay::Call(EngineCall& call, const BackendState& engine,
                       const ForwardOptions& forward, size_t max_body_bytes,
                       CallHandler handler) {
  call = EngineCall();
  CountHeld(engine.record.id);
  call.started = Now();
  call.id = CallEngine(engine.record.endpoint, forward, max_body_bytes,
                       std::move(handler));
}

void StreamRelay::ReservePlace(const BackendName& engine,
                               int64_t memory_tokens) {
  const EngineTraits* traits = context().engine_traits(admitted().service);
  absl::Duration longest = traits == nullptr
                               ? EngineTraits().longest_reservation
                               : traits->longest_reservation;
  absl::Duration lifetime =
      std::min(longest, kReservationMargin +
                            kReservationPrompts *
                                lifecycle_.placement().prefill_estimate);
  reservation_call_ = EngineCall();
  reservation_call_.id = context().client.Start(
      context().backends.Find(engine)->record.endpoint,
      context().protocol.ReservePlace(engine, memory_tokens, lifetime),
      CallOptions(), [this, engine](CallEvent event) {
        OnReservationEvent(engine, std::move(event));
      });
}

void StreamRelay::OnReservationEvent(const BackendName& engine,
                                     CallEvent event) {
  std::visit(
      Overloaded{
          [&](HttpHead& head) {
            reservation_call_.head = std::move(head);
            context().RecordAnswer(engine, context().protocol.ParseResponse(
                                               reservation_call_.head));
          },
          [&](HttpBodyPart& part) {
            absl::StrAppend(&reservation_call_.body, part.bytes);
          },
          [&](HttpEnd&) { OnReservationEnd(engine); },
          [&](CallFailure& failure) {
            OnReservationFailed(engine, failure.sent
                                            ? ReservationFailure::kBroken
                                            : ReservationFailure::kUnreachable);
          },
      },
      event);
}

void StreamRelay::OnReservationEnd(const BackendName& engine) {
  reservation_call_.id = CallId();
  int status = reservation_call_.head.status;
  std::optional<std::string> id =
      context().protocol.ParseReservation(reservation_call_.body);
  if (status == kOk && id) {
    reservation_ = {engine, *id};
    ++context().stats.reservations;
    lifecycle_.OnPlaceReserved(Now());
    return;
  }
  OnReservationFailed(engine, status == kServiceUnavailable
                                  ? ReservationFailure::kRefused
                                  : ReservationFailure::kBroken);
}

void StreamRelay::OnReservationFailed(const BackendName& engine,
                                      ReservationFailure why) {
  reservation_call_.id = CallId();
  LogBackendError(why == ReservationFailure::kRefused ? "place_refused"
                                                      : "reservation_failed",
                  engine.value(),
                  absl::StrCat("status ", reservation_call_.head.status));
  lifecycle_.OnReservationFailed(why, Now());
}

void StreamRelay::DropReservation() {
  Cancel(reservation_call_);
  if (!reservation_) return;
  const BackendState* engine = context().backends.Find(reservation_->engine);
  bool is_quiet = engine != nullptr && engine->pause_ends_at > Now();
  if (engine != nullptr && !is_quiet) {
    CallOptions options;
    options.timeout = kFreeTimeout;
    context().client.Start(engine->record.endpoint,
                           context().protocol.DropReservation(reservation_->id),
                           options, [](const CallEvent&) {});
  }
  ++context().stats.reservations_dropped;
  reservation_.reset();
}

void StreamRelay::SendPrompt(const BackendName& engine) {
  ForwardOptions forward;
  forward.expected = engine;
  forward.remaining = ClientRemaining();
  forward.prefill_only = true;
  Call(prompt_call_, *context().backends.Find(engine), forward,
       kMaxBufferedAnswerBytes,
       [this](CallEvent event) { OnPromptEvent(std::move(event)); });
}

void StreamRelay::OnPromptEvent(CallEvent event) {
  std::visit(Overloaded{
                 [&](HttpHead& head) {
                   LogAnswerHead(lifecycle_.prompt_engine().value(), head);
                   prompt_call_.head = std::move(head);
                   context().RecordAnswer(
                       lifecycle_.prompt_engine(),
                       context().protocol.ParseResponse(prompt_call_.head));
                 },
                 [&](HttpBodyPart& part) {
                   absl::StrAppend(&prompt_call_.body, part.bytes);
                   CountHeld(lifecycle_.prompt_engine());
                 },
                 [&](HttpEnd&) { OnPromptEnd(); },
                 [&](CallFailure& failure) {
                   if (failure.sent) {
                     LogLostRun(
                         lifecycle_.prompt_engine().value(),
                         absl::StrCat("prompt_", CallErrorText(failure.error)));
                   }
                   bool is_closed = IsClosedByServer(failure.error);
                   OnPromptFailed("connection failed",
                                  !failure.sent ? PromptFailure::kUnreachable
                                  : is_closed   ? PromptFailure::kClosed
                                                : PromptFailure::kBroken);
                 },
             },
             event);
}

void StreamRelay::OnPromptEnd() {
  prompt_call_.id = CallId();
  const HttpHead& head = prompt_call_.head;
  std::optional<std::string> handle =
      context().protocol.ParseHandle(prompt_call_.body);
  if (head.status != kOk || !handle) {
    bool is_refused = context().protocol.ParseResponse(head).is_not_run;
    OnPromptFailed("engine refused", is_refused ? PromptFailure::kRefused
                                                : PromptFailure::kBroken);
    return;
  }
  const BackendState* engine =
      context().backends.Find(lifecycle_.prompt_engine());
  if (engine == nullptr) {
    OnPromptFailed("engine no longer listed", PromptFailure::kBroken);
    return;
  }
  context().stats.prompt_time.Add(Now() - prompt_call_.started);
  handle_ = {engine->record.id, {engine->record.endpoint, *handle}};
  lifecycle_.OnPromptRead(Now());
}

void StreamRelay::OnPromptFailed(absl::string_view why, PromptFailure kind) {
  prompt_call_.id = CallId();
  LogBackendError("prefill_failed", lifecycle_.prompt_engine().value(), why);
  lifecycle_.OnPromptFailed(kind, Now());
}

void StreamRelay::SendDecode(const BackendName& engine, bool with_handle) {
  ForwardOptions forward;
  forward.expected = engine;
  forward.remaining = ClientRemaining();
  if (with_handle && handle_) forward.kv_source = handle_->source;
  if (reservation_ && reservation_->engine == engine) {
    forward.reservation = reservation_->id;
    reservation_.reset();
  }
  forward.resume_after =
      events_.last_id() ? events_.last_id() : admitted().facts.last_event;
  // The first run of a response is forwarded as the engine sends it.
  events_.BeginRun(lifecycle_.is_streaming() ? forward.resume_after
                                             : std::nullopt);
  if (lifecycle_.is_streaming()) {
    Log("resumed", engine.value(),
        absl::StrCat("after event ", forward.resume_after.value_or(0)));
  }
  DropStartQuery();
  Call(decode_call_, *context().backends.Find(engine), forward,
       CallOptions::kNoBodyLimit,
       [this](CallEvent event) { OnDecodeEvent(std::move(event)); });
}

void StreamRelay::HoldDecodeEvent(const CallEvent& event) {
  const auto* part = std::get_if<HttpBodyPart>(&event);
  if (part == nullptr) {
    decode_call_.has_ended_held = true;
    return;
  }
  absl::StrAppend(&decode_call_.held, part->bytes);
  CountHeld(lifecycle_.decode_engine());
  if (decode_call_.held.size() > kMaxBufferedAnswerBytes) {
    OnInvalidAnswer("too long");
  }
}

void StreamRelay::ReleaseDecodeEvents() {
  if (!decode_call_.is_held || !lifecycle_.IsRunCertain()) return;
  CallId call = decode_call_.id;
  std::string bytes = std::exchange(decode_call_.held, "");
  bool has_ended = decode_call_.has_ended_held;
  decode_call_.is_held = false;
  BeginOutput();
  if (!bytes.empty()) OnDecodeBytes(bytes);
  // The bytes may have ended the call.
  if (has_ended && decode_call_.id == call && !is_finished()) OnDecodeEnd();
}

void StreamRelay::OnDecodeEvent(CallEvent event) {
  bool is_failure = std::holds_alternative<CallFailure>(event);
  if (decode_call_.is_held && !is_failure) {
    HoldDecodeEvent(event);
    return;
  }
  std::visit(Overloaded{
                 [&](HttpHead& head) { OnDecodeHead(std::move(head)); },
                 [&](HttpBodyPart& part) { OnDecodeBytes(part.bytes); },
                 [&](HttpEnd&) { OnDecodeEnd(); },
                 [&](CallFailure& failure) { OnDecodeBroken(failure); },
             },
             event);
}

void StreamRelay::OnDecodeHead(HttpHead head) {
  const BackendName& engine = lifecycle_.decode_engine();
  ResponseMetadata facts = context().protocol.ParseResponse(head);
  context().RecordAnswer(engine, facts);
  LogAnswerHead(engine.value(), head);
  decode_call_.head = std::move(head);
  int status = decode_call_.head.status;
  if (!IsSuccess(status) || !facts.has_server_stamp) return;
  if (lifecycle_.is_streaming() && !ContinuesStream(decode_call_.head)) {
    OnInvalidAnswer("resumed run is not an event stream");
    return;
  }
  handle_.reset();
  lifecycle_.OnAnswered(Now());
  decode_call_.is_held = !lifecycle_.IsRunCertain();
  if (!decode_call_.is_held) BeginOutput();
}

void StreamRelay::BeginOutput() {
  bool is_first = !lifecycle_.is_streaming();
  lifecycle_.OnStreaming(Now());
  // A resumed stream keeps the response head of the first engine.
  if (!is_first) return;
  MarkOutput();
  stream_head_ = decode_call_.head;
  context().stats.first_event[admitted().route.name].Add(Elapsed());
  Log("streaming", lifecycle_.decode_engine().value(), "head received");
  context().server->BeginStream(
      admitted().id, decode_call_.head.status,
      context().protocol.ForwardedFields(decode_call_.head));
}

void StreamRelay::OnDecodeBytes(absl::string_view bytes) {
  const HttpHead& head = decode_call_.head;
  ResponseMetadata facts = context().protocol.ParseResponse(head);
  if (!IsSuccess(head.status) || !facts.has_server_stamp) {
    absl::StrAppend(&decode_call_.body, bytes);
    CountHeld(lifecycle_.decode_engine());
    if (decode_call_.body.size() > kMaxBufferedAnswerBytes) {
      OnInvalidAnswer("too long");
    }
    return;
  }
  uint64_t before = events_.events();
  context().server->SendStream(admitted().id, events_.Append(bytes));
  CountHeld(lifecycle_.decode_engine());
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
  lifecycle_.OnProgress(Now());
}

bool StreamRelay::ContinuesStream(const HttpHead& head) const {
  return head.status == stream_head_.status &&
         MediaType(head) == MediaType(stream_head_) &&
         IsEventStream(stream_head_);
}

absl::string_view StreamRelay::FindBreak(const HttpHead& head) const {
  if (events_.IsResumedRunEmpty()) return "resumed run without an event";
  bool is_declared = MediaType(stream_head_) == kEventStream;
  if (is_declared && events_.HasPartialEvent()) return "ended inside an event";
  if (!head.ends_with_connection || !IsEventStream(stream_head_)) return "";
  if (events_.HasPartialEvent()) return "ended inside an event";
  if (!events_.UnfinishedLine().empty()) return "ended inside a line";
  // A client that has seen all events may ask for the rest.
  bool may_be_empty = admitted().facts.last_event.has_value();
  return events_.HasRunEvents() || may_be_empty ? "" : "ended without an event";
}

void StreamRelay::OnInvalidAnswer(absl::string_view why) {
  LogBackendError("decode_invalid", lifecycle_.decode_engine().value(), why);
  Cancel(decode_call_);
  OnDecodeBroken({CallError::kMalformed, true});
}

void StreamRelay::CountHeld(const BackendName& engine) {
  held_.Hold(engine, prompt_call_.body.size() + decode_call_.body.size() +
                         decode_call_.held.size() + events_.held_bytes());
}

void StreamRelay::GiveUpAnswer() {
  bool is_prompt = prompt_call_.body.size() > decode_call_.body.size() +
                                                  decode_call_.held.size() +
                                                  events_.held_bytes();
  EngineCall& call = is_prompt ? prompt_call_ : decode_call_;
  const std::string& engine =
      (is_prompt ? lifecycle_.prompt_engine() : lifecycle_.decode_engine())
          .value();
  ++context().stats.answers_given_up;
  Log("answer_given_up", engine,
      absl::StrCat(call.body.size() + events_.held_bytes(), " bytes held"));
  call.body = std::string();
  if (!is_prompt) events_.DropPartialEvent();
  if (call.id.value() == 0) return;
  if (!is_prompt) {
    OnInvalidAnswer("no memory for the answer");
    return;
  }
  LogLostRun(engine, "prompt_malformed");
  Cancel(prompt_call_);
  OnPromptFailed("no memory for the answer", PromptFailure::kBroken);
}

void StreamRelay::OnDecodeEnd() {
  decode_call_.id = CallId();
  const std::string& engine = lifecycle_.decode_engine().value();
  const HttpHead& head = decode_call_.head;
  ResponseMetadata facts = context().protocol.ParseResponse(head);
  if (facts.is_not_run) {
    LogBackendError("decode_refused", engine,
                    facts.is_wrong_server
                        ? "other server or stage at this address"
                    : handle_ ? "full or KV cache of the prompt gone"
                              : "full");
    lifecycle_.OnDecodeRefused(facts.is_wrong_server, Now());
    return;
  }
  if (!IsSuccess(head.status)) {
    if (lifecycle_.is_streaming()) {
      AbortStream("resumed run failed");
      return;
    }
    HttpResponse response{head.status, context().protocol.ForwardedFields(head),
                          decode_call_.body};
    context().server->Respond(admitted().id, response);
    Finish("answered", head.status, engine);
    return;
  }
  if (!facts.has_server_stamp) {
    OnDecodeBroken({CallError::kMalformed, true});
    return;
  }
  absl::string_view fault = FindBreak(head);
  if (!fault.empty()) {
    OnInvalidAnswer(fault);
    return;
  }
  context().server->SendStream(admitted().id, events_.TakeRemainder());
  context().server->EndStream(admitted().id);
  lifecycle_.OnCompleted(Now());
  Finish("answered", head.status, engine);
}

void StreamRelay::OnDecodeBroken(const CallFailure& failure) {
  Cancel(decode_call_);
  const std::string& engine = lifecycle_.decode_engine().value();
  if (failure.sent) LogLostRun(engine, CallErrorText(failure.error));
  LogBackendError("decode_broke_off", engine,
                  failure.sent ? "response incomplete" : "request not sent");
  bool is_closed = IsClosedByServer(failure.error);
  lifecycle_.OnDecodeFailed(!failure.sent ? DecodeFailure::kUnreachable
                            : is_closed   ? DecodeFailure::kClosed
                                          : DecodeFailure::kBroken,
                            Now());
}

void StreamRelay::OnSilent(StreamStage stage, const BackendName& engine) {
  bool is_prompt = stage == StreamStage::kPrompt;
  LogBackendError(is_prompt ? "prompt_silent" : "decode_silent", engine.value(),
                  is_prompt ? "no answer in time" : "no event received");
}

void StreamRelay::OnReplacement(ReplacementStep step,
                                absl::string_view reason) {
  const std::string& engine =
      (lifecycle_.phase() == Phase::kPrompt ? lifecycle_.prompt_engine()
                                            : lifecycle_.decode_engine())
          .value();
  switch (step) {
    case ReplacementStep::kSought:
      Log("replacement_sought", engine, "");
      return;
    case ReplacementStep::kRefused:
      if (reason == ReasonText(StreamRefusalReason::kNoRetryBudget)) {
        ++context().stats.quota_refusals;
      }
      Log("replacement_refused", engine, reason);
      return;
    case ReplacementStep::kWithdrawn:
      Log("replacement_withdrawn", engine, reason);
      return;
  }
}

bool StreamRelay::WasSent(const EngineCall& call) const {
  return call.id.value() != 0 && !context().client.IsUnsent(call.id);
}

bool StreamRelay::CancelPrompt(absl::string_view sign) {
  const std::string& engine = lifecycle_.prompt_engine().value();
  bool was_sent = WasSent(prompt_call_);
  if (was_sent) LogLostRun(engine, sign);
  Cancel(prompt_call_);
  return was_sent;
}

bool StreamRelay::CancelDecode(absl::string_view sign) {
  const std::string& engine = lifecycle_.decode_engine().value();
  bool was_sent = WasSent(decode_call_);
  if (was_sent) LogLostRun(engine, sign);
  Cancel(decode_call_);
  return was_sent;
}

void StreamRelay::Cancel(EngineCall& call) {
  if (call.id.value() != 0) context().client.Cancel(call.id);
  call.id = CallId();
  call.is_held = false;
  call.held.clear();
}

void StreamRelay::CancelCalls() {
  DetachStartQuery();
  DropReservation();
  Cancel(prompt_call_);
  Cancel(decode_call_);
  timer_.Cancel();
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

void StreamRelay::AbandonCalls(absl::string_view sign) {
  if (WasSent(prompt_call_)) {
    LogLostRun(lifecycle_.prompt_engine().value(), sign);
    lifecycle_.OnAbandoned(StreamStage::kPrompt, Now());
  }
  if (WasSent(decode_call_)) {
    LogLostRun(lifecycle_.decode_engine().value(), sign);
    lifecycle_.OnAbandoned(StreamStage::kDecode, Now());
  }
}

void StreamRelay::OnClientGone() {
  AbandonCalls("client_gone");
  context().scheduler.Withdraw(admitted().id);
  CancelCalls();
  FreeHandle();
  Finish("client_gone", 0,
         lifecycle_.is_streaming() ? "streaming" : "before first event");
}

void StreamRelay::OnQuarantined() { lifecycle_.RecheckQuarantine(Now()); }

bool StreamRelay::IsEndPending() const {
  return context().client.IsEndPending(decode_call_.id);
}

bool StreamRelay::IsWaiting() const {
  return lifecycle_.phase() == Phase::kWaiting && lifecycle_.runs() == 0;
}

void StreamRelay::OnTooLateToStart(absl::Duration retry_after) {
  context().scheduler.Withdraw(admitted().id);
  FreeHandle();
  Relay::RespondWithError({503, "stopping", retry_after});
}

void StreamRelay::OnKeyRevoked() {
  lifecycle_.SetMayRunAgain(false);
  if (lifecycle_.runs() > 0) return;
  AbandonCalls("key_revoked");
  context().scheduler.Withdraw(admitted().id);
  CancelCalls();
  FreeHandle();
  Relay::RespondWithError({401, "key_revoked"});
}

void StreamRelay::OnKeyRestored() { lifecycle_.SetMayRunAgain(true); }

void StreamRelay::EndAsOpen(absl::string_view reason) {
  AbandonCalls(reason);
  context().scheduler.Withdraw(admitted().id);
  bool unsent = decode_call_.id.value() != 0 && !WasSent(decode_call_);
  CancelCalls();
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
