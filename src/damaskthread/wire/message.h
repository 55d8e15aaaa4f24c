#ifndef DAMASKTHREAD_WIRE_MESSAGE_H_
#define DAMASKTHREAD_WIRE_MESSAGE_H_

/// @file
/// @brief Control messages between daemons: membership, configuration and crash marks.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/wire/fwd.h"

namespace damaskthread::wire {

/// Version of the encoding. Messages of any other version are dropped and counted.
inline constexpr std::uint8_t kVersion = 1;
/// Maximum size of a sealed message that does not answer a request. Fits in one IP packet.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
/// Maximum size of any sealed message. Only answers to a request may exceed kMaxDatagramBytes.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{64} * 1024;
/// Maximum payload of one configuration chunk. Leaves room for the envelope.
inline constexpr std::size_t kMaxChunkBytes = std::size_t{60} * 1024;
/// Number of hash buckets into which members are divided to compare two views.
inline constexpr std::size_t kViewBuckets = 64;

/// State of a member in the failure detector. Ordered: of two claims with equal counters, the larger takes precedence.
enum class Health : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2 };

/// Properties of a daemon that are fixed for one incarnation. Addresses are `ip:port`.
struct MemberInfo {
  std::string service;
  std::string zone;  ///< Failure domain.
  std::string region;
  std::string call_address;
  std::string peer_address;
  std::string admin_address;
  std::string control_address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;

  bool operator==(const MemberInfo&) const = default;
};

/// A claim about one member. `info` may be omitted for daemons that already know the member.
struct MemberDelta {
  core::ServerId id;
  core::Incarnation incarnation;
  /// Incremented only by the member itself, to refute a claim that it is suspect or dead.
  std::uint32_t refutation = 0;
  Health health = Health::kAlive;
  bool leaving = false;
  /// Age of the suspicion, so that it ends at about the same time on every daemon.
  std::chrono::milliseconds suspected_for{0};
  std::shared_ptr<const MemberInfo> info;
};

/// Progress of a daemon's configuration.
struct ConfigDigest {
  std::uint64_t revision = 0;  ///< Number of accepted changes.
  std::uint64_t offset = 0;    ///< Log position.
  auto operator<=>(const ConfigDigest&) const = default;
};

/// A request suspected of crashing servers.
struct CrashMark {
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;  ///< Crashes observed by `origin`.
  core::ServerId origin;
  std::chrono::milliseconds age{0};  ///< Time since the last crash.
  bool operator==(const CrashMark&) const = default;
};

/// A daemon whose configuration is known to be behind.
struct LagNote {
  core::ServerId id;
  core::Incarnation incarnation;
  std::uint64_t revision = 0;           ///< Revision in force on that daemon.
  std::chrono::milliseconds behind{0};  ///< Time it has been behind; zero once it has caught up.
  bool operator==(const LagNote&) const = default;
};

/// Direct probe.
struct Ping {
  std::uint32_t probe = 0;
  core::ServerId target;
  std::uint64_t view_hash = 0;  ///< Hash of the members that the sender considers alive.
};

/// Answer to a direct or indirect probe.
struct Ack {
  std::uint32_t probe = 0;
  core::ServerId subject;  ///< Member that answered the probe.
};

/// Asks the receiver to probe `target` on behalf of the sender.
struct PingRequest {
  std::uint32_t probe = 0;
  core::ServerId target;
};

/// Empty body, for messages that only carry piggybacked data: deltas, digest, marks and lag notes.
struct Gossip {};

/// Requests members: a few of them, asked of a seed, or all.
struct MembersRequest {
  bool all = false;
};

/// Hashes of all buckets of the sender's view. Sent when two views differ.
struct ViewDigest {
  std::vector<std::uint32_t> buckets;
};

/// Carries short deltas of all members in the sender's `buckets`. Answered with the differences.
struct MemberSummary {
  std::vector<std::uint8_t> buckets;
};

/// Carries members of the sender's view in the deltas. The view may be outdated, so a death in it is verified first.
struct MemberState {
  bool all = false;                           ///< Part of the answer to a request for all members.
  std::vector<core::ServerId> requested_ids;  ///< Members that the sender requests in full.
};

/// Requests configuration records after `offset`, or the whole state.
struct ConfigRequest {
  bool state = false;
  std::uint64_t offset = 0;
  std::uint32_t part = 0;
};

/// One part of an answer to ConfigRequest.
struct ConfigChunk {
  bool state = false;
  ConfigDigest source_digest;     ///< Sender's digest when it divided the payload into parts.
  std::uint64_t from_offset = 0;  ///< Offset of the request.
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::string bytes;
};

using Body = std::variant<Ping, Ack, PingRequest, Gossip, MembersRequest, ViewDigest, MemberSummary, MemberState,
                          ConfigRequest, ConfigChunk>;

/// A control message: a body and piggybacked data.
struct Message {
  Body body = Gossip{};
  std::vector<MemberDelta> deltas;
  std::optional<ConfigDigest> digest;
  std::vector<CrashMark> marks;
  std::vector<LagNote> lags;
};

/// Sender of a message.
struct Sender {
  core::ServerId id;
  core::Incarnation incarnation;
  bool operator==(const Sender&) const = default;
};

/// A message to be sent to the control socket at `address`.
struct Outgoing {
  std::string address;
  Message message;
};

/// @brief Returns an upper bound on the encoded size of a delta.
[[nodiscard]] std::size_t max_encoded_size(const MemberDelta& delta) noexcept;
/// Upper bound on the encoded size of a crash mark or a lag note.
inline constexpr std::size_t kMarkBytes = 32;
/// Upper bound on a sealed message without deltas, marks and variable-length body fields.
inline constexpr std::size_t kEnvelopeBytes = 96;

/// @brief Encodes a message with its sender and sequence number as CBOR.
[[nodiscard]] std::string encode(const Sender& sender, std::uint64_t sequence, const Message& message);

/// A decoded message.
struct Received {
  Sender sender;
  std::uint64_t sequence = 0;
  Message message;
};

/// @brief Decodes the result of encode().
/// @param bytes Untrusted bytes.
/// @return The message, or `std::nullopt` if the bytes are malformed or exceed a limit.
[[nodiscard]] std::optional<Received> decode(std::string_view bytes);

}  // namespace damaskthread::wire

#endif  // DAMASKTHREAD_WIRE_MESSAGE_H_
