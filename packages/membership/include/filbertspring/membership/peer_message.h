#ifndef FILBERTSPRING_MEMBERSHIP_PEER_MESSAGE_H
#define FILBERTSPRING_MEMBERSHIP_PEER_MESSAGE_H

/// \file
/// The messages between instances and their encoding.

#include "filbertspring/base/id.h"
#include "filbertspring/base/result.h"
#include "filbertspring/domain/store.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace filbertspring::membership {

/// Limits of one message; the decoder rejects messages that exceed them.
inline constexpr std::size_t MaxPeerMessageBytes = 256 * 1024;
inline constexpr std::size_t MaxPeerNameBytes = 128;
inline constexpr std::size_t MaxDigestEndpoints = 6;
inline constexpr std::size_t MaxDigestDemands = 12;
inline constexpr std::size_t MaxDeltaRows = 512;

/// The load of an endpoint as last observed by one instance.
struct EndpointLoad {
  EndpointName Endpoint_;
  std::int32_t InFlight_ = 0;
  /// True when the endpoint reported that it is leaving.
  bool Leaving_ = false;
};

/// The demand of one instance for one contract. An entry replaces those of the
/// same instance and contract with a lower sequence number.
struct DemandEntry {
  InstanceName Instance_;
  ContractName Contract_;
  std::int32_t Permille_ = 0;
  std::uint64_t Sequence_ = 0;
};

/// The message that an instance sends to its peers at each digest interval.
struct PeerDigest {
  /// The version up to which the sender's configuration is complete.
  RowVersion CompleteTo_ = AbsentVersion;
  /// Endpoints of the sender's zone whose load changed.
  std::vector<EndpointLoad> Endpoints_;
  /// Demands that changed.
  std::vector<DemandEntry> Demands_;
};

/// Requests all configuration rows above a version.
struct DeltaRequest {
  RowVersion Since_ = AbsentVersion;
};

/// A row whose value has the same encoding as in the table.
struct EncodedRow {
  RowKey Key_;
  RowVersion Version_ = AbsentVersion;
  std::string Value_;
};

/// The answer to a DeltaRequest, see ConfigurationDelta.
struct EncodedDelta {
  RowVersion Since_ = AbsentVersion;
  RowVersion CompleteTo_ = AbsentVersion;
  std::vector<EncodedRow> Rows_;
};

using PeerPayload = std::variant<PeerDigest, DeltaRequest, EncodedDelta>;

/// Encodes \p Payload as MessagePack.
std::string encodePeerPayload(const PeerPayload &Payload);

/// Decodes a message from a peer. Errors: MessageTooLarge when the message
/// exceeds its size limit, ProtocolViolation for any other invalid message.
/// Never throws.
Result<PeerPayload> decodePeerPayload(std::string_view Bytes);

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_PEER_MESSAGE_H
