// State of one streaming request in an entry.

#ifndef CHERVILWICK_ENTRY_STREAM_REQUEST_H_
#define CHERVILWICK_ENTRY_STREAM_REQUEST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/entry/entry_types.h"
#include "chervilwick/routing/prefix_index.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

enum class StreamPhase {
  kWaiting,    // in the admission queue
  kReserving,  // requesting a decode place
  kScheduled,  // place reserved; prefill not started yet
  kPrefilling,
  kDecoding,
  kEnded,  // finished or abandoned; destroyed after the event
};

// One attempt of a request at a backend server.
struct BackendAttempt {
  AttemptId id;
  BackendName backend;
  NodeName agent;
  Incarnation target;
  absl::Time started;
  absl::Time last_sent;
  absl::Time expected_end;
  uint32_t sends = 0;
};

struct StreamRequest {
  ClientStream client_request;
  Priority priority = Priority::kNormal;
  Fingerprint fingerprint;
  PrefixHashes prefixes;
  absl::Time arrived;
  absl::Time dispatched;  // last removal from the queue
  absl::Time deadline;
  absl::Time first_token_deadline;
  absl::Duration token_target;
  uint32_t pieces = 1;  // engine memory needed
  StreamPhase phase = StreamPhase::kWaiting;

  // Pools chosen for this request. Both serve the same weights.
  PoolName prefill_pool;
  PoolName decode_pool;
  std::string weights;
  VersionNumber version;  // configuration version of that choice
  std::optional<BackendAttempt> decode;
  std::optional<BackendAttempt> prefill;
  std::optional<BackendAttempt> hedge;  // second prefill
  absl::Time place_available_at;        // when the decode place becomes free
  std::string kv_params;

  // Output so far. Earlier decode attempts delivered `base_tokens` of it.
  std::string delivered;
  uint32_t delivered_tokens = 0;
  uint32_t base_tokens = 0;
  absl::Time first_token_at = absl::InfiniteFuture();
  absl::Time decode_started;
  absl::Time last_progress;
  absl::Time last_resume;      // last request for missing output
  uint32_t window_tokens = 0;  // in the current speed sample
  absl::Time window_start;
  std::map<uint32_t, std::vector<std::string>> buffered_pieces;  // by offset
  std::optional<Done> end;  // received; tokens may still be missing
  uint32_t failed_attempts = 0;
  // Work orders sent and not refused. If above zero, the request may have run.
  uint32_t open_orders = 0;

  uint32_t TokensLeft() const {
    return client_request.max_tokens > delivered_tokens
               ? client_request.max_tokens - delivered_tokens
               : 0;
  }
  uint32_t PromptTokens() const {
    return client_request.prompt_tokens + delivered_tokens;
  }
  std::string FullPrompt() const { return client_request.prompt + delivered; }
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_STREAM_REQUEST_H_
