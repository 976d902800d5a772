// Helper that builds one visitor for std::visit from several lambdas.

#ifndef CHERVILWICK_SUPPORT_OVERLOADED_H_
#define CHERVILWICK_SUPPORT_OVERLOADED_H_

namespace chervilwick {

template <typename... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

}  // namespace chervilwick

#endif  // CHERVILWICK_SUPPORT_OVERLOADED_H_
