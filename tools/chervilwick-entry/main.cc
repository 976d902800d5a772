// Daemon of an entry: reads settings, runs until SIGTERM, stops gracefully.

#include <gflags/gflags.h>

#include "chervilwick/entry/entry_daemon.h"
#include "chervilwick/kernel/signals.h"
#include "chervilwick/settings/settings.h"
#include "chervilwick/support/version.h"
#include "daemon_main.h"

DEFINE_string(settings, "", "YAML settings file of this process (required)");
DEFINE_bool(check_settings, false,
            "check the settings file, print the result and exit");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "chervilwick-entry: takes clients' requests and routes them to prefill, "
      "decode and plain "
      "backend servers.\n"
      "Usage: chervilwick-entry --settings=FILE [--check_settings]\n"
      "Exit codes: 0 stopped with nothing cut, 1 stopped with requests still "
      "open, 2 bad settings or address in use.");
  gflags::SetVersionString(chervilwick::kProgramVersion);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  chervilwick::BlockStopSignals();
  return chervilwick::RunDaemon<chervilwick::EntryDaemon>(
      FLAGS_settings, FLAGS_check_settings, chervilwick::LoadEntrySettings);
}
