// What the mains of all daemons do: read settings, run until SIGTERM, stop
// gracefully.

#ifndef CHERVILWICK_TOOLS_COMMON_DAEMON_MAIN_H_
#define CHERVILWICK_TOOLS_COMMON_DAEMON_MAIN_H_

#include <cstdio>
#include <optional>
#include <string>

#include "chervilwick/kernel/signals.h"
#include "chervilwick/settings/settings.h"
#include "chervilwick/telemetry/log.h"

namespace chervilwick {

inline constexpr int kDaemonUsageError = 2;
inline constexpr int kDaemonNotDrained = 1;

// Runs `Daemon` with the settings that `load` reads from `file`. Returns the
// exit status: 0 stopped with nothing cut, 1 stopped with work still open, 2
// bad settings or address in use.
template <typename Daemon, typename Settings>
int RunDaemon(const std::string& file, bool check_only,
              std::optional<Settings> (*load)(const std::string&,
                                              SettingsError&)) {
  SettingsError error;
  std::optional<Settings> settings = load(file, error);
  if (!settings) {
    std::fprintf(stderr, "%s\n", error.text.c_str());
    return kDaemonUsageError;
  }
  if (check_only) {
    std::printf("%s: ok\n", file.c_str());
    return 0;
  }
  InitLogging(settings->name);
  Daemon daemon(*settings);
  if (auto problem = daemon.Start()) {
    std::fprintf(stderr, "%s: %s\n", file.c_str(), problem->c_str());
    return kDaemonUsageError;
  }
  WaitForStopSignal();
  daemon.RequestStop();
  bool drained = daemon.WaitUntilDrained();
  daemon.Stop();
  LogState("stopped", {{"drained", drained ? "yes" : "no"}});
  return drained ? 0 : kDaemonNotDrained;
}

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_COMMON_DAEMON_MAIN_H_
