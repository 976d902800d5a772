// Addresses in text form.

#ifndef CHERVILWICK_SUPPORT_HOST_PORT_H_
#define CHERVILWICK_SUPPORT_HOST_PORT_H_

#include <string>

namespace chervilwick {

struct HostPort {
  std::string host;
  int port = 0;  // zero where the text has none
};

// Splits "ip:port".
HostPort SplitAddress(const std::string& address);

}  // namespace chervilwick

#endif  // CHERVILWICK_SUPPORT_HOST_PORT_H_
