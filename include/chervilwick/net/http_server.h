// Event-driven HTTP/1.1 server.

#ifndef CHERVILWICK_NET_HTTP_SERVER_H_
#define CHERVILWICK_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "chervilwick/net/event_loop.h"
#include "chervilwick/net/http_message.h"
#include "chervilwick/net/socket.h"
#include "chervilwick/support/strong_type.h"

namespace chervilwick {

// One request on one connection; never used again in a process.
using ExchangeId = StrongType<struct ExchangeIdTag, uint64_t>;

// What a client may send, and how long it may take.
struct HttpServerLimits {
  size_t max_head_bytes = size_t{16} << 10;
  size_t max_body_bytes = size_t{4} << 20;
  absl::Duration head_timeout = absl::Seconds(3);
  // From the end of the head to the end of the body.
  absl::Duration body_timeout = absl::Seconds(30);
  absl::Duration idle_timeout = absl::Seconds(15);
  size_t max_connections = 3000;
  // Heads and bodies of all connections together.
  size_t max_buffered_bytes = size_t{24} << 20;
  // A connection's next request is not read while more of its answers than this
  // has not been taken.
  size_t max_answered_ahead = size_t{64} << 10;
  // Output that a client has not taken before its connection is cut.
  size_t max_output_bytes = size_t{1} << 20;
  // Output of all connections together. Beyond it, the clients that have kept
  // output waiting for longest are cut off.
  size_t max_total_output_bytes = size_t{64} << 20;
  // Time without progress after which a client that does not take its answer
  // is cut off.
  absl::Duration output_timeout = absl::Seconds(6);
};

// Serves one request at a time on each connection; what a client sends ahead
// waits in a bounded buffer. An exchange that has gone (client closed, answer
// complete) ignores further calls.
class EventHttpServer {
 public:
  struct Handlers {
    // A whole request has been read.
    std::function<void(ExchangeId, Endpoint client, HttpRequest)> on_request;
    // The client closed its connection before its answer was complete.
    std::function<void(ExchangeId)> on_client_gone;
  };

  EventHttpServer(EventLoop& loop, Handlers handlers);
  ~EventHttpServer();

  // False with errno if the address can't be had.
  bool Listen(const Endpoint& endpoint);
  void SetLimits(const HttpServerLimits& limits) { limits_ = limits; }
  // Renders the answers to what can't be taken as a request; without it they
  // have no body.
  using RejectionRenderer = std::function<HttpResponse(int status)>;
  void SetRejectionRenderer(RejectionRenderer renderer) {
    render_rejection_ = std::move(renderer);
  }
  // Answers from now on close their connections.
  void CloseAfterAnswers() { closing_ = true; }
  // Closes the connections on which no request is read or answered.
  void CloseIdle();
  void StopListening();

  void Respond(ExchangeId id, const HttpResponse& response);
  void BeginStream(ExchangeId id, int status,
                   const std::vector<HttpField>& fields);
  void SendStream(ExchangeId id, absl::string_view bytes);
  void EndStream(ExchangeId id);
  // Cuts the connection, so that the answer can't look complete.
  void Abort(ExchangeId id);

  size_t open_connections() const { return connections_.size(); }
  // Connections cut because the client did not take its answer.
  uint64_t stalled_clients() const { return stalled_clients_; }
  // Connections that were closed at once, as there were too many.
  uint64_t refused_connections() const { return refused_connections_; }

 private:
  class Connection;
  struct Listener;

  HttpResponse RenderRejection(int status) const;

  Connection* Find(ExchangeId id);
  void Accept(int socket, const Endpoint& client);
  void Remove(Connection* connection);
  // Removes connections that their clients have closed.
  void RemoveClosed();
  // Cuts connections off until the others' output fits.
  void LimitOutput();
  // Closes connections whose heads have been arriving for longer than that of
  // `for_whom`, until there is memory for its further bytes. Returns whether
  // there is.
  bool MakeRoom(size_t bytes, const Connection* for_whom);

  EventLoop& loop_;
  Handlers handlers_;
  HttpServerLimits limits_;
  RejectionRenderer render_rejection_;
  uint64_t stalled_clients_ = 0;
  uint64_t refused_connections_ = 0;
  bool closing_ = false;
  uint64_t next_id_ = 1;
  size_t buffered_bytes_ = 0;
  size_t output_bytes_ = 0;  // as last counted by the connections
  Timer output_limit_;
  absl::Time closed_search_ = absl::InfinitePast();
  std::unique_ptr<Listener> listener_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<ExchangeId, Connection*> exchanges_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_NET_HTTP_SERVER_H_
