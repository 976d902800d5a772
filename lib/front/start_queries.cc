// Questions to backend servers about their current start.

#include "chervilwick/front/start_queries.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(200);
constexpr absl::Duration kTimeout = absl::Milliseconds(400);
constexpr absl::Duration kRetryDelay = absl::Milliseconds(60);
constexpr int kMaxTries = 3;
constexpr size_t kMaxBodyBytes = size_t{64} << 10;
constexpr int kOk = 200;

}  // namespace

void StartQueries::Ask(const BackendName& backend, Done done) {
  auto [it, is_new] = queries_.try_emplace(backend);
  Query& query = it->second;
  // A call that waits to be sent again is later than the question.
  (query.is_open ? query.next : query.asked).push_back(std::move(done));
  if (is_new) Send(backend);
}

void StartQueries::SendAgain() {
  is_retry_armed_ = false;
  std::vector<BackendName> due;
  for (const auto& it : queries_) {
    if (!it.second.is_open) due.push_back(it.first);
  }
  for (const BackendName& it : due) Send(it);
}

void StartQueries::Send(const BackendName& backend) {
  Query& query = queries_.at(backend);
  query.is_open = true;
  query.status = 0;
  query.body.clear();
  ++query.tries;
  const BackendState* server = context_.backends.Find(backend);
  if (server == nullptr) {
    OnFailed(backend);
    return;
  }
  CallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.timeout = kTimeout;
  options.max_body_bytes = kMaxBodyBytes;
  context_.client.Start(
      server->record.endpoint, context_.protocol.ReadServerState(backend),
      options,
      [this, backend](CallEvent event) { OnEvent(backend, std::move(event)); });
}

void StartQueries::OnEvent(const BackendName& backend, CallEvent event) {
  Query& query = queries_.at(backend);
  std::visit(
      Overloaded{
          [&](HttpHead& head) { query.status = head.status; },
          [&](HttpBodyPart& part) { absl::StrAppend(&query.body, part.bytes); },
          [&](HttpEnd&) {
            if (query.status == kOk) {
              Finish(backend, context_.protocol.ParseStart(query.body));
            } else {
              OnFailed(backend);
            }
          },
          [&](CallFailure&) { OnFailed(backend); },
      },
      event);
}

void StartQueries::OnFailed(const BackendName& backend) {
  Query& query = queries_.at(backend);
  if (query.tries >= kMaxTries) {
    Finish(backend, std::nullopt);
    return;
  }
  query.is_open = false;
  // Later failures must not delay the calls that wait already.
  if (!std::exchange(is_retry_armed_, true)) retry_.Arm(kRetryDelay);
}

void StartQueries::Finish(const BackendName& backend,
                          std::optional<int64_t> born_unix_ms) {
  ++context_.stats.start_queries[born_unix_ms ? "stated" : "failed"];
  Query& query = queries_.at(backend);
  std::vector<Done> done = std::move(query.asked);
  query.asked = std::exchange(query.next, {});
  query.tries = 0;
  if (query.asked.empty()) {
    queries_.erase(backend);
  } else {
    Send(backend);
  }
  for (const Done& it : done) it(born_unix_ms);
}

}  // namespace chervilwick
