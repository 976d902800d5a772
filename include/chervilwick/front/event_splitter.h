// Cuts a stream of server-sent events at the ends of events.

#ifndef CHERVILWICK_FRONT_EVENT_SPLITTER_H_
#define CHERVILWICK_FRONT_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace chervilwick {

// Holds back an event until its end has come, so that a stream that breaks off
// inside an event can go on from the last whole one.
class EventSplitter {
 public:
  static constexpr size_t kMaxEventBytes = size_t{1} << 20;

  // Takes bytes; returns the whole events that they complete.
  std::string Append(absl::string_view bytes);
  // Bytes after the last whole event.
  std::string TakeRest();
  void DropRest() { held_.clear(); }

  // Id of the last whole event that had one.
  std::optional<uint64_t> last_id() const { return last_id_; }
  // Whole events that brought something new: a higher id or, without ids, data.
  uint64_t events() const { return events_; }
  // Whether an event has grown beyond any that an engine makes.
  bool IsTooLong() const { return held_.size() > kMaxEventBytes; }

 private:
  void NoteEvents(absl::string_view events);
  void NoteEvent(absl::string_view event);

  std::string held_;
  std::optional<uint64_t> last_id_;
  uint64_t events_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_EVENT_SPLITTER_H_
