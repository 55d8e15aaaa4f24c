#ifndef DAMASKTHREAD_PEER_FRAME_H_
#define DAMASKTHREAD_PEER_FRAME_H_

/// @file
/// @brief Binary framing of peer messages: frame length, length of the fields, the fields as a CBOR array, and the raw
/// body.

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "damaskthread/peer/message.h"

namespace damaskthread::peer {

/// Maximum accepted frame size. The configured body limits are far smaller.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{96} << 20U;

/// @brief Appends an encoded message to a buffer.
void append_frame(std::string& out, const Message& message);

/// @brief Incremental decoder that splits a byte stream into messages.
class FrameReader {
 public:
  void add(std::string_view bytes) { buffer_.append(bytes); }

  /// @brief Decodes the next complete message.
  /// @return The message, nothing if more bytes are needed, or a `core::Error` after which the stream must be closed.
  [[nodiscard]] boost::leaf::result<std::optional<Message>> next();

 private:
  std::string buffer_;
  std::size_t read_offset_ = 0;
};

}  // namespace damaskthread::peer

#endif  // DAMASKTHREAD_PEER_FRAME_H_
