#ifndef DAMASKTHREAD_WIRE_TOKEN_READER_H_
#define DAMASKTHREAD_WIRE_TOKEN_READER_H_

/// @file
/// @brief Reads CBOR as a flat list of tokens. Internal to the codec.

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskthread::wire {

/// Cursor over the tokens of one message. After the first mismatch, every read returns an empty value and ok() returns
/// false, so callers need to check only once at the end.
class TokenReader {
 public:
  /// @brief Parses CBOR into tokens.
  /// @param bytes Untrusted bytes.
  /// @return `std::nullopt` if the bytes are malformed, nested too deeply or contain a type that no message uses.
  [[nodiscard]] static std::optional<TokenReader> parse(std::string_view bytes);

  /// @brief Reads an array header.
  /// @return The array size, or 0 after a mismatch.
  std::size_t array();
  std::uint64_t number(std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  std::string text(std::size_t max_bytes);
  std::string binary(std::size_t max_bytes);
  void fail() noexcept { ok_ = false; }
  [[nodiscard]] bool ok() const noexcept { return ok_; }
  /// Returns whether all tokens were read without a mismatch.
  [[nodiscard]] bool at_end() const noexcept { return ok_ && next_ == tokens_.size(); }

 private:
  enum class Kind : std::uint8_t { kArray, kNumber, kText, kBinary };
  struct Token {
    Kind kind = Kind::kNumber;
    std::uint64_t number = 0;
    std::string bytes;
  };
  struct Handler;

  [[nodiscard]] Token* take(Kind kind) noexcept;

  std::vector<Token> tokens_;
  std::size_t next_ = 0;
  bool ok_ = true;
};

}  // namespace damaskthread::wire

#endif  // DAMASKTHREAD_WIRE_TOKEN_READER_H_
