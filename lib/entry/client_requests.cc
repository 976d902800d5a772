// Client requests.

#include "chervilwick/entry/client_requests.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "chervilwick/entry/entry_daemon.h"
#include "chervilwick/entry/outcomes.h"
#include "chervilwick/support/random_seed.h"

namespace chervilwick {
namespace {

constexpr char kJson[] = "application/json";
constexpr char kRequestIdHeader[] = "X-Request-Id";
constexpr char kTraceHeader[] = "traceparent";
constexpr int kOk = 200;
// Retry-After for clients of an entry whose core is overloaded.
constexpr absl::Duration kOverloadRetryAfter = absl::Seconds(1);

std::string TraceOf(const HttpHead& head) {
  std::string trace = head.Get(kTraceHeader);
  if (!TraceIdOf(trace).empty()) return trace;
  return absl::StrFormat("00-%016x%016x-%016x-01", DrawNonZero(), DrawNonZero(),
                         DrawNonZero());
}

absl::Duration DeadlineOf(const HttpHead& head) {
  int64_t ms = 0;
  bool given = absl::SimpleAtoi(head.Get("X-Deadline-Ms"), &ms);
  return given && ms > 0 ? absl::Milliseconds(ms) : absl::InfiniteDuration();
}

Priority PriorityOf(const HttpHead& head) {
  std::string name = head.Get("X-Priority");
  if (name == "batch") return Priority::kBatch;
  if (name == "normal") return Priority::kNormal;
  return Priority::kUrgent;
}

// The client account is set by the platform's load balancer or by the client.
ClientName ClientOf(const HttpHead& head) {
  std::string name = head.Get("X-Client");
  return ClientName(name.empty() ? "anonymous" : name);
}

std::string JoinTokens(const std::vector<std::string>& tokens) {
  std::string text;
  for (const std::string& it : tokens) text += it;
  return text;
}

}  // namespace

ClientRequests::ClientRequests(EntryDaemon& daemon, EventHttpServer& server)
    : daemon_(daemon), server_(server) {}

ClientRequests::Request& ClientRequests::Register(RequestId id,
                                                  ExchangeId exchange,
                                                  const HttpRequest& request) {
  Request& open = requests_[id];
  open.exchange = exchange;
  open.name = absl::StrCat(daemon_.settings().name, "-", id.value());
  open.trace = TraceOf(request.head);
  open.arrived = absl::Now();
  by_exchange_[exchange] = id;
  return open;
}

void ClientRequests::OnCompletion(ExchangeId exchange,
                                  const HttpRequest& request,
                                  CompletionKind kind) {
  RequestId id(next_id_++);
  Request& open = Register(id, exchange, request);
  CompletionError error;
  std::optional<CompletionRequest> completion =
      ParseCompletion(kind, request.body, error);
  if (!completion) {
    OnOutcome(id,
              NotRun(400, "bad_request", error.message, absl::ZeroDuration()));
    return;
  }
  ClientStream stream;
  stream.id = id;
  stream.client = ClientOf(request.head);
  stream.model = ModelName(completion->model);
  stream.priority = PriorityOf(request.head);
  stream.prompt = completion->prompt;
  stream.prompt_tokens = EstimateTokens(completion->prompt);
  stream.max_tokens = completion->max_tokens;
  stream.deadline = DeadlineOf(request.head);
  stream.trace = open.trace;
  open.is_completion = true;
  open.prompt_tokens = stream.prompt_tokens;
  open.completion = *std::move(completion);
  open.completion.prompt.clear();  // the core has its own copy
  Submit(id, std::move(stream));
}

void ClientRequests::OnCall(ExchangeId exchange, const HttpRequest& request) {
  RequestId id(next_id_++);
  const Request& open = Register(id, exchange, request);
  ClientCall call;
  call.id = id;
  call.client = ClientOf(request.head);
  call.method = request.head.method;
  call.path = request.head.target;
  call.content_type = request.head.Get("Content-Type");
  call.body = request.body;
  call.idempotency_key = request.head.Get("Idempotency-Key");
  call.deadline = DeadlineOf(request.head);
  call.trace = open.trace;
  Submit(id, std::move(call));
}

void ClientRequests::Submit(RequestId id, EntryEvent event) {
  if (daemon_.Post(std::move(event))) return;
  OnOutcome(id, NotRun(503, "overloaded", "this entry is overloaded",
                       kOverloadRetryAfter));
}

void ClientRequests::OnClientGone(ExchangeId exchange) {
  auto it = by_exchange_.find(exchange);
  if (it == by_exchange_.end()) return;
  RequestId id = it->second;
  Close(id, "gone");
  disconnected_.push_back(id);
  OnTick();
}

void ClientRequests::OnTick() {
  while (!disconnected_.empty() &&
         daemon_.Post(ClientGone{disconnected_.front()})) {
    disconnected_.pop_front();
  }
}

void ClientRequests::OnTokens(RequestId id,
                              const std::vector<std::string>& tokens) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  request.tokens += static_cast<uint32_t>(tokens.size());
  std::string text = JoinTokens(tokens);
  if (!request.completion.stream) {
    request.text += text;
    return;
  }
  SendText(request, text);
}

void ClientRequests::SendText(Request& request, const std::string& text) {
  // The header is delayed until the first token or the outcome, since the
  // status is not known before.
  if (!request.streaming) {
    request.streaming = true;
    server_.BeginStream(request.exchange, kOk,
                        {{"Content-Type", "text/event-stream"},
                         {"Cache-Control", "no-store"},
                         {kRequestIdHeader, request.name},
                         {kTraceHeader, request.trace}});
  }
  if (text.empty()) return;
  server_.SendStream(request.exchange,
                     CompletionChunk(request.completion.kind, request.name,
                                     request.completion.model, text));
}

void ClientRequests::OnOutcome(RequestId id, const RequestOutcome& outcome) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  bool done = outcome.run == RunState::kDone;
  if (done && request.completion.stream) SendText(request, "");
  if (request.streaming) {
    const CompletionRequest& completion = request.completion;
    server_.SendStream(
        request.exchange,
        done
            ? CompletionEnd(completion.kind, request.name, completion.model,
                            outcome.finish_reason)
            : absl::StrCat("data: ", ErrorBody(outcome, request.name), "\n\n"));
    server_.EndStream(request.exchange);
  } else if (done) {
    RespondSuccess(request, outcome);
  } else {
    RespondFailure(request, outcome);
  }
  Close(id, done ? "ok" : outcome.code);
}

void ClientRequests::EndAll() {
  std::vector<RequestId> open;
  for (const auto& it : requests_) open.push_back(it.first);
  for (RequestId it : open) {
    OnOutcome(it, UnknownOutcome("this entry stopped before the outcome"));
  }
}

void ClientRequests::RespondFailure(const Request& request,
                                    const RequestOutcome& outcome) {
  HttpResponse answer;
  answer.status = outcome.http_status;
  answer.fields = {{kRequestIdHeader, request.name}, {"Content-Type", kJson}};
  if (outcome.retry_after > absl::ZeroDuration()) {
    int64_t seconds =
        std::max<int64_t>(1, absl::ToInt64Seconds(outcome.retry_after));
    answer.fields.push_back({"Retry-After", absl::StrCat(seconds)});
  }
  answer.body = ErrorBody(outcome, request.name);
  server_.Respond(request.exchange, answer);
}

void ClientRequests::RespondSuccess(const Request& request,
                                    const RequestOutcome& outcome) {
  HttpResponse answer;
  answer.fields = {{kRequestIdHeader, request.name},
                   {kTraceHeader, request.trace}};
  if (request.is_completion) {
    answer.status = kOk;
    answer.fields.push_back({"Content-Type", kJson});
    answer.body = CompletionBody(request.completion.kind, request.name,
                                 request.completion.model, request.text,
                                 outcome.finish_reason, request.prompt_tokens,
                                 request.tokens);
  } else {
    answer.status = outcome.http_status;
    if (!outcome.code.empty()) {
      answer.fields.push_back({"X-Code", outcome.code});
    }
    answer.fields.push_back(
        {"Content-Type", outcome.content_type.empty()
                             ? std::string("application/octet-stream")
                             : outcome.content_type});
    answer.body = outcome.body;
  }
  server_.Respond(request.exchange, answer);
}

void ClientRequests::Close(RequestId id, const std::string& result) {
  auto it = requests_.find(id);
  SpanEnded span;
  span.trace = it->second.trace;
  span.name = "entry.request";
  span.result = result;
  span.start = it->second.arrived;
  span.end = absl::Now();
  daemon_.RecordSpan(span);
  by_exchange_.erase(it->second.exchange);
  requests_.erase(it);
}

}  // namespace chervilwick
