// Client requests of an entry: parsing, submission to the core and responses.

#ifndef CHERVILWICK_ENTRY_CLIENT_REQUESTS_H_
#define CHERVILWICK_ENTRY_CLIENT_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "chervilwick/entry/completion_api.h"
#include "chervilwick/entry/entry_types.h"
#include "chervilwick/net/http_server.h"

namespace chervilwick {

class EntryDaemon;

// Posts requests to the core and writes the tokens and outcomes that it
// reports. Runs on the HTTP thread.
class ClientRequests {
 public:
  ClientRequests(EntryDaemon& daemon, EventHttpServer& server);

  void OnCompletion(ExchangeId exchange, const HttpRequest& request,
                    CompletionKind kind);
  void OnCall(ExchangeId exchange, const HttpRequest& request);
  void OnClientGone(ExchangeId exchange);

  void OnTokens(RequestId id, const std::vector<std::string>& tokens);
  void OnOutcome(RequestId id, const RequestOutcome& outcome);
  // Ends all requests; whether they ran is unknown.
  void EndAll();
  // Reports disconnects to the core that its full queue could not take before.
  void OnTick();

  size_t open_count() const { return requests_.size(); }

 private:
  struct Request {
    ExchangeId exchange;
    std::string name;   // request id shown to the client
    std::string trace;  // W3C traceparent
    absl::Time arrived;
    bool is_completion = false;
    CompletionRequest completion;
    uint32_t prompt_tokens = 0;
    bool streaming = false;  // the response header has been sent
    std::string text;        // body of a response that is not streamed
    uint32_t tokens = 0;
  };

  Request& Register(RequestId id, ExchangeId exchange,
                    const HttpRequest& request);
  void Submit(RequestId id, EntryEvent event);
  void SendText(Request& request, const std::string& text);
  void RespondFailure(const Request& request, const RequestOutcome& outcome);
  void RespondSuccess(const Request& request, const RequestOutcome& outcome);
  void Close(RequestId id, const std::string& result);

  EntryDaemon& daemon_;
  EventHttpServer& server_;
  uint64_t next_id_ = 1;
  absl::flat_hash_map<RequestId, Request> requests_;
  absl::flat_hash_map<ExchangeId, RequestId> by_exchange_;
  std::deque<RequestId> disconnected_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_CLIENT_REQUESTS_H_
