#ifndef DAMASKTHREAD_WIRE_TOKEN_READER_H_
#define DAMASKTHREAD_WIRE_TOKEN_READER_H_

/// @file
/// @brief Reads CBOR as a flat list of tokens. Private to the codec.

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskthread::wire {

/// Cursor over the tokens of one message. After the first mismatch every read returns an empty value and ok() is false,
/// so that callers check once at the end.
class TokenReader {
 public:
  /// @brief Splits CBOR into tokens.
  /// @param bytes Any bytes.
  /// @return Nothing if they are malformed, nest too deeply or use a type that no message has.
  [[nodiscard]] static std::optional<TokenReader> parse(std::string_view bytes);

  /// @brief Reads the head of an array.
  /// @return Its size; 0 after a mismatch.
  std::size_t array();
  std::uint64_t number(std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  std::string text(std::size_t max_bytes);
  std::string binary(std::size_t max_bytes);
  void fail() noexcept { ok_ = false; }
  [[nodiscard]] bool ok() const noexcept { return ok_; }
  /// Whether all tokens are read and none mismatched.
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
