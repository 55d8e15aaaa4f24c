#include "damaskthread/resource/declaration.h"

#include <algorithm>
#include <optional>

namespace damaskthread::resource {
namespace {

std::optional<int> hex_digit(char digit) noexcept {
  if (digit >= '0' && digit <= '9') return digit - '0';
  const char lower = static_cast<char>(digit | 0x20);
  if (lower >= 'a' && lower <= 'f') return lower - 'a' + 10;
  return std::nullopt;
}

std::string percent_decode(std::string_view path) {
  std::string decoded;
  decoded.reserve(path.size());
  for (std::size_t i = 0; i < path.size(); ++i) {
    const bool escape = path[i] == '%' && i + 2 < path.size();
    const auto high = escape ? hex_digit(path[i + 1]) : std::nullopt;
    const auto low = escape ? hex_digit(path[i + 2]) : std::nullopt;
    if (!high || !low) {
      decoded += path[i];
      continue;
    }
    decoded += static_cast<char>(*high * 16 + *low);
    i += 2;
  }
  return decoded;
}

// Percent-decodes a path and removes empty and dot segments.
std::string normalize_path(std::string_view path) {
  const std::string decoded = percent_decode(path);
  std::vector<std::string_view> segments;
  std::string_view rest{decoded};
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('/'), rest.size());
    const std::string_view segment = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (segment.empty() || segment == ".") continue;
    if (segment != "..") {
      segments.push_back(segment);
      continue;
    }
    if (!segments.empty()) segments.pop_back();
  }
  std::string result;
  for (const std::string_view segment : segments) result.append("/").append(segment);
  return result.empty() ? "/" : result;
}

struct ScannedPath {
  std::string_view path;  // Without the query.
  bool is_normalized = true;
};

// Strips the query and checks for normal form in a single pass, because this runs on every call.
ScannedPath scan_path(std::string_view target) noexcept {
  bool is_normalized = !target.empty() && target.front() == '/';
  char previous = '\0';
  for (std::size_t i = 0; i < target.size(); ++i) {
    const char c = target[i];
    if (c == '?' || c == '#') return {target.substr(0, i), is_normalized};
    if (c == '%' || (previous == '/' && (c == '/' || c == '.'))) is_normalized = false;
    previous = c;
  }
  return {target, is_normalized};
}

bool matches_prefix(std::string_view prefix, std::string_view path) noexcept {
  if (!prefix.empty() && prefix.back() == '/') prefix.remove_suffix(1);
  if (!path.starts_with(prefix)) return false;
  return path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool is_safe_method(std::string_view method) noexcept {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

const Operation& classify_normalized(const ServiceDeclaration& declaration, std::string_view method,
                                     std::string_view path) {
  const Operation* best = nullptr;
  for (const Operation& operation : declaration.operations) {
    const bool exact = operation.method == method;
    if (!exact && operation.method != "*") continue;
    if (!matches_prefix(operation.path_prefix, path)) continue;
    const auto length = [](const Operation& o) { return o.path_prefix.size(); };
    const bool better =
        best == nullptr || length(operation) > length(*best) || (length(operation) == length(*best) && exact);
    if (better) best = &operation;
  }
  if (best != nullptr) return *best;
  return is_safe_method(method) ? declaration.safe_fallback : declaration.fallback;
}

}  // namespace

const Operation& ServiceDeclaration::classify(std::string_view method, std::string_view path) const {
  const ScannedPath scanned = scan_path(path);
  if (scanned.is_normalized) return classify_normalized(*this, method, scanned.path);
  return classify_normalized(*this, method, normalize_path(scanned.path));
}

std::string to_string(const FieldError& error) {
  std::string text = error.file;
  if (error.line > 0) text += (text.empty() ? "line " : ":") + std::to_string(error.line);
  if (!text.empty()) text += ": ";
  if (!error.path.empty()) text += error.path + ": ";
  return text + error.message;
}

bool is_valid_name(std::string_view name) noexcept {
  const auto is_letter = [](char c) { return c >= 'a' && c <= 'z'; };
  const auto is_allowed = [&](char c) { return is_letter(c) || (c >= '0' && c <= '9') || c == '-'; };
  if (name.empty() || name.size() > 63 || !is_letter(name.front())) return false;
  return std::all_of(name.begin(), name.end(), is_allowed);
}

}  // namespace damaskthread::resource
