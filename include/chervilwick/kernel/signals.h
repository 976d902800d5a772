// Signals that ask a process to stop.

#ifndef CHERVILWICK_KERNEL_SIGNALS_H_
#define CHERVILWICK_KERNEL_SIGNALS_H_

namespace chervilwick {

// Blocks SIGTERM and SIGINT in the calling thread and those that it starts, and
// ignores SIGPIPE. Called first in main.
void BlockStopSignals();
// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

}  // namespace chervilwick

#endif  // CHERVILWICK_KERNEL_SIGNALS_H_
