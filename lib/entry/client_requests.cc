// Clients' requests.

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
// Time after which a client may come back to an entry whose core is overloaded.
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

// The account comes from the platform's balancer or the client.
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

ClientRequests::Request& ClientRequests::Open(RequestId id, ExchangeId exchange,
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
  Request& open = Open(id, exchange, request);
  CompletionError error;
  std::optional<CompletionRequest> completion =
      ParseCompletion(kind, request.body, error);
  if (!completion) {
    OnOutcome(id,
              NotRun(400, "bad_request", error.message, absl::ZeroDuration()));
    return;
  }
  ClientStream ask;
  ask.id = id;
  ask.client = ClientOf(request.head);
  ask.model = ModelName(completion->model);
  ask.priority = PriorityOf(request.head);
  ask.prompt = completion->prompt;
  ask.prompt_tokens = EstimateTokens(completion->prompt);
  ask.max_tokens = completion->max_tokens;
  ask.deadline = DeadlineOf(request.head);
  ask.trace = open.trace;
  open.is_completion = true;
  open.prompt_tokens = ask.prompt_tokens;
  open.completion = *std::move(completion);
  open.completion.prompt.clear();  // the core has it now
  Submit(id, std::move(ask));
}

void ClientRequests::OnCall(ExchangeId exchange, const HttpRequest& request) {
  RequestId id(next_id_++);
  const Request& open = Open(id, exchange, request);
  ClientCall ask;
  ask.id = id;
  ask.client = ClientOf(request.head);
  ask.method = request.head.method;
  ask.path = request.head.target;
  ask.content_type = request.head.Get("Content-Type");
  ask.body = request.body;
  ask.idempotency_key = request.head.Get("Idempotency-Key");
  ask.deadline = DeadlineOf(request.head);
  ask.trace = open.trace;
  Submit(id, std::move(ask));
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
  gone_.push_back(id);
  OnTick();
}

void ClientRequests::OnTick() {
  while (!gone_.empty() && daemon_.Post(ClientGone{gone_.front()})) {
    gone_.pop_front();
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
  // The status is known once there is a token or an outcome.
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
    AnswerDone(request, outcome);
  } else {
    AnswerOutcome(request, outcome);
  }
  Close(id, done ? "ok" : outcome.code);
}

void ClientRequests::AnswerOutcome(const Request& request,
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

void ClientRequests::AnswerDone(const Request& request,
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
