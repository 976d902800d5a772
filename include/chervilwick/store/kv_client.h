// Client of the platform's key-value service: etcd v3 over HTTP with JSON.

#ifndef CHERVILWICK_STORE_KV_CLIENT_H_
#define CHERVILWICK_STORE_KV_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include "chervilwick/kernel/duty.h"
#include "chervilwick/kernel/kernel.h"
#include "chervilwick/store/kv.h"
#include "chervilwick/support/bounded_ring.h"

namespace chervilwick {

// JSON encoding of calls and decoding of replies, for the client and for test
// doubles.
std::string KvRequestPath(const KvCall& call);
std::string KvRequestBody(const KvCall& call);
KvReply ParseKvReply(const KvCall& call, const std::string& body);

// Performs calls one at a time on its own thread and passes the replies to a
// handler.
class KvClient : public Service {
 public:
  using ReplyHandler = std::function<void(KvReply)>;

  // `address` is the service's ip:port.
  KvClient(std::string address, ReplyHandler on_reply);
  ~KvClient() override;

  void Start() override;
  void Stop() override;
  // Queues a call. When the queue is full, the handler gets a reply with
  // kUnavailable at once.
  void Submit(KvCall call);
  uint64_t calls() const { return calls_; }
  uint64_t failures() const { return failures_; }

 private:
  void Loop();
  KvReply Perform(const KvCall& call);

  const std::string address_;
  const ReplyHandler on_reply_;
  BoundedRing<KvCall> queue_;
  std::atomic<uint64_t> calls_{0};
  std::atomic<uint64_t> failures_{0};
  Duty duty_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_STORE_KV_CLIENT_H_
