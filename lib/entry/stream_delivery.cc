// Delivery of stream output in order, without gaps or duplicates.

#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/entry/stream_flow.h"

namespace chervilwick {
namespace {

constexpr size_t kMaxBufferedPieces = 256;
constexpr uint32_t kSampleTokens = 8;
constexpr absl::Duration kSampleTime = absl::Milliseconds(200);
constexpr absl::Duration kGapResumeInterval = absl::Milliseconds(50);

}  // namespace

bool StreamFlow::On(const Piece& message, absl::Time now) {
  StreamRequest* request = Find(message.attempt);
  if (request == nullptr) return false;
  bool current = request->phase == StreamPhase::kDecoding && request->decode &&
                 request->decode->id == message.attempt;
  if (current) Deliver(*request, message, now);
  return true;
}

void StreamFlow::Deliver(StreamRequest& request, const Piece& piece,
                         absl::Time now) {
  uint32_t next = request.delivered_tokens - request.base_tokens;
  uint32_t end =
      piece.offset + static_cast<uint32_t>(piece.tokens.items.size());
  if (end <= next) return;
  if (piece.offset > next) {
    if (request.buffered_pieces.size() < kMaxBufferedPieces) {
      request.buffered_pieces[piece.offset] = piece.tokens.items;
    }
    if (now - request.last_resume >= kGapResumeInterval) {
      request.last_resume = now;
      ++context_.stats.resume_requests;
      context_.Send(request.decode->agent, Resume{request.decode->id, next});
    }
    return;
  }
  std::vector<std::string> new_tokens(
      piece.tokens.items.begin() + (next - piece.offset),
      piece.tokens.items.end());
  if (request.first_token_at == absl::InfiniteFuture()) {
    request.first_token_at = now;
    RecordFirstToken(request, now);
  }
  ObserveTokens(request, new_tokens.size(), now);
  for (const std::string& it : new_tokens) request.delivered += it;
  request.delivered_tokens += static_cast<uint32_t>(new_tokens.size());
  request.last_progress = now;
  context_.stats.tokens += new_tokens.size();
  context_.Act(DeliverTokens{request.client_request.id, std::move(new_tokens)});
  DeliverBufferedPieces(request, now);
  if (request.phase == StreamPhase::kEnded) return;
  TryComplete(request, now);
}

void StreamFlow::DeliverBufferedPieces(StreamRequest& request, absl::Time now) {
  if (request.buffered_pieces.empty()) return;
  auto it = request.buffered_pieces.begin();
  if (it->first > request.delivered_tokens - request.base_tokens) return;
  Piece piece;
  piece.attempt = request.decode->id;
  piece.offset = it->first;
  piece.tokens.items = std::move(it->second);
  request.buffered_pieces.erase(it);
  Deliver(request, piece, now);
  // Deliver returns early, without draining the buffer, if the piece holds no
  // new token.
  if (request.phase != StreamPhase::kEnded) DeliverBufferedPieces(request, now);
}

void StreamFlow::ObserveTokens(StreamRequest& request, size_t tokens,
                               absl::Time now) {
  if (request.window_tokens == 0 &&
      request.delivered_tokens == request.base_tokens) {
    // The time before the first piece includes the wait for the decode place,
    // so it is left out of the sample.
    request.window_start = now;
    return;
  }
  request.window_tokens += static_cast<uint32_t>(tokens);
  absl::Duration elapsed = now - request.window_start;
  if (request.window_tokens < kSampleTokens && elapsed < kSampleTime) return;
  const auto& pools = context_.config.setup().pools;
  auto pool = pools.find(request.decode_pool);
  Backend* backend = context_.directory.Find(request.decode->backend);
  if (pool != pools.end() && backend != nullptr &&
      IsPredictive(context_.policy)) {
    context_.directory.ObserveTokenTime(
        *backend, pool->second, elapsed / request.window_tokens,
        context_.config.setup().limits.max_ejected_percent, now);
  }
  request.window_start = now;
  request.window_tokens = 0;
}

void StreamFlow::TryComplete(StreamRequest& request, absl::Time now) {
  if (!request.end) return;
  uint32_t have = request.delivered_tokens - request.base_tokens;
  if (have < request.end->total_tokens) {
    request.last_resume = now;
    ++context_.stats.resume_requests;
    context_.Send(request.decode->agent, Resume{request.decode->id, have});
    return;
  }
  RecordSpan(request, "entry.decode", request.decode->backend, "ok",
             request.decode_started, now);
  context_.crashes.ClearSuspect(request.fingerprint);
  PoolHealth& health = context_.health[request.decode_pool];
  ++health.ok;
  if (request.first_token_at > request.first_token_deadline) ++health.late;
  RequestOutcome outcome;
  outcome.run = RunState::kDone;
  outcome.http_status = 200;
  outcome.finish_reason = request.end->finish_reason;
  Finish(request, std::move(outcome));
}

}  // namespace chervilwick
