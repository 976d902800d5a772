// Stop signals.

#include "chervilwick/kernel/signals.h"

#include <csignal>

namespace chervilwick {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

}  // namespace chervilwick
