// Structured log of decisions: one JSON object a line.

#ifndef CHERVILWICK_TELEMETRY_DECISION_LOG_H_
#define CHERVILWICK_TELEMETRY_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <string>
#include <variant>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace chervilwick {

struct LogValue {
  absl::string_view name;
  std::variant<absl::string_view, int64_t, double, bool> value;

  LogValue(absl::string_view n, absl::string_view v) : name(n), value(v) {}
  LogValue(absl::string_view n, const std::string& v)
      : name(n), value(absl::string_view(v)) {}
  LogValue(absl::string_view n, const char* v)
      : name(n), value(absl::string_view(v)) {}
  LogValue(absl::string_view n, bool v) : name(n), value(v) {}
  LogValue(absl::string_view n, double v) : name(n), value(v) {}
  LogValue(absl::string_view n, int v) : name(n), value(int64_t{v}) {}
  LogValue(absl::string_view n, int64_t v) : name(n), value(v) {}
  LogValue(absl::string_view n, uint64_t v)
      : name(n), value(static_cast<int64_t>(v)) {}
  LogValue(absl::string_view n, uint32_t v) : name(n), value(int64_t{v}) {}
  // Milliseconds; null if infinite.
  LogValue(absl::string_view n, absl::Duration v)
      : name(n), value(absl::ToInt64Milliseconds(v)) {
    if (v == absl::InfiniteDuration()) {
      value = std::numeric_limits<double>::infinity();
    }
  }
};

// Buffers lines and writes them when the reader of the descriptor has room. A
// line that doesn't fit is dropped and counted; a write never blocks.
class DecisionLog {
 public:
  DecisionLog(int descriptor, std::string process);
  ~DecisionLog();

  void Write(absl::Time now, absl::string_view event,
             std::initializer_list<LogValue> values);
  // Writes what the reader takes now; called from a timer.
  void Flush();
  // Writes what is buffered; waits for the reader for that long at most.
  void Drain(absl::Duration patience);

  uint64_t lines() const { return lines_; }
  uint64_t dropped() const { return dropped_; }

 private:
  static constexpr size_t kMaxBuffered = size_t{256} << 10;

  int descriptor_;
  std::string process_;
  std::string buffer_;
  uint64_t lines_ = 0;
  uint64_t dropped_ = 0;
  uint64_t dropped_reported_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_TELEMETRY_DECISION_LOG_H_
