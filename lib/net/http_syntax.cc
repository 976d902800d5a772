// Grammar of status lines, field lines and chunk sizes.

#include "chervilwick/net/http_syntax.h"

#include <algorithm>
#include <limits>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

namespace chervilwick {
namespace {

// RFC 9110, 5.6.2: characters of a token besides letters and digits.
constexpr absl::string_view kTokenSigns = "!#$%&'*+-.^_`|~";
constexpr absl::string_view kWhitespace = " \t";
constexpr absl::string_view kVersion = "HTTP/1.";
constexpr size_t kStatusDigits = 3;
constexpr int kSwitchingProtocols = 101;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

bool IsTokenChar(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
         kTokenSigns.find(c) != absl::string_view::npos;
}

bool IsTextChar(char c) {
  return c == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(c));
}

bool IsText(absl::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTextChar);
}

absl::string_view StripWhitespace(absl::string_view text) {
  size_t begin = text.find_first_not_of(kWhitespace);
  if (begin == absl::string_view::npos) return "";
  return text.substr(begin, text.find_last_not_of(kWhitespace) - begin + 1);
}

}  // namespace

std::optional<FieldLine> ParseFieldLine(absl::string_view line) {
  size_t colon = line.find(':');
  if (colon == absl::string_view::npos || colon == 0) return std::nullopt;
  FieldLine field{line.substr(0, colon),
                  StripWhitespace(line.substr(colon + 1))};
  bool is_valid =
      std::all_of(field.name.begin(), field.name.end(), IsTokenChar) &&
      IsText(field.value);
  if (!is_valid) return std::nullopt;
  return field;
}

bool IsFieldValue(absl::string_view value) {
  return !value.empty() && IsText(value) &&
         StripWhitespace(value).size() == value.size();
}

bool IsStatusLine(absl::string_view line) {
  if (!absl::ConsumePrefix(&line, kVersion)) return false;
  // The minor version is one digit.
  if (line.size() < 2 || !absl::ascii_isdigit(line[0]) || line[1] != ' ') {
    return false;
  }
  line.remove_prefix(2);
  absl::string_view digits = line.substr(0, kStatusDigits);
  int status = 0;
  bool is_number =
      digits.size() == kStatusDigits &&
      std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit) &&
      absl::SimpleAtoi(digits, &status);
  // No request offers an upgrade, so no server may switch protocols.
  if (!is_number || status < kMinStatus || status > kMaxStatus ||
      status == kSwitchingProtocols) {
    return false;
  }
  absl::string_view reason = line.substr(kStatusDigits);
  return reason.empty() || (reason[0] == ' ' && IsText(reason));
}

std::optional<uint64_t> ParseChunkSize(absl::string_view line) {
  uint64_t size = 0;
  size_t digits = 0;
  for (; digits < line.size() && absl::ascii_isxdigit(line[digits]); ++digits) {
    if (size > std::numeric_limits<uint64_t>::max() >> 4) return std::nullopt;
    char digit = absl::ascii_tolower(line[digits]);
    size = size << 4 |
           static_cast<uint64_t>(absl::ascii_isdigit(digit) ? digit - '0'
                                                            : digit - 'a' + 10);
  }
  if (digits == 0) return std::nullopt;
  // Some servers pad the size with spaces.
  absl::string_view extensions = StripWhitespace(line.substr(digits));
  bool is_valid =
      extensions.empty() || (extensions[0] == ';' && IsText(extensions));
  if (!is_valid) return std::nullopt;
  return size;
}

}  // namespace chervilwick
