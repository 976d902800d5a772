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
  // Whether the bytes after the last complete event are part of another.
  bool HasPartialEvent() const;
  // Whether a resumed run sent an event again, left one out, or began with one
  // that has no id.
  bool IsOutOfOrder() const { return is_out_of_order_; }
  // Whether a resumed run has sent no event yet.
  bool IsResumedRunEmpty() const { return is_resumed_ && run_ids_ == 0; }
  // Whether the id of the last event tells a run where to go on.
  bool CanResume() const { return !has_data_without_id_; }

  // Id of the last complete event that had one.
  std::optional<uint64_t> last_id() const { return last_id_; }
  // Number of complete events that made progress: their id is higher than that
  // of the last event with an id or, if they have no id, they contain data.
  uint64_t events() const { return events_; }
  // Whether the incomplete event is larger than any event that engines send.
  bool IsTooLong() const { return partial_.size() > kMaxEventBytes; }

 private:
  struct Event {
    std::optional<uint64_t> id;
    bool has_data = false;
  };
  enum class Verdict { kForward, kDrop, kOutOfOrder };

  static Event Parse(absl::string_view text);
  std::string TakeEvents(absl::string_view events);
  Verdict Check(const Event& event) const;
  void Count(const Event& event);

  std::string partial_;
  std::optional<uint64_t> last_id_;
  uint64_t events_ = 0;
  uint64_t next_id_ = 1;  // if ids are consecutive
  uint64_t run_ids_ = 0;  // events with an id in this run
  bool has_ids_ = false;
  bool has_gaps_ = false;  // ids are not consecutive
  bool has_data_without_id_ = false;
  bool is_resumed_ = false;
  bool is_out_of_order_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_EVENT_SPLITTER_H_
