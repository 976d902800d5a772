// chervilwick-front: takes clients' requests on the platform.

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>

#include "chervilwick/front/front_daemon.h"
#include "chervilwick/support/version.h"
#include "platform/protocol.h"

DEFINE_string(settings, "",
              "settings file (YAML); the variable CHERVILWICK_BOOT names it "
              "where this is empty");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace chervilwick {
namespace {

constexpr int kUsageError = 2;
constexpr int kNotDrained = 1;

std::string SettingsFile() {
  if (!FLAGS_settings.empty()) return FLAGS_settings;
  const char* variable = std::getenv("CHERVILWICK_BOOT");
  return variable == nullptr ? "" : variable;
}

int RunFront() {
  std::string file = SettingsFile();
  SettingsError error;
  std::optional<FrontSettings> settings = LoadFrontSettings(file, error);
  if (!settings) {
    std::fprintf(stderr, "%s\n", error.text.c_str());
    return kUsageError;
  }
  if (FLAGS_check_settings) {
    std::printf("%s: ok\n", file.c_str());
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  PlatformProtocol protocol;
  EventLoop loop;
  FrontDaemon daemon(loop, *settings, file, protocol);
  if (auto problem = daemon.Start()) {
    std::fprintf(stderr, "%s: %s\n", file.c_str(), problem->c_str());
    return kUsageError;
  }
  return daemon.Run() ? 0 : kNotDrained;
}

}  // namespace
}  // namespace chervilwick

int main(int argc, char** argv) {
  gflags::SetUsageMessage("takes clients' requests and routes them");
  gflags::SetVersionString(chervilwick::kProgramVersion);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return chervilwick::RunFront();
}
