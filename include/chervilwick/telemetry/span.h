// Spans: one for each hop of a request.

#ifndef CHERVILWICK_TELEMETRY_SPAN_H_
#define CHERVILWICK_TELEMETRY_SPAN_H_

#include <string>

#include "absl/time/time.h"

namespace chervilwick {

// A finished span. Cores hand these out; a process records them.
struct SpanEnded {
  std::string trace;   // W3C traceparent of the request
  std::string name;    // hop, such as "entry.prefill"
  std::string target;  // backend server or peer, may be empty
  std::string result;  // "ok" or why it ended
  absl::Time start;
  absl::Time end;
};

// 32 hexadecimal digits that name the trace, or empty for a bad traceparent.
std::string TraceIdOf(const std::string& traceparent);

}  // namespace chervilwick

#endif  // CHERVILWICK_TELEMETRY_SPAN_H_
