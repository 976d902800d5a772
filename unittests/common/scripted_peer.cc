#include "scripted_peer.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "raw_peer.h"

namespace chervilwick {
namespace {

constexpr int kPollMs = 5;
constexpr size_t kMaxHeadBytes = size_t{16} << 10;

}  // namespace

struct ScriptedPeer::Connection {
  HttpHead head;
  HttpReader reader{HttpReader::Role::kRequest, kMaxHeadBytes,
                    [this](HttpReadEvent event) {
                      auto* it = std::get_if<HttpHead>(&event);
                      if (it != nullptr) head = std::move(*it);
                    }};
  std::string previous;
};

ScriptedPeer::ScriptedPeer(Script script)
    : script_(std::move(script)),
      endpoint_(FreeEndpoint()),
      listener_(ListenTcp(endpoint_)) {
  thread_ = std::thread([this] {
    while (!stopping_) {
      std::vector<pollfd> polled = {{listener_, POLLIN, 0}};
      for (const auto& it : open_) polled.push_back({it.first, POLLIN, 0});
      if (poll(polled.data(), polled.size(), kPollMs) <= 0) continue;
      for (size_t n = 1; n < polled.size(); ++n) {
        int socket = polled[n].fd;
        if (polled[n].revents == 0 || Read(socket, *open_.at(socket))) continue;
        close(socket);
        open_.erase(socket);
      }
      if (polled[0].revents != 0) Accept();
    }
  });
}

ScriptedPeer::~ScriptedPeer() {
  stopping_ = true;
  thread_.join();
  for (const auto& it : open_) close(it.first);
  close(listener_);
}

std::vector<HttpHead> ScriptedPeer::Requests() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return requests_;
}

void ScriptedPeer::Accept() {
  int socket = accept(listener_, nullptr, nullptr);
  if (socket < 0) return;
  ++connections_;
  open_[socket] = std::make_unique<Connection>();
}

bool ScriptedPeer::Read(int socket, Connection& connection) {
  std::array<char, 4096> buf;
  ssize_t n = recv(socket, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n <= 0) return false;
  absl::string_view bytes(buf.data(), static_cast<size_t>(n));
  while (!bytes.empty()) {
    bytes.remove_prefix(connection.reader.Feed(bytes));
    if (connection.reader.error() != HttpReadError::kNone) return false;
    if (!connection.reader.IsDone()) continue;
    connection.reader.Reset();
    {
      std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(connection.head);
    }
    Reply reply = script_(connection.head, connection.previous);
    std::string sent = reply.extra + reply.bytes;
    send(socket, sent.data(), sent.size(), MSG_NOSIGNAL);
    if (reply.closes) return false;
    connection.previous = std::move(reply.bytes);
  }
  return true;
}

std::string RefusalTo(const std::string& id, int status) {
  return EncodeResponse(
      {status, {{"X-Request-Id", id}, {"X-Not-Run", "1"}}, ""},
      /*keep_alive=*/true);
}

std::string SuccessTo(const std::string& id, const std::string& body) {
  return EncodeResponse(
      {200, {{"X-Request-Id", id}, {"X-Response-Stamp", "e"}}, body},
      /*keep_alive=*/true);
}

std::string StreamHeadTo(const std::string& id) {
  return EncodeChunkedHead(200,
                           {{"X-Request-Id", id},
                            {"X-Response-Stamp", "e"},
                            {"Content-Type", "text/event-stream"}},
                           /*keep_alive=*/true);
}

}  // namespace chervilwick
