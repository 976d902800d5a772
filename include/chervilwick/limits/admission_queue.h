// Queue of requests waiting for a backend server: strict priority between
// classes, fair queueing between the clients of a class.

#ifndef CHERVILWICK_LIMITS_ADMISSION_QUEUE_H_
#define CHERVILWICK_LIMITS_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

inline constexpr size_t kPriorityCount = 3;

struct QueuedRequest {
  RequestId id;
  ClientName client;
  Priority priority = Priority::kNormal;
  uint32_t cost = 1;  // tokens
};

struct AdmissionLimits {
  size_t max_requests = 4096;
  size_t max_per_client = 256;
};

enum class AdmissionResult { kQueued, kQueueFull, kClientLimit };

// Deficit round robin over the clients of a class. A class is served only when
// all more urgent classes are empty. Memory is bounded by the number of waiting
// requests: no state is kept for a client that has none.
class AdmissionQueue {
 public:
  AdmissionResult Push(const QueuedRequest& request,
                       const AdmissionLimits& limits);
  // Returns a request to the head of its client's queue and credits its cost to
  // the client's deficit.
  void PushFront(const QueuedRequest& request);
  // Removes and returns the next request of the given class, or by default of
  // the most urgent non-empty class.
  std::optional<QueuedRequest> Pop(std::optional<Priority> priority = {});
  // Removes a waiting request. Returns whether it was there.
  bool Remove(const RequestId& id, const ClientName& client, Priority priority);
  // Makes room: takes the least urgent non-empty class below `than` and removes
  // the last request of its client with the most waiting requests.
  std::optional<QueuedRequest> EvictLessUrgent(Priority than);

  size_t size() const { return size_; }
  size_t SizeOf(Priority priority) const;
  // Total cost, in tokens, of the requests served before a new request of that
  // class.
  uint64_t CostAheadOf(Priority priority) const;

 private:
  struct ClientQueue {
    std::deque<QueuedRequest> requests;
    uint64_t deficit = 0;
  };
  struct ClassQueue {
    absl::flat_hash_map<ClientName, ClientQueue> clients;
    std::deque<ClientName> rotation;  // clients with waiting requests
    uint64_t cost = 0;
    size_t size = 0;
  };

  ClassQueue& Class(Priority priority);
  std::optional<QueuedRequest> PopFrom(ClassQueue& queue);
  void Account(ClassQueue& queue, const QueuedRequest& request);
  void Unaccount(ClassQueue& queue, const QueuedRequest& request);

  std::array<ClassQueue, kPriorityCount> classes_;
  size_t size_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LIMITS_ADMISSION_QUEUE_H_
