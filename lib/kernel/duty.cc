// Duty threads.

#include "chervilwick/kernel/duty.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <utility>

namespace chervilwick {
namespace {

struct Launch {
  std::string name;
  std::function<void()> body;
};

// Linux keeps at most 15 characters of a thread's name.
constexpr size_t kMaxThreadName = 15;

void* RunLaunch(void* argument) {
  std::unique_ptr<Launch> launch(static_cast<Launch*>(argument));
  sigset_t signals;
  sigfillset(&signals);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  pthread_setname_np(pthread_self(),
                     launch->name.substr(0, kMaxThreadName).c_str());
  launch->body();
  return nullptr;
}

}  // namespace

void Duty::Start(const std::string& name, std::function<void()> body) {
  auto launch = std::make_unique<Launch>(Launch{name, std::move(body)});
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kStackBytes);
  int ec = pthread_create(&thread_, &attributes, RunLaunch, launch.get());
  pthread_attr_destroy(&attributes);
  if (ec != 0) {
    std::fprintf(stderr, "cannot start thread %s: error %d\n", name.c_str(),
                 ec);
    std::abort();
  }
  // The thread owns it now.
  static_cast<void>(launch.release());
  running_ = true;
}

void Duty::Join() {
  if (!running_) return;
  running_ = false;
  pthread_join(thread_, nullptr);
}

}  // namespace chervilwick
