// Request targets.

#include "chervilwick/net/http_target.h"

#include <cstddef>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_split.h"

namespace chervilwick {
namespace {

// Decodes "%41" and "+"; a broken escape stays as it is.
std::string DecodeQuery(absl::string_view text) {
  std::string out;
  for (size_t n = 0; n < text.size(); ++n) {
    bool escape = text[n] == '%' && n + 2 < text.size() &&
                  absl::ascii_isxdigit(text[n + 1]) &&
                  absl::ascii_isxdigit(text[n + 2]);
    if (escape) {
      out += absl::HexStringToBytes(text.substr(n + 1, 2));
      n += 2;
    } else {
      out += text[n] == '+' ? ' ' : text[n];
    }
  }
  return out;
}

}  // namespace

HttpTarget HttpTarget::Parse(absl::string_view target) {
  HttpTarget parsed;
  std::pair<absl::string_view, absl::string_view> parts =
      absl::StrSplit(target, absl::MaxSplits('?', 1));
  parsed.path.assign(parts.first.data(), parts.first.size());
  for (absl::string_view it :
       absl::StrSplit(parts.second, '&', absl::SkipEmpty())) {
    std::pair<absl::string_view, absl::string_view> param =
        absl::StrSplit(it, absl::MaxSplits('=', 1));
    parsed.params.emplace(DecodeQuery(param.first), DecodeQuery(param.second));
  }
  return parsed;
}

std::string HttpTarget::Param(const std::string& name) const {
  auto it = params.find(name);
  return it == params.end() ? std::string() : it->second;
}

}  // namespace chervilwick
