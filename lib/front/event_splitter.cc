// Cuts a stream of server-sent events at the ends of events.

#include "chervilwick/front/event_splitter.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace chervilwick {
namespace {

constexpr absl::string_view kIdField = "id:";

// Position after the last empty line; 0 if there is none.
size_t EndOfLastEvent(absl::string_view text) {
  size_t lf = text.rfind("\n\n");
  size_t crlf = text.rfind("\n\r\n");
  size_t end = lf == absl::string_view::npos ? 0 : lf + 2;
  if (crlf != absl::string_view::npos && crlf + 3 > end) end = crlf + 3;
  return end;
}

}  // namespace

std::string EventSplitter::Append(absl::string_view bytes) {
  held_.append(bytes.data(), bytes.size());
  size_t end = EndOfLastEvent(held_);
  if (end == 0) return "";
  std::string whole = held_.substr(0, end);
  held_.erase(0, end);
  NoteIds(whole);
  return whole;
}

std::string EventSplitter::TakeRest() { return std::exchange(held_, ""); }

void EventSplitter::NoteIds(absl::string_view events) {
  for (absl::string_view line : absl::StrSplit(events, '\n')) {
    if (!absl::StartsWith(line, kIdField)) continue;
    line.remove_prefix(kIdField.size());
    uint64_t id = 0;
    if (!absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &id)) continue;
    last_id_ = id;
    ++events_;
  }
}

}  // namespace chervilwick
