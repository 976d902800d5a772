#include "chervilwick/front/event_splitter.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace chervilwick {
namespace {

constexpr absl::string_view kIdField = "id:";
constexpr absl::string_view kDataField = "data";
constexpr absl::string_view kComment = ":";
// A line ends with LF, CR LF or CR alone.
constexpr absl::string_view kLineEnds = "\r\n";
constexpr absl::string_view kCrLf = "\r\n";

}  // namespace

void EventSplitter::BeginRun(std::optional<uint64_t> resumed_after) {
  partial_.clear();
  line_start_ = 0;
  event_ = Event();
  has_lone_cr_ = false;
  run_ids_ = 0;
  run_events_ = 0;
  is_out_of_order_ = false;
  is_resumed_ = resumed_after.has_value();
  next_id_ = resumed_after.value_or(0) + 1;
}

std::optional<size_t> EventSplitter::FindLineEnd() {
  size_t end = partial_.find_first_of(kLineEnds.data(), line_start_);
  if (end == std::string::npos) return std::nullopt;
  bool is_cr = partial_[end] == '\r';
  bool is_last = end + 1 == partial_.size();
  // A CR may be the first half of a CR LF whose second half is on its way.
  if (is_cr && is_last && !has_lone_cr_) return std::nullopt;
  if (is_cr && !is_last && partial_[end + 1] != '\n') has_lone_cr_ = true;
  return end;
}

std::string EventSplitter::Append(absl::string_view bytes) {
  partial_.append(bytes.data(), bytes.size());
  std::string out;
  size_t event_start = 0;
  while (!is_out_of_order_) {
    std::optional<size_t> end = FindLineEnd();
    if (!end) break;
    absl::string_view line(partial_);
    line = line.substr(line_start_, *end - line_start_);
    bool is_crlf = partial_.compare(*end, kCrLf.size(), kCrLf.data()) == 0;
    line_start_ = *end + (is_crlf ? kCrLf.size() : 1);
    if (!line.empty()) {
      event_.AddLine(line);
      continue;
    }
    absl::string_view text(partial_);
    TakeEvent(text.substr(event_start, line_start_ - event_start), out);
    event_start = line_start_;
  }
  partial_.erase(0, event_start);
  line_start_ -= event_start;
  return out;
}

std::string EventSplitter::TakeRemainder() {
  line_start_ = 0;
  event_ = Event();
  return std::exchange(partial_, "");
}

bool EventSplitter::HasPartialEvent() const {
  absl::string_view line = UnfinishedLine();
  return event_.has_fields ||
         (!line.empty() && !absl::StartsWith(line, kComment));
}

absl::string_view EventSplitter::UnfinishedLine() const {
  absl::string_view line(partial_);
  line.remove_prefix(line_start_);
  absl::ConsumeSuffix(&line, "\r");
  return line;
}

void EventSplitter::TakeEvent(absl::string_view text, std::string& out) {
  Event event = std::exchange(event_, Event());
  Verdict verdict = Check(event);
  if (verdict == Verdict::kOutOfOrder) is_out_of_order_ = true;
  if (verdict != Verdict::kForward) return;
  Count(event);
  absl::StrAppend(&out, text);
}

void EventSplitter::Event::AddLine(absl::string_view line) {
  has_fields = has_fields || !absl::StartsWith(line, kComment);
  has_data = has_data || absl::StartsWith(line, kDataField);
  if (!absl::ConsumePrefix(&line, kIdField)) return;
  uint64_t number = 0;
  if (absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &number)) id = number;
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
  if (event.id || event.has_data) ++run_events_;
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
