// Event-driven HTTP server on bufferevents.

#include "chervilwick/net/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

// Bytes that are read at once, and those of later requests that are read while
// one is in progress. The latter serve to notice that a client has closed.
constexpr size_t kReadBytes = size_t{64} << 10;
constexpr size_t kReadAheadBytes = size_t{2} << 10;
// Memory of a head beyond its bytes: a second copy of them towards a server,
// and the strings of each field.
constexpr size_t kHeadCopies = 2;
constexpr size_t kFieldBytes = 128;
// Interval at which connections are searched for closed ones when there are too
// many.
constexpr absl::Duration kClosedSearchInterval = absl::Milliseconds(100);
// A client that acknowledges nothing for that long has gone.
constexpr absl::Duration kClientSilence = absl::Seconds(6);
// Time for the last bytes to reach a client before its connection is closed.
constexpr absl::Duration kLingerTime = absl::Seconds(2);
// Time for a new connection to send its first request before it is closed as
// idle.
constexpr absl::Duration kFirstRequestTime = absl::Seconds(1);

bool HasOneHost(const HttpHead& head) {
  int hosts = 0;
  for (const HttpField& it : head.fields) {
    if (absl::EqualsIgnoreCase(it.name, "Host")) ++hosts;
  }
  return hosts == 1;
}

}  // namespace

struct EventHttpServer::Listener {
  evconnlistener* handle = nullptr;

  ~Listener() {
    if (handle != nullptr) evconnlistener_free(handle);
  }
};

class EventHttpServer::Connection {
 public:
  Connection(EventHttpServer& server, int socket, const Endpoint& client)
      : server_(server),
        client_(client),
        reader_(HttpReader::Role::kRequest, server.limits_.max_head_bytes,
                [this](HttpReadEvent event) { OnEvent(std::move(event)); }),
        timer_(server.loop_, [this] { OnTimeout(); }),
        opened_(server.loop_.Now()) {
    SetTcpOptions(socket, kClientSilence);
    buffers_ = bufferevent_socket_new(server.loop_.base(), socket,
                                      BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(buffers_, &OnRead, &OnWritten, &OnState, this);
    bufferevent_setwatermark(buffers_, EV_READ, 0, kReadBytes);
    bufferevent_enable(buffers_, EV_READ | EV_WRITE);
    timer_.Arm(server_.limits_.idle_timeout);
  }

  ~Connection() {
    DropBody();
    bufferevent_free(buffers_);
  }

  // Stops all callbacks; the object is deleted later.
  void Detach() {
    timer_.Cancel();
    bufferevent_disable(buffers_, EV_READ | EV_WRITE);
    bufferevent_setcb(buffers_, nullptr, nullptr, nullptr, nullptr);
    detached_ = true;
    server_.output_bytes_ -= counted_output_;
    counted_output_ = 0;
    DropBody();
  }

  ExchangeId exchange() const { return exchange_; }
  // Without a request, also one whose bytes the kernel holds or that a new
  // connection is about to send.
  bool IsIdle() const {
    if (!has_sent_ && server_.loop_.Now() - opened_ < kFirstRequestTime) {
      return false;
    }
    return exchange_.value() == 0 && reader_.IsIdle() && !ending_ &&
           OutputBytes() == 0 && !HasUnreadBytes();
  }

  void Respond(const HttpResponse& response) {
    Write(EncodeResponseHead(response, KeepsOpen()));
    Write(EncodedBody(response));
    FinishExchange();
  }

  void BeginStream(int status, const std::vector<HttpField>& fields) {
    stream_has_body_ = MayHaveBody(status);
    Write(EncodeChunkedHead(status, fields, KeepsOpen()));
  }

  void SendStream(absl::string_view bytes) {
    if (!bytes.empty() && stream_has_body_) Write(EncodeChunk(bytes));
    if (OutputBytes() > server_.limits_.max_output_bytes) {
      // From the loop, not from inside the sender's call.
      stalled_ = true;
      timer_.Arm(absl::ZeroDuration());
    }
  }

  void EndStream() {
    if (stream_has_body_) Write("0\r\n\r\n");
    FinishExchange();
  }

  void CountOutput() {
    if (detached_) return;
    if (counted_output_ == 0) output_since_ = server_.loop_.Now();
    server_.output_bytes_ -= counted_output_;
    counted_output_ = OutputBytes();
    server_.output_bytes_ += counted_output_;
  }

  // Time since which the client has left output waiting; infinite if there is
  // none.
  absl::Time output_since() const {
    return counted_output_ == 0 ? absl::InfiniteFuture() : output_since_;
  }

  void CutOff() {
    ++server_.stalled_clients_;
    OnGone();
  }

  int socket() const { return bufferevent_getfd(buffers_); }

  void OnGone() {
    ExchangeId id = exchange_;
    EventHttpServer& server = server_;
    server.Remove(this);
    if (id.value() != 0) server.handlers_.on_client_gone(id);
  }

  // Since when a head has been arriving; infinite if none is.
  absl::Time arriving_since() const {
    bool is_arriving = exchange_.value() == 0 && !ending_ &&
                       !reader_.IsIdle() && reader_.IsInHead();
    return is_arriving ? arriving_since_ : absl::InfiniteFuture();
  }

 private:
  static Connection& Self(void* context) {
    return *static_cast<Connection*>(context);
  }
  static void OnRead(bufferevent* /*buffers*/, void* context) {
    Self(context).ReadRequests();
  }
  static void OnWritten(bufferevent* /*buffers*/, void* context) {
    Self(context).CountOutput();
    Self(context).AfterWrite();
    // Requests may have waited for the client to take their answers.
    Self(context).ReadRequests();
  }
  static void OnState(bufferevent* /*buffers*/, int16_t what, void* context) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) Self(context).OnGone();
  }

  size_t OutputBytes() const {
    return evbuffer_get_length(bufferevent_get_output(buffers_));
  }

  bool HasUnreadBytes() const {
    if (evbuffer_get_length(bufferevent_get_input(buffers_)) != 0) return true;
    int n = 0;
    return ioctl(bufferevent_getfd(buffers_), FIONREAD, &n) == 0 && n > 0;
  }

  bool KeepsOpen() const { return keep_alive_ && !server_.closing_; }

  void Write(absl::string_view bytes) {
    bufferevent_write(buffers_, bytes.data(), bytes.size());
    CountOutput();
    if (server_.output_bytes_ > server_.limits_.max_total_output_bytes) {
      // The kernel takes what it can before that.
      server_.output_limit_.Arm(absl::ZeroDuration());
    }
  }

  void ReadRequests() {
    evbuffer* input = bufferevent_get_input(buffers_);
    // Unread bytes would turn the close into a reset that may overtake the
    // answer.
    if (ending_) evbuffer_drain(input, evbuffer_get_length(input));
    // A request that was sent ahead waits for the answer to the one before.
    while (exchange_.value() == 0 && !ending_ && !detached_ &&
           OutputBytes() <= server_.limits_.max_answered_ahead) {
      size_t n = evbuffer_get_length(input);
      if (n == 0) return;
      bool was_idle = reader_.IsIdle();
      const char* data =
          reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
      size_t taken = reader_.Feed({data, n});
      evbuffer_drain(input, taken);
      if (reader_.error() != HttpReadError::kNone) {
        RejectBytes();
        return;
      }
      if (was_idle) arriving_since_ = server_.loop_.Now();
      if (was_idle && reader_.IsInHead()) {
        timer_.Arm(server_.limits_.head_timeout);
      }
      CountUnfinishedHead();
      if (detached_) return;
      if (reader_.IsDone()) Deliver();
    }
  }

  void CountUnfinishedHead() {
    size_t size = reader_.IsInHead() && !ending_ ? reader_.head_size() : 0;
    server_.buffered_bytes_ += size;
    server_.buffered_bytes_ -= counted_head_;
    counted_head_ = size;
    if (size != 0 && !server_.MakeRoom(0, this)) server_.Remove(this);
  }

  void OnEvent(HttpReadEvent event) {
    std::visit(Overloaded{
                   [this](HttpHead& head) { OnHead(std::move(head)); },
                   [this](HttpBodyPart& part) { OnBody(part.bytes); },
                   [](HttpEnd&) {},
               },
               event);
  }

  void OnHead(HttpHead head) {
    has_sent_ = true;
    timer_.Arm(server_.limits_.body_timeout);
    keep_alive_ = head.keep_alive;
    rejection_ = HasOneHost(head) ? 0 : 400;
    const std::string* expect = head.Find("Expect");
    if (expect != nullptr && absl::EqualsIgnoreCase(*expect, "100-continue")) {
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    request_.head = std::move(head);
    Hold(kHeadCopies * reader_.head_size() +
         kFieldBytes * request_.head.fields.size());
  }

  // Counts bytes of the request. Rejects it if there is no memory for them.
  void Hold(size_t bytes) {
    if (rejection_ != 0) return;
    if (!server_.MakeRoom(bytes, this)) {
      RejectWith(503);
      return;
    }
    counted_bytes_ += bytes;
    server_.buffered_bytes_ += bytes;
  }

  void RejectWith(int status) {
    rejection_ = status;
    // Requests that are still being read may need its memory.
    std::string().swap(request_.body);
    DropBody();
  }

  void OnBody(absl::string_view bytes) {
    if (rejection_ != 0) return;
    if (request_.body.size() + bytes.size() > server_.limits_.max_body_bytes) {
      RejectWith(413);
      return;
    }
    Hold(bytes.size());
    if (rejection_ == 0) absl::StrAppend(&request_.body, bytes);
  }

  void DropBody() {
    server_.buffered_bytes_ -= counted_bytes_ + counted_head_;
    counted_bytes_ = 0;
    counted_head_ = 0;
  }

  void Deliver() {
    timer_.Cancel();
    exchange_ = ExchangeId(server_.next_id_++);
    server_.exchanges_[exchange_] = this;
    bufferevent_setwatermark(buffers_, EV_READ, 0, kReadAheadBytes);
    if (rejection_ != 0) {
      keep_alive_ = false;
      Respond(server_.RenderRejection(rejection_));
      return;
    }
    // May answer at once and so change this connection's state.
    server_.handlers_.on_request(exchange_, client_, std::move(request_));
  }

  void RejectBytes() {
    bool too_large = reader_.error() == HttpReadError::kHeadTooLarge;
    keep_alive_ = false;
    HttpResponse answer = server_.RenderRejection(too_large ? 431 : 400);
    Write(EncodeResponse(answer, false));
    End();
  }

  void FinishExchange() {
    bool keeps_open = KeepsOpen();
    server_.exchanges_.erase(exchange_);
    exchange_ = ExchangeId();
    DropBody();
    request_ = HttpRequest();
    if (!keeps_open) {
      End();
      return;
    }
    reader_.Reset();
    reader_.SetMaxHeadBytes(server_.limits_.max_head_bytes);
    bufferevent_setwatermark(buffers_, EV_READ, 0, kReadBytes);
    WaitForOutput();
    if (evbuffer_get_length(bufferevent_get_input(buffers_)) != 0) {
      // Not from here: the caller may still be inside on_request.
      bufferevent_trigger(buffers_, EV_READ, BEV_OPT_DEFER_CALLBACKS);
    }
  }

  // Closes once the output has been sent and the client has closed.
  void End() {
    ending_ = true;
    evbuffer* input = bufferevent_get_input(buffers_);
    evbuffer_drain(input, evbuffer_get_length(input));
    WaitForOutput();
  }

  // Idle and linger time begin when the output has been sent.
  void WaitForOutput() {
    output_left_ = OutputBytes();
    timer_.Arm(server_.limits_.output_timeout);
    AfterWrite();
  }

  bool IsBetweenRequests() const {
    return exchange_.value() == 0 && (ending_ || reader_.IsIdle());
  }

  void AfterWrite() {
    if (OutputBytes() != 0 || !IsBetweenRequests()) return;
    timer_.Arm(ending_ ? kLingerTime : server_.limits_.idle_timeout);
    if (ending_) shutdown(bufferevent_getfd(buffers_), SHUT_WR);
  }

  void OnTimeout() {
    if (stalled_) {
      CutOff();
      return;
    }
    if (IsBetweenRequests() && OutputBytes() != 0) {
      if (OutputBytes() < output_left_) {
        WaitForOutput();
        return;
      }
      ++server_.stalled_clients_;
      server_.Remove(this);
      return;
    }
    if (exchange_.value() == 0 && !reader_.IsIdle() && !ending_) {
      keep_alive_ = false;
      Write(EncodeResponse(server_.RenderRejection(408), false));
      End();
      return;
    }
    server_.Remove(this);
  }

  EventHttpServer& server_;
  Endpoint client_;
  HttpReader reader_;
  Timer timer_;
  bufferevent* buffers_ = nullptr;
  HttpRequest request_;
  size_t counted_bytes_ =
      0;                     // of a request that has been read in part or whole
  size_t counted_head_ = 0;  // of a head that is not complete
  size_t output_left_ = 0;   // when the timer was armed
  size_t counted_output_ = 0;
  absl::Time output_since_;    // when the output was last empty
  absl::Time arriving_since_;  // of the head that is being read
  ExchangeId exchange_;
  const absl::Time opened_;
  bool has_sent_ = false;  // a request
  bool keep_alive_ = true;
  bool ending_ = false;
  bool stream_has_body_ = true;
  bool stalled_ = false;  // takes its output too slowly
  bool detached_ = false;
  int rejection_ = 0;
};

EventHttpServer::EventHttpServer(EventLoop& loop, Handlers handlers)
    : loop_(loop),
      handlers_(std::move(handlers)),
      output_limit_(loop, [this] { LimitOutput(); }) {}

EventHttpServer::~EventHttpServer() = default;

bool EventHttpServer::Listen(const Endpoint& endpoint) {
  int socket = ListenTcp(endpoint);
  if (socket < 0) return false;
  listener_ = std::make_unique<Listener>();
  listener_->handle = evconnlistener_new(
      loop_.base(),
      [](evconnlistener* /*listener*/, int accepted, sockaddr* address,
         int /*length*/, void* context) {
        static_cast<EventHttpServer*>(context)->Accept(
            accepted, Endpoint::From(*reinterpret_cast<sockaddr_in*>(address)));
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, socket);
  return listener_->handle != nullptr;
}

HttpResponse EventHttpServer::RenderRejection(int status) const {
  if (render_rejection_) return render_rejection_(status);
  return {status, {}, ""};
}

void EventHttpServer::StopListening() {
  if (!listener_) return;
  // What the kernel has taken in meanwhile would be reset.
  int listening = evconnlistener_get_fd(listener_->handle);
  while (true) {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    int socket = accept4(listening, reinterpret_cast<sockaddr*>(&address),
                         &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) break;
    Accept(socket, Endpoint::From(address));
  }
  listener_.reset();
}

void EventHttpServer::Accept(int socket, const Endpoint& client) {
  if (connections_.size() >= limits_.max_connections) RemoveClosed();
  if (connections_.size() >= limits_.max_connections) {
    ++refused_connections_;
    close(socket);
    return;
  }
  auto connection = std::make_unique<Connection>(*this, socket, client);
  Connection* key = connection.get();
  connections_[key] = std::move(connection);
}

void EventHttpServer::RemoveClosed() {
  absl::Time now = loop_.Now();
  if (now - closed_search_ < kClosedSearchInterval) return;
  closed_search_ = now;
  // Nothing more is read from a client that has sent far ahead, so its close
  // goes unnoticed.
  std::vector<Connection*> found;
  std::vector<pollfd> sockets;
  for (const auto& it : connections_) {
    found.push_back(it.first);
    sockets.push_back({it.first->socket(), POLLRDHUP, 0});
  }
  poll(sockets.data(), sockets.size(), 0);
  for (size_t n = 0; n < sockets.size(); ++n) {
    bool is_closed =
        (sockets[n].revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0;
    // Its client's end may have removed another one.
    if (is_closed && connections_.count(found[n]) != 0) found[n]->OnGone();
  }
}

void EventHttpServer::Remove(Connection* connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  exchanges_.erase(connection->exchange());
  connection->Detach();
  loop_.DeferDelete(std::move(it->second));
  connections_.erase(it);
}

void EventHttpServer::CloseIdle() {
  std::vector<Connection*> idle;
  for (const auto& it : connections_) {
    if (it.first->IsIdle()) idle.push_back(it.first);
  }
  for (Connection* it : idle) Remove(it);
}

bool EventHttpServer::MakeRoom(size_t bytes, const Connection* for_whom) {
  while (buffered_bytes_ + bytes > limits_.max_buffered_bytes) {
    // The head of an ordinary client arrives within a moment.
    auto slowest = std::min_element(connections_.begin(), connections_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.first->arriving_since() <
                                             b.first->arriving_since();
                                    });
    bool is_none =
        slowest == connections_.end() ||
        slowest->first->arriving_since() == absl::InfiniteFuture() ||
        slowest->first->arriving_since() >= for_whom->arriving_since();
    if (is_none) return false;
    ++stalled_clients_;
    Remove(slowest->first);
  }
  return true;
}

void EventHttpServer::LimitOutput() {
  for (const auto& it : connections_) it.first->CountOutput();
  while (output_bytes_ > limits_.max_total_output_bytes) {
    auto slowest = std::min_element(connections_.begin(), connections_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.first->output_since() <
                                             b.first->output_since();
                                    });
    slowest->first->CutOff();
  }
}

EventHttpServer::Connection* EventHttpServer::Find(ExchangeId id) {
  auto it = exchanges_.find(id);
  return it == exchanges_.end() ? nullptr : it->second;
}

void EventHttpServer::Respond(ExchangeId id, const HttpResponse& response) {
  if (Connection* it = Find(id)) it->Respond(response);
}

void EventHttpServer::BeginStream(ExchangeId id, int status,
                                  const std::vector<HttpField>& fields) {
  if (Connection* it = Find(id)) it->BeginStream(status, fields);
}

void EventHttpServer::SendStream(ExchangeId id, absl::string_view bytes) {
  if (Connection* it = Find(id)) it->SendStream(bytes);
}

void EventHttpServer::EndStream(ExchangeId id) {
  if (Connection* it = Find(id)) it->EndStream();
}

void EventHttpServer::Abort(ExchangeId id) {
  if (Connection* it = Find(id)) Remove(it);
}

}  // namespace chervilwick
