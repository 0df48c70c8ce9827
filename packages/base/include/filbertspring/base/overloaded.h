#ifndef FILBERTSPRING_BASE_OVERLOADED_H
#define FILBERTSPRING_BASE_OVERLOADED_H

/// \file
/// A visitor for std::visit composed of several lambdas.

namespace filbertspring {

/// Inherits the call operator of each of its arguments.
template <typename... Callables> struct Overloaded : Callables... {
  using Callables::operator()...;
};

template <typename... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_OVERLOADED_H
