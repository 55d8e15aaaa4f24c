#include "damaskthread/wire/token_reader.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace damaskthread::wire {

// The library's parser recurses once per nesting level and reserves memory by declared size. This handler stops it at
// the maximum depth of a message and does not trust declared sizes.
struct TokenReader::Handler {
  using Json = nlohmann::json;
  static constexpr int kMaxDepth = 4;

  std::vector<Token> tokens;
  int depth = 0;

  bool add(Kind kind, std::uint64_t number, std::string bytes = {}) {
    tokens.push_back({kind, number, std::move(bytes)});
    return true;
  }
  bool null() { return false; }
  bool boolean(bool) { return false; }
  bool number_integer(Json::number_integer_t) { return false; }
  bool number_unsigned(Json::number_unsigned_t value) { return add(Kind::kNumber, value); }
  bool number_float(Json::number_float_t, const std::string&) { return false; }
  bool string(std::string& value) { return add(Kind::kText, 0, std::move(value)); }
  bool binary(Json::binary_t& value) { return add(Kind::kBinary, 0, std::string(value.begin(), value.end())); }
  bool start_object(std::size_t) { return false; }
  bool key(std::string&) { return false; }
  bool end_object() { return false; }
  bool start_array(std::size_t size) {
    if (size == std::numeric_limits<std::size_t>::max() || ++depth > kMaxDepth) return false;
    return add(Kind::kArray, size);
  }
  bool end_array() {
    --depth;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const Json::exception&) { return false; }
};

std::optional<TokenReader> TokenReader::parse(std::string_view bytes) {
  Handler handler;
  if (!nlohmann::json::sax_parse(bytes, &handler, nlohmann::json::input_format_t::cbor)) return std::nullopt;
  TokenReader reader;
  reader.tokens_ = std::move(handler.tokens);
  return reader;
}

TokenReader::Token* TokenReader::take(Kind kind) noexcept {
  if (!ok_ || next_ >= tokens_.size() || tokens_[next_].kind != kind) {
    ok_ = false;
    return nullptr;
  }
  return &tokens_[next_++];
}

std::size_t TokenReader::array() {
  const Token* token = take(Kind::kArray);
  return token == nullptr ? 0 : token->number;
}

std::uint64_t TokenReader::number(std::uint64_t max) {
  const Token* token = take(Kind::kNumber);
  if (token == nullptr) return 0;
  if (token->number > max) {
    ok_ = false;
    return 0;
  }
  return token->number;
}

std::string TokenReader::text(std::size_t max_bytes) {
  Token* token = take(Kind::kText);
  if (token == nullptr || token->bytes.size() > max_bytes) {
    ok_ = false;
    return {};
  }
  return std::move(token->bytes);
}

std::string TokenReader::binary(std::size_t max_bytes) {
  Token* token = take(Kind::kBinary);
  if (token == nullptr || token->bytes.size() > max_bytes) {
    ok_ = false;
    return {};
  }
  return std::move(token->bytes);
}

}  // namespace damaskthread::wire
