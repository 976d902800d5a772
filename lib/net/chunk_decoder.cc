// Incremental decoder of chunked bodies.

#include "chervilwick/net/chunk_decoder.h"

#include <algorithm>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "chervilwick/net/http_syntax.h"

namespace chervilwick {
namespace {

constexpr absl::string_view kLineEnd = "\r\n";

}  // namespace

void ChunkDecoder::Reset(size_t max_line_bytes) {
  state_ = State::kSize;
  line_ = std::string();
  left_ = 0;
  trailer_bytes_ = 0;
  max_line_bytes_ = max_line_bytes;
}

size_t ChunkDecoder::Feed(absl::string_view bytes, const Sink& sink) {
  size_t taken = 0;
  while (taken < bytes.size() && !IsDone() && !HasFailed()) {
    absl::string_view rest = bytes.substr(taken);
    taken += state_ == State::kData ? FeedData(rest, sink) : FeedLine(rest);
  }
  return taken;
}

size_t ChunkDecoder::FeedData(absl::string_view bytes, const Sink& sink) {
  size_t n = std::min<uint64_t>(bytes.size(), left_);
  left_ -= n;
  if (left_ == 0) state_ = State::kDataEnd;
  sink(bytes.substr(0, n));
  return n;
}

size_t ChunkDecoder::FeedLine(absl::string_view bytes) {
  size_t end = bytes.find('\n');
  size_t n = end == absl::string_view::npos ? bytes.size() : end + 1;
  absl::StrAppend(&line_, bytes.substr(0, n));
  size_t limit = state_ == State::kDataEnd ? kLineEnd.size()
                                           : max_line_bytes_ - trailer_bytes_;
  bool is_size = state_ != State::kSize || absl::ascii_isxdigit(line_[0]);
  if (line_.size() > limit || !is_size) {
    state_ = State::kFailed;
    return n;
  }
  if (end == absl::string_view::npos) return n;
  absl::string_view line = line_;
  state_ =
      absl::ConsumeSuffix(&line, kLineEnd) ? NextState(line) : State::kFailed;
  line_.clear();
  return n;
}

ChunkDecoder::State ChunkDecoder::NextState(absl::string_view line) {
  if (state_ == State::kSize) {
    std::optional<uint64_t> size = ParseChunkSize(line);
    if (!size) return State::kFailed;
    left_ = *size;
    return left_ == 0 ? State::kTrailer : State::kData;
  }
  if (state_ == State::kDataEnd) {
    return line.empty() ? State::kSize : State::kFailed;
  }
  trailer_bytes_ += line_.size();
  if (line.empty()) return State::kDone;
  return ParseFieldLine(line) ? State::kTrailer : State::kFailed;
}

}  // namespace chervilwick
