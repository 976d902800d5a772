// Operators' requests to an entry, under /admin.

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

// Runs on the thread of HTTP: configuration versions, status, traces.
class AdminRequests {
 public:
  AdminRequests(EntryDaemon& daemon, EventHttpServer& server);

  void OnRequest(ExchangeId exchange, const HttpTarget& target,
                 const HttpRequest& request);
  void OnVerdict(const VersionVerdict& verdict);
  // Answers what has waited too long for a verdict.
  void OnTick(absl::Time now);

  size_t open() const { return waiting_.size(); }

 private:
  struct Waiting {
    ExchangeId exchange;
    PatchId patch_id;
    absl::Time deadline;
  };

  void OnPatch(ExchangeId exchange, const std::string& body);
  void OnRetreat(ExchangeId exchange, const std::string& body);
  void OnMark(ExchangeId exchange, const std::string& body);
  void OnShow(ExchangeId exchange, const std::string& wanted);
  void OnHistory(ExchangeId exchange);
  void OnStatus(ExchangeId exchange);

  // Hands the request to the core; its verdict answers the exchange.
  void Ask(ExchangeId exchange, VersionRequest request);
  void AnswerVerdict(const Waiting& waiting, const VersionVerdict& verdict);
  void Respond(ExchangeId exchange, int status, const std::string& body);
  void Refuse(ExchangeId exchange, const std::string& message);

  EntryDaemon& daemon_;
  EventHttpServer& server_;
  uint64_t next_id_ = 1;
  absl::btree_map<uint64_t, Waiting> waiting_;  // by the request's id
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_ADMIN_REQUESTS_H_
