#include "chervilwick/front/event_splitter.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace chervilwick {
namespace {

constexpr absl::string_view kIdField = "id:";
constexpr absl::string_view kDataField = "data";

// Returns the offset after the last empty line, or 0 if there is none.
size_t EndOfLastEvent(absl::string_view text) {
  size_t lf = text.rfind("\n\n");
  size_t crlf = text.rfind("\n\r\n");
  size_t end = lf == absl::string_view::npos ? 0 : lf + 2;
  if (crlf != absl::string_view::npos && crlf + 3 > end) end = crlf + 3;
  return end;
}

}  // namespace

std::string EventSplitter::Append(absl::string_view bytes) {
  partial_.append(bytes.data(), bytes.size());
  size_t end = EndOfLastEvent(partial_);
  if (end == 0) return "";
  std::string complete = partial_.substr(0, end);
  partial_.erase(0, end);
  CountEvents(complete);
  return complete;
}

std::string EventSplitter::TakeRemainder() {
  return std::exchange(partial_, "");
}

void EventSplitter::CountEvents(absl::string_view events) {
  size_t start = 0;
  size_t line_start = 0;
  while (line_start < events.size()) {
    size_t line_end = std::min(events.find('\n', line_start), events.size());
    absl::string_view line = events.substr(line_start, line_end - line_start);
    line_start = line_end + 1;
    if (!line.empty() && line != "\r") continue;
    CountEvent(events.substr(start, line_end - start));
    start = line_start;
  }
}

void EventSplitter::CountEvent(absl::string_view event) {
  std::optional<uint64_t> id;
  bool has_data = false;
  for (absl::string_view line : absl::StrSplit(event, '\n')) {
    has_data = has_data || absl::StartsWith(line, kDataField);
    if (!absl::StartsWith(line, kIdField)) continue;
    line.remove_prefix(kIdField.size());
    uint64_t number = 0;
    if (absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &number)) {
      id = number;
    }
  }
  bool is_progress = id ? !last_id_ || *id > *last_id_ : has_data;
  if (is_progress) ++events_;
  if (id) last_id_ = id;
}

}  // namespace chervilwick
