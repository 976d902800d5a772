// A POSIX thread that performs one duty.

#ifndef CHERVILWICK_KERNEL_DUTY_H_
#define CHERVILWICK_KERNEL_DUTY_H_

#include <pthread.h>

#include <cstddef>
#include <functional>
#include <string>

namespace chervilwick {

// Owns one named thread. Signals meant for the process are blocked in it.
class Duty {
 public:
  static constexpr size_t kStackBytes = size_t{512} << 10;

  Duty() = default;
  ~Duty() { Join(); }
  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  // Runs `body` on a new thread; the thread ends when `body` returns.
  void Start(const std::string& name, std::function<void()> body);
  // Waits for the thread's end. Does nothing when it isn't running.
  void Join();

 private:
  pthread_t thread_{};
  bool running_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_KERNEL_DUTY_H_
