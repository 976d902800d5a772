// Lines of decision logs.

#ifndef CHERVILWICK_TELEMETRY_LOG_LINE_H_
#define CHERVILWICK_TELEMETRY_LOG_LINE_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace chervilwick {

// One line of a decision log.
struct LogLine {
  double seconds = 0;  // by the process's own clock
  std::string process;
  std::string event;
  nlohmann::json fields;  // the whole object

  // A field's text; empty if there is none or it is no text.
  std::string Text(const char* name) const;
  // The fields that are the line's own, as "name=value name=value".
  std::string FieldsText() const;
};

// Reads a line; text before its JSON object is skipped. Nothing if it is not a
// line of a decision log.
std::optional<LogLine> ParseLogLine(const std::string& line);

}  // namespace chervilwick

#endif  // CHERVILWICK_TELEMETRY_LOG_LINE_H_
