// Version of the programs.

#ifndef CHERVILWICK_SUPPORT_VERSION_H_
#define CHERVILWICK_SUPPORT_VERSION_H_

namespace chervilwick {

inline constexpr char kProgramVersion[] = "0.1.0";

}  // namespace chervilwick

#endif  // CHERVILWICK_SUPPORT_VERSION_H_
