// Operators' tool.

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "chervilwick/settings/settings.h"
#include "chervilwick/support/version.h"
#include "chervilwick/telemetry/log_timeline.h"
#include "chervilwick/telemetry/request_story.h"
#include "commands.h"

DEFINE_string(entries, "127.0.0.1:8080",
              "ip:port of entries, separated by commas; asked in turn");
DEFINE_string(author, "", "who makes the change (default: the user)");
DEFINE_string(reason, "", "why the change is made");
DEFINE_string(patch_id, "", "id of the submission (default: drawn)");
DEFINE_int64(base, -1, "version that the change is against (default: current)");
DEFINE_bool(force, false,
            "accept a version that leaves a route without a pool");
DEFINE_string(to, "", "retreat, return: version number or known-good name");
DEFINE_string(steps, "10,50,100", "return: percent of traffic at each step");
DEFINE_string(interval, "30s", "return: time between steps");
DEFINE_double(max_failed, 0.01, "return: share of failed requests allowed");
DEFINE_double(max_late, 0.1, "return: share of late first tokens allowed");
DEFINE_string(step, "2s", "timeline: length of a step");
DEFINE_bool(json, false, "front, timeline: print JSON");
DEFINE_uint64(min_requests, 20, "return: requests needed to judge a step");

namespace chervilwick {
namespace {

constexpr char kUsage[] =
    "chervilwick-ctl: administration of the router.\n"
    "  status                        versions and liveness, by host\n"
    "  config show [N|name]          content of a version\n"
    "  config diff A B               change from version A to version B\n"
    "  config history                latest versions\n"
    "  config patch FILE             submit a merge patch (RFC 7396)\n"
    "  config resolve FILE           submit again with the same --base and\n"
    "                                --patch_id to learn what became of it\n"
    "  config good N NAME            keep version N as known-good NAME\n"
    "  retreat --to=N|NAME           go back to a known-good version, at once\n"
    "  return --to=N|NAME            go forward again in steps behind a gate\n"
    "  drain SERVER | undrain SERVER stop or resume new work at a server\n"
    "  check entry|agent|front FILE  check a settings file\n"
    "  front ADDRESS                 state of a front, by its control "
    "address;\n"
    "                                --json for programs\n"
    "  explain ID [FILE...]          what fronts' logs tell of a request;\n"
    "                                from standard input without files\n"
    "  timeline [FILE...]            how often what happened, by --step, and\n"
    "                                what changed; --json for programs\n"
    "Exit codes: 0 done, 1 not accepted, 2 usage, 3 outcome unknown, 4 no "
    "entry\n"
    "answered, 5 a return was stopped by its gate.";

ChangeOptions ReadChange() {
  ChangeOptions change;
  change.author = FLAGS_author;
  change.reason = FLAGS_reason;
  change.patch_id = FLAGS_patch_id;
  change.force = FLAGS_force;
  change.has_base = FLAGS_base >= 0;
  if (change.has_base) change.base = static_cast<uint64_t>(FLAGS_base);
  return change;
}

int Usage(const std::string& problem) {
  std::fprintf(stderr, "%s; see chervilwick-ctl --help\n", problem.c_str());
  return kExitUsage;
}

bool ReadReturn(ReturnOptions& options) {
  for (absl::string_view it : absl::StrSplit(FLAGS_steps, ',')) {
    uint32_t percent = 0;
    if (!absl::SimpleAtoi(it, &percent) || percent == 0 || percent > 100) {
      return false;
    }
    options.steps.push_back(percent);
  }
  options.max_failed_share = FLAGS_max_failed;
  options.max_late_share = FLAGS_max_late;
  options.min_requests = FLAGS_min_requests;
  return absl::ParseDuration(FLAGS_interval, &options.interval);
}

int CheckFile(const std::string& kind, const std::string& file) {
  SettingsError error;
  bool ok = false;
  if (kind == "entry") {
    ok = LoadEntrySettings(file, error).has_value();
  } else if (kind == "front") {
    ok = LoadFrontSettings(file, error).has_value();
  } else {
    ok = LoadAgentSettings(file, error).has_value();
  }
  std::printf("%s\n", ok ? (file + ": ok").c_str() : error.text.c_str());
  return ok ? kExitOk : kExitUsage;
}

int RunConfig(AdminClient& client, const std::vector<std::string>& words) {
  const std::string& verb = words.size() > 1 ? words[1] : "";
  size_t n = words.size();
  if (verb == "show" && n <= 3) {
    return ShowConfig(client, n == 3 ? words[2] : "");
  }
  if (verb == "diff" && n == 4) return ShowDiff(client, words[2], words[3]);
  if (verb == "history" && n == 2) return ShowHistory(client);
  if (verb == "good" && n == 4) return MarkGood(client, words[2], words[3]);
  if (verb == "patch" && n == 3) {
    if (FLAGS_reason.empty()) return Usage("--reason is required");
    return SubmitPatch(client, words[2], ReadChange());
  }
  if (verb == "resolve" && n == 3) {
    bool complete = FLAGS_base >= 0 && !FLAGS_patch_id.empty();
    if (!complete) return Usage("--base and --patch_id are required");
    ChangeOptions change = ReadChange();
    if (change.reason.empty()) change.reason = "resolve";
    return SubmitPatch(client, words[2], change);
  }
  return Usage("unknown config command");
}

// Reads the files named from that word on, or standard input if there are none.
// Returns the name of a file that can't be read.
std::optional<std::string> ReadLogs(const std::vector<std::string>& words,
                                    size_t first, std::stringstream& logs) {
  if (words.size() == first) logs << std::cin.rdbuf();
  for (size_t it = first; it < words.size(); ++it) {
    std::ifstream file(words[it]);
    if (!file) return words[it];
    logs << file.rdbuf() << '\n';
  }
  return std::nullopt;
}

int ShowTimeline(const std::vector<std::string>& words) {
  absl::Duration step;
  if (!absl::ParseDuration(FLAGS_step, &step) || step < absl::Milliseconds(1)) {
    return Usage("bad --step");
  }
  std::stringstream logs;
  if (auto file = ReadLogs(words, 1, logs)) {
    return Usage(*file + ": can't be read");
  }
  std::optional<Timeline> timeline = ReadTimeline(logs, step);
  if (!timeline) {
    std::fprintf(stderr,
                 "no line has a time: include each process's `clock` line, "
                 "written at its start and every minute\n");
    return kExitNotAccepted;
  }
  std::string text = FLAGS_json ? TimelineJson(*timeline).dump(2) + "\n"
                                : FormatTimeline(*timeline);
  std::printf("%s", text.c_str());
  return kExitOk;
}

int Explain(const std::vector<std::string>& words) {
  std::stringstream logs;
  if (auto file = ReadLogs(words, 2, logs)) {
    return Usage(*file + ": can't be read");
  }
  std::optional<RequestStory> story = ReadStory(logs, words[1]);
  if (!story) {
    std::fprintf(stderr,
                 "no line tells of %s: look in the logs of all fronts of its "
                 "time\n",
                 words[1].c_str());
    return kExitNotAccepted;
  }
  std::printf("%s", FormatStory(*story).c_str());
  return kExitOk;
}

int RunCommand(const std::vector<std::string>& words) {
  AdminClient client(absl::StrSplit(FLAGS_entries, ','));
  const std::string& verb = words[0];
  size_t n = words.size();
  if (verb == "status" && n == 1) return ShowStatus(client);
  if (verb == "config") return RunConfig(client, words);
  if (verb == "explain" && n >= 2) return Explain(words);
  if (verb == "timeline") return ShowTimeline(words);
  if (verb == "front" && n == 2) {
    return ShowFront(client, words[1], FLAGS_json);
  }
  if (verb == "check" && n == 3) return CheckFile(words[1], words[2]);
  bool changes = verb == "retreat" || verb == "return" || verb == "drain" ||
                 verb == "undrain";
  if (!changes) return Usage("unknown command");
  if (FLAGS_reason.empty()) return Usage("--reason is required");
  ChangeOptions change = ReadChange();
  if (verb == "drain" && n == 2) return Drain(client, words[1], true, change);
  if (verb == "undrain" && n == 2) {
    return Drain(client, words[1], false, change);
  }
  if (FLAGS_to.empty()) return Usage("--to is required");
  if (verb == "retreat") return Retreat(client, FLAGS_to, change);
  ReturnOptions options;
  if (!ReadReturn(options)) return Usage("bad --steps or --interval");
  return Return(client, FLAGS_to, change, options);
}

}  // namespace
}  // namespace chervilwick

int main(int argc, char** argv) {
  gflags::SetUsageMessage(chervilwick::kUsage);
  gflags::SetVersionString(chervilwick::kProgramVersion);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<std::string> words(argv + 1, argv + argc);
  if (words.empty()) return chervilwick::Usage("no command");
  return chervilwick::RunCommand(words);
}
