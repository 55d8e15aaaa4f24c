#include "damaskthread/resource/internal/snapshot.h"

#include <sodium.h>
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace damaskthread::resource::internal {
namespace {

using Json = nlohmann::json;

// Keeps a part below the record limit of 64 KB after base64 and the JSON envelope are added.
constexpr std::size_t kMaxPartBytes = 45'000;
constexpr std::size_t kMaxParts = 4'096;
// A writer that crashes leaves an incomplete snapshot; the oldest one is dropped.
constexpr std::size_t kMaxPendingSnapshots = 4;

struct Part {
  std::size_t part = 0;
  std::size_t parts = 0;
  std::uint64_t offset = 0;
  std::string digest;
  std::string data;
};

std::optional<Part> parse_part(std::string_view body) {
  const Json json = Json::parse(body.begin(), body.end(), nullptr, false);
  if (!json.is_object()) return std::nullopt;
  for (const char* key : {"part", "parts", "offset"}) {
    if (!json.contains(key) || !json[key].is_number_unsigned()) return std::nullopt;
  }
  for (const char* key : {"digest", "data"}) {
    if (!json.contains(key) || !json[key].is_string()) return std::nullopt;
  }
  Part part{json["part"].get<std::size_t>(),
            json["parts"].get<std::size_t>(),
            json["offset"].get<std::uint64_t>(),
            json["digest"].get<std::string>(),
            {}};
  if (part.parts == 0 || part.parts > kMaxParts || part.part >= part.parts) return std::nullopt;
  auto data = decode_base64(json["data"].get_ref<const std::string&>());
  if (!data) return std::nullopt;
  part.data = std::move(*data);
  return part;
}

}  // namespace

std::string encode_base64(std::string_view bytes) {
  std::string text(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();  // Removes the terminating null.
  return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
  std::string bytes(text.size() / 4 * 3 + 3, '\0');
  std::size_t length = 0;
  const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                                       text.size(), nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
  if (failed != 0) return std::nullopt;
  bytes.resize(length);
  return bytes;
}

std::uint64_t hash_bytes(std::string_view bytes) noexcept { return XXH3_64bits(bytes.data(), bytes.size()); }

std::vector<std::string> split_snapshot(std::string_view state, std::uint64_t offset, std::string_view author,
                                        std::string_view snapshot_id) {
  const std::string digest = std::to_string(hash_bytes(state));
  const std::size_t parts = std::max<std::size_t>(1, (state.size() + kMaxPartBytes - 1) / kMaxPartBytes);
  std::vector<std::string> records;
  if (parts > kMaxParts) return records;
  for (std::size_t i = 0; i < parts; ++i) {
    const Json body = {{"part", i},
                       {"parts", parts},
                       {"offset", offset},
                       {"digest", digest},
                       {"data", encode_base64(state.substr(i * kMaxPartBytes, kMaxPartBytes))}};
    LogRecord record;
    record.operation = RecordOperation::kSnapshot;
    record.kind = "Snapshot";
    record.operation_id = snapshot_id;
    record.author = author;
    record.body = body.dump();
    auto bytes = encode(record);
    if (!bytes) return {};
    records.push_back(std::move(*bytes));
  }
  return records;
}

std::optional<Snapshot> SnapshotAssembler::add(const LogRecord& record, std::uint64_t record_offset, bool& valid) {
  auto part = parse_part(record.body);
  valid = part.has_value() && part->offset <= record_offset;
  if (!valid) return std::nullopt;
  PendingSnapshot& pending = pending_[record.operation_id];
  if (pending.parts.empty()) {
    pending = {part->offset, part->digest, record_offset, 0, std::vector<std::optional<std::string>>(part->parts)};
  }
  valid = pending.parts.size() == part->parts && pending.offset == part->offset && pending.digest == part->digest;
  if (!valid) return std::nullopt;
  auto& slot = pending.parts[part->part];
  if (!slot) ++pending.received;
  slot = std::move(part->data);
  if (pending.received < pending.parts.size()) {
    if (pending_.size() > kMaxPendingSnapshots) {
      pending_.erase(std::min_element(pending_.begin(), pending_.end(), [](const auto& a, const auto& b) {
        return a.second.first_record_offset < b.second.first_record_offset;
      }));
    }
    return std::nullopt;
  }
  Snapshot snapshot{pending.offset, pending.parts.size(), {}};
  for (const auto& data : pending.parts) snapshot.state += *data;
  const bool digest_matches = std::to_string(hash_bytes(snapshot.state)) == pending.digest;
  pending_.erase(record.operation_id);
  valid = digest_matches;
  if (!digest_matches) return std::nullopt;
  return snapshot;
}

}  // namespace damaskthread::resource::internal
