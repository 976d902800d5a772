// Event-driven HTTP client on bufferevents.

#include "chervilwick/net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

// Longest head of an answer.
constexpr size_t kMaxAnswerHeadBytes = size_t{32} << 10;
// Kept connections are closed after that time without a call.
constexpr absl::Duration kKeepTime = absl::Seconds(10);
// A kept connection is not used in the last part of the time that its server
// announced: the server's close may already be on its way.
constexpr absl::Duration kKeepAliveMargin = absl::Milliseconds(700);
// Answers to other requests before the one that is waited for; more are a peer
// that never ends.
constexpr uint32_t kMaxSkippedAnswers = 8;
constexpr size_t kMaxSkippedBytes = size_t{1} << 20;
// How long after the end of an answer without a length its server is asked for
// a connection: a process that ends closes its sockets one after the other.
constexpr absl::Duration kProbeDelay = absl::Milliseconds(20);
// How long that connection has to stay open: a proxy in front of a server that
// has ended accepts connections and closes them.
constexpr absl::Duration kProbeHoldTime = absl::Milliseconds(20);
// Both are longer if other connections of the server end at the same time: a
// busy proxy may take its time to find that the server has ended.
constexpr absl::Duration kSecondProbeDelay = absl::Milliseconds(200);
constexpr absl::Duration kSecondProbeHoldTime = absl::Milliseconds(200);
// A lost packet costs one attempt.
constexpr int kMaxProbes = 3;
// The connections that one end of a server closes are noticed within that time.
constexpr absl::Duration kSameEndTime = absl::Milliseconds(100);
constexpr absl::Duration kEndRetention = absl::Seconds(1);
// Bytes of an answer that are read at once after a write has failed.
constexpr int kReadBytes = 16 << 10;
// Kept connections to one server.
constexpr size_t kMaxKeptPerServer = 32;

// Seconds in a Keep-Alive field; infinite where it states none.
absl::Duration KeepAliveTimeout(const HttpHead& head) {
  const std::string* field = head.Find("Keep-Alive");
  if (field == nullptr) return absl::InfiniteDuration();
  for (absl::string_view part :
       absl::StrSplit(*field, absl::ByAnyChar(", "), absl::SkipEmpty())) {
    std::pair<absl::string_view, absl::string_view> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    int64_t seconds = 0;
    if (pair.first == "timeout" && absl::SimpleAtoi(pair.second, &seconds)) {
      return absl::Seconds(seconds);
    }
  }
  return absl::InfiniteDuration();
}

}  // namespace

bool IsClosedByServer(CallError error) {
  return error == CallError::kClosed || error == CallError::kUnconfirmed;
}

absl::string_view CallErrorText(CallError error) {
  switch (error) {
    case CallError::kConnect:
      return "not_connected";
    case CallError::kClosed:
      return "closed";
    case CallError::kMalformed:
      return "malformed";
    case CallError::kTimeout:
      return "timeout";
    case CallError::kUnconfirmed:
      return "unconfirmed_end";
  }
  return "unknown";
}

class HttpClient::Connection {
 public:
  Connection(HttpClient& client, ConnectionId id, const Endpoint& server,
             absl::Duration connect_timeout)
      : client_(client),
        id_(id),
        server_(server),
        reader_(HttpReader::Role::kResponse, kMaxAnswerHeadBytes,
                [this](HttpReadEvent event) { OnEvent(std::move(event)); }),
        timer_(client.loop_, [this] { OnTimeout(); }),
        probe_timer_(client.loop_, [this] { Probe(); }) {
    buffers_ =
        bufferevent_socket_new(client.loop_.base(), -1,
                               BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(buffers_, &OnRead, nullptr, &OnState, this);
    bufferevent_enable(buffers_, EV_READ | EV_WRITE);
    timer_.Arm(connect_timeout);
    sockaddr_in address = server.ToSockaddr();
    // A failure that is known at once is reported by the event callback too.
    bufferevent_socket_connect(buffers_, reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
    if (bufferevent_getfd(buffers_) >= 0) {
      SetTcpOptions(bufferevent_getfd(buffers_), client.silence_);
    }
  }

  ~Connection() { bufferevent_free(buffers_); }

  void Begin(CallId id, const HttpRequest& request, const CallOptions& options,
             CallHandler handler) {
    call_ = id;
    ++calls_;
    skipped_ = 0;
    handler_ = std::move(handler);
    accepts_ = options.accepts;
    body_limit_ = options.max_body_bytes;
    connect_timeout_ = options.connect_timeout;
    body_bytes_ = 0;
    due_ = client_.loop_.Now() + options.timeout;
    reader_.Reset(request.head.method == "HEAD");
    std::string bytes = EncodeRequest(request);
    unsent_bytes_ = bytes.size();
    bufferevent_write(buffers_, bytes.data(), bytes.size());
    if (connected_) ArmCallTimer();
  }

  // Reports to that call whether the server accepts this connection and leaves
  // it open for that time.
  void ProbeFor(CallId call, absl::Duration hold_time) {
    probed_call_ = call;
    probe_hold_time_ = hold_time;
  }

  void OnProbed(ProbeResult result) {
    bool is_alive = result == ProbeResult::kConnected && !HasSocketError() &&
                    !client_.HasEndedAt(server_, ended_);
    if (result == ProbeResult::kTimeout && ++probes_ < kMaxProbes) {
      Probe();
    } else if (!is_alive) {
      Fail(CallError::kUnconfirmed);
    } else if (!is_second_probe_ && client_.EndsAt(server_, ended_) > 1) {
      is_second_probe_ = true;
      probe_timer_.Arm(kSecondProbeDelay);
    } else {
      FinishMessage();
    }
  }

  absl::Time made() const { return made_; }
  // The server has closed it.
  bool HasEnded() const { return ended_ > absl::InfinitePast(); }
  ConnectionId id() const { return id_; }
  CallId call() const { return call_; }
  const Endpoint& server() const { return server_; }

  // The buffer loses exactly the bytes that the kernel has taken.
  bool IsUnsent() const { return OutputBytes() >= unsent_bytes_; }

  bool IsUsable(absl::Time now, absl::Duration max_idle) const {
    return now - idle_since_ <
           std::min(max_idle, keep_alive_ - kKeepAliveMargin);
  }

 private:
  static Connection& Self(void* context) {
    return *static_cast<Connection*>(context);
  }
  static void OnRead(bufferevent* /*buffers*/, void* context) {
    Self(context).ReadAnswer();
  }
  static void OnState(bufferevent* /*buffers*/, int16_t what, void* context) {
    Connection& self = Self(context);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      self.OnConnected();
      return;
    }
    // A write that meets a reset clears the error of the socket, so the read
    // that is reported with it sees an end in order.
    bool has_failed = (what & BEV_EVENT_ERROR) != 0;
    if (has_failed) self.ReadRest();
    if (!self.removed_) {
      self.OnClosed(!has_failed && (what & BEV_EVENT_EOF) != 0);
    }
  }

  void OnConnected() {
    if (connected_) return;
    connected_ = true;
    if (probed_call_.value() == 0) {
      ArmCallTimer();
      return;
    }
    timer_.Arm(probe_hold_time_);
  }

  void Probe() {
    client_.Probe(server_, connect_timeout_, call_,
                  is_second_probe_ ? kSecondProbeHoldTime : kProbeHoldTime);
  }

  void EndProbe(ProbeResult result) {
    CallId call = std::exchange(probed_call_, CallId());
    if (call.value() != 0) client_.OnProbed(call, result);
  }

  void BecomeIdle() {
    idle_since_ = client_.loop_.Now();
    client_.Keep(this);
    timer_.Arm(std::min(kKeepTime, keep_alive_));
  }

  // The kernel connects before the event callback reports it.
  bool HasPeer() const {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    return getpeername(bufferevent_getfd(buffers_),
                       reinterpret_cast<sockaddr*>(&address), &length) == 0;
  }

  // A reset may follow an orderly close.
  bool HasSocketError() const {
    int error = 0;
    socklen_t length = sizeof(error);
    int result = getsockopt(bufferevent_getfd(buffers_), SOL_SOCKET, SO_ERROR,
                            &error, &length);
    return result != 0 || error != 0;
  }

  void ArmCallTimer() {
    timer_.Cancel();
    if (due_ == absl::InfiniteFuture()) return;
    timer_.Arm(due_ - client_.loop_.Now());
  }

  size_t OutputBytes() const {
    return evbuffer_get_length(bufferevent_get_output(buffers_));
  }

  void ReadAnswer() {
    evbuffer* input = bufferevent_get_input(buffers_);
    while (true) {
      size_t n = evbuffer_get_length(input);
      if (n == 0) return;
      if (call_.value() == 0) {
        // Bytes after a complete answer belong to no request.
        client_.Remove(this);
        EndProbe(ProbeResult::kConnected);
        return;
      }
      const char* data =
          reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
      CallId call = call_;
      size_t taken = reader_.Feed({data, n});
      evbuffer_drain(input, taken);
      // The handler may have cancelled the call.
      if (removed_ || call_ != call) return;
      if (reader_.error() != HttpReadError::kNone) {
        Fail(CallError::kMalformed);
        return;
      }
      if (reader_.IsDone() && !FinishMessage()) return;
    }
  }

  // Reads what had arrived before a write failed: a server that rejects an
  // upload may reset the connection after its answer.
  void ReadRest() {
    evbuffer* input = bufferevent_get_input(buffers_);
    CallId call = call_;
    while (!removed_ && call_ == call) {
      evbuffer_unfreeze(input, /*at_front=*/0);
      int n = evbuffer_read(input, bufferevent_getfd(buffers_), kReadBytes);
      evbuffer_freeze(input, /*at_front=*/0);
      if (n <= 0) return;
      ReadAnswer();
    }
  }

  void OnEvent(HttpReadEvent event) {
    // The handler may have cancelled the call at an earlier event of the same
    // bytes.
    if (removed_) return;
    std::visit(Overloaded{
                   [this](HttpHead& head) {
                     closes_ = !head.keep_alive || head.ends_with_connection;
                     keep_alive_ = KeepAliveTimeout(head);
                     skips_ = accepts_ && !accepts_(head, calls_ == 1);
                     body_bytes_ = 0;
                     if (!skips_) handler_(std::move(head));
                   },
                   [this](HttpBodyPart& part) { OnBody(part); },
                   [](HttpEnd&) {},
               },
               event);
  }

  void OnBody(const HttpBodyPart& part) {
    if (!handler_) return;
    body_bytes_ += part.bytes.size();
    size_t limit = skips_ ? kMaxSkippedBytes : body_limit_;
    if (body_bytes_ > limit) {
      Fail(CallError::kMalformed);
    } else if (!skips_) {
      handler_(part);
    }
  }

  // The answer has ended. Returns whether the connection is read further.
  bool FinishMessage() {
    if (skips_) {
      if (closes_) {
        Fail(CallError::kClosed);
        return false;
      }
      if (++skipped_ > kMaxSkippedAnswers) {
        Fail(CallError::kMalformed);
        return false;
      }
      reader_.Reset();
      return true;
    }
    bool early = OutputBytes() != 0;
    size_t extra = evbuffer_get_length(bufferevent_get_input(buffers_));
    CallHandler handler = std::move(handler_);
    EndCall();
    if (closes_ || early || extra != 0) {
      client_.Remove(this);
    } else {
      BecomeIdle();
    }
    handler(HttpEnd{});
    return false;
  }

  void EndCall() {
    client_.calls_.erase(call_);
    call_ = CallId();
    handler_ = nullptr;
  }

  void OnClosed(bool orderly) {
    if (connected_ && probed_call_.value() == 0) {
      client_.RecordEnd(server_, ServerEnd::kClosed);
    }
    if (call_.value() == 0) {
      client_.Remove(this);
      EndProbe(ProbeResult::kRefused);
      return;
    }
    CallId call = call_;
    if (orderly) reader_.FeedEnd();
    if (removed_ || call_ != call) return;
    if (orderly && reader_.IsDone() && !skips_) {
      closes_ = true;
      ended_ = client_.loop_.Now();
      probe_timer_.Arm(kProbeDelay);
      return;
    }
    if (connected_) client_.RecordEnd(server_, ServerEnd::kInCall);
    Fail(connected_ ? CallError::kClosed : CallError::kConnect);
  }

  void OnTimeout() {
    if (probed_call_.value() != 0) {
      OnProbeTimeout();
    } else if (call_.value() == 0) {
      client_.Remove(this);
    } else if (!connected_ && HasPeer()) {
      OnConnected();
    } else {
      Fail(connected_ ? CallError::kTimeout : CallError::kConnect);
    }
  }

  void OnProbeTimeout() {
    if (connected_) {
      BecomeIdle();
      EndProbe(ProbeResult::kConnected);
    } else if (HasPeer()) {
      OnConnected();
    } else {
      client_.Remove(this);
      EndProbe(ProbeResult::kTimeout);
    }
  }

  void Fail(CallError error) {
    CallFailure failure{error, !IsUnsent()};
    CallHandler handler = std::move(handler_);
    EndCall();
    client_.Remove(this);
    if (handler) handler(failure);
  }

  friend class HttpClient;

  HttpClient& client_;
  ConnectionId id_;
  Endpoint server_;
  HttpReader reader_;
  Timer timer_;
  Timer probe_timer_;
  bufferevent* buffers_ = nullptr;
  CallId call_;
  CallId probed_call_;  // that waits for this connection to be accepted
  absl::Duration probe_hold_time_;
  bool is_second_probe_ = false;
  CallHandler handler_;
  CallOptions::Accepts accepts_;
  size_t unsent_bytes_ = 0;
  uint64_t calls_ = 0;     // that it has carried
  uint32_t skipped_ = 0;   // answers to other requests
  size_t body_bytes_ = 0;  // of the message being read
  size_t body_limit_ = 0;
  absl::Time due_ = absl::InfiniteFuture();  // of the call
  absl::Duration connect_timeout_;           // of the call
  absl::Time made_ = client_.loop_.Now();
  // When the connection, and so the answer, ended.
  absl::Time ended_ = absl::InfinitePast();
  int probes_ = 0;  // without a result
  bool connected_ = false;
  bool removed_ = false;
  bool skips_ = false;   // the message being read answers another request
  bool closes_ = false;  // the server closes after this answer
  absl::Duration keep_alive_ = absl::InfiniteDuration();
  absl::Time idle_since_ = absl::InfinitePast();
};

HttpClient::HttpClient(EventLoop& loop, absl::Duration silence)
    : loop_(loop), silence_(silence) {}

HttpClient::~HttpClient() = default;

CallId HttpClient::Start(const Endpoint& server, const HttpRequest& request,
                         const CallOptions& options, CallHandler handler) {
  CallId id(next_id_++);
  Connection* connection = TakeKept(server, options);
  if (connection == nullptr) {
    connection = Connect(server, options.connect_timeout);
  }
  calls_[id] = connection;
  connection->Begin(id, request, options, std::move(handler));
  return id;
}

HttpClient::Connection* HttpClient::TakeKept(const Endpoint& server,
                                             const CallOptions& options) {
  auto it = kept_.find(server);
  if (it == kept_.end()) return nullptr;
  std::vector<Connection*>& kept = it->second;
  auto found =
      std::find_if(kept.rbegin(), kept.rend(), [&](const Connection* each) {
        return options.excluded.count(each->id()) == 0 &&
               each->IsUsable(loop_.Now(), options.max_idle);
      });
  if (found == kept.rend()) return nullptr;
  Connection* connection = *found;
  kept.erase(std::next(found).base());
  return connection;
}

HttpClient::Connection* HttpClient::Connect(const Endpoint& server,
                                            absl::Duration timeout) {
  ConnectionId id(++connections_made_);
  auto connection = std::make_unique<Connection>(*this, id, server, timeout);
  Connection* key = connection.get();
  connections_[key] = std::move(connection);
  return key;
}

void HttpClient::Keep(Connection* connection) {
  std::vector<Connection*>& kept = kept_[connection->server()];
  if (kept.size() >= kMaxKeptPerServer) {
    Remove(connection);
    return;
  }
  kept.push_back(connection);
}

void HttpClient::Remove(Connection* connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  calls_.erase(connection->call());
  auto kept = kept_.find(connection->server());
  if (kept != kept_.end()) {
    auto& list = kept->second;
    list.erase(std::remove(list.begin(), list.end(), connection), list.end());
    if (list.empty()) kept_.erase(kept);
  }
  connection->removed_ = true;
  bufferevent_disable(connection->buffers_, EV_READ | EV_WRITE);
  bufferevent_setcb(connection->buffers_, nullptr, nullptr, nullptr, nullptr);
  connection->timer_.Cancel();
  connection->probe_timer_.Cancel();
  loop_.DeferDelete(std::move(it->second));
  connections_.erase(it);
}

void HttpClient::Probe(const Endpoint& server, absl::Duration timeout,
                       CallId call, absl::Duration hold_time) {
  Connect(server, timeout)->ProbeFor(call, hold_time);
}

void HttpClient::OnProbed(CallId call, ProbeResult result) {
  auto it = calls_.find(call);
  if (it != calls_.end()) it->second->OnProbed(result);
}

void HttpClient::RecordEnd(const Endpoint& server, ServerEnd kind) {
  absl::Time now = loop_.Now();
  while (!ends_.empty() && now - ends_.front().at > kEndRetention) {
    ends_.pop_front();
  }
  ends_.push_back({server, now, kind});
}

int HttpClient::EndsAt(const Endpoint& server, absl::Time time) const {
  return static_cast<int>(
      std::count_if(ends_.begin(), ends_.end(), [&](const ConnectionEnd& it) {
        return it.kind == ServerEnd::kClosed && it.server == server &&
               it.at > time - kSameEndTime;
      }));
}

bool HttpClient::HasEndedAt(const Endpoint& server, absl::Time time) const {
  bool is_call_lost =
      std::any_of(ends_.begin(), ends_.end(), [&](const ConnectionEnd& it) {
        return it.kind == ServerEnd::kInCall && it.server == server &&
               it.at > time - kSameEndTime;
      });
  if (!is_call_lost) return false;
  return std::none_of(
      connections_.begin(), connections_.end(), [&](const auto& other) {
        return other.first->server() == server && other.first->made() < time &&
               !other.first->HasEnded();
      });
}

void HttpClient::Cancel(CallId id) {
  auto it = calls_.find(id);
  if (it != calls_.end()) Remove(it->second);
}

void HttpClient::Forget(const Endpoint& server) {
  auto it = kept_.find(server);
  if (it == kept_.end()) return;
  std::vector<Connection*> kept = it->second;
  for (Connection* connection : kept) Remove(connection);
}

bool HttpClient::IsUnsent(CallId id) const {
  auto it = calls_.find(id);
  return it != calls_.end() && it->second->IsUnsent();
}

bool HttpClient::IsEndPending(CallId id) const {
  auto it = calls_.find(id);
  return it != calls_.end() && it->second->HasEnded();
}

ConnectionId HttpClient::ConnectionOf(CallId id) const {
  auto it = calls_.find(id);
  return it == calls_.end() ? ConnectionId() : it->second->id();
}

}  // namespace chervilwick
