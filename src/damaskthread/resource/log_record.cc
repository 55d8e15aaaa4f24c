#include "damaskthread/resource/log_record.h"

#include <algorithm>
#include <array>
#include <limits>

#include "damaskthread/resource/declaration.h"
#include "damaskthread/resource/internal/json_reader.h"

namespace damaskthread::resource {
namespace {

using internal::Json;

constexpr std::array<std::string_view, 4> kOperationNames = {"put", "delete", "snapshot", "announce"};
constexpr std::size_t kMaxKindBytes = 32;
constexpr std::size_t kMaxAuthorBytes = 128;

bool is_identifier(std::string_view text, std::size_t max, std::string_view extra) noexcept {
  if (text.empty() || text.size() > max) return false;
  return std::all_of(text.begin(), text.end(), [&](char c) {
    const bool alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return alphanumeric || extra.find(c) != extra.npos;
  });
}

std::optional<std::string> read_text_field(const Json& json, const char* key) {
  const auto it = json.find(key);
  if (it == json.end()) return std::string{};
  if (!it->is_string()) return std::nullopt;
  return it->get<std::string>();
}

std::optional<RecordOperation> read_operation_field(const Json& json) {
  const auto text = read_text_field(json, "operation");
  const auto* it = std::find(kOperationNames.begin(), kOperationNames.end(), text.value_or(""));
  if (it == kOperationNames.end()) return std::nullopt;
  return static_cast<RecordOperation>(it - kOperationNames.begin());
}

// Validation rules of format 1. They must not change: every version has to accept the same records.
bool is_valid(const LogRecord& record) {
  if (!is_identifier(record.kind, kMaxKindBytes, "") || record.author.size() > kMaxAuthorBytes) return false;
  if (!is_valid_operation_id(record.operation_id)) return false;
  switch (record.operation) {
    case RecordOperation::kPut:
      return is_valid_name(record.name) && !record.body.empty();
    case RecordOperation::kDelete:
      return is_valid_name(record.name) && record.base_version > 0;
    case RecordOperation::kSnapshot:
      return true;
    case RecordOperation::kAnnounce:
      return is_identifier(record.name, 64, ".:-[]");
  }
  return false;
}

}  // namespace

std::string_view to_string(RecordOperation operation) noexcept {
  return kOperationNames[static_cast<std::size_t>(operation)];
}

bool is_valid_operation_id(std::string_view id) noexcept { return is_identifier(id, 64, "-_."); }

std::optional<std::string> encode(const LogRecord& record) {
  if (!is_valid(record)) return std::nullopt;
  const Json json = {{"format", kRecordFormat},
                     {"operation", to_string(record.operation)},
                     {"kind", record.kind},
                     {"name", record.name},
                     {"base_version", record.base_version},
                     {"operation_id", record.operation_id},
                     {"author", record.author},
                     {"body", record.body}};
  try {
    std::string bytes = json.dump();
    if (bytes.size() > kMaxRecordBytes) return std::nullopt;
    return bytes;
  } catch (const Json::type_error&) {  // Thrown for text that is not valid UTF-8.
    return std::nullopt;
  }
}

std::optional<LogRecord> decode(std::string_view bytes) {
  if (bytes.size() > kMaxRecordBytes) return std::nullopt;
  const internal::JsonDocument document = internal::parse_document(bytes, "", false);
  if (!document.root || !document.root->is_object()) return std::nullopt;
  const Json& json = *document.root;
  const auto format = json.find("format");
  if (format == json.end() || !format->is_number_integer() || *format != kRecordFormat) return std::nullopt;
  const auto operation = read_operation_field(json);
  auto kind = read_text_field(json, "kind");
  auto name = read_text_field(json, "name");
  auto operation_id = read_text_field(json, "operation_id");
  auto author = read_text_field(json, "author");
  auto body = read_text_field(json, "body");
  const auto base = json.find("base_version");
  if (!operation || !kind || !name || !operation_id || !author || !body) return std::nullopt;
  if (base != json.end() && !base->is_number_unsigned()) return std::nullopt;
  LogRecord record{*operation,
                   std::move(*kind),
                   std::move(*name),
                   base == json.end() ? 0 : base->get<std::uint64_t>(),
                   std::move(*operation_id),
                   std::move(*author),
                   std::move(*body)};
  if (!is_valid(record)) return std::nullopt;
  return record;
}

}  // namespace damaskthread::resource
