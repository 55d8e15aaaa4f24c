#include <array>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "damaskthread/wire/message.h"
#include "damaskthread/wire/token_reader.h"

namespace damaskthread::wire {
namespace {

using nlohmann::json;
using Array = json::array_t;

// Larger counters are rejected, since a counter near its maximum would wrap at the next refutation.
constexpr std::uint64_t kMaxRefutation = 0x7FFFFFFF;
constexpr std::uint64_t kMaxMilliseconds = std::chrono::milliseconds{std::chrono::days{30}}.count();
constexpr std::size_t kMaxTextBytes = 128;
constexpr std::uint64_t kLeavingFlag = 4;

std::uint64_t clamped_milliseconds(std::chrono::milliseconds value) noexcept {
  return value.count() < 0 ? 0 : std::min<std::uint64_t>(static_cast<std::uint64_t>(value.count()), kMaxMilliseconds);
}

struct HostPort {
  std::string_view host;
  std::uint16_t port = 0;
};

std::optional<HostPort> split_host_port(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  HostPort result{address.substr(0, colon), 0};
  const std::string_view digits = address.substr(colon + 1);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
  // A port with a leading zero would not round-trip through a number.
  if (error != std::errc{} || end != digits.data() + digits.size() || digits.starts_with('0')) return std::nullopt;
  return result;
}

constexpr std::array kAddressFields = {&MemberInfo::call_address, &MemberInfo::peer_address, &MemberInfo::admin_address,
                                       &MemberInfo::control_address};

// Encodes the addresses as [host, port, port, port, port] if all share one host, which is the common case, and as four
// strings otherwise.
json encode_addresses(const MemberInfo& info) {
  Array ports;
  std::string_view host;
  for (const auto address : kAddressFields) {
    const auto parts = split_host_port(info.*address);
    if (!parts || (!ports.empty() && parts->host != host)) {
      return Array{info.call_address, info.peer_address, info.admin_address, info.control_address};
    }
    if (ports.empty()) {
      host = parts->host;
      ports.emplace_back(std::string{host});
    }
    ports.emplace_back(parts->port);
  }
  return ports;
}

void decode_addresses(TokenReader& reader, MemberInfo& info) {
  const std::size_t size = reader.array();
  if (size == 5) {
    const std::string host = reader.text(kMaxTextBytes);
    for (const auto address : kAddressFields) {
      info.*address = host + ':' + std::to_string(reader.number(std::numeric_limits<std::uint16_t>::max()));
    }
    return;
  }
  if (size != 4) return reader.fail();
  for (const auto address : kAddressFields) info.*address = reader.text(kMaxTextBytes);
}

json encode_delta(const MemberDelta& delta) {
  Array result;
  result.reserve(11);
  result.emplace_back(delta.id.value);
  result.emplace_back(delta.incarnation.value);
  result.emplace_back(delta.refutation);
  result.emplace_back(static_cast<std::uint64_t>(delta.health) | (delta.leaving ? kLeavingFlag : 0));
  if (delta.health == Health::kSuspect || delta.info) result.emplace_back(clamped_milliseconds(delta.suspected_for));
  if (!delta.info) return result;
  const MemberInfo& info = *delta.info;
  result.emplace_back(info.service);
  result.emplace_back(info.zone);
  result.emplace_back(info.region);
  result.emplace_back(encode_addresses(info));
  result.emplace_back(info.slots);
  result.emplace_back(info.connections);
  return result;
}

MemberDelta decode_delta(TokenReader& reader) {
  MemberDelta delta;
  const std::size_t size = reader.array();
  if (size != 4 && size != 5 && size != 11) reader.fail();
  delta.id.value = reader.number();
  delta.incarnation.value = reader.number();
  delta.refutation = static_cast<std::uint32_t>(reader.number(kMaxRefutation));
  const std::uint64_t flags = reader.number(kLeavingFlag | 3);
  if ((flags & 3) > static_cast<std::uint64_t>(Health::kDead)) reader.fail();
  delta.health = static_cast<Health>(flags & 3);
  delta.leaving = (flags & kLeavingFlag) != 0;
  if (size > 4) delta.suspected_for = std::chrono::milliseconds{reader.number(kMaxMilliseconds)};
  if (size < 11 || !reader.ok()) return delta;
  auto info = std::make_shared<MemberInfo>();
  info->service = reader.text(kMaxTextBytes);
  info->zone = reader.text(kMaxTextBytes);
  info->region = reader.text(kMaxTextBytes);
  decode_addresses(reader, *info);
  info->slots = static_cast<std::uint32_t>(reader.number(std::numeric_limits<std::uint32_t>::max()));
  info->connections = static_cast<std::uint32_t>(reader.number(std::numeric_limits<std::uint32_t>::max()));
  delta.info = std::move(info);
  return delta;
}

std::uint32_t read_uint32(TokenReader& reader) {
  return static_cast<std::uint32_t>(reader.number(std::numeric_limits<std::uint32_t>::max()));
}

struct BodyEncoder {
  json operator()(const Ping& body) const { return Array{body.probe, body.target.value, body.view_hash}; }
  json operator()(const Ack& body) const { return Array{body.probe, body.subject.value}; }
  json operator()(const PingRequest& body) const { return Array{body.probe, body.target.value}; }
  json operator()(const Gossip&) const { return Array{}; }
  json operator()(const MembersRequest& body) const { return Array{body.all ? 1U : 0U}; }
  json operator()(const ViewDigest& body) const { return Array(body.buckets.begin(), body.buckets.end()); }
  json operator()(const MemberSummary& body) const { return Array(body.buckets.begin(), body.buckets.end()); }
  json operator()(const MemberState& body) const {
    Array result{body.all ? 1U : 0U};
    for (const core::ServerId id : body.requested_ids) result.emplace_back(id.value);
    return result;
  }
  json operator()(const ConfigRequest& body) const { return Array{body.state ? 1U : 0U, body.offset, body.part}; }
  json operator()(const ConfigChunk& body) const {
    const auto* begin = reinterpret_cast<const std::uint8_t*>(body.bytes.data());
    return Array{body.state ? 1U : 0U,
                 body.source_digest.revision,
                 body.source_digest.offset,
                 body.from_offset,
                 body.part,
                 body.parts,
                 json::binary({begin, begin + body.bytes.size()})};
  }
};

template <std::size_t Size>
void expect_size(TokenReader& reader, std::size_t size) {
  if (size != Size) reader.fail();
}

Body decode_ping(TokenReader& reader, std::size_t size) {
  expect_size<3>(reader, size);
  Ping body;
  body.probe = read_uint32(reader);
  body.target.value = reader.number();
  body.view_hash = reader.number();
  return body;
}

Body decode_ack(TokenReader& reader, std::size_t size) {
  expect_size<2>(reader, size);
  Ack body;
  body.probe = read_uint32(reader);
  body.subject.value = reader.number();
  return body;
}

Body decode_ping_request(TokenReader& reader, std::size_t size) {
  expect_size<2>(reader, size);
  PingRequest body;
  body.probe = read_uint32(reader);
  body.target.value = reader.number();
  return body;
}

Body decode_gossip(TokenReader& reader, std::size_t size) {
  expect_size<0>(reader, size);
  return Gossip{};
}

Body decode_members_request(TokenReader& reader, std::size_t size) {
  expect_size<1>(reader, size);
  return MembersRequest{.all = reader.number(1) == 1};
}

Body decode_view_digest(TokenReader& reader, std::size_t size) {
  expect_size<kViewBuckets>(reader, size);
  ViewDigest body;
  for (std::size_t i = 0; i < size && reader.ok(); ++i) body.buckets.push_back(read_uint32(reader));
  return body;
}

Body decode_member_summary(TokenReader& reader, std::size_t size) {
  if (size > kViewBuckets) reader.fail();
  MemberSummary body;
  for (std::size_t i = 0; i < size && reader.ok(); ++i) {
    body.buckets.push_back(static_cast<std::uint8_t>(reader.number(kViewBuckets - 1)));
  }
  return body;
}

Body decode_member_state(TokenReader& reader, std::size_t size) {
  MemberState body;
  body.all = reader.number(1) == 1;
  for (std::size_t i = 1; i < size && reader.ok(); ++i) body.requested_ids.push_back({reader.number()});
  return body;
}

Body decode_config_request(TokenReader& reader, std::size_t size) {
  expect_size<3>(reader, size);
  ConfigRequest body;
  body.state = reader.number(1) == 1;
  body.offset = reader.number();
  body.part = read_uint32(reader);
  return body;
}

Body decode_config_chunk(TokenReader& reader, std::size_t size) {
  expect_size<7>(reader, size);
  ConfigChunk body;
  body.state = reader.number(1) == 1;
  body.source_digest.revision = reader.number();
  body.source_digest.offset = reader.number();
  body.from_offset = reader.number();
  body.part = read_uint32(reader);
  body.parts = read_uint32(reader);
  body.bytes = reader.binary(kMaxChunkBytes);
  if (body.part >= body.parts) reader.fail();
  return body;
}

// Indexed by the alternative's index in Body, which is the message type in the encoding.
constexpr std::array kDecoders = {&decode_ping,
                                  &decode_ack,
                                  &decode_ping_request,
                                  &decode_gossip,
                                  &decode_members_request,
                                  &decode_view_digest,
                                  &decode_member_summary,
                                  &decode_member_state,
                                  &decode_config_request,
                                  &decode_config_chunk};
static_assert(kDecoders.size() == std::variant_size_v<Body>);

}  // namespace

std::size_t max_encoded_size(const MemberDelta& delta) noexcept {
  // Two 9-byte numbers, a 5-byte counter, the flags, a 5-byte age and the array header.
  constexpr std::size_t kMaxShortDeltaBytes = 31;
  if (!delta.info) return kMaxShortDeltaBytes;
  const MemberInfo& info = *delta.info;
  // Headers of three strings, two 5-byte numbers and the header of the addresses.
  constexpr std::size_t kInfoHeaderBytes = 17;
  std::size_t size = kMaxShortDeltaBytes + kInfoHeaderBytes;
  size += info.service.size() + info.zone.size() + info.region.size();
  for (const auto address : kAddressFields) size += (info.*address).size() + 2;
  return size;
}

std::string encode(const Sender& sender, std::uint64_t sequence, const Message& message) {
  Array deltas;
  deltas.reserve(message.deltas.size());
  for (const MemberDelta& delta : message.deltas) deltas.emplace_back(encode_delta(delta));
  Array digest;
  if (message.digest) digest = {message.digest->revision, message.digest->offset};
  Array marks;
  for (const CrashMark& mark : message.marks) {
    marks.emplace_back(Array{mark.fingerprint, mark.crashes, mark.origin.value, clamped_milliseconds(mark.age)});
  }
  Array lags;
  for (const LagNote& lag : message.lags) {
    lags.emplace_back(Array{lag.id.value, lag.incarnation.value, lag.revision, clamped_milliseconds(lag.behind)});
  }
  Array envelope;
  envelope.reserve(9);
  envelope.emplace_back(sender.id.value);
  envelope.emplace_back(sender.incarnation.value);
  envelope.emplace_back(sequence);
  envelope.emplace_back(message.body.index());
  envelope.emplace_back(std::visit(BodyEncoder{}, message.body));
  envelope.emplace_back(std::move(deltas));
  envelope.emplace_back(std::move(digest));
  envelope.emplace_back(std::move(marks));
  envelope.emplace_back(std::move(lags));
  std::string bytes;
  json::to_cbor(json(std::move(envelope)), bytes);
  return bytes;
}

std::optional<Received> decode(std::string_view bytes) {
  auto reader = TokenReader::parse(bytes);
  if (!reader) return std::nullopt;
  Received received;
  if (reader->array() != 9) return std::nullopt;
  received.sender.id.value = reader->number();
  received.sender.incarnation.value = reader->number();
  received.sequence = reader->number();
  Message& message = received.message;
  const std::uint64_t type = reader->number(kDecoders.size() - 1);
  const std::size_t field_count = reader->array();
  if (!reader->ok()) return std::nullopt;
  message.body = kDecoders[type](*reader, field_count);
  const std::size_t deltas = reader->array();
  for (std::size_t i = 0; i < deltas && reader->ok(); ++i) message.deltas.push_back(decode_delta(*reader));
  const std::size_t digest = reader->array();
  if (digest == 2) {
    message.digest.emplace();
    message.digest->revision = reader->number();
    message.digest->offset = reader->number();
  } else if (digest != 0) {
    return std::nullopt;
  }
  const std::size_t marks = reader->array();
  for (std::size_t i = 0; i < marks && reader->ok(); ++i) {
    if (reader->array() != 4) reader->fail();
    CrashMark& mark = message.marks.emplace_back();
    mark.fingerprint = reader->number();
    mark.crashes = read_uint32(*reader);
    mark.origin.value = reader->number();
    mark.age = std::chrono::milliseconds{reader->number(kMaxMilliseconds)};
  }
  const std::size_t lags = reader->array();
  for (std::size_t i = 0; i < lags && reader->ok(); ++i) {
    if (reader->array() != 4) reader->fail();
    LagNote& lag = message.lags.emplace_back();
    lag.id.value = reader->number();
    lag.incarnation.value = reader->number();
    lag.revision = reader->number();
    lag.behind = std::chrono::milliseconds{reader->number(kMaxMilliseconds)};
  }
  if (!reader->at_end()) return std::nullopt;
  return received;
}

}  // namespace damaskthread::wire
