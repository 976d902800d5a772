// UTF-8 text (RFC 3629).

#ifndef CHERVILWICK_SUPPORT_UTF8_H_
#define CHERVILWICK_SUPPORT_UTF8_H_

#include <cstddef>

#include "absl/strings/string_view.h"

namespace chervilwick {

// Length in bytes of the character that text begins with; 0 if its first bytes
// are none.
size_t Utf8Length(absl::string_view text);

}  // namespace chervilwick

#endif  // CHERVILWICK_SUPPORT_UTF8_H_
