// Wrappers that give ids and units distinct types.

#ifndef CHERVILWICK_SUPPORT_STRONG_TYPE_H_
#define CHERVILWICK_SUPPORT_STRONG_TYPE_H_

#include <ostream>
#include <utility>

namespace chervilwick {

// Holds a value of type T that can't be mixed up with values of another Tag.
template <typename Tag, typename T>
class StrongType {
 public:
  using ValueType = T;

  StrongType() = default;
  explicit StrongType(T value) : value_(std::move(value)) {}

  const T& value() const { return value_; }

  friend bool operator==(const StrongType& a, const StrongType& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const StrongType& a, const StrongType& b) {
    return !(a == b);
  }
  friend bool operator<(const StrongType& a, const StrongType& b) {
    return a.value_ < b.value_;
  }
  friend bool operator>(const StrongType& a, const StrongType& b) {
    return b < a;
  }
  friend bool operator<=(const StrongType& a, const StrongType& b) {
    return !(b < a);
  }
  friend bool operator>=(const StrongType& a, const StrongType& b) {
    return !(a < b);
  }
  friend std::ostream& operator<<(std::ostream& out, const StrongType& it) {
    return out << it.value_;
  }
  template <typename H>
  friend H AbslHashValue(H state, const StrongType& it) {
    return H::combine(std::move(state), it.value_);
  }
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(value_);
  }

 private:
  T value_{};
};

}  // namespace chervilwick

#endif  // CHERVILWICK_SUPPORT_STRONG_TYPE_H_
