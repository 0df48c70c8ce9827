#include "filbertspring/domain/endpoint.h"

#include <fmt/format.h>

namespace filbertspring {

std::string Address::toString() const {
  return fmt::format("{}:{}", Host_, Port_);
}

} // namespace filbertspring
