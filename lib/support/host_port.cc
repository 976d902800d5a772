// Addresses in text form.

#include "chervilwick/support/host_port.h"

#include <cstddef>

#include "absl/strings/numbers.h"

namespace chervilwick {

HostPort SplitAddress(const std::string& address) {
  HostPort split;
  size_t colon = address.rfind(':');
  split.host = address.substr(0, colon);
  if (colon != std::string::npos &&
      !absl::SimpleAtoi(address.substr(colon + 1), &split.port)) {
    split.port = 0;
  }
  return split;
}

}  // namespace chervilwick
