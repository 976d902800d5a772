// Grammar of status lines, field lines and chunk sizes (RFC 9110, RFC 9112).
//
// http-parser accepts more than the grammar, so what it would let through is
// refused before it is parsed. Lines are given without their line end.

#ifndef CHERVILWICK_NET_HTTP_SYNTAX_H_
#define CHERVILWICK_NET_HTTP_SYNTAX_H_

#include <cstdint>
#include <optional>

#include "absl/strings/string_view.h"

namespace chervilwick {

struct FieldLine {
  absl::string_view name;
  absl::string_view value;  // without the whitespace around it
};

// Parses a line of a header or trailer section; nullopt if it is malformed.
std::optional<FieldLine> ParseFieldLine(absl::string_view line);

// Whether a field line carries that value unchanged: it is not empty and has
// neither control bytes other than tabs nor whitespace at its ends.
bool IsFieldValue(absl::string_view value);

// Whether a response may begin with that line: HTTP/1, a status from 100 to
// 599. The space before an empty reason may be missing.
bool IsStatusLine(absl::string_view line);

// Parses the size and the extensions of a chunk. Returns the size in bytes;
// nullopt if the line is malformed.
std::optional<uint64_t> ParseChunkSize(absl::string_view line);

}  // namespace chervilwick

#endif  // CHERVILWICK_NET_HTTP_SYNTAX_H_
