// Client of the key-value service.

#include "chervilwick/store/kv_client.h"

#include <httplib.h>

#include <utility>

#include "chervilwick/support/host_port.h"

namespace chervilwick {
namespace {

constexpr size_t kQueueCapacity = 256;
constexpr absl::Duration kPopTimeout = absl::Milliseconds(200);
constexpr int kConnectTimeoutSeconds = 1;
constexpr int kReadTimeoutSeconds = 2;
constexpr int kHttpOk = 200;

}  // namespace

KvClient::KvClient(std::string address, ReplyHandler on_reply)
    : address_(std::move(address)),
      on_reply_(std::move(on_reply)),
      queue_(kQueueCapacity) {}

KvClient::~KvClient() { Stop(); }

void KvClient::Start() {
  duty_.Start("kv-client", [this] { Loop(); });
}

void KvClient::Stop() {
  queue_.Close();
  duty_.Join();
}

void KvClient::Submit(KvCall call) {
  uint64_t call_id = call.call_id;
  if (queue_.TryPush(std::move(call))) return;
  KvReply reply;
  reply.call_id = call_id;
  on_reply_(std::move(reply));
}

void KvClient::Loop() {
  while (!queue_.IsClosed()) {
    std::optional<KvCall> call = queue_.Pop(kPopTimeout);
    if (call) on_reply_(Perform(*call));
  }
}

KvReply KvClient::Perform(const KvCall& call) {
  ++calls_;
  HostPort address = SplitAddress(address_);
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(kConnectTimeoutSeconds);
  client.set_read_timeout(kReadTimeoutSeconds);
  client.set_tcp_nodelay(true);
  httplib::Result result =
      client.Post(KvRequestPath(call), KvRequestBody(call), "application/json");
  KvReply reply;
  reply.call_id = call.call_id;
  if (!result) {
    ++failures_;
    bool not_sent = result.error() == httplib::Error::Connection ||
                    result.error() == httplib::Error::ConnectionTimeout;
    reply.outcome = not_sent ? KvOutcome::kUnavailable : KvOutcome::kUnknown;
    return reply;
  }
  if (result->status != kHttpOk) {
    ++failures_;
    reply.outcome = KvOutcome::kUnknown;
    return reply;
  }
  return ParseKvReply(call, result->body);
}

}  // namespace chervilwick
