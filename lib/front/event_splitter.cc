#include "chervilwick/front/event_splitter.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace chervilwick {
namespace {

constexpr absl::string_view kIdField = "id:";
constexpr absl::string_view kDataField = "data";
constexpr absl::string_view kComment = ":";

// Returns the offset after the last empty line, or 0 if there is none.
size_t EndOfLastEvent(absl::string_view text) {
  size_t lf = text.rfind("\n\n");
  size_t crlf = text.rfind("\n\r\n");
  size_t end = lf == absl::string_view::npos ? 0 : lf + 2;
  if (crlf != absl::string_view::npos && crlf + 3 > end) end = crlf + 3;
  return end;
}

}  // namespace

void EventSplitter::BeginRun(std::optional<uint64_t> resumed_after) {
  partial_.clear();
  run_ids_ = 0;
  is_out_of_order_ = false;
  is_resumed_ = resumed_after.has_value();
  next_id_ = resumed_after.value_or(0) + 1;
}

std::string EventSplitter::Append(absl::string_view bytes) {
  partial_.append(bytes.data(), bytes.size());
  size_t end = EndOfLastEvent(partial_);
  if (end == 0 || is_out_of_order_) return "";
  std::string complete = partial_.substr(0, end);
  partial_.erase(0, end);
  return TakeEvents(complete);
}

std::string EventSplitter::TakeRemainder() {
  return std::exchange(partial_, "");
}

bool EventSplitter::HasPartialEvent() const {
  std::vector<absl::string_view> lines = absl::StrSplit(partial_, '\n');
  return std::any_of(lines.begin(), lines.end(), [](absl::string_view it) {
    return !it.empty() && it != "\r" && !absl::StartsWith(it, kComment);
  });
}

std::string EventSplitter::TakeEvents(absl::string_view events) {
  std::string out;
  size_t start = 0;
  size_t line_start = 0;
  while (line_start < events.size()) {
    size_t line_end = std::min(events.find('\n', line_start), events.size());
    absl::string_view line = events.substr(line_start, line_end - line_start);
    line_start = line_end + 1;
    if (!line.empty() && line != "\r") continue;
    absl::string_view text = events.substr(start, line_start - start);
    start = line_start;
    Event event = Parse(text);
    Verdict verdict = Check(event);
    if (verdict == Verdict::kOutOfOrder) {
      is_out_of_order_ = true;
      return out;
    }
    if (verdict == Verdict::kDrop) continue;
    Count(event);
    absl::StrAppend(&out, text);
  }
  return out;
}

EventSplitter::Event EventSplitter::Parse(absl::string_view text) {
  Event event;
  for (absl::string_view line : absl::StrSplit(text, '\n')) {
    event.has_data = event.has_data || absl::StartsWith(line, kDataField);
    if (!absl::StartsWith(line, kIdField)) continue;
    line.remove_prefix(kIdField.size());
    uint64_t number = 0;
    if (absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &number)) {
      event.id = number;
    }
  }
  return event;
}

EventSplitter::Verdict EventSplitter::Check(const Event& event) const {
  if (!is_resumed_) return Verdict::kForward;
  if (!event.id) {
    if (run_ids_ > 0) return Verdict::kForward;
    return event.has_data ? Verdict::kOutOfOrder : Verdict::kDrop;
  }
  bool is_repeated = *event.id < next_id_;
  bool is_gap = *event.id > next_id_ && has_ids_ && !has_gaps_;
  return is_repeated || is_gap ? Verdict::kOutOfOrder : Verdict::kForward;
}

void EventSplitter::Count(const Event& event) {
  bool is_progress =
      event.id ? !last_id_ || *event.id > *last_id_ : event.has_data;
  if (is_progress) ++events_;
  if (!event.id) {
    has_data_without_id_ = has_data_without_id_ || event.has_data;
    return;
  }
  has_gaps_ = has_gaps_ || *event.id != next_id_;
  has_ids_ = true;
  has_data_without_id_ = false;
  last_id_ = event.id;
  next_id_ = *event.id + 1;
  ++run_ids_;
}

}  // namespace chervilwick
