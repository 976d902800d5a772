// TCP connections between the system's processes, on one epoll duty thread.

#ifndef CHERVILWICK_WIRE_TRANSPORT_H_
#define CHERVILWICK_WIRE_TRANSPORT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "chervilwick/kernel/duty.h"
#include "chervilwick/kernel/kernel.h"
#include "chervilwick/support/bounded_ring.h"
#include "chervilwick/wire/codec.h"

namespace chervilwick {

// Who this process is, as told to peers.
struct TransportIdentity {
  NodeName name;
  Incarnation incarnation;
  Hello hello;
};

// Counters, readable from any thread.
struct TransportStats {
  std::atomic<uint64_t> bytes_sent{0};
  std::atomic<uint64_t> bytes_received{0};
  std::atomic<uint64_t> frames_sent{0};
  std::atomic<uint64_t> frames_received{0};
  std::atomic<uint64_t> frames_dropped{0};
  std::atomic<uint64_t> connections_opened{0};
  std::atomic<uint64_t> silent_connections{0};
  std::atomic<uint64_t> protocol_errors{0};
};

// Keeps one usable connection to each peer named by SetPeers, accepts others,
// and replaces a connection on which nothing was heard for the silence limit by
// a new one. Frames that can't be sent are dropped and counted: the protocol
// above repeats what matters.
class Transport : public Service {
 public:
  // Called on the transport's thread for each message received.
  using Receiver = std::function<void(Envelope)>;

  Transport(TransportIdentity identity, std::string listen_address,
            Receiver receiver);
  ~Transport() override;

  // Binds the listening socket. Returns an error text when it can't.
  std::optional<std::string> Bind();

  void Start() override;
  void Stop() override;

  // Queues a message to a peer; any thread.
  void Send(const NodeName& to, VersionNumber version, Message message);
  // Replaces the addresses to keep connections to; any thread.
  void SetPeers(std::vector<std::string> addresses);

  const TransportStats& stats() const { return stats_; }

 private:
  struct Connection;
  struct Outgoing {
    NodeName to;
    Envelope envelope;
  };

  void Loop();
  void DrainOutgoing();
  void Accept();
  void DialMissing(absl::Time now);
  void CloseSilent(absl::Time now);
  void Dial(const std::string& address, absl::Time now);
  Connection* AddConnection(int fd, std::string dialed);
  void SendHello(Connection& connection);
  void OnReadable(Connection& connection);
  void OnWritable(Connection& connection);
  void OnEnvelope(Connection& connection, Envelope envelope);
  void Queue(Connection& connection, const std::string& frame);
  void Flush(Connection& connection);
  void Close(int fd);
  Connection* Find(const NodeName& peer);
  void Wake();

  const TransportIdentity identity_;
  const std::string listen_address_;
  const Receiver receiver_;
  TransportStats stats_;
  BoundedRing<Outgoing> outgoing_;
  BoundedRing<std::vector<std::string>> peer_updates_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> wake_pending_{false};

  // The members below belong to the duty thread once it runs.
  int epoll_fd_ = -1;
  int wake_fd_ = -1;
  int listen_fd_ = -1;
  VersionNumber last_version_;
  std::vector<std::string> peers_;
  std::map<std::string, absl::Time> next_dial_;
  absl::flat_hash_map<int, std::unique_ptr<Connection>> connections_;
  absl::flat_hash_map<NodeName, int> by_peer_;
  absl::Time next_check_ = absl::InfinitePast();
  absl::Time last_check_ = absl::InfinitePast();
  absl::Time listening_since_ = absl::InfinitePast();  // without own pause
  Duty duty_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_WIRE_TRANSPORT_H_
