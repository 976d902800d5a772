// Clients' requests to an entry, from their HTTP form to their answers.

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

// Runs on the thread of HTTP: hands requests to the core and writes what the
// core says of them.
class ClientRequests {
 public:
  ClientRequests(EntryDaemon& daemon, EventHttpServer& server);

  void OnCompletion(ExchangeId exchange, const HttpRequest& request,
                    CompletionKind kind);
  void OnCall(ExchangeId exchange, const HttpRequest& request);
  void OnClientGone(ExchangeId exchange);

  void OnTokens(RequestId id, const std::vector<std::string>& tokens);
  void OnOutcome(RequestId id, const RequestOutcome& outcome);
  // Tells the core of clients that went away while it was overloaded.
  void OnTick();

  size_t open() const { return requests_.size(); }

 private:
  struct Request {
    ExchangeId exchange;
    std::string name;   // id that the client sees
    std::string trace;  // W3C traceparent
    absl::Time arrived;
    bool is_completion = false;
    CompletionRequest completion;
    uint32_t prompt_tokens = 0;
    bool streaming = false;  // the head of the answer has been sent
    std::string text;        // of an answer that is sent whole
    uint32_t tokens = 0;
  };

  Request& Open(RequestId id, ExchangeId exchange, const HttpRequest& request);
  void Submit(RequestId id, EntryEvent event);
  void SendText(Request& request, const std::string& text);
  void AnswerOutcome(const Request& request, const RequestOutcome& outcome);
  void AnswerDone(const Request& request, const RequestOutcome& outcome);
  void Close(RequestId id, const std::string& result);

  EntryDaemon& daemon_;
  EventHttpServer& server_;
  uint64_t next_id_ = 1;
  absl::flat_hash_map<RequestId, Request> requests_;
  absl::flat_hash_map<ExchangeId, RequestId> by_exchange_;
  std::deque<RequestId> gone_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_CLIENT_REQUESTS_H_
