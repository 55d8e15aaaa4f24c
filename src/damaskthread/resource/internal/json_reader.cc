#include "damaskthread/resource/internal/json_reader.h"

#include <cmath>
#include <iterator>

namespace damaskthread::resource::internal {
namespace {

// Counts lines as the parser advances, because SAX events carry no position.
class LineCountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;  // NOLINT(readability-identifier-naming)
  using value_type = char;                            // NOLINT(readability-identifier-naming)
  using difference_type = std::ptrdiff_t;             // NOLINT(readability-identifier-naming)
  using pointer = const char*;                        // NOLINT(readability-identifier-naming)
  using reference = const char&;                      // NOLINT(readability-identifier-naming)

  LineCountingIterator(const char* position, int* line) : position_(position), line_(line) {}

  reference operator*() const { return *position_; }
  LineCountingIterator& operator++() {
    if (*position_ == '\n') ++*line_;
    ++position_;
    return *this;
  }
  bool operator==(const LineCountingIterator& other) const { return position_ == other.position_; }
  bool operator!=(const LineCountingIterator& other) const { return position_ != other.position_; }

 private:
  const char* position_;
  int* line_;
};

// Records the line of each key and array element. Also limits the depth, because the parser is iterative and
// imposes no limit.
class LocationHandler : public nlohmann::json_sax<Json> {
 public:
  LocationHandler(JsonDocument& document, const int& line) : document_(document), line_(line) {}

  bool null() override { return value(); }
  bool boolean(bool /*value*/) override { return value(); }
  bool number_integer(number_integer_t /*value*/) override { return value(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return value(); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return value(); }
  bool string(string_t& /*value*/) override { return value(); }
  bool binary(binary_t& /*value*/) override { return value(); }
  bool start_object(std::size_t /*size*/) override { return start(false); }
  bool start_array(std::size_t /*size*/) override { return start(true); }
  bool end_object() override { return end(); }
  bool end_array() override { return end(); }

  bool key(string_t& name) override {
    Level& level = levels_.back();
    level.key = name;
    const std::string path = current_path();
    if (!level.keys.insert(name).second) {
      document_.errors.push_back({document_.file, line_, path, "expected each key once, this one is a duplicate"});
      return false;
    }
    document_.lines[path] = line_;
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& token, const Json::exception& error) override {
    std::string message = error.what();
    // Removes the library's prefix and position; the line is reported separately.
    const std::size_t detail = message.rfind(": ");
    if (detail != std::string::npos) message.erase(0, detail + 2);
    std::string path = levels_.empty() ? std::string{} : current_path();
    document_.errors.push_back({document_.file, line_, std::move(path),
                                "expected valid JSON: " + message + (token.empty() ? "" : " near here")});
    return false;
  }

 private:
  struct Level {
    bool array = false;
    std::string path;
    std::string key;
    std::size_t index = 0;
    std::set<std::string> keys;
  };

  [[nodiscard]] std::string current_path() const {
    if (levels_.empty()) return {};
    const Level& level = levels_.back();
    if (level.array) return level.path + '[' + std::to_string(level.index) + ']';
    return level.path.empty() ? level.key : level.path + '.' + level.key;
  }

  bool value() {
    if (!levels_.empty() && levels_.back().array) {
      document_.lines[current_path()] = line_;
      ++levels_.back().index;
    }
    return true;
  }

  bool start(bool array) {
    if (levels_.size() >= kMaxJsonDepth) {
      document_.errors.push_back({document_.file, line_, current_path(),
                                  "expected at most " + std::to_string(kMaxJsonDepth) + " levels of nesting"});
      return false;
    }
    const std::string path = current_path();
    if (levels_.empty() || levels_.back().array) document_.lines[path] = line_;
    levels_.push_back({array, path, {}, 0, {}});
    return true;
  }

  bool end() {
    levels_.pop_back();
    if (!levels_.empty() && levels_.back().array) ++levels_.back().index;
    return true;
  }

  JsonDocument& document_;
  const int& line_;
  std::vector<Level> levels_;
};

}  // namespace

JsonDocument parse_document(std::string_view text, std::string_view file, bool allow_comments) {
  JsonDocument document;
  document.file = file;
  int line = 1;
  LocationHandler handler{document, line};
  const bool valid =
      Json::sax_parse(LineCountingIterator{text.data(), &line}, LineCountingIterator{text.data() + text.size(), &line},
                      &handler, Json::input_format_t::json, true, allow_comments);
  if (!valid) return document;
  document.root = Json::parse(text.begin(), text.end(), nullptr, false, allow_comments);
  return document;
}

const Json* ObjectReader::field(std::string_view key) {
  requested_keys_.emplace(key);
  const auto it = object_.find(key);
  return it == object_.end() ? nullptr : &*it;
}

std::string ObjectReader::field_path(std::string_view key) const {
  if (key.empty()) return path_;
  return path_.empty() ? std::string{key} : path_ + '.' + std::string{key};
}

void ObjectReader::add_error(std::string_view key, std::string message) {
  std::string path = field_path(key);
  auto line = document_.lines.find(path);
  if (line == document_.lines.end()) line = document_.lines.find(path_);
  const int number = line == document_.lines.end() ? 0 : line->second;
  document_.errors.push_back({document_.file, number, std::move(path), std::move(message)});
}

std::optional<std::int64_t> ObjectReader::integer(std::string_view key, std::int64_t min, std::int64_t max) {
  const Json* value = field(key);
  if (value == nullptr) return std::nullopt;
  const bool in_int64_range =
      value->is_number_integer() &&
      !(value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(max));
  const std::int64_t number = in_int64_range ? value->get<std::int64_t>() : 0;
  if (!in_int64_range || number < min || number > max) {
    add_error(key, "expected an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return std::nullopt;
  }
  return number;
}

std::optional<double> ObjectReader::number(std::string_view key, std::string_view expected) {
  const Json* value = field(key);
  if (value == nullptr) return std::nullopt;
  if (!value->is_number() || !std::isfinite(value->get<double>())) {
    add_error(key, "expected " + std::string{expected});
    return std::nullopt;
  }
  return value->get<double>();
}

std::optional<bool> ObjectReader::boolean(std::string_view key) {
  const Json* value = field(key);
  if (value == nullptr) return std::nullopt;
  if (!value->is_boolean()) {
    add_error(key, "expected true or false");
    return std::nullopt;
  }
  return value->get<bool>();
}

std::optional<std::string> ObjectReader::text(std::string_view key) {
  const Json* value = field(key);
  if (value == nullptr) return std::nullopt;
  if (!value->is_string()) {
    add_error(key, "expected a string");
    return std::nullopt;
  }
  return value->get<std::string>();
}

std::vector<std::pair<const Json*, std::string>> ObjectReader::objects(std::string_view key) {
  std::vector<std::pair<const Json*, std::string>> found;
  const Json* value = field(key);
  if (value == nullptr) return found;
  if (!value->is_array()) {
    add_error(key, "expected a list of objects");
    return found;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    const std::string element = std::string{key} + '[' + std::to_string(i) + ']';
    if (!(*value)[i].is_object()) {
      add_error(element, "expected an object");
      continue;
    }
    found.emplace_back(&(*value)[i], field_path(element));
  }
  return found;
}

void ObjectReader::require(std::string_view key, std::string_view expected) {
  if (has(key)) return;
  add_error("", "expected the key `" + std::string{key} + "`: " + std::string{expected});
}

void ObjectReader::reject_unknown_keys() {
  for (const auto& [key, value] : object_.items()) {
    if (requested_keys_.contains(key)) continue;
    std::string names;
    for (const std::string& name : requested_keys_) names += (names.empty() ? "" : ", ") + name;
    add_error(key, "unknown key; expected one of " + names);
  }
}

}  // namespace damaskthread::resource::internal
