// Framing of envelopes.

#include "chervilwick/wire/codec.h"

#include <cstring>
#include <utility>

#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

template <typename Enum>
bool InRange(Enum value) {
  return value <= Enum::kLast;
}

// cereal restores enumerators from any integer; this rejects unknown ones.
bool HasValidEnums(const Message& message) {
  return std::visit(Overloaded{
                        [](const Hello& it) { return InRange(it.role); },
                        [](const Reserve& it) { return InRange(it.priority); },
                        [](const StartWork& it) {
                          return InRange(it.kind) && InRange(it.priority);
                        },
                        [](const Refused& it) { return InRange(it.reason); },
                        [](const Done& it) { return InRange(it.status); },
                        [](const FenceResult& it) { return InRange(it.state); },
                        [](const auto&) { return true; },
                    },
                    message);
}

struct FrameHeader {
  uint32_t magic;
  uint16_t protocol;
  uint16_t flags;
  uint32_t length;
};
static_assert(sizeof(FrameHeader) == kFrameHeaderBytes);

}  // namespace

const char* RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kStaleVersion:
      return "stale version";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kNoPlace:
      return "no place";
    case RefusalReason::kNoMemory:
      return "no memory";
    case RefusalReason::kQueueTooLong:
      return "queue too long";
    case RefusalReason::kWrongIncarnation:
      return "wrong incarnation";
    case RefusalReason::kWrongRole:
      return "wrong role";
    case RefusalReason::kEngineNotReady:
      return "engine not ready";
    case RefusalReason::kReservationExpired:
      return "reservation expired";
    case RefusalReason::kFenced:
      return "fenced";
    case RefusalReason::kForgotten:
      return "forgotten";
    case RefusalReason::kCrashSuspect:
      return "crash suspect";
  }
  return "unknown";
}

const char* WireErrorName(WireError error) {
  switch (error) {
    case WireError::kNone:
      return "none";
    case WireError::kBadMagic:
      return "bad_magic";
    case WireError::kBadProtocolVersion:
      return "bad_protocol_version";
    case WireError::kFrameTooLarge:
      return "frame_too_large";
    case WireError::kMalformed:
      return "malformed";
  }
  return "unknown";
}

std::string EncodeFrame(const Envelope& envelope) {
  std::string frame(kFrameHeaderBytes, '\0');
  BinaryWriter writer(frame);
  writer(envelope);
  FrameHeader header{kFrameMagic, kProtocolVersion, 0,
                     static_cast<uint32_t>(frame.size() - kFrameHeaderBytes)};
  std::memcpy(frame.data(), &header, sizeof(header));
  return frame;
}

void FrameReader::Append(std::string_view bytes) {
  if (last_error_ != WireError::kNone) return;
  if (position_ > 0 && position_ == buffer_.size()) {
    buffer_.clear();
    position_ = 0;
  }
  buffer_.append(bytes);
}

std::optional<Envelope> FrameReader::Fail(WireError error) {
  last_error_ = error;
  buffer_.clear();
  position_ = 0;
  return std::nullopt;
}

std::optional<Envelope> FrameReader::Next() {
  if (BufferedBytes() < kFrameHeaderBytes) return std::nullopt;
  FrameHeader header;
  std::memcpy(&header, buffer_.data() + position_, sizeof(header));
  if (header.magic != kFrameMagic) return Fail(WireError::kBadMagic);
  if (header.protocol != kProtocolVersion) {
    return Fail(WireError::kBadProtocolVersion);
  }
  if (header.length > kMaxFrameBytes) return Fail(WireError::kFrameTooLarge);
  if (BufferedBytes() < kFrameHeaderBytes + header.length) return std::nullopt;
  std::string_view body(buffer_.data() + position_ + kFrameHeaderBytes,
                        header.length);
  Envelope envelope;
  try {
    BinaryReader reader(body);
    reader(envelope);
    if (reader.Remaining() != 0) return Fail(WireError::kMalformed);
  } catch (const cereal::Exception&) {
    return Fail(WireError::kMalformed);
  }
  if (!HasValidEnums(envelope.message)) return Fail(WireError::kMalformed);
  position_ += kFrameHeaderBytes + header.length;
  if (position_ > buffer_.size() / 2) {
    buffer_.erase(0, position_);
    position_ = 0;
  }
  return envelope;
}

}  // namespace chervilwick
