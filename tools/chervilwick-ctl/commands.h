// Commands of the operators' tool.

#ifndef CHERVILWICK_TOOLS_CTL_COMMANDS_H_
#define CHERVILWICK_TOOLS_CTL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "client.h"

namespace chervilwick {

// Exit codes, the same for all commands.
enum ExitCode : int {
  kExitOk = 0,
  kExitNotAccepted = 1,
  kExitUsage = 2,
  kExitUnknown = 3,      // find out with `config resolve`
  kExitUnreachable = 4,  // no entry answered
  kExitGateStopped = 5,  // a return stopped at its health gate
};

// Who changes what and why.
struct ChangeOptions {
  std::string author;
  std::string reason;
  std::string patch_id;
  uint64_t base = 0;
  bool has_base = false;
  bool force = false;
};

// How a return is done.
struct ReturnOptions {
  std::vector<uint32_t> steps;  // percent of traffic
  absl::Duration interval;      // between steps
  double max_failed_share = 0;  // of the requests to the new pools
  double max_late_share = 0;
  uint64_t min_requests = 0;  // judged at each step
};

int ShowStatus(AdminClient& client);
// State of a front, by its control address, as a table or as JSON.
int ShowFront(AdminClient& client, const std::string& address, bool as_json);
int ShowConfig(AdminClient& client, const std::string& number);
int ShowDiff(AdminClient& client, const std::string& from,
             const std::string& to);
int ShowHistory(AdminClient& client);
int SubmitPatch(AdminClient& client, const std::string& file,
                const ChangeOptions& options);
// Submits an inline patch.
int SubmitPatchText(AdminClient& client, const std::string& patch,
                    const ChangeOptions& options);
int Retreat(AdminClient& client, const std::string& to,
            const ChangeOptions& options);
int MarkGood(AdminClient& client, const std::string& number,
             const std::string& name);
int Return(AdminClient& client, const std::string& to,
           const ChangeOptions& change, const ReturnOptions& options);
int Drain(AdminClient& client, const std::string& server, bool drained,
          const ChangeOptions& options);

// Number of the version in force at the first entry that answers, or nothing.
std::optional<uint64_t> CurrentNumber(AdminClient& client);
// Content of a version; empty number: the current one.
std::optional<nlohmann::json> FetchContent(AdminClient& client,
                                           const std::string& number);
// Prints a verdict and returns its exit code.
int Report(AdminClient& client, const std::optional<AdminAnswer>& answer);
// Completes the options that were not given: base, patch id, author.
bool Complete(AdminClient& client, ChangeOptions& options);

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_CTL_COMMANDS_H_
