// HTTP server of an entry: client requests, administration, health checks and
// metrics.

#ifndef CHERVILWICK_ENTRY_HTTP_FRONT_H_
#define CHERVILWICK_ENTRY_HTTP_FRONT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chervilwick/entry/admin_requests.h"
#include "chervilwick/entry/client_requests.h"
#include "chervilwick/kernel/kernel.h"
#include "chervilwick/net/http_service.h"

namespace chervilwick {

class EntryDaemon;

// Runs HTTP on a thread of its own and exchanges requests and results with the
// core's thread.
class HttpFront : public Service {
 public:
  explicit HttpFront(EntryDaemon& daemon);

  std::optional<std::string> Bind() { return service_.Bind(); }
  void Start() override { service_.Start(); }
  void Stop() override { service_.Stop(); }

  // ---- Called on the core's thread ----

  void Deliver(RequestId id, std::vector<std::string> tokens);
  void Finish(RequestId id, RequestOutcome outcome);
  void RespondVerdict(VersionResult verdict);
  // From now on, connections are closed after their response.
  void BeginStop();
  // Stops listening. Calls `on_closed` on the HTTP thread once all requests
  // have been answered and all connections are closed.
  void CloseWhenDone(std::function<void()> on_closed);
  // Answers the open requests: their outcome is unknown.
  void EndOpenRequests();

 private:
  void OnRequest(ExchangeId id, const HttpRequest& request);
  void OnTick();

  EntryDaemon& daemon_;
  HttpService service_;
  ClientRequests clients_;
  AdminRequests admin_;
  std::function<void()> on_closed_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_HTTP_FRONT_H_
