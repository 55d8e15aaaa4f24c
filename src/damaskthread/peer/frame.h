#ifndef DAMASKTHREAD_PEER_FRAME_H_
#define DAMASKTHREAD_PEER_FRAME_H_

/// @file
/// @brief Binary framing of peer messages: frame length, length of the fields, the fields as a CBOR array, and the raw
/// body.

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "damaskthread/peer/message.h"

namespace damaskthread::peer {

/// Maximum accepted frame size. The configured body limits are far smaller.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{96} << 20U;

/// @brief Appends an encoded message to a buffer.
void append_frame(std::string& out, const Message& message);
/// @brief Appends an encoded request without its body, which must be sent directly behind it.
void append_frame_head(std::string& out, const Execute& execute);

/// Reserves memory for the body of a request. Called with its size before its bytes are kept; returns a function that
/// makes the shared body of them, or none if there is no room.
using BodyReservation = std::function<http::SharedBody(std::string&&)>;
using ReserveBody = std::function<std::optional<BodyReservation>(std::size_t bytes)>;

/// @brief Incremental decoder that splits a byte stream into messages. The bytes of a body are collected once, not in
/// the buffer and then in the message.
class FrameReader {
 public:
  /// @param reserve_body Asked about the body of each request. A request whose body it refuses is decoded without it.
  explicit FrameReader(ReserveBody reserve_body = {}) : reserve_body_(std::move(reserve_body)) {}

  void add(std::string_view bytes);

  /// @brief Decodes the next complete message.
  /// @return The message, nothing if more bytes are needed, or a `core::Error` after which the stream must be closed.
  [[nodiscard]] boost::leaf::result<std::optional<Message>> next();

 private:
  /// Decodes the fields at the front of the buffer.
  /// @return Whether they were complete.
  [[nodiscard]] boost::leaf::result<bool> read_fields();
  void take_body_bytes(std::string_view& bytes);

  ReserveBody reserve_body_;
  std::string buffer_;
  std::size_t read_offset_ = 0;
  /// Message whose body is being read.
  std::optional<Message> message_;
  std::optional<BodyReservation> reservation_;
  std::string body_;
  std::size_t body_missing_ = 0;
};

}  // namespace damaskthread::peer

#endif  // DAMASKTHREAD_PEER_FRAME_H_
