// Events that EntryCore processes and the actions that it returns.

#ifndef CHERVILWICK_ENTRY_ENTRY_TYPES_H_
#define CHERVILWICK_ENTRY_ENTRY_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/config/version_store.h"
#include "chervilwick/limits/admission_queue.h"
#include "chervilwick/routing/policy.h"
#include "chervilwick/store/host_list.h"
#include "chervilwick/store/kv.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/telemetry/span.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

// ---- Events ----

// A client's streaming request to a model.
struct ClientStream {
  RequestId id;
  ClientName client;
  ModelName model;
  Priority priority = Priority::kUrgent;  // can only lower the model's priority
  std::string prompt;
  uint32_t prompt_tokens = 0;  // estimate
  uint32_t max_tokens = 0;
  absl::Duration deadline = absl::InfiniteDuration();  // capped at the model's
  std::string trace;                                   // W3C traceparent
};

// A client's call to a service other than a model.
struct ClientCall {
  RequestId id;
  ClientName client;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::string idempotency_key;  // may be empty
  absl::Duration deadline = absl::InfiniteDuration();
  std::string trace;
};

struct ClientGone {
  RequestId id;
};
struct EntryMessageReceived {
  Envelope envelope;
};
// Component that issued a store call.
enum class StoreUser : uint8_t { kVersions, kClaims };
struct StoreReplied {
  StoreUser user = StoreUser::kVersions;
  KvReply reply;
};
struct OperatorRequestReceived {
  VersionRequest request;
};
struct HostListRead {
  std::vector<HostRecord> hosts;
};
struct EntryStopRequested {};
struct EntryTick {};

using EntryEvent =
    std::variant<ClientStream, ClientCall, ClientGone, EntryMessageReceived,
                 StoreReplied, OperatorRequestReceived, HostListRead,
                 EntryStopRequested, EntryTick>;

// ---- Actions ----

// Whether a request was executed, as far as the entry knows.
enum class RunState : uint8_t { kNotRun, kUnknown, kFailed, kDone };

const char* RunStateName(RunState run);

// Final result of a client request.
struct RequestOutcome {
  RunState run = RunState::kNotRun;
  int http_status = 503;
  std::string code;  // stable, machine-readable; empty on success
  std::string message;
  absl::Duration retry_after = absl::ZeroDuration();  // zero: not sent
  std::string finish_reason;                          // streams only
  std::string content_type;                           // service calls only
  std::string body;
};

struct SendToPeer {
  NodeName to;
  Message message;
};
struct DeliverTokens {
  RequestId id;
  std::vector<std::string> tokens;
};
struct FinishRequest {
  RequestId id;
  RequestOutcome outcome;
};
struct CallStore {
  StoreUser user = StoreUser::kVersions;
  KvCall call;
};
struct AnswerOperator {
  VersionResult verdict;
};
// Replaces the set of addresses to stay connected to.
struct SetPeers {
  std::vector<std::string> addresses;
};
struct EntryDrained {};

using EntryAction =
    std::variant<SendToPeer, DeliverTokens, FinishRequest, CallStore,
                 AnswerOperator, SetPeers, SpanEnded, EntryDrained>;

struct EntryOptions {
  NodeName name;
  Incarnation incarnation;
  ZoneName zone;
  std::string address;
  uint64_t seed = 1;
  size_t subset_size = 24;  // agents per pool
  size_t readers_per_zone = 2;
  uint32_t max_output_tokens = 16384;
  absl::Duration poll_interval = absl::Milliseconds(500);
  absl::Duration heartbeat_interval = absl::Seconds(1);
  RoutingPolicy policy = PredictivePolicy{};
  VersionStoreOptions versions;
};

// Counters of one entry.
struct EntryStats {
  uint64_t streams = 0;
  uint64_t calls = 0;
  uint64_t completed_requests = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t unknown_outcomes = 0;
  uint64_t client_gone = 0;
  uint64_t retries = 0;
  uint64_t resumed_streams = 0;
  uint64_t hedges = 0;
  uint64_t preempted = 0;
  uint64_t prefills_started = 0;
  uint64_t prefills_wasted = 0;
  uint64_t reservations = 0;
  uint64_t reservations_refused = 0;
  uint64_t stale_version_refusals = 0;
  uint64_t resume_requests = 0;
  uint64_t tokens = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_ENTRY_TYPES_H_
