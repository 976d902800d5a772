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
class EventSplitter {
 public:
  static constexpr size_t kMaxEventBytes = size_t{1} << 20;

  // Adds `bytes` and returns the events that are now complete.
  std::string Append(absl::string_view bytes);
  // Returns and discards the bytes after the last complete event.
  std::string TakeRemainder();
  void DiscardRemainder() { partial_.clear(); }

  // Id of the last complete event that had one.
  std::optional<uint64_t> last_id() const { return last_id_; }
  // Number of complete events that made progress: their id is higher than that
  // of the last event with an id or, if they have no id, they contain data.
  uint64_t events() const { return events_; }
  // Whether the incomplete event is larger than any event that engines send.
  bool IsTooLong() const { return partial_.size() > kMaxEventBytes; }

 private:
  void CountEvents(absl::string_view events);
  void CountEvent(absl::string_view event);

  std::string partial_;
  std::optional<uint64_t> last_id_;
  uint64_t events_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_EVENT_SPLITTER_H_
