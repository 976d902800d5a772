// Admission queue: deficit round robin within strict priority classes.

#include "chervilwick/limits/admission_queue.h"

#include <algorithm>

namespace chervilwick {
namespace {

// Tokens added to a client's deficit in each round.
constexpr uint64_t kQuantum = 1024;

}  // namespace

AdmissionQueue::ClassQueue& AdmissionQueue::Class(Priority priority) {
  return classes_[static_cast<size_t>(priority)];
}

void AdmissionQueue::Account(ClassQueue& queue, const QueuedRequest& request) {
  queue.cost += request.cost;
  ++queue.size;
  ++size_;
}

void AdmissionQueue::Unaccount(ClassQueue& queue,
                               const QueuedRequest& request) {
  queue.cost -= request.cost;
  --queue.size;
  --size_;
}

AdmissionResult AdmissionQueue::Push(const QueuedRequest& request,
                                     const AdmissionLimits& limits) {
  if (size_ >= limits.max_requests) return AdmissionResult::kQueueFull;
  ClassQueue& queue = Class(request.priority);
  auto it = queue.clients.find(request.client);
  bool known = it != queue.clients.end();
  if (known && it->second.requests.size() >= limits.max_per_client) {
    return AdmissionResult::kClientLimit;
  }
  if (!known) queue.rotation.push_back(request.client);
  queue.clients[request.client].requests.push_back(request);
  Account(queue, request);
  return AdmissionResult::kQueued;
}

void AdmissionQueue::PushFront(const QueuedRequest& request) {
  ClassQueue& queue = Class(request.priority);
  auto it = queue.clients.find(request.client);
  if (it == queue.clients.end()) queue.rotation.push_front(request.client);
  ClientQueue& client = queue.clients[request.client];
  client.requests.push_front(request);
  client.deficit += request.cost;
  Account(queue, request);
}

std::optional<QueuedRequest> AdmissionQueue::PopFrom(ClassQueue& queue) {
  while (!queue.rotation.empty()) {
    ClientName name = queue.rotation.front();
    ClientQueue& client = queue.clients[name];
    const QueuedRequest& next = client.requests.front();
    // A single client has no one to share with and needs no deficit.
    if (client.deficit < next.cost && queue.rotation.size() > 1) {
      client.deficit += kQuantum;
      queue.rotation.pop_front();
      queue.rotation.push_back(name);
      continue;
    }
    QueuedRequest request = next;
    client.deficit -= std::min<uint64_t>(client.deficit, request.cost);
    client.requests.pop_front();
    Unaccount(queue, request);
    if (client.requests.empty()) {
      queue.clients.erase(name);
      queue.rotation.pop_front();
    }
    return request;
  }
  return std::nullopt;
}

std::optional<QueuedRequest> AdmissionQueue::Pop(
    std::optional<Priority> priority) {
  if (priority) return PopFrom(Class(*priority));
  for (ClassQueue& queue : classes_) {
    if (queue.size > 0) return PopFrom(queue);
  }
  return std::nullopt;
}

bool AdmissionQueue::Remove(const RequestId& id, const ClientName& client,
                            Priority priority) {
  ClassQueue& queue = Class(priority);
  auto found = queue.clients.find(client);
  if (found == queue.clients.end()) return false;
  auto& requests = found->second.requests;
  auto it = std::find_if(requests.begin(), requests.end(),
                         [&](const QueuedRequest& r) { return r.id == id; });
  if (it == requests.end()) return false;
  Unaccount(queue, *it);
  requests.erase(it);
  if (requests.empty()) {
    queue.clients.erase(found);
    queue.rotation.erase(
        std::find(queue.rotation.begin(), queue.rotation.end(), client));
  }
  return true;
}

std::optional<QueuedRequest> AdmissionQueue::EvictLessUrgent(Priority than) {
  for (size_t it = kPriorityCount; it-- > static_cast<size_t>(than) + 1;) {
    ClassQueue& queue = classes_[it];
    if (queue.size == 0) continue;
    // Evict from the client with the most waiting requests.
    auto largest = std::max_element(queue.clients.begin(), queue.clients.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.requests.size() <
                                             b.second.requests.size();
                                    });
    QueuedRequest request = largest->second.requests.back();
    Remove(request.id, request.client, request.priority);
    return request;
  }
  return std::nullopt;
}

size_t AdmissionQueue::SizeOf(Priority priority) const {
  return classes_[static_cast<size_t>(priority)].size;
}

uint64_t AdmissionQueue::CostAheadOf(Priority priority) const {
  uint64_t cost = 0;
  for (size_t it = 0; it <= static_cast<size_t>(priority); ++it) {
    cost += classes_[it].cost;
  }
  return cost;
}

}  // namespace chervilwick
