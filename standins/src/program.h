#ifndef FILBERTSPRING_STANDINS_PROGRAM_H
#define FILBERTSPRING_STANDINS_PROGRAM_H

/// \file
/// Helpers shared by the main functions of the stand-in programs.

#include "filbertspring/base/result.h"
#include "filbertspring/config/address_text.h"
#include "filbertspring/domain/endpoint.h"

#include <cstdint>
#include <cstdio>
#include <exception>
#include <fmt/format.h>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#if defined(__GNUC__) && !defined(__clang__)
// GCC 12 warns of overlapping copies in std::string's operator+ (bug 105651).
#pragma GCC diagnostic ignored "-Wrestrict"
#endif
#include <cxxopts.hpp>

namespace filbertspring {

/// Parses the flags and calls \p Serve with them. Prints errors to
/// standard error; returns the exit code.
inline int
runProgram(cxxopts::Options Options, int Count, char **Arguments,
           const std::function<void(cxxopts::ParseResult &)> &Serve) {
  try {
    cxxopts::ParseResult Flags = Options.parse(Count, Arguments);
    Serve(Flags);
    return EXIT_SUCCESS;
  } catch (const std::exception &Problem) {
    fmt::print(stderr, "{}: {}\n", Options.program(), Problem.what());
    return EXIT_FAILURE;
  }
}

/// Returns the address in the flag called \p Name; throws when it has none.
inline Address addressFlag(const cxxopts::ParseResult &Flags,
                           const std::string &Name) {
  std::optional<Address> Parsed = parseAddress(Flags[Name].as<std::string>());
  if (!Parsed)
    throw std::runtime_error(fmt::format("--{} is not IP:PORT", Name));
  return *Parsed;
}

/// Listens on the port in --port and serves until a signal; throws when it
/// cannot listen or register.
template <typename Server>
void serveOn(Server &StandIn, const cxxopts::ParseResult &Flags) {
  StandIn.stopOnSignal();
  Result<std::uint16_t> Bound =
      StandIn.listen(Flags["port"].as<std::uint16_t>());
  if (!Bound)
    throw std::runtime_error(Bound.error().message());
  StandIn.run();
}

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_PROGRAM_H
