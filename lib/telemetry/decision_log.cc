// Structured log of decisions.

#include "chervilwick/telemetry/decision_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "chervilwick/support/overloaded.h"
#include "chervilwick/support/utf8.h"

namespace chervilwick {
namespace {

// Longest text value; bytes from outside may be of any length.
constexpr size_t kMaxText = 200;

void AppendText(std::string& out, absl::string_view text) {
  out += '"';
  text = text.substr(0, kMaxText);
  while (!text.empty()) {
    size_t length = Utf8Length(text);
    auto c = static_cast<unsigned char>(text[0]);
    // A byte that is no character is written as the one of that number.
    bool is_escaped = length == 0 || c < 0x20 || c == 0x7f;
    length = std::max<size_t>(length, 1);
    if (is_escaped) {
      absl::StrAppendFormat(&out, "\\u%04x", c);
    } else {
      if (c == '"' || c == '\\') out += '\\';
      absl::StrAppend(&out, text.substr(0, length));
    }
    text.remove_prefix(length);
  }
  out += '"';
}

void AppendValue(std::string& out, const LogValue& value) {
  AppendText(out, value.name);
  out += ':';
  std::visit(Overloaded{
                 [&](absl::string_view text) { AppendText(out, text); },
                 [&](int64_t n) { absl::StrAppend(&out, n); },
                 [&](double n) {
                   out += std::isfinite(n) ? absl::StrFormat("%.3f", n)
                                           : std::string("null");
                 },
                 [&](bool flag) { out += flag ? "true" : "false"; },
             },
             value.value);
}

}  // namespace

DecisionLog::DecisionLog(int descriptor, std::string process)
    : descriptor_(descriptor), process_(std::move(process)) {}

DecisionLog::~DecisionLog() { Flush(); }

void DecisionLog::Write(absl::Time now, absl::string_view event,
                        std::initializer_list<LogValue> values) {
  if (buffer_.size() >= kMaxBuffered) {
    ++dropped_;
    return;
  }
  absl::StrAppendFormat(&buffer_, "{\"t\":%.3f,\"process\":",
                        absl::ToDoubleSeconds(now - absl::UnixEpoch()));
  AppendText(buffer_, process_);
  absl::StrAppend(&buffer_, ",\"event\":");
  AppendText(buffer_, event);
  for (const LogValue& it : values) {
    buffer_ += ',';
    AppendValue(buffer_, it);
  }
  buffer_ += "}\n";
  ++lines_;
}

void DecisionLog::Flush() {
  if (dropped_ != dropped_reported_ && buffer_.size() < kMaxBuffered) {
    uint64_t n = dropped_ - std::exchange(dropped_reported_, dropped_);
    absl::StrAppend(&buffer_, "{\"event\":\"log_lines_dropped\",\"lines\":", n,
                    "}\n");
  }
  // A pipe that polls writable takes PIPE_BUF bytes without blocking.
  while (!buffer_.empty()) {
    pollfd ready{descriptor_, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return;
    size_t size = std::min<size_t>(buffer_.size(), PIPE_BUF);
    ssize_t n = write(descriptor_, buffer_.data(), size);
    if (n <= 0) return;
    buffer_.erase(0, static_cast<size_t>(n));
  }
}

void DecisionLog::Drain(absl::Duration patience) {
  auto until =
      std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(patience);
  Flush();
  while (!buffer_.empty()) {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    pollfd ready{descriptor_, POLLOUT, 0};
    if (left.count() <= 0 ||
        poll(&ready, 1, static_cast<int>(left.count())) != 1 ||
        (ready.revents & POLLOUT) == 0) {
      return;
    }
    Flush();
  }
}

}  // namespace chervilwick
