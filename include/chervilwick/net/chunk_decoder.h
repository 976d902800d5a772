// Incremental decoder of chunked bodies (RFC 9112, 7.1).

#ifndef CHERVILWICK_NET_CHUNK_DECODER_H_
#define CHERVILWICK_NET_CHUNK_DECODER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"

namespace chervilwick {

class ChunkDecoder {
 public:
  using Sink = std::function<void(absl::string_view)>;

  // Begins the next body. `max_line_bytes` limits the line before a chunk, and
  // all trailer fields together.
  void Reset(size_t max_line_bytes);
  // Decodes bytes up to the end of the body or to an error; returns how many
  // were taken. The trailer fields are checked and dropped.
  size_t Feed(absl::string_view bytes, const Sink& sink);
  bool IsDone() const { return state_ == State::kDone; }
  bool HasFailed() const { return state_ == State::kFailed; }

 private:
  enum class State { kSize, kData, kDataEnd, kTrailer, kDone, kFailed };

  size_t FeedData(absl::string_view bytes, const Sink& sink);
  size_t FeedLine(absl::string_view bytes);
  State NextState(absl::string_view line);

  State state_ = State::kSize;
  std::string line_;          // that has not ended
  uint64_t left_ = 0;         // bytes of the chunk
  size_t trailer_bytes_ = 0;  // so far
  size_t max_line_bytes_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_NET_CHUNK_DECODER_H_
