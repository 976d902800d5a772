// Splits a stream of server-sent events at event boundaries.

#ifndef CHERVILWICK_FRONT_EVENT_SPLITTER_H_
#define CHERVILWICK_FRONT_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace chervilwick {

// Buffers an incomplete event until its end arrives, so that a stream that
// breaks off inside an event can be resumed after the last complete event.
// Checks that the events of a resumed run continue those before it.
class EventSplitter {
 public:
  static constexpr size_t kMaxEventBytes = size_t{1} << 20;

  // Begins the events of another run and discards an incomplete event. With
  // `resumed_after`, its ids must go on after that one.
  void BeginRun(std::optional<uint64_t> resumed_after);
  // Adds `bytes` and returns the events that are now complete, up to one that
  // is out of order.
  std::string Append(absl::string_view bytes);
  // Returns and discards the bytes after the last complete event.
  std::string TakeRemainder();
  // Whether the bytes after the last complete event are part of another. A
  // comment, also an unfinished one, is not.
  bool HasPartialEvent() const;
  // The bytes after the last line end; empty between lines.
  absl::string_view UnfinishedLine() const;
  // Whether a resumed run sent an event again, left one out, or began with one
  // that has no id.
  bool IsOutOfOrder() const { return is_out_of_order_; }
  // Whether a resumed run has sent no event yet.
  bool IsResumedRunEmpty() const { return is_resumed_ && run_ids_ == 0; }
  // Whether the run has sent an event with an id or data.
  bool HasRunEvents() const { return run_events_ > 0; }
  // Whether the id of the last event tells a run where to go on.
  bool CanResume() const { return !has_data_without_id_; }

  // Id of the last complete event that had one.
  std::optional<uint64_t> last_id() const { return last_id_; }
  // Number of complete events that made progress: their id is higher than that
  // of the last event with an id or, if they have no id, they contain data.
  uint64_t events() const { return events_; }
  // Whether the incomplete event is larger than any event that engines send.
  bool IsTooLong() const { return partial_.size() > kMaxEventBytes; }
  // Bytes of the event that is not complete yet.
  size_t held_bytes() const { return partial_.size(); }
  // Releases them. The run can't go on.
  void DropPartialEvent() {
    std::string().swap(partial_);
    line_start_ = 0;
  }

 private:
  struct Event {
    std::optional<uint64_t> id;
    bool has_data = false;
    bool has_fields = false;  // lines that are no comments

    void AddLine(absl::string_view line);
  };
  enum class Verdict { kForward, kDrop, kOutOfOrder };

  // Offset where the line at `line_start_` ends.
  std::optional<size_t> FindLineEnd();
  // Appends the event that has just ended to `out` if it may be forwarded.
  void TakeEvent(absl::string_view text, std::string& out);
  Verdict Check(const Event& event) const;
  void Count(const Event& event);

  std::string partial_;       // begins with the event that has not ended
  size_t line_start_ = 0;     // of the line that has not ended, in `partial_`
  Event event_;               // the lines before that one
  bool has_lone_cr_ = false;  // lines of this run end with CR alone
  std::optional<uint64_t> last_id_;
  uint64_t events_ = 0;
  uint64_t next_id_ = 1;     // if ids are consecutive
  uint64_t run_ids_ = 0;     // events with an id in this run
  uint64_t run_events_ = 0;  // events with an id or data in this run
  bool has_ids_ = false;
  bool has_gaps_ = false;  // ids are not consecutive
  bool has_data_without_id_ = false;
  bool is_resumed_ = false;
  bool is_out_of_order_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_EVENT_SPLITTER_H_
