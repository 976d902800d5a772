// Event-driven HTTP/1.1 client with a pool of kept connections.
//
// An answer that has neither a length nor chunks ends with its connection. Its
// end is reported once the server has accepted another connection, which a
// process that has just ended does not.

#ifndef CHERVILWICK_NET_HTTP_CLIENT_H_
#define CHERVILWICK_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "chervilwick/net/event_loop.h"
#include "chervilwick/net/http_message.h"
#include "chervilwick/net/socket.h"
#include "chervilwick/support/strong_type.h"

namespace chervilwick {

// One call of a client; never used again in a process.
using CallId = StrongType<struct CallIdTag, uint64_t>;

// Why a call has no whole answer.
enum class CallError {
  kConnect,    // refused, unreachable or not established in time
  kClosed,     // the connection ended before the end of the answer
  kMalformed,  // bytes that are no answer, or more than one may have
  kTimeout,    // no whole answer within the call's time
  // An answer without a length ended with its connection, and its server could
  // not be reached right after: the kernel closes the connections of a process
  // that ends in an orderly way, too.
  kUnconfirmed,
};

// Whether the server closed the connection, as one that ends does.
bool IsClosedByServer(CallError error);

// One connection of a client; never used again in a process.
using ConnectionId = StrongType<struct ConnectionIdTag, uint64_t>;

// Name of an error in logs and metrics.
absl::string_view CallErrorText(CallError error);

struct CallFailure {
  CallError error = CallError::kConnect;
  // Whether bytes of the request may have reached the server.
  bool sent = false;
};

// What a call reports, in this order: a head, any number of parts, an end; or a
// failure at any point, after which nothing follows.
using CallEvent = std::variant<HttpHead, HttpBodyPart, HttpEnd, CallFailure>;
using CallHandler = std::function<void(CallEvent)>;

struct CallOptions {
  static constexpr size_t kNoBodyLimit = std::numeric_limits<size_t>::max();

  absl::Duration connect_timeout = absl::Milliseconds(300);
  // From the start to the end of the answer. Callers that watch over their
  // calls themselves leave it infinite.
  absl::Duration timeout = absl::InfiniteDuration();
  // An answer with a longer body is malformed: a peer that never ends one must
  // cost neither memory nor time without bound.
  size_t max_body_bytes = size_t{1} << 20;
  // A kept connection is used only if it has been idle for less; the server
  // may be closing one that has been idle for long.
  absl::Duration max_idle = absl::Seconds(4);
  // Answers to another request that arrive first are skipped: this accepts the
  // head of the answer that belongs to the call. `is_fresh` says that the
  // connection has carried no call before, so that no late answer to one can
  // be on it. Empty accepts every head.
  using Accepts = std::function<bool(const HttpHead&, bool is_fresh)>;
  Accepts accepts;
  // Kept connections that the call must not use: where an earlier call bore the
  // same mark, its answer may come again and `accepts` can't tell it apart.
  std::set<ConnectionId> excluded;
};

class HttpClient {
 public:
  // `silence`: how long a peer may acknowledge nothing.
  HttpClient(EventLoop& loop, absl::Duration silence);
  ~HttpClient();

  // Starts a call. The handler is not called before this returns.
  CallId Start(const Endpoint& server, const HttpRequest& request,
               const CallOptions& options, CallHandler handler);
  // Ends a call and closes its connection; the handler hears no more.
  void Cancel(CallId id);
  // Closes the kept connections to a server.
  void Forget(const Endpoint& server);
  // Whether no byte of the request can have reached the server yet.
  bool IsUnsent(CallId id) const;
  // Whether all bytes of the answer are there, and only its end is in doubt.
  bool IsEndPending(CallId id) const;
  // Connection of a call that has not ended.
  ConnectionId ConnectionOf(CallId id) const;

  size_t open_connections() const { return connections_.size(); }
  uint64_t connections_made() const { return connections_made_; }

 private:
  class Connection;
  enum class ProbeResult { kConnected, kRefused, kTimeout };
  // What a server has closed: any connection, or one with a call that has no
  // whole answer. The latter counts as both.
  enum class ServerEnd { kClosed, kInCall };
  struct ConnectionEnd {
    Endpoint server;
    absl::Time at;
    ServerEnd kind;
  };

  Connection* TakeKept(const Endpoint& server, const CallOptions& options);
  Connection* Connect(const Endpoint& server, absl::Duration timeout);
  void Keep(Connection* connection);
  void Remove(Connection* connection);
  // Connects to a server for the call whose answer ended with its connection.
  // The new connection is kept for later calls.
  void Probe(const Endpoint& server, absl::Duration timeout, CallId call,
             absl::Duration hold_time);
  void OnProbed(CallId call, ProbeResult result);
  void RecordEnd(const Endpoint& server, ServerEnd kind);
  // Connections that the server has closed since shortly before that time.
  int EndsAt(const Endpoint& server, absl::Time time) const;
  // Whether the server seems to have ended about then: a call lost its
  // connection, and none that is older than that time is left.
  bool HasEndedAt(const Endpoint& server, absl::Time time) const;

  EventLoop& loop_;
  absl::Duration silence_;
  uint64_t next_id_ = 1;
  uint64_t connections_made_ = 0;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<Endpoint, std::vector<Connection*>> kept_;
  std::map<CallId, Connection*> calls_;
  std::deque<ConnectionEnd> ends_;  // of the last second
};

}  // namespace chervilwick

#endif  // CHERVILWICK_NET_HTTP_CLIENT_H_
