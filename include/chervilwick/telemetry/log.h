// Log lines for changes of state. What happens often is counted instead.

#ifndef CHERVILWICK_TELEMETRY_LOG_H_
#define CHERVILWICK_TELEMETRY_LOG_H_

#include <string>
#include <vector>

namespace chervilwick {

struct LogField {
  std::string name;
  std::string value;
};

// Sets up logging to standard error, once per process.
void InitLogging(const std::string& process);
// Writes one structured line: event, then name="value" pairs.
void LogState(const std::string& event, const std::vector<LogField>& fields);
void LogProblem(const std::string& event, const std::vector<LogField>& fields);

}  // namespace chervilwick

#endif  // CHERVILWICK_TELEMETRY_LOG_H_
