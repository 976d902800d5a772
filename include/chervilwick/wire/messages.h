// Typed messages between the system's own processes.

#ifndef CHERVILWICK_WIRE_MESSAGES_H_
#define CHERVILWICK_WIRE_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "chervilwick/support/ids.h"
#include "chervilwick/wire/archive.h"

// Declares the cereal member that reads and writes the listed fields.
#define CHERVILWICK_FIELDS(...)                   \
  template <typename Archive>                     \
  void serialize(Archive& archive) { /* NOLINT */ \
    archive(__VA_ARGS__);                         \
  }

namespace chervilwick {

enum class NodeRole : uint8_t { kEntry, kAgent, kLast = kAgent };

// What a backend server is asked to do in one attempt.
enum class WorkKind : uint8_t { kPrefill, kDecode, kPlain, kLast = kPlain };

// Priority classes, most urgent first.
enum class Priority : uint8_t { kUrgent, kNormal, kBatch, kLast = kBatch };

// Why an agent did not run an attempt. Each of them implies "not run".
enum class RefusalReason : uint8_t {
  kStaleVersion,
  kDraining,
  kNoPlace,
  kNoMemory,
  kQueueTooLong,
  kWrongIncarnation,
  kWrongRole,
  kEngineNotReady,
  kReservationExpired,
  kFenced,
  kForgotten,
  kCrashSuspect,
  kLast = kCrashSuspect
};

const char* RefusalReasonName(RefusalReason reason);

// How an attempt that ran has ended.
enum class WorkStatus : uint8_t {
  kOk,
  kEngineFailed,
  kEngineCrashed,
  kCancelled,
  kLeaseExpired,
  kDeadlineExceeded,
  kPreempted,
  kNotSent,  // the engine took no connection: it did not run
  kLast = kNotSent
};

// Answer to "may this attempt still run?".
enum class FenceState : uint8_t {
  kNeverRan,
  kRunning,
  kFinished,
  kUnknown,
  kLast = kUnknown
};

// Load of one backend server as counted by its agent.
struct LoadReport {
  uint32_t places_total = 0;
  uint32_t places_used = 0;   // running and reserved
  uint32_t pieces_total = 0;  // engine memory, in pieces
  uint32_t pieces_used = 0;
  uint32_t queue_us = 0;         // predicted time until the queue is empty
  uint32_t urgent_queue_us = 0;  // the same for what is ahead of urgent work
  uint32_t next_free_us = 0;     // predicted time until a place is free
  uint32_t token_us = 0;         // recent time per generated token
  uint32_t prefill_ns_per_token = 0;
  uint32_t running = 0;
  uint32_t preemptible = 0;  // running work that an urgent request may stop
  bool ready = false;        // engine is up and reconciled to the version
  bool leaving = false;
  CHERVILWICK_FIELDS(places_total, places_used, pieces_total, pieces_used,
                     queue_us, urgent_queue_us, next_free_us, token_us,
                     prefill_ns_per_token, running, preemptible, ready, leaving)
};

// First message in both directions on a new connection.
struct Hello {
  NodeRole role = NodeRole::kEntry;
  ZoneName zone;
  std::string address;  // "ip:port" at which the sender listens
  BackendName backend;  // empty for entries
  CHERVILWICK_FIELDS(role, zone, address, backend)
};

// One crash of a backend server with the requests that it was running.
struct CrashReport {
  uint64_t crash_id = 0;  // random, the same wherever it is reported
  uint32_t age_ms = 0;
  List<Fingerprint> running;
  CHERVILWICK_FIELDS(crash_id, age_ms, running)
};

// Sent on every connection in both directions. From an entry it renews the
// leases of the attempts that it lists.
struct Heartbeat {
  bool leaving = false;
  std::optional<LoadReport> load;
  List<AttemptId> active;
  List<CrashReport> crashes;
  CHERVILWICK_FIELDS(leaving, load, active, crashes)
};

// Asks a decode backend server to hold a place and memory.
struct Reserve {
  AttemptId attempt;
  uint32_t pieces = 0;
  uint32_t needed_in_ms = 0;   // when the place will be used, at the earliest
  uint32_t max_wait_ms = 0;    // how much later it may become free
  uint32_t hold_ms = 0;        // expiry after the place is free
  uint32_t output_tokens = 0;  // upper bound
  Priority priority = Priority::kNormal;
  bool may_preempt = false;  // batch work may be stopped for it
  Incarnation target;
  Fingerprint fingerprint;
  CHERVILWICK_FIELDS(attempt, pieces, needed_in_ms, max_wait_ms, hold_ms,
                     output_tokens, priority, may_preempt, target, fingerprint)
};

struct Reserved {
  AttemptId attempt;
  uint32_t available_in_ms = 0;  // when the place will be free
  LoadReport load;
  CHERVILWICK_FIELDS(attempt, available_in_ms, load)
};

// Orders the work. Sent again unchanged when no answer came.
struct StartWork {
  AttemptId attempt;
  WorkKind kind = WorkKind::kPlain;
  Priority priority = Priority::kNormal;
  Incarnation target;
  Fingerprint fingerprint;
  bool idempotent = true;
  uint32_t deadline_ms = 0;  // time left when the message was sent
  std::string model;
  std::string prompt;  // prompt, or body of a plain call
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;  // upper bound
  uint32_t pieces = 0;
  std::string kv_params;  // JSON from the prefill, for decode
  std::string method;     // plain calls
  std::string path;
  std::string content_type;
  std::string trace;  // W3C traceparent
  CHERVILWICK_FIELDS(attempt, kind, priority, target, fingerprint, idempotent,
                     deadline_ms, model, prompt, prompt_tokens, output_tokens,
                     pieces, kv_params, method, path, content_type, trace)
};

// The attempt did not run and never will.
struct Refused {
  AttemptId attempt;
  RefusalReason reason = RefusalReason::kNoPlace;
  uint32_t retry_after_ms = 0;
  LoadReport load;
  CHERVILWICK_FIELDS(attempt, reason, retry_after_ms, load)
};

// A prefill was queued: when the agent expects it to end.
struct Accepted {
  AttemptId attempt;
  uint32_t expected_in_ms = 0;
  LoadReport load;
  CHERVILWICK_FIELDS(attempt, expected_in_ms, load)
};

// Tokens [offset, offset + tokens) of an attempt's output.
struct Piece {
  AttemptId attempt;
  uint32_t offset = 0;
  List<std::string> tokens;
  CHERVILWICK_FIELDS(attempt, offset, tokens)
};

// End of an attempt that ran.
struct Done {
  AttemptId attempt;
  WorkStatus status = WorkStatus::kOk;
  uint32_t total_tokens = 0;  // pieces before this offset belong to it
  uint32_t prefix_hit_tokens = 0;
  std::string kv_params;      // prefill
  std::string finish_reason;  // decode
  uint32_t http_status = 0;   // plain
  std::string content_type;
  std::string body;
  LoadReport load;
  CHERVILWICK_FIELDS(attempt, status, total_tokens, prefix_hit_tokens,
                     kv_params, finish_reason, http_status, content_type, body,
                     load)
};

// Asks for output from `next_offset` on, or for the final message.
struct Resume {
  AttemptId attempt;
  uint32_t next_offset = 0;
  CHERVILWICK_FIELDS(attempt, next_offset)
};

// The caller is gone or has its answer: stop, free the memory, forget.
struct Release {
  AttemptId attempt;
  CHERVILWICK_FIELDS(attempt)
};

// Forbids an attempt that has not run yet and asks what became of it.
struct Fence {
  AttemptId attempt;
  Incarnation target;
  CHERVILWICK_FIELDS(attempt, target)
};

struct FenceResult {
  AttemptId attempt;
  FenceState state = FenceState::kUnknown;
  CHERVILWICK_FIELDS(attempt, state)
};

// The agent has no record of the attempt.
struct UnknownAttempt {
  AttemptId attempt;
  CHERVILWICK_FIELDS(attempt)
};

// Asks a peer for the versions after `have`.
struct ConfigPull {
  VersionNumber have;
  CHERVILWICK_FIELDS(have)
};

// One accepted version. `patch` turns the content of number - 1 into this one.
struct VersionRecord {
  VersionNumber number;
  PatchId patch_id;
  std::string author;
  std::string reason;
  int64_t accepted_unix_ms = 0;
  std::string patch;          // RFC 7396 JSON; empty in a full record
  std::string content;        // JSON; empty in a delta
  uint64_t content_hash = 0;  // of the content that results
  CHERVILWICK_FIELDS(number, patch_id, author, reason, accepted_unix_ms, patch,
                     content, content_hash)
};

// Deltas after `base`, or a full record first when `base` is zero.
struct ConfigPush {
  VersionNumber base;
  List<VersionRecord> records;
  CHERVILWICK_FIELDS(base, records)
};

using Message =
    std::variant<Hello, Heartbeat, Reserve, Reserved, StartWork, Refused,
                 Accepted, Piece, Done, Resume, Release, Fence, FenceResult,
                 UnknownAttempt, ConfigPull, ConfigPush>;

// What travels on a connection: a message with its sender and the sender's
// version in force.
struct Envelope {
  NodeName from;
  Incarnation incarnation;
  VersionNumber version;
  Message message;
  CHERVILWICK_FIELDS(from, incarnation, version, message)
};

}  // namespace chervilwick

#endif  // CHERVILWICK_WIRE_MESSAGES_H_
