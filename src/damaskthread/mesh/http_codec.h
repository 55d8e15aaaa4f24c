#ifndef DAMASKTHREAD_MESH_HTTP_CODEC_H_
#define DAMASKTHREAD_MESH_HTTP_CODEC_H_

/// @file
/// @brief Parsing and serialization of HTTP/1.1 messages, based on Boost.Beast.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "damaskthread/http/message.h"

namespace damaskthread::mesh {

/// State of a reader after the data it was given.
enum class ReadState : std::uint8_t { kNeedMore, kDone, kHeaderTooLarge, kBodyTooLarge, kMalformed };

/// @brief Parses the requests of one connection in sequence.
class RequestReader {
 public:
  RequestReader(std::size_t max_header_bytes, std::size_t max_body_bytes);
  ~RequestReader();

  /// @brief Parses received bytes. After `kDone`, `take` must be called before the next request is parsed.
  ReadState add(std::string_view bytes);
  /// @brief Parses bytes that arrived after the previous request.
  ReadState parse_pending();
  /// @brief Returns the parsed request and prepares for the next one.
  [[nodiscard]] http::Request take();

  /// @return Whether part of a request has arrived.
  [[nodiscard]] bool started() const noexcept;
  [[nodiscard]] bool header_complete() const noexcept;
  /// @return Whether the caller waits for a `100 Continue` response before it sends the body.
  [[nodiscard]] bool expects_continue() const;
  /// @return Whether the last request allows the connection to stay open.
  [[nodiscard]] bool keep_alive() const noexcept { return keep_alive_; }
  /// @return Bytes received but not yet parsed.
  [[nodiscard]] std::size_t pending_bytes() const noexcept { return pending_.size(); }
  /// @return Memory of requests that were not taken yet.
  [[nodiscard]] std::size_t held_bytes() const noexcept;
  /// @brief Drops all that was received.
  void discard();

 private:
  struct Parser;
  void reset();

  std::size_t max_header_bytes_;
  std::size_t max_body_bytes_;
  std::unique_ptr<Parser> parser_;
  std::string pending_;
  /// Memory of the fields parsed so far.
  std::size_t header_memory_ = 0;
  /// It includes all fields of the header.
  bool header_counted_ = false;
  bool keep_alive_ = true;
};

/// @return Approximate memory of the parsed header of a request, which is a multiple of its bytes if its fields are
/// short.
[[nodiscard]] std::size_t header_memory(const http::Request& request) noexcept;

/// Maximum body size of a response. A response is buffered until it is complete, so that a partial one is never taken
/// for a complete one; a server that writes without end must not exhaust the daemon's memory.
inline constexpr std::size_t kMaxResponseBytes = std::size_t{16} << 20U;

/// @brief Parses the responses of one connection. Everything a server may send is bounded: header, interim responses,
/// framing and body.
class ResponseReader {
 public:
  explicit ResponseReader(std::size_t max_body_bytes = kMaxResponseBytes);
  ~ResponseReader();

  /// @brief Parses received bytes.
  ReadState add(std::string_view bytes);
  /// @brief Parses bytes that arrived after the previous response.
  ReadState parse_pending();
  /// @brief Handles the end of the stream, which completes a response without a length.
  ReadState end();
  [[nodiscard]] http::Response take();

  [[nodiscard]] bool started() const noexcept;
  /// @return Whether the last response allows the connection to stay open.
  [[nodiscard]] bool keep_alive() const noexcept { return keep_alive_; }
  [[nodiscard]] std::size_t pending_bytes() const noexcept { return pending_.size(); }
  /// @return Bytes buffered for an incomplete response.
  [[nodiscard]] std::size_t held_bytes() const noexcept;

 private:
  struct Parser;
  void reset();

  std::size_t max_body_bytes_;
  std::unique_ptr<Parser> parser_;
  std::string pending_;
  int interim_responses_ = 0;
  /// Memory of the fields parsed so far, a multiple of their bytes if they are short.
  std::size_t header_memory_ = 0;
  /// It includes all fields of the header.
  bool header_counted_ = false;
  bool keep_alive_ = true;
};

/// @brief Serializes the head of a request, which is sent in front of the body.
[[nodiscard]] std::string head_to_bytes(const http::Request& request, std::size_t body_bytes);
/// @brief Serializes a response; `Content-Length` is set from the body.
/// @param close Whether the connection closes after the response.
[[nodiscard]] std::string to_bytes(const http::Response& response, bool close);

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_HTTP_CODEC_H_
