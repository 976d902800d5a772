// HTTP service.

#include "chervilwick/net/http_service.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "absl/strings/str_cat.h"

namespace chervilwick {

HttpService::Doorbell::Doorbell()
    : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (descriptor_ < 0) throw std::runtime_error("no eventfd");
}

HttpService::Doorbell::~Doorbell() { close(descriptor_); }

void HttpService::Doorbell::Ring() {
  uint64_t one = 1;
  // Fails only when the counter is full, and then the descriptor is readable.
  static_cast<void>(write(descriptor_, &one, sizeof(one)));
}

void HttpService::Doorbell::Clear() {
  uint64_t count = 0;
  // Fails only when there is nothing to clear.
  static_cast<void>(read(descriptor_, &count, sizeof(count)));
}

HttpService::HttpService(std::string address, const HttpServerLimits& limits,
                         EventHttpServer::Handlers handlers)
    : address_(std::move(address)),
      server_(loop_, std::move(handlers)),
      mailbox_(kMailboxCapacity) {
  server_.SetLimits(limits);
  loop_.OnReadable(doorbell_.descriptor(), [this] { ReadMail(); });
}

HttpService::~HttpService() { Stop(); }

std::optional<std::string> HttpService::Bind() {
  std::optional<Endpoint> endpoint = Endpoint::Parse(address_);
  if (!endpoint) {
    return absl::StrCat("cannot listen on ", address_, ": not an ip:port");
  }
  if (!server_.Listen(*endpoint)) {
    return absl::StrCat("cannot listen on ", address_, ": ",
                        std::strerror(errno));
  }
  return std::nullopt;
}

void HttpService::Start() {
  duty_.Start("http", [this] { loop_.Run(); });
}

void HttpService::Stop() {
  Post([this] { loop_.Stop(); });
  duty_.Join();
  mailbox_.Close();
}

bool HttpService::Post(EventLoop::Callback callback) {
  if (!mailbox_.Push(std::move(callback))) return false;
  doorbell_.Ring();
  return true;
}

void HttpService::ReadMail() {
  // Cleared first: mail that arrives while reading rings again.
  doorbell_.Clear();
  while (auto callback = mailbox_.Pop(absl::ZeroDuration())) (*callback)();
}

}  // namespace chervilwick
