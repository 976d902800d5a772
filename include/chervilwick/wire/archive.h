// cereal archives for the internal protocol. The reader checks every length
// against the bytes that are left, so that a hostile length can't make it
// allocate more than the frame holds.

#ifndef CHERVILWICK_WIRE_ARCHIVE_H_
#define CHERVILWICK_WIRE_ARCHIVE_H_

#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace chervilwick {

// Appends values in little-endian binary form to a string.
class BinaryWriter
    : public cereal::OutputArchive<BinaryWriter,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit BinaryWriter(std::string& out) : OutputArchive(this), out_(out) {}

  void Write(const void* data, size_t size) {
    out_.append(static_cast<const char*>(data), size);
  }

 private:
  std::string& out_;
};

// Reads what BinaryWriter wrote; throws cereal::Exception on bad input.
class BinaryReader
    : public cereal::InputArchive<BinaryReader,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BinaryReader(std::string_view in) : InputArchive(this), in_(in) {}

  void Read(void* data, size_t size) {
    if (size > in_.size()) throw cereal::Exception("truncated message");
    if (size != 0) std::memcpy(data, in_.data(), size);
    in_.remove_prefix(size);
  }
  size_t Remaining() const { return in_.size(); }

 private:
  std::string_view in_;
};

// A sequence that is read element by element, so that its memory grows with
// the bytes present and not with the length that the sender claims.
template <typename T>
struct List {
  std::vector<T> items;

  template <typename Archive>
  void save(Archive& archive) const {  // NOLINT(readability-identifier-naming)
    archive(static_cast<uint32_t>(items.size()));
    for (const T& item : items) archive(item);
  }
  template <typename Archive>
  void load(Archive& archive) {  // NOLINT(readability-identifier-naming)
    uint32_t n = 0;
    archive(n);
    items.clear();
    for (uint32_t it = 0; it < n; ++it) {
      if (archive.Remaining() == 0) {
        throw cereal::Exception("list longer than its message");
      }
      items.emplace_back();
      archive(items.back());
    }
  }
};

// The functions below are found by cereal through argument lookup and carry
// the names that it prescribes.
// NOLINTBEGIN(readability-identifier-naming)
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(
    BinaryWriter& archive, const T& value) {
  archive.Write(&value, sizeof(value));
}
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    BinaryReader& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    uint8_t byte = 0;
    archive.Read(&byte, 1);
    if (byte > 1) throw cereal::Exception("boolean out of range");
    value = byte == 1;
  } else {
    archive.Read(&value, sizeof(value));
  }
}
template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(BinaryWriter& archive,
                               const cereal::BinaryData<T>& data) {
  archive.Write(data.data, static_cast<size_t>(data.size));
}
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BinaryReader& archive,
                               cereal::BinaryData<T>& data) {
  archive.Read(data.data, static_cast<size_t>(data.size));
}
template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(BinaryWriter& archive,
                               const cereal::SizeTag<T>& tag) {
  archive(static_cast<uint32_t>(tag.size));
}
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BinaryReader& archive, cereal::SizeTag<T>& tag) {
  uint32_t n = 0;
  archive(n);
  if (n > archive.Remaining()) throw cereal::Exception("length out of range");
  tag.size = n;
}
template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BinaryWriter& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}
template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BinaryReader& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}
// NOLINTEND(readability-identifier-naming)

}  // namespace chervilwick

CEREAL_SETUP_ARCHIVE_TRAITS(chervilwick::BinaryReader,
                            chervilwick::BinaryWriter)

#endif  // CHERVILWICK_WIRE_ARCHIVE_H_
