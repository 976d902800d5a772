// HTTP interface of an entry: clients, operators, health and metrics.

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

// Joins HTTP, on a thread of its own, with the thread of the entry's core.
class HttpFront : public Service {
 public:
  explicit HttpFront(EntryDaemon& daemon);

  std::optional<std::string> Bind() { return service_.Bind(); }
  void Start() override { service_.Start(); }
  void Stop() override { service_.Stop(); }

  // ---- For the thread of the core ----

  void Deliver(RequestId id, std::vector<std::string> tokens);
  void Finish(RequestId id, RequestOutcome outcome);
  void Answer(VersionVerdict verdict);
  // Answers close their connections from now on.
  void BeginStop();
  // Calls back, on the thread of HTTP, once every answer has been taken by its
  // client and all connections have ended.
  void CloseWhenDone(std::function<void()> on_closed);

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
