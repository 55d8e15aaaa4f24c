#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>

#include "damaskthread/resource/declaration.h"
#include "damaskthread/resource/internal/json_reader.h"

namespace damaskthread::resource {
namespace {

using internal::Json;
using internal::JsonDocument;
using internal::ObjectReader;
using std::chrono::milliseconds;

constexpr std::size_t kMaxOperations = 256;
constexpr std::size_t kMaxObjectives = 16;
constexpr std::int64_t kMaxCount = 100'000;
constexpr std::string_view kImportanceExpected = "expected sheddable, normal, high or critical";
constexpr std::string_view kWindowExpected = "expected a time from 1m to 90d such as 30m, 24h or 28d";
constexpr std::array<std::string_view, 8> kMethods = {"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

struct WindowUnit {
  char suffix;
  std::int64_t seconds;
};
constexpr std::array<WindowUnit, 4> kWindowUnits = {{{'d', 86'400}, {'h', 3'600}, {'m', 60}, {'s', 1}}};
constexpr std::int64_t kMinWindowSeconds = 60;
constexpr std::int64_t kMaxWindowSeconds = 90LL * 86'400;

bool is_safe_method(std::string_view method) { return method == "GET" || method == "HEAD" || method == "OPTIONS"; }

std::optional<std::chrono::seconds> parse_window(std::string_view text) {
  if (text.empty()) return std::nullopt;
  const auto* unit = std::find_if(kWindowUnits.begin(), kWindowUnits.end(),
                                  [&](const WindowUnit& candidate) { return candidate.suffix == text.back(); });
  if (unit == kWindowUnits.end()) return std::nullopt;
  const char* last = text.data() + text.size() - 1;
  std::int64_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), last, count);
  if (error != std::errc{} || end != last || count < 1 || count > kMaxWindowSeconds) return std::nullopt;
  const std::int64_t seconds = count * unit->seconds;
  if (seconds < kMinWindowSeconds || seconds > kMaxWindowSeconds) return std::nullopt;
  return std::chrono::seconds{seconds};
}

std::string format_window(std::chrono::seconds window) {
  for (const WindowUnit& unit : kWindowUnits) {
    if (window.count() % unit.seconds == 0) return std::to_string(window.count() / unit.seconds) + unit.suffix;
  }
  return {};
}

std::optional<core::Importance> read_importance(ObjectReader& reader) {
  reader.require("importance", kImportanceExpected);
  const auto text = reader.text("importance");
  if (!text) return std::nullopt;
  const auto importance = core::parse_importance(*text);
  if (!importance) reader.add_error("importance", std::string{kImportanceExpected});
  return importance;
}

// Requires normal form, because prefixes are compared with normalized paths.
bool is_valid_prefix(std::string_view prefix) {
  if (prefix.empty() || prefix.size() > 256 || prefix.front() != '/') return false;
  if (prefix.find("//") != prefix.npos || prefix.find("/.") != prefix.npos) return false;
  return std::none_of(prefix.begin(), prefix.end(),
                      [](char c) { return c <= ' ' || c >= 0x7F || c == '%' || c == '?' || c == '#'; });
}

Operation read_operation(ObjectReader& reader, ParseMode mode, milliseconds deadline) {
  Operation operation;
  operation.method = reader.text("method").value_or("*");
  if (std::find(kMethods.begin(), kMethods.end(), operation.method) == kMethods.end()) {
    reader.add_error("method", "expected *, GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS");
  }
  reader.require("path_prefix", "a path such as /payments");
  operation.path_prefix = reader.text("path_prefix").value_or("/");
  if (!is_valid_prefix(operation.path_prefix)) {
    reader.add_error("path_prefix",
                     "expected a path of at most 256 characters that starts with / and has no escapes, query, empty or "
                     "dot segments");
  }
  if (operation.path_prefix.size() > 1 && operation.path_prefix.back() == '/') operation.path_prefix.pop_back();
  operation.importance = read_importance(reader).value_or(core::Importance::kNormal);
  operation.at_most_once = reader.boolean("at_most_once").value_or(false);
  const auto idempotent = reader.boolean("idempotent");
  operation.idempotent = idempotent.value_or(!operation.at_most_once && is_safe_method(operation.method));
  if (operation.at_most_once && operation.idempotent) {
    reader.add_error("idempotent",
                     "expected false, because at_most_once is true: such an operation must not run again");
  }
  operation.deadline = milliseconds{reader.integer("deadline_ms", 1, kMaxDeadline.count()).value_or(deadline.count())};
  if (mode == ParseMode::kStrict) reader.reject_unknown_keys();
  return operation;
}

void read_operations(JsonDocument& document, ObjectReader& root, ParseMode mode, ServiceDeclaration& declaration) {
  const auto objects = root.objects("operations");
  if (objects.size() > kMaxOperations) {
    root.add_error("operations", "expected at most " + std::to_string(kMaxOperations) + " operations");
    return;
  }
  for (const auto& [object, path] : objects) {
    ObjectReader reader{document, *object, path};
    Operation operation = read_operation(reader, mode, declaration.deadline);
    const bool duplicate =
        std::any_of(declaration.operations.begin(), declaration.operations.end(), [&](const Operation& other) {
          return other.method == operation.method && other.path_prefix == operation.path_prefix;
        });
    if (duplicate) reader.add_error("", "expected each method and path_prefix once, this pair is a duplicate");
    declaration.operations.push_back(std::move(operation));
  }
}

Objective read_objective(ObjectReader& reader, ParseMode mode) {
  Objective objective;
  objective.importance = read_importance(reader).value_or(core::Importance::kNormal);
  reader.require("target", "a fraction such as 0.999");
  objective.target = reader.number("target", "a number above 0 and below 1").value_or(objective.target);
  if (objective.target <= 0.0 || objective.target >= 1.0)
    reader.add_error("target", "expected a number above 0 and below 1");
  reader.require("latency_ms", "an integer");
  objective.latency = milliseconds{reader.integer("latency_ms", 1, kMaxDeadline.count()).value_or(1'000)};
  const auto window = reader.text("window");
  if (window) {
    const auto parsed = parse_window(*window);
    if (!parsed) reader.add_error("window", std::string{kWindowExpected});
    objective.window = parsed.value_or(objective.window);
  }
  if (mode == ParseMode::kStrict) reader.reject_unknown_keys();
  return objective;
}

void read_objectives(JsonDocument& document, ObjectReader& root, ParseMode mode, ServiceDeclaration& declaration) {
  const auto objects = root.objects("objectives");
  if (objects.size() > kMaxObjectives) {
    root.add_error("objectives", "expected at most " + std::to_string(kMaxObjectives) + " objectives");
    return;
  }
  for (const auto& [object, path] : objects) {
    ObjectReader reader{document, *object, path};
    const Objective objective = read_objective(reader, mode);
    const bool duplicate =
        std::any_of(declaration.objectives.begin(), declaration.objectives.end(), [&](const Objective& other) {
          return std::tie(other.importance, other.latency, other.window) ==
                 std::tie(objective.importance, objective.latency, objective.window);
        });
    if (duplicate)
      reader.add_error("", "expected each importance, latency_ms and window once, this one is a duplicate");
    declaration.objectives.push_back(objective);
  }
}

std::optional<int> read_count(ObjectReader& reader, std::string_view key) {
  const auto count = reader.integer(key, 1, kMaxCount);
  if (!count) return std::nullopt;
  return static_cast<int>(*count);
}

void read_service(JsonDocument& document, ObjectReader& root, ParseMode mode, ServiceDeclaration& declaration) {
  root.require("kind", "`Service`");
  const auto kind = root.text("kind");
  if (kind && *kind != kServiceKind) root.add_error("kind", "expected `Service`");
  root.require("name", "the name of the service");
  declaration.name = root.text("name").value_or("");
  if (root.has("name") && !is_valid_name(declaration.name)) {
    root.add_error("name", "expected 1 to 63 of a-z, 0-9 and -, starting with a letter");
  }
  declaration.retries = static_cast<int>(root.integer("retries", 0, kMaxRetries).value_or(declaration.retries));
  declaration.deadline =
      milliseconds{root.integer("deadline_ms", 1, kMaxDeadline.count()).value_or(kDefaultDeadline.count())};
  declaration.max_body_bytes =
      static_cast<std::uint64_t>(root.integer("max_body_bytes", 0, static_cast<std::int64_t>(kMaxBodyBytes))
                                     .value_or(static_cast<std::int64_t>(kDefaultMaxBodyBytes)));
  declaration.slots = read_count(root, "slots");
  declaration.connections = read_count(root, "connections");
  declaration.max_concurrency_per_caller = read_count(root, "max_concurrency_per_caller");
  if (declaration.slots && declaration.connections && *declaration.connections < *declaration.slots) {
    root.add_error("connections", "expected at least as many as slots: each call in progress holds a connection");
  }
  read_operations(document, root, mode, declaration);
  read_objectives(document, root, mode, declaration);
  declaration.safe_fallback.deadline = declaration.deadline;
  declaration.fallback.deadline = declaration.deadline;
  if (mode == ParseMode::kStrict) root.reject_unknown_keys();
}

Json operation_to_json(const Operation& operation) {
  return {{"method", operation.method},
          {"path_prefix", operation.path_prefix},
          {"importance", core::to_string(operation.importance)},
          {"at_most_once", operation.at_most_once},
          {"idempotent", operation.idempotent},
          {"deadline_ms", operation.deadline.count()}};
}

Json objective_to_json(const Objective& objective) {
  return {{"importance", core::to_string(objective.importance)},
          {"target", objective.target},
          {"latency_ms", objective.latency.count()},
          {"window", format_window(objective.window)}};
}

}  // namespace

ParsedDeclaration parse_declaration(std::string_view text, std::string_view file, ParseMode mode) {
  if (text.size() > kMaxRecordBytes) {
    return {std::nullopt, {{std::string{file}, 0, "", "expected at most 65536 bytes"}}};
  }
  JsonDocument document = internal::parse_document(text, file, true);
  if (!document.root) return {std::nullopt, std::move(document.errors)};
  if (!document.root->is_object()) return {std::nullopt, {{std::string{file}, 1, "", "expected an object"}}};
  ServiceDeclaration declaration;
  ObjectReader root{document, *document.root, ""};
  read_service(document, root, mode, declaration);
  if (!document.errors.empty()) return {std::nullopt, std::move(document.errors)};
  return {std::move(declaration), {}};
}

std::string to_json(const ServiceDeclaration& declaration) {
  Json json = {{"kind", kServiceKind},
               {"name", declaration.name},
               {"retries", declaration.retries},
               {"deadline_ms", declaration.deadline.count()},
               {"max_body_bytes", declaration.max_body_bytes},
               {"operations", Json::array()},
               {"objectives", Json::array()}};
  const std::array<std::pair<const char*, const std::optional<int>*>, 3> counts = {
      {{"slots", &declaration.slots},
       {"connections", &declaration.connections},
       {"max_concurrency_per_caller", &declaration.max_concurrency_per_caller}}};
  for (const auto& [key, count] : counts) {
    if (*count) json[key] = **count;
  }
  for (const Operation& operation : declaration.operations) json["operations"].push_back(operation_to_json(operation));
  for (const Objective& objective : declaration.objectives) json["objectives"].push_back(objective_to_json(objective));
  return json.dump();
}

}  // namespace damaskthread::resource
