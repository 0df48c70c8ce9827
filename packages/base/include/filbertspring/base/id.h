#ifndef FILBERTSPRING_BASE_ID_H
#define FILBERTSPRING_BASE_ID_H

/// \file
/// Typed identifiers.

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace filbertspring {

/// An identifier of one kind. Identifiers of different kinds have different
/// types and cannot be mixed up.
template <typename Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Value) : Value_(std::move(Value)) {}

  const std::string &str() const { return Value_; }
  bool empty() const { return Value_.empty(); }

  friend bool operator==(const Id &, const Id &) = default;
  friend auto operator<=>(const Id &, const Id &) = default;

private:
  std::string Value_;
};

using ZoneName = Id<struct ZoneTag>;
using RegionName = Id<struct RegionTag>;
using InstanceName = Id<struct InstanceTag>;
using WorkerName = Id<struct WorkerTag>;
using RackName = Id<struct RackTag>;
using EndpointName = Id<struct EndpointTag>;
using ContractName = Id<struct ContractTag>;
using TeamName = Id<struct TeamTag>;
using ServiceName = Id<struct ServiceTag>;
using BatchKindName = Id<struct BatchKindTag>;
using JobId = Id<struct JobTag>;
using RequestId = Id<struct RequestTag>;
using IdempotencyKey = Id<struct IdempotencyTag>;
using TransactionId = Id<struct TransactionTag>;
using CheckpointRef = Id<struct CheckpointTag>;

} // namespace filbertspring

template <typename Tag> struct std::hash<filbertspring::Id<Tag>> {
  std::size_t operator()(const filbertspring::Id<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.str());
  }
};

#endif // FILBERTSPRING_BASE_ID_H
