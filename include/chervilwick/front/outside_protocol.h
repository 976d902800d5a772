// How the front speaks with clients, backend servers and the store, without the
// names on the wire. One implementation for each kind of deployment.

#ifndef CHERVILWICK_FRONT_OUTSIDE_PROTOCOL_H_
#define CHERVILWICK_FRONT_OUTSIDE_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_record.h"
#include "chervilwick/dispatch/crash_suspects.h"
#include "chervilwick/dispatch/route_table.h"
#include "chervilwick/net/http_message.h"

namespace chervilwick {

// What a client says of its request besides what it asks for.
struct RequestFacts {
  std::string request_id;
  std::optional<absl::Duration> deadline;  // how long the client waits
  std::optional<uint64_t> last_event;      // resume after this event
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  std::optional<uint32_t> output_hint;  // the client's estimate, in tokens
};

// Load that a backend server tells with an answer.
struct ServerLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // How long work takes on its host now; 100 is the usual time.
  uint32_t time_percent = 100;
};

// What an answer says of itself.
struct AnswerFacts {
  std::string request_id;
  bool is_engines_own = false;   // proves that a backend server made it
  bool is_not_run = false;       // the request did not run and won't
  bool is_wrong_server = false;  // it is not the backend server that was meant
  bool is_leaving = false;       // the server takes its leave
  // A server that turned the request away wants none for so long.
  std::optional<absl::Duration> quiet_for;
  std::optional<ServerLoad> load;
};

// Where a decoding engine takes a prompt's KV cache from.
struct KvSource {
  Endpoint engine;
  std::string handle;
};

// How a request is sent on.
struct ForwardOptions {
  BackendName expected;  // any other backend server refuses
  absl::Duration remaining;
  bool prefill_only = false;
  std::optional<KvSource> kv_source;
  std::optional<uint64_t> resume_after;  // id of the last event delivered
};

// Item of the store as it was written, or its removal.
struct StoreItem {
  std::string key;
  std::string value;
  uint64_t revision = 0;
  bool removed = false;
};

struct StorePage {
  std::vector<StoreItem> items;
  uint64_t revision = 0;  // of the store as a whole
  bool has_more = false;
};

// What an item of the store means.
struct BackendRemoved {
  BackendName id;
};
struct MalformedItem {
  std::string reason;
};
struct UnrelatedItem {};
// Who gives orders to engines; nobody where the holder is empty.
struct StageDutyHolder {
  std::string holder;
};
using StoreFact =
    std::variant<UnrelatedItem, MalformedItem, BackendRecord, BackendRemoved,
                 RouteTable, StageDutyHolder, BrokenRun>;

// Part of the store that is read at start.
enum class StoreSection { kConfiguration, kBackends, kBrokenRuns };

class OutsideProtocol {
 public:
  virtual ~OutsideProtocol() = default;

  virtual RequestFacts ReadRequest(const HttpHead& head) const = 0;
  virtual AnswerFacts ReadAnswer(const HttpHead& head) const = 0;
  virtual HttpRequest Forward(const HttpRequest& request,
                              const ForwardOptions& options) const = 0;
  // Fields of an answer that go to the client.
  virtual std::vector<HttpField> AnswerFields(const HttpHead& head) const = 0;
  virtual HttpField RequestIdField(const std::string& id) const = 0;
  virtual HttpField RetryAfter(absl::Duration delay) const = 0;
  virtual absl::string_view ReadinessPath() const = 0;

  // Handle of a prompt that has been read, from the answer's body.
  virtual std::optional<std::string> ReadHandle(
      absl::string_view body) const = 0;
  virtual HttpRequest FreeHandle(const std::string& handle) const = 0;

  virtual HttpRequest ReadStore(StoreSection section,
                                const std::string& after_key) const = 0;
  virtual HttpRequest WatchStore(uint64_t after_revision,
                                 absl::Duration wait) const = 0;
  virtual std::optional<StorePage> ReadPage(absl::string_view body) const = 0;
  virtual std::optional<StorePage> ReadWatch(absl::string_view body) const = 0;
  virtual StoreFact ReadItem(const StoreItem& item) const = 0;

  virtual HttpRequest GrantLease(absl::Duration lifetime) const = 0;
  virtual std::optional<std::string> ReadLease(
      absl::string_view body) const = 0;
  virtual HttpRequest KeepLease(const std::string& lease) const = 0;
  // Makes the key of the duty if nobody holds it.
  virtual HttpRequest ClaimStageDuty(const std::string& holder,
                                     const std::string& lease) const = 0;
  // Writes one key each; their ages are not kept.
  virtual HttpRequest RecordBrokenRuns(const std::vector<BrokenRun>& runs,
                                       const std::string& lease) const = 0;
  virtual std::optional<uint64_t> ReadRevision(
      absl::string_view body) const = 0;
  virtual HttpRequest StageOrder(const BackendName& expected, EngineStage stage,
                                 const std::string& holder,
                                 uint64_t fence) const = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_OUTSIDE_PROTOCOL_H_
