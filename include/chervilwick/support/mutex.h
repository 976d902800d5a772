// Mutex and condition variable that the thread sanitizer understands.

#ifndef CHERVILWICK_SUPPORT_MUTEX_H_
#define CHERVILWICK_SUPPORT_MUTEX_H_

#include <chrono>
#include <condition_variable>
#include <mutex>

#include "absl/base/thread_annotations.h"
#include "absl/time/time.h"

namespace chervilwick {

// std::mutex with thread-safety annotations. Mutex is not used: Debian
// builds Abseil without the sanitizer's annotations, which makes every
// hand-over through it look like a data race.
class ABSL_LOCKABLE Mutex {
 public:
  void Lock() ABSL_EXCLUSIVE_LOCK_FUNCTION() { mutex_.lock(); }
  void Unlock() ABSL_UNLOCK_FUNCTION() { mutex_.unlock(); }

 private:
  friend class CondVar;

  std::mutex mutex_;
};

// Holds a mutex while it is in scope.
class ABSL_SCOPED_LOCKABLE MutexLock {
 public:
  explicit MutexLock(Mutex* mutex) ABSL_EXCLUSIVE_LOCK_FUNCTION(mutex)
      : mutex_(*mutex) {
    mutex_.Lock();
  }
  ~MutexLock() ABSL_UNLOCK_FUNCTION() { mutex_.Unlock(); }
  MutexLock(const MutexLock&) = delete;
  MutexLock& operator=(const MutexLock&) = delete;

 private:
  Mutex& mutex_;
};

// Waits for a predicate over state that a mutex guards. Whoever may have made
// the predicate true calls NotifyAll.
class CondVar {
 public:
  // Must be called with the mutex held, which is held again on return.
  template <typename Predicate>
  void Wait(Mutex& mutex, Predicate predicate)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    std::unique_lock<std::mutex> lock(mutex.mutex_, std::adopt_lock);
    condition_.wait(lock, predicate);
    lock.release();  // the caller still holds it
  }

  // Waits up to `timeout`; returns whether the predicate holds.
  template <typename Predicate>
  bool WaitFor(Mutex& mutex, absl::Duration timeout, Predicate predicate)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    std::unique_lock<std::mutex> lock(mutex.mutex_, std::adopt_lock);
    bool holds = true;
    if (timeout == absl::InfiniteDuration()) {
      condition_.wait(lock, predicate);
    } else {
      holds = condition_.wait_for(lock, absl::ToChronoNanoseconds(timeout),
                                  predicate);
    }
    lock.release();  // the caller still holds it
    return holds;
  }

  void NotifyAll() { condition_.notify_all(); }

 private:
  std::condition_variable condition_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_SUPPORT_MUTEX_H_
