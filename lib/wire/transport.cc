// TCP connections between the system's processes.

#include "chervilwick/wire/transport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace chervilwick {
namespace {

constexpr size_t kOutgoingCapacity = 65536;
constexpr size_t kPeerUpdateCapacity = 64;
constexpr size_t kReadBytes = 65536;
constexpr size_t kMaxUnsentBytes = size_t{8} << 20;
constexpr int kListenBacklog = 1024;
constexpr int kMaxEvents = 128;
constexpr absl::Duration kCheckInterval = absl::Milliseconds(100);
constexpr absl::Duration kRedialInterval = absl::Milliseconds(500);
// Peers send a heartbeat each second.
constexpr absl::Duration kSilenceLimit = absl::Seconds(3);
// This process stood still if its checks are further apart.
constexpr absl::Duration kMaxCheckGap = absl::Seconds(1);

std::optional<sockaddr_in> ParseAddress(const std::string& text) {
  size_t colon = text.rfind(':');
  uint32_t port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > 65535) {
    return std::nullopt;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) !=
      1) {
    return std::nullopt;
  }
  return address;
}

void DisableDelay(int fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

struct Transport::Connection {
  int fd = -1;
  std::string dialed;            // address, when this side opened it
  std::optional<NodeName> peer;  // known after its first frame
  FrameReader reader;
  std::string unsent;
  bool connecting = false;
  bool want_write = false;
  absl::Time last_heard;
};

Transport::Transport(TransportIdentity identity, std::string listen_address,
                     Receiver receiver)
    : identity_(std::move(identity)),
      listen_address_(std::move(listen_address)),
      receiver_(std::move(receiver)),
      outgoing_(kOutgoingCapacity),
      peer_updates_(kPeerUpdateCapacity) {}

Transport::~Transport() {
  Stop();
  for (auto& [fd, connection] : connections_) close(fd);
  if (listen_fd_ >= 0) close(listen_fd_);
  if (wake_fd_ >= 0) close(wake_fd_);
  if (epoll_fd_ >= 0) close(epoll_fd_);
}

std::optional<std::string> Transport::Bind() {
  std::optional<sockaddr_in> address = ParseAddress(listen_address_);
  if (!address) return absl::StrCat("not an ip:port: ", listen_address_);
  epoll_fd_ = epoll_create1(EPOLL_CLOEXEC);
  wake_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  listen_fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(listen_fd_, reinterpret_cast<sockaddr*>(&*address),
           sizeof(*address)) != 0 ||
      listen(listen_fd_, kListenBacklog) != 0) {
    return absl::StrCat("cannot listen on ", listen_address_, ": ",
                        std::strerror(errno));
  }
  for (int fd : {wake_fd_, listen_fd_}) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
  }
  return std::nullopt;
}

void Transport::Start() {
  duty_.Start("transport", [this] { Loop(); });
}

void Transport::Stop() {
  if (stopping_.exchange(true)) return;
  Wake();
  duty_.Join();
}

void Transport::Wake() {
  if (wake_fd_ < 0) return;
  if (wake_pending_.exchange(true)) return;
  uint64_t one = 1;
  ssize_t n = write(wake_fd_, &one, sizeof(one));
  static_cast<void>(n);  // a full counter wakes the loop as well
}

void Transport::Send(const NodeName& to, VersionNumber version,
                     Message message) {
  Outgoing item{to, Envelope{identity_.name, identity_.incarnation, version,
                             std::move(message)}};
  if (!outgoing_.TryPush(std::move(item))) {
    ++stats_.frames_dropped;
    return;
  }
  Wake();
}

void Transport::SetPeers(std::vector<std::string> addresses) {
  peer_updates_.TryPush(std::move(addresses));
  Wake();
}

void Transport::Loop() {
  std::array<epoll_event, kMaxEvents> events;
  while (!stopping_) {
    int n =
        epoll_wait(epoll_fd_, events.data(), kMaxEvents,
                   static_cast<int>(kCheckInterval / absl::Milliseconds(1)));
    for (int it = 0; it < n; ++it) {
      int fd = events[it].data.fd;
      if (fd == listen_fd_) {
        Accept();
        continue;
      }
      if (fd == wake_fd_) continue;
      auto found = connections_.find(fd);
      if (found == connections_.end()) continue;
      Connection& connection = *found->second;
      if ((events[it].events & EPOLLOUT) != 0) OnWritable(connection);
      // OnWritable may have closed the connection.
      if (connections_.find(fd) == connections_.end()) continue;
      if ((events[it].events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        OnReadable(connection);
      }
    }
    DrainOutgoing();
    absl::Time now = absl::Now();
    if (now >= next_check_) {
      next_check_ = now + kCheckInterval;
      CloseSilent(now);
      DialMissing(now);
    }
  }
  DrainOutgoing();
}

void Transport::DrainOutgoing() {
  wake_pending_ = false;
  uint64_t count = 0;
  ssize_t n = read(wake_fd_, &count, sizeof(count));
  static_cast<void>(n);  // an empty counter is no error
  while (auto update = peer_updates_.Pop(absl::ZeroDuration())) {
    peers_ = *std::move(update);
  }
  std::vector<int> touched;
  while (auto item = outgoing_.Pop(absl::ZeroDuration())) {
    last_version_ = std::max(last_version_, item->envelope.version);
    Connection* connection = Find(item->to);
    if (connection == nullptr) {
      ++stats_.frames_dropped;
      continue;
    }
    Queue(*connection, EncodeFrame(item->envelope));
    touched.push_back(connection->fd);
  }
  for (int fd : touched) {
    auto found = connections_.find(fd);
    if (found != connections_.end() && !found->second->unsent.empty()) {
      Flush(*found->second);
    }
  }
}

Transport::Connection* Transport::Find(const NodeName& peer) {
  auto it = by_peer_.find(peer);
  if (it == by_peer_.end()) return nullptr;
  return connections_[it->second].get();
}

Transport::Connection* Transport::AddConnection(int fd, std::string dialed) {
  DisableDelay(fd);
  auto connection = std::make_unique<Connection>();
  connection->fd = fd;
  connection->dialed = std::move(dialed);
  connection->last_heard = absl::Now();
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
  ++stats_.connections_opened;
  Connection* raw = connection.get();
  connections_[fd] = std::move(connection);
  return raw;
}

void Transport::Accept() {
  while (true) {
    int fd =
        accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    SendHello(*AddConnection(fd, ""));
  }
}

void Transport::Dial(const std::string& address, absl::Time now) {
  next_dial_[address] = now + kRedialInterval;
  std::optional<sockaddr_in> target = ParseAddress(address);
  if (!target) return;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return;
  int ec = connect(fd, reinterpret_cast<sockaddr*>(&*target), sizeof(*target));
  if (ec != 0 && errno != EINPROGRESS) {
    close(fd);
    return;
  }
  Connection* connection = AddConnection(fd, address);
  connection->connecting = true;
  SendHello(*connection);
}

void Transport::SendHello(Connection& connection) {
  Queue(connection, EncodeFrame({identity_.name, identity_.incarnation,
                                 last_version_, identity_.hello}));
  Flush(connection);
}

void Transport::DialMissing(absl::Time now) {
  for (const std::string& address : peers_) {
    bool present = std::any_of(
        connections_.begin(), connections_.end(),
        [&](const auto& it) { return it.second->dialed == address; });
    if (present || now < next_dial_[address]) continue;
    Dial(address, now);
  }
}

void Transport::CloseSilent(absl::Time now) {
  // What came during an own pause has not been read yet.
  if (now - last_check_ > kMaxCheckGap) listening_since_ = now;
  last_check_ = now;
  std::vector<int> doomed;
  for (const auto& [fd, connection] : connections_) {
    bool withdrawn = !connection->dialed.empty() &&
                     std::find(peers_.begin(), peers_.end(),
                               connection->dialed) == peers_.end();
    bool silent = now - std::max(connection->last_heard, listening_since_) >
                  kSilenceLimit;
    if (silent) ++stats_.silent_connections;
    if (silent || withdrawn) doomed.push_back(fd);
  }
  for (int fd : doomed) Close(fd);
}

void Transport::OnReadable(Connection& connection) {
  std::array<char, kReadBytes> buf;
  int fd = connection.fd;
  while (true) {
    ssize_t n = recv(fd, buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) {
      Close(fd);
      return;
    }
    stats_.bytes_received += static_cast<uint64_t>(n);
    connection.last_heard = absl::Now();
    connection.reader.Append({buf.data(), static_cast<size_t>(n)});
    while (auto envelope = connection.reader.Next()) {
      OnEnvelope(connection, *std::move(envelope));
    }
    if (connection.reader.last_error() != WireError::kNone) {
      ++stats_.protocol_errors;
      Close(fd);
      return;
    }
    if (static_cast<size_t>(n) < buf.size()) return;
  }
}

void Transport::OnEnvelope(Connection& connection, Envelope envelope) {
  ++stats_.frames_received;
  if (!connection.peer) {
    connection.peer = envelope.from;
    // The newest connection serves the peer: older ones may be silent.
    by_peer_[envelope.from] = connection.fd;
  }
  receiver_(std::move(envelope));
}

void Transport::OnWritable(Connection& connection) {
  if (connection.connecting) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(connection.fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      Close(connection.fd);
      return;
    }
    connection.connecting = false;
  }
  Flush(connection);
}

void Transport::Queue(Connection& connection, const std::string& frame) {
  if (connection.unsent.size() + frame.size() > kMaxUnsentBytes) {
    ++stats_.frames_dropped;
    return;
  }
  connection.unsent += frame;
  ++stats_.frames_sent;
}

void Transport::Flush(Connection& connection) {
  while (!connection.unsent.empty()) {
    ssize_t n = send(connection.fd, connection.unsent.data(),
                     connection.unsent.size(), MSG_NOSIGNAL);
    if (n < 0) {
      // A failed connection is closed when epoll reports it.
      break;
    }
    stats_.bytes_sent += static_cast<uint64_t>(n);
    connection.unsent.erase(0, static_cast<size_t>(n));
  }
  bool want_write = !connection.unsent.empty() || connection.connecting;
  if (want_write == connection.want_write) return;
  connection.want_write = want_write;
  epoll_event event{};
  event.events = EPOLLIN | (want_write ? EPOLLOUT : 0U);
  event.data.fd = connection.fd;
  epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, connection.fd, &event);
}

void Transport::Close(int fd) {
  auto it = connections_.find(fd);
  if (it == connections_.end()) return;
  if (it->second->peer) {
    auto route = by_peer_.find(*it->second->peer);
    if (route != by_peer_.end() && route->second == fd) by_peer_.erase(route);
  }
  connections_.erase(it);
  close(fd);
}

}  // namespace chervilwick
