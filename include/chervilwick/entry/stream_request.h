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
  kReserving,  // asks for a decode place
  kScheduled,  // has a place; the prefill starts in time for it
  kPrefilling,
  kDecoding,
  kEnded,  // answered or given up; destroyed after the event
};

// One attempt of a request at a backend server.
struct Leg {
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
  ClientStream ask;
  Priority priority = Priority::kNormal;
  Fingerprint fingerprint;
  PrefixHashes prefixes;
  absl::Time arrived;
  absl::Time dispatched;  // left the queue for the last time
  absl::Time deadline;
  absl::Time first_token_by;
  absl::Duration token_target;
  uint32_t pieces = 1;  // engine memory
  StreamPhase phase = StreamPhase::kWaiting;

  // Pair in use. Both pools hold the same weights.
  PoolName prefill_pool;
  PoolName decode_pool;
  std::string weights;
  VersionNumber version;  // that the pair was chosen under
  std::optional<Leg> decode;
  std::optional<Leg> prefill;
  std::optional<Leg> hedge;  // second prefill
  absl::Time place_at;       // when the decode place is free
  std::string kv_params;

  // Output so far. `base` tokens were delivered by earlier decode attempts.
  std::string delivered;
  uint32_t delivered_tokens = 0;
  uint32_t base = 0;
  absl::Time first_token_at = absl::InfiniteFuture();
  absl::Time decode_started;
  absl::Time last_progress;
  absl::Time last_resume;      // when missing output was last asked for
  uint32_t window_tokens = 0;  // of the speed sample under way
  absl::Time window_start;
  std::map<uint32_t, std::vector<std::string>> held_back;  // by offset
  std::optional<Done> end;  // arrived, but tokens are missing
  uint32_t tries = 0;
  // Orders to run that were not refused; above zero, it may have run.
  uint32_t open_orders = 0;

  uint32_t TokensLeft() const {
    return ask.max_tokens > delivered_tokens ? ask.max_tokens - delivered_tokens
                                             : 0;
  }
  uint32_t PromptTokens() const { return ask.prompt_tokens + delivered_tokens; }
  std::string FullPrompt() const { return ask.prompt + delivered; }
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_STREAM_REQUEST_H_
