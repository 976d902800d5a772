// Framing of envelopes on byte streams and datagrams.

#ifndef CHERVILWICK_WIRE_CODEC_H_
#define CHERVILWICK_WIRE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chervilwick/wire/messages.h"

namespace chervilwick {

inline constexpr uint32_t kFrameMagic = 0x43485257;
inline constexpr uint16_t kProtocolVersion = 1;
inline constexpr size_t kFrameHeaderBytes = 12;
inline constexpr size_t kMaxFrameBytes = size_t{4} << 20;

enum class WireError {
  kNone,
  kBadMagic,
  kBadProtocolVersion,
  kFrameTooLarge,
  kMalformed,
};

const char* WireErrorName(WireError error);

// Returns a whole frame: magic, protocol version, flags, length, envelope.
std::string EncodeFrame(const Envelope& envelope);

// Cuts frames out of a byte stream. After an error it returns nothing more;
// the connection is to be closed.
class FrameReader {
 public:
  void Append(std::string_view bytes);
  // Next envelope, or nothing when more bytes are needed or after an error.
  std::optional<Envelope> Next();
  WireError last_error() const { return last_error_; }
  size_t BufferedBytes() const { return buffer_.size() - position_; }

 private:
  std::optional<Envelope> Fail(WireError error);

  std::string buffer_;
  size_t position_ = 0;
  WireError last_error_ = WireError::kNone;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_WIRE_CODEC_H_
