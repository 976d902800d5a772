// Bounded queue that joins two duty threads.

#ifndef CHERVILWICK_SUPPORT_BOUNDED_RING_H_
#define CHERVILWICK_SUPPORT_BOUNDED_RING_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/time/time.h"
#include "chervilwick/support/mutex.h"

namespace chervilwick {

// Multi-producer queue of at most `capacity` elements. When it is full, TryPush
// refuses the element and Push blocks; elements are never dropped silently.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(size_t capacity) : capacity_(capacity) {}
  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Returns false when the ring is full or closed.
  bool TryPush(T element) {
    MutexLock lock(&mutex_);
    if (closed_ || elements_.size() >= capacity_) return false;
    Append(std::move(element));
    return true;
  }

  // Blocks while the ring is full; returns false once the ring is closed.
  bool Push(T element) {
    MutexLock lock(&mutex_);
    changed_.Wait(mutex_, [this] { return HasRoomOrClosed(); });
    if (closed_) return false;
    Append(std::move(element));
    return true;
  }

  // Waits up to `timeout` for an element.
  std::optional<T> Pop(absl::Duration timeout) {
    MutexLock lock(&mutex_);
    changed_.WaitFor(mutex_, timeout, [this] { return HasElementOrClosed(); });
    if (elements_.empty()) return std::nullopt;
    std::optional<T> element(std::move(elements_.front()));
    elements_.pop_front();
    if (elements_.size() + 1 == capacity_) changed_.NotifyAll();
    return element;
  }

  // Wakes all waiters; elements already queued can still be popped.
  void Close() {
    MutexLock lock(&mutex_);
    closed_ = true;
    changed_.NotifyAll();
  }

  bool IsClosed() const {
    MutexLock lock(&mutex_);
    return closed_;
  }

  size_t Size() const {
    MutexLock lock(&mutex_);
    return elements_.size();
  }

 private:
  void Append(T element) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    elements_.push_back(std::move(element));
    changed_.NotifyAll();
  }
  bool HasRoomOrClosed() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return closed_ || elements_.size() < capacity_;
  }
  bool HasElementOrClosed() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return closed_ || !elements_.empty();
  }

  const size_t capacity_;
  mutable Mutex mutex_;
  CondVar changed_;
  std::deque<T> elements_ ABSL_GUARDED_BY(mutex_);
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_SUPPORT_BOUNDED_RING_H_
