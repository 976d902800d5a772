#include "chervilwick/support/utf8.h"

namespace chervilwick {
namespace {

unsigned char ByteAt(absl::string_view text, size_t at) {
  return at < text.size() ? static_cast<unsigned char>(text[at]) : 0;
}

}  // namespace

size_t Utf8Length(absl::string_view text) {
  if (text.empty()) return 0;
  unsigned char first = ByteAt(text, 0);
  if (first < 0x80) return 1;
  if (first < 0xc2 || first > 0xf4) return 0;
  size_t length = first < 0xe0 ? 2 : first < 0xf0 ? 3 : 4;
  if (text.size() < length) return 0;
  // Overlong forms, halves of surrogate pairs and numbers beyond the last
  // character differ in the second byte.
  unsigned char low = first == 0xe0 ? 0xa0 : first == 0xf0 ? 0x90 : 0x80;
  unsigned char high = first == 0xed ? 0x9f : first == 0xf4 ? 0x8f : 0xbf;
  if (ByteAt(text, 1) < low || ByteAt(text, 1) > high) return 0;
  for (size_t n = 2; n < length; ++n) {
    if ((ByteAt(text, n) & 0xc0) != 0x80) return 0;
  }
  return length;
}

}  // namespace chervilwick
