// HTTP server on an event loop and a thread of its own.

#ifndef CHERVILWICK_NET_HTTP_SERVICE_H_
#define CHERVILWICK_NET_HTTP_SERVICE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "chervilwick/kernel/duty.h"
#include "chervilwick/kernel/kernel.h"
#include "chervilwick/net/event_loop.h"
#include "chervilwick/net/http_server.h"
#include "chervilwick/support/bounded_ring.h"

namespace chervilwick {

// For processes whose decisions run on other threads: handlers are called on
// the loop's thread, and other threads reach it through Post.
class HttpService : public Service {
 public:
  // Callbacks that wait for the loop at most; Post blocks beyond that.
  static constexpr size_t kMailboxCapacity = 65536;

  // Takes the ip:port to serve.
  HttpService(std::string address, const HttpServerLimits& limits,
              EventHttpServer::Handlers handlers);
  ~HttpService() override;

  // Binds the address. Returns an error text when it can't be had.
  std::optional<std::string> Bind();
  void Start() override;
  void Stop() override;

  // Runs the callback on the loop's thread; from any thread but that one.
  // Returns false once the service is stopping.
  bool Post(EventLoop::Callback callback);

  // Before Start, or on the loop's thread.
  EventLoop& loop() { return loop_; }
  EventHttpServer& server() { return server_; }

 private:
  // Makes a descriptor readable while there is mail.
  class Doorbell {
   public:
    Doorbell();
    ~Doorbell();
    Doorbell(const Doorbell&) = delete;
    Doorbell& operator=(const Doorbell&) = delete;
    void Ring();
    void Clear();
    int descriptor() const { return descriptor_; }

   private:
    int descriptor_;
  };

  void ReadMail();

  const std::string address_;
  EventLoop loop_;
  EventHttpServer server_;
  BoundedRing<EventLoop::Callback> mailbox_;
  Doorbell doorbell_;
  Duty duty_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_NET_HTTP_SERVICE_H_
