// Incremental reader of server-sent events.

#ifndef CHERVILWICK_ENGINE_SSE_READER_H_
#define CHERVILWICK_ENGINE_SSE_READER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace chervilwick {

// Extracts the data lines of events from a byte stream. Fails permanently if an
// unfinished line exceeds kMaxEventBytes.
class SseReader {
 public:
  static constexpr size_t kMaxEventBytes = size_t{1} << 20;

  // Calls `on_data` with the data of each complete line.
  void Append(std::string_view bytes,
              const std::function<void(const std::string&)>& on_data);
  bool HasFailed() const { return failed_; }

 private:
  std::string buffer_;
  bool failed_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENGINE_SSE_READER_H_
