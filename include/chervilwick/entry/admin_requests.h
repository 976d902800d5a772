// Administrative HTTP API of an entry, under /admin.

#ifndef CHERVILWICK_ENTRY_ADMIN_REQUESTS_H_
#define CHERVILWICK_ENTRY_ADMIN_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "chervilwick/config/version_store.h"
#include "chervilwick/net/http_server.h"
#include "chervilwick/net/http_target.h"

namespace chervilwick {

class EntryDaemon;

// Serves configuration versions, status and traces. Runs on the HTTP thread.
class AdminRequests {
 public:
  AdminRequests(EntryDaemon& daemon, EventHttpServer& server);

  void OnRequest(ExchangeId exchange, const HttpTarget& target,
                 const HttpRequest& request);
  void OnVerdict(const VersionResult& verdict);
  // Answers the requests whose wait for a verdict has timed out.
  void OnTick(absl::Time now);

  size_t open_count() const { return pending_.size(); }

 private:
  struct PendingRequest {
    ExchangeId exchange;
    PatchId patch_id;
    absl::Time deadline;
  };

  void OnPatch(ExchangeId exchange, const std::string& body);
  void OnRetreat(ExchangeId exchange, const std::string& body);
  void OnMark(ExchangeId exchange, const std::string& body);
  void OnShow(ExchangeId exchange, const std::string& version);
  void OnHistory(ExchangeId exchange);
  void OnStatus(ExchangeId exchange);

  // Posts the request to the core. The exchange is answered with its verdict.
  void SubmitVersionRequest(ExchangeId exchange, VersionRequest request);
  void RespondVerdict(const PendingRequest& pending,
                      const VersionResult& verdict);
  void Respond(ExchangeId exchange, int status, const std::string& body);
  void RespondBadRequest(ExchangeId exchange, const std::string& message);

  EntryDaemon& daemon_;
  EventHttpServer& server_;
  uint64_t next_id_ = 1;
  absl::btree_map<uint64_t, PendingRequest> pending_;  // by request id
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_ADMIN_REQUESTS_H_
