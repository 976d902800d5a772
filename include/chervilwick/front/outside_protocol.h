// Interface between the front and the wire formats of clients, backend servers
// and the store. There is one implementation for each kind of deployment.

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
#include "chervilwick/front/store_revision.h"
#include "chervilwick/net/http_message.h"

namespace chervilwick {

// Metadata that a client sends in the header fields of a request.
struct RequestMetadata {
  std::string request_id;
  std::optional<absl::Duration> deadline;  // relative to its arrival
  std::optional<uint64_t> last_event;      // resume after this event
  // Attempt of the client that brought the first event of the stream which this
  // one resumes.
  std::optional<std::string> first_attempt;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  std::optional<uint32_t> output_hint;  // client's estimate, in tokens
  // Ids of the parts of the prompt that other requests may share, in order.
  std::vector<std::string> shared_parts;

  // Sum of the token counts; 0 if the client sent none.
  uint64_t TotalTokens() const {
    return uint64_t{prompt_tokens} + max_output_tokens;
  }
};

// Load that a backend server reports in a response.
struct ServerLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // Current duration of work on the server's host, in percent of the normal
  // one.
  uint32_t time_percent = 100;
};

// Metadata in the status and the header fields of a response.
struct ResponseMetadata {
  std::string request_id;
  bool has_server_stamp = false;  // carries a stamp of the backend server
  bool is_not_run = false;        // the request did not run and will not run
  // The responding server is not the one that the request was addressed to.
  bool is_wrong_server = false;
  bool is_leaving = false;  // the server is shutting down
  // Time for which a server that refused the request wants no further ones.
  std::optional<absl::Duration> retry_delay;
  std::optional<ServerLoad> load;
};

// Source from which a decode engine fetches the KV cache of a prompt.
struct KvSource {
  Endpoint engine;
  std::string handle;
};

// Parameters for forwarding a request to a backend server.
struct ForwardOptions {
  BackendName expected;  // any other backend server refuses it
  absl::Duration remaining;
  bool prefill_only = false;
  std::optional<KvSource> kv_source;
  std::optional<uint64_t> resume_after;  // id of the last event delivered
  std::optional<std::string> reservation;
  std::optional<int> priority;  // at the engine; 0 is the most urgent
  // Set if the configuration holds accounts: the client's credentials are
  // removed and the account is named. Empty for a request without an account.
  std::optional<AccountName> account;
};

// A stored item with its raw value, or the removal of an item.
struct StoreItem {
  std::string key;
  std::string value;
  uint64_t revision = 0;
  bool removed = false;
};

struct StorePage {
  std::vector<StoreItem> items;
  uint64_t revision = 0;  // of the whole store
  bool has_more = false;
};

// Where the stream of a client attempt began.
struct StreamOrigin {
  std::string attempt;  // id of the attempt that brought its first event
  ServiceName service;
  SoftwareVersion software;

  friend bool operator==(const StreamOrigin& a, const StreamOrigin& b) {
    return a.attempt == b.attempt && a.service == b.service &&
           a.software == b.software;
  }
};

// Parsed forms of a store item.
struct BackendRemoved {
  BackendName id;
};
struct MalformedItem {
  std::string reason;
  // Server that the item would have named. It is not to be used.
  std::optional<BackendName> backend = std::nullopt;
};
struct UnrelatedItem {};
// The front that sends stage orders to engines; empty if there is none.
struct StageDutyHolder {
  std::string holder;
};
using ParsedStoreItem =
    std::variant<UnrelatedItem, MalformedItem, BackendRecord, BackendRemoved,
                 RouteTable, StageDutyHolder, CrashedRun, StreamOrigin>;

// Part of the store that is read at startup.
enum class StoreSection { kConfiguration, kBackends, kBrokenRuns };

class ExternalProtocol {
 public:
  virtual ~ExternalProtocol() = default;

  virtual RequestMetadata ParseRequest(const HttpHead& head) const = 0;
  virtual Credentials ParseCredentials(const HttpHead& head) const = 0;
  virtual ResponseMetadata ParseResponse(const HttpHead& head) const = 0;
  virtual HttpRequest Forward(const HttpRequest& request,
                              const ForwardOptions& options) const = 0;
  // Fields of a response that are forwarded to the client.
  virtual std::vector<HttpField> ForwardedFields(
      const HttpHead& head) const = 0;
  virtual HttpField RequestIdField(const std::string& id) const = 0;
  virtual HttpField RetryAfter(absl::Duration delay) const = 0;
  virtual absl::string_view ReadinessPath() const = 0;

  // Extracts the KV handle of a completed prefill from the response body.
  virtual std::optional<std::string> ParseHandle(
      absl::string_view body) const = 0;
  virtual HttpRequest FreeHandle(const std::string& handle) const = 0;
  // Reserves a place and memory at a decode engine.
  virtual HttpRequest ReservePlace(const BackendName& expected,
                                   int64_t memory_tokens,
                                   absl::Duration lifetime) const = 0;
  // Extracts the reservation from the response body.
  virtual std::optional<std::string> ParseReservation(
      absl::string_view body) const = 0;
  virtual HttpRequest DropReservation(const std::string& reservation) const = 0;

  // Asks a backend server for its state.
  virtual HttpRequest ReadServerState(const BackendName& expected) const = 0;
  // When the server started, in Unix milliseconds, from the answer; 0 if it
  // doesn't say.
  virtual int64_t ParseStart(absl::string_view body) const = 0;

  virtual HttpRequest ReadStore(StoreSection section,
                                const std::string& after_key) const = 0;
  virtual HttpRequest WatchStore(uint64_t after_revision,
                                 absl::Duration wait) const = 0;
  // Era that the head of a store's answer states; nullopt if it states none.
  virtual std::optional<StoreEra> ParseStoreEra(const HttpHead& head) const = 0;
  virtual std::optional<StorePage> ParsePage(absl::string_view body) const = 0;
  virtual std::optional<StorePage> ParseWatch(absl::string_view body) const = 0;
  virtual ParsedStoreItem ParseItem(const StoreItem& item) const = 0;
  // Whether a front has to act on a change of the item within its time limits.
  virtual bool IsUrgent(const StoreItem& item) const = 0;
  // Replaces each key of an account by its digest, which ParseItem reads like
  // the key. Returns other items unchanged.
  virtual StoreItem WithoutSecrets(StoreItem item) const = 0;

  virtual HttpRequest GrantLease(absl::Duration lifetime) const = 0;
  virtual std::optional<std::string> ParseLease(
      absl::string_view body) const = 0;
  virtual HttpRequest RenewLease(const std::string& lease) const = 0;
  // Creates the key of the stage duty if it does not exist.
  virtual HttpRequest ClaimStageDuty(const std::string& holder,
                                     const std::string& lease) const = 0;
  // Writes one key for each run; the ages of runs are not stored.
  virtual HttpRequest RecordBrokenRuns(const std::vector<CrashedRun>& runs,
                                       const std::string& lease) const = 0;
  // Writes one key for each stream.
  virtual HttpRequest RecordStreamOrigins(
      const std::vector<StreamOrigin>& origins,
      const std::string& lease) const = 0;
  virtual HttpRequest ReadStreamOrigin(const std::string& attempt) const = 0;
  // Parses the answer to ReadStreamOrigin(); nullopt if it holds no record.
  virtual std::optional<StreamOrigin> ParseStreamOrigin(
      absl::string_view body) const = 0;
  virtual std::optional<uint64_t> ParseRevision(
      absl::string_view body) const = 0;
  virtual HttpRequest StageOrder(const BackendName& expected, EngineStage stage,
                                 const std::string& holder,
                                 uint64_t fence) const = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_OUTSIDE_PROTOCOL_H_
