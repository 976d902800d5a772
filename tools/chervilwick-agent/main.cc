// Daemon of an agent: reads settings, runs until SIGTERM, stops gracefully.

#include <gflags/gflags.h>

#include "chervilwick/agent/agent_daemon.h"
#include "chervilwick/kernel/signals.h"
#include "chervilwick/settings/settings.h"
#include "chervilwick/support/version.h"
#include "daemon_main.h"

DEFINE_string(settings, "", "YAML settings file of this process (required)");
DEFINE_bool(check_settings, false,
            "check the settings file, print the result and exit");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "chervilwick-agent: stands beside one backend server and runs on it what "
      "entries "
      "order.\n"
      "Usage: chervilwick-agent --settings=FILE [--check_settings]\n"
      "Exit codes: 0 stopped with nothing cut, 1 stopped with requests still "
      "open, 2 bad settings or address in use.");
  gflags::SetVersionString(chervilwick::kProgramVersion);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  chervilwick::BlockStopSignals();
  return chervilwick::RunDaemon<chervilwick::AgentDaemon>(
      FLAGS_settings, FLAGS_check_settings, chervilwick::LoadAgentSettings);
}
