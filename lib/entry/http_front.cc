// HTTP server of an entry.

#include "chervilwick/entry/http_front.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "absl/strings/match.h"
#include "chervilwick/entry/entry_daemon.h"
#include "chervilwick/entry/outcomes.h"

namespace chervilwick {
namespace {

// Interval at which verdict time-outs, disconnects not yet reported to the core
// and the end of a shutdown are checked.
constexpr absl::Duration kTickInterval = absl::Milliseconds(20);

HttpServerLimits LimitsOf(const EntrySettings& settings) {
  HttpServerLimits limits;
  limits.max_connections = settings.max_connections;
  limits.max_body_bytes = settings.max_body_bytes;
  limits.max_buffered_bytes =
      std::max(limits.max_buffered_bytes, limits.max_body_bytes);
  return limits;
}

HttpResponse TextResponse(int status, std::string text) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
}

HttpResponse RenderRejection(int status) {
  const char* code = status == 413   ? "body_too_large"
                     : status == 503 ? "overloaded"
                                     : "bad_request";
  RequestOutcome outcome =
      NotRun(status, code,
             "the HTTP request is malformed, not supported or exceeds a limit",
             status == 503 ? absl::Seconds(1) : absl::ZeroDuration());
  return {
      status, {{"Content-Type", "application/json"}}, ErrorBody(outcome, "")};
}

bool IsAllowedMethod(const std::string& method) {
  return method == "GET" || method == "POST" || method == "PUT" ||
         method == "DELETE";
}

}  // namespace

HttpFront::HttpFront(EntryDaemon& daemon)
    : daemon_(daemon),
      service_(daemon.settings().http, LimitsOf(daemon.settings()),
               {[this](ExchangeId id, const Endpoint& /*client*/,
                       const HttpRequest& request) { OnRequest(id, request); },
                [this](ExchangeId id) { clients_.OnClientGone(id); }}),
      clients_(daemon, service_.server()),
      admin_(daemon, service_.server()) {
  service_.server().SetRejectionRenderer(RenderRejection);
  service_.loop().Every(kTickInterval, [this] { OnTick(); });
}

void HttpFront::Deliver(RequestId id, std::vector<std::string> tokens) {
  service_.Post([this, id, tokens = std::move(tokens)] {
    clients_.OnTokens(id, tokens);
  });
}

void HttpFront::Finish(RequestId id, RequestOutcome outcome) {
  service_.Post([this, id, outcome = std::move(outcome)] {
    clients_.OnOutcome(id, outcome);
  });
}

void HttpFront::RespondVerdict(VersionResult verdict) {
  service_.Post(
      [this, verdict = std::move(verdict)] { admin_.OnVerdict(verdict); });
}

void HttpFront::BeginStop() {
  service_.Post([this] { service_.server().CloseAfterAnswers(); });
}

void HttpFront::CloseWhenDone(std::function<void()> on_closed) {
  service_.Post([this, on_closed = std::move(on_closed)] {
    service_.server().StopListening();
    on_closed_ = on_closed;
  });
}

void HttpFront::EndOpenRequests() {
  service_.Post([this] {
    clients_.EndAll();
    admin_.OnTick(absl::InfiniteFuture());
  });
}

void HttpFront::OnRequest(ExchangeId id, const HttpRequest& request) {
  const std::string& method = request.head.method;
  HttpTarget target = HttpTarget::Parse(request.head.target);
  if (!IsAllowedMethod(method)) {
    service_.server().Respond(id, RenderRejection(405));
    return;
  }
  bool get = method == "GET";
  if (get && target.path == "/healthz") {
    service_.server().Respond(id, TextResponse(200, "ok\n"));
  } else if (get && target.path == "/readyz") {
    std::string reason = daemon_.ReadStatus().not_ready_reason;
    service_.server().Respond(id, reason.empty()
                                      ? TextResponse(200, "ready\n")
                                      : TextResponse(503, reason + "\n"));
  } else if (get && target.path == "/metrics") {
    std::string text =
        daemon_.RenderEntryMetrics(service_.server().stalled_clients());
    service_.server().Respond(
        id, {200, {{"Content-Type", "text/plain; version=0.0.4"}}, text});
  } else if (absl::StartsWith(target.path, "/admin/")) {
    admin_.OnRequest(id, target, request);
  } else if (method == "POST" && target.path == "/v1/completions") {
    clients_.OnCompletion(id, request, CompletionKind::kText);
  } else if (method == "POST" && target.path == "/v1/chat/completions") {
    clients_.OnCompletion(id, request, CompletionKind::kChat);
  } else {
    clients_.OnCall(id, request);
  }
}

void HttpFront::OnTick() {
  clients_.OnTick();
  admin_.OnTick(absl::Now());
  if (!on_closed_ || clients_.open_count() + admin_.open_count() != 0) return;
  service_.server().CloseIdle();
  if (service_.server().open_connections() == 0) {
    std::exchange(on_closed_, nullptr)();
  }
}

}  // namespace chervilwick
