#ifndef DAMASKTHREAD_PEER_FRAME_H_
#define DAMASKTHREAD_PEER_FRAME_H_

/// @file
/// @brief Messages as bytes: two lengths, the fields as a CBOR array, and the body of a request or answer as it is.

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "damaskthread/peer/message.h"

namespace damaskthread::peer {

/// Largest frame that is taken. Bodies are bounded by the configuration far below it.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{96} << 20U;

/// @brief Appends a message to a buffer.
void append_frame(std::string& out, const Message& message);

/// @brief Cuts a stream of bytes into messages.
class FrameReader {
 public:
  void add(std::string_view bytes) { buffer_.append(bytes); }

  /// @brief Takes the next whole message out.
  /// @return The message, nothing if more bytes are needed, or a `core::Error` after which the stream cannot be used.
  [[nodiscard]] boost::leaf::result<std::optional<Message>> next();

 private:
  std::string buffer_;
  std::size_t begin_ = 0;
};

}  // namespace damaskthread::peer

#endif  // DAMASKTHREAD_PEER_FRAME_H_
