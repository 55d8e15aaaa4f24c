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

/// Version of the encoding; a message of another version is dropped and counted.
inline constexpr std::uint8_t kVersion = 1;
/// Bound on a sealed message that nobody asked for; it fits one IP packet.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
/// Bound on any sealed message. Only answers to a request may exceed kMaxDatagramBytes.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{64} * 1024;
/// Payload of one configuration chunk; leaves room for the envelope.
inline constexpr std::size_t kMaxChunkBytes = std::size_t{60} * 1024;
/// Number of buckets that the members are split into for the comparison of two views.
inline constexpr std::size_t kViewBuckets = 64;

/// What the failure detector says about a member. Ordered: of two claims with equal counters the larger holds.
enum class Health : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2 };

/// The facts about a daemon that stay the same for one incarnation. Addresses are `ip:port`.
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

/// A claim about one member. Without `info` it is short and only means something to a daemon that knows the member.
struct MemberDelta {
  core::ServerId id;
  core::Incarnation incarnation;
  /// Raised only by the member itself, to contradict a claim that it is suspect or dead.
  std::uint32_t refutation = 0;
  Health health = Health::kAlive;
  bool leaving = false;
  /// How long the suspicion has lasted, so that every daemon ends it at about the same time.
  std::chrono::milliseconds suspected_for{0};
  std::shared_ptr<const MemberInfo> info;
};

/// How far a daemon's configuration has come.
struct ConfigDigest {
  std::uint64_t revision = 0;  ///< Accepted changes.
  std::uint64_t offset = 0;    ///< Position in the log.
  auto operator<=>(const ConfigDigest&) const = default;
};

/// A request that is suspected of crashing servers.
struct CrashMark {
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;  ///< Crashes that `origin` has seen.
  core::ServerId origin;
  std::chrono::milliseconds age{0};  ///< Since the last crash.
  bool operator==(const CrashMark&) const = default;
};

/// A daemon whose configuration is known to be behind.
struct LagNote {
  core::ServerId id;
  core::Incarnation incarnation;
  std::uint64_t revision = 0;           ///< In force there.
  std::chrono::milliseconds behind{0};  ///< How long it has been behind; zero once it has caught up.
  bool operator==(const LagNote&) const = default;
};

/// Direct probe.
struct Ping {
  std::uint32_t probe = 0;
  core::ServerId target;
  std::uint64_t view_hash = 0;  ///< Over the members that the sender holds to be alive.
};

/// Answer to a probe, direct or passed on by a proxy.
struct Ack {
  std::uint32_t probe = 0;
  core::ServerId subject;  ///< The member that answered.
};

/// Asks the receiver to probe `target` in the sender's place.
struct PingRequest {
  std::uint32_t probe = 0;
  core::ServerId target;
};

/// Carries only what rides along: deltas, digest, marks.
struct Gossip {};

/// Asks for the members: a few of them, from a seed, or all.
struct MembersRequest {
  bool all = false;
};

/// Hash of every bucket of the sender's view; sent when two views differ.
struct ViewDigest {
  std::vector<std::uint32_t> buckets;
};

/// The short deltas of all members that the sender holds in `buckets`; answered with what differs.
struct MemberSummary {
  std::vector<std::uint8_t> buckets;
};

/// Members out of the sender's view, in the deltas. Not fresh news: a death in it is verified, not believed.
struct MemberState {
  bool all = false;                    ///< Part of the answer to a request for all members.
  std::vector<core::ServerId> wanted;  ///< Members of the summary that the sender asks for in full.
};

/// Asks for configuration records after `offset`, or for the state.
struct ConfigRequest {
  bool state = false;
  std::uint64_t offset = 0;
  std::uint32_t part = 0;
};

/// One part of an answer to ConfigRequest.
struct ConfigChunk {
  bool state = false;
  ConfigDigest reaches;           ///< What the sender held when it cut the parts.
  std::uint64_t from_offset = 0;  ///< Of the request.
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::string bytes;
};

using Body = std::variant<Ping, Ack, PingRequest, Gossip, MembersRequest, ViewDigest, MemberSummary, MemberState,
                          ConfigRequest, ConfigChunk>;

/// A control message: a body and what rides along with it.
struct Message {
  Body body = Gossip{};
  std::vector<MemberDelta> deltas;
  std::optional<ConfigDigest> digest;
  std::vector<CrashMark> marks;
  std::vector<LagNote> lags;
};

/// Who sealed a message.
struct Sender {
  core::ServerId id;
  core::Incarnation incarnation;
  bool operator==(const Sender&) const = default;
};

/// A message for the control socket at `address`.
struct Outgoing {
  std::string address;
  Message message;
};

/// @brief Upper bound on the encoded size of a delta.
[[nodiscard]] std::size_t size_bound(const MemberDelta& delta) noexcept;
/// Upper bound on the encoded size of a crash mark or a lag note.
inline constexpr std::size_t kMarkBytes = 32;
/// Upper bound on a sealed message without deltas, marks and variable-length body fields.
inline constexpr std::size_t kEnvelopeBytes = 96;

/// @brief Encodes a message with its sender and sequence as CBOR.
[[nodiscard]] std::string encode(const Sender& sender, std::uint64_t sequence, const Message& message);

/// A decoded message.
struct Received {
  Sender sender;
  std::uint64_t sequence = 0;
  Message message;
};

/// @brief Decodes what encode() made.
/// @param bytes Any bytes; they need not be well-formed.
/// @return The message, or nothing if the bytes are malformed or exceed a bound.
[[nodiscard]] std::optional<Received> decode(std::string_view bytes);

}  // namespace damaskthread::wire

#endif  // DAMASKTHREAD_WIRE_MESSAGE_H_
