// Line splitting of server-sent events.

#include "chervilwick/engine/sse_reader.h"

namespace chervilwick {
namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

void SseReader::Append(std::string_view bytes,
                       const std::function<void(const std::string&)>& on_data) {
  if (failed_) return;
  buffer_.append(bytes);
  size_t begin = 0;
  while (true) {
    size_t end = buffer_.find('\n', begin);
    if (end == std::string::npos) break;
    std::string_view line(buffer_.data() + begin, end - begin);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    begin = end + 1;
    if (line.substr(0, kDataField.size()) != kDataField) continue;
    line.remove_prefix(kDataField.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    on_data(std::string(line));
  }
  buffer_.erase(0, begin);
  failed_ = buffer_.size() > kMaxEventBytes;
}

}  // namespace chervilwick
