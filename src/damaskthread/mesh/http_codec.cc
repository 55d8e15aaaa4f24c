#include "damaskthread/mesh/http_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <numeric>
#include <utility>

#include "damaskthread/core/buffer.h"

namespace damaskthread::mesh {
namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::system::error_code;

// Fixed here because the limits in the configuration apply to callers only.
constexpr std::uint32_t kMaxResponseHeaderBytes = 64U << 10U;
// Limit on incomplete framing: chunk sizes with their extensions, and trailers.
constexpr std::size_t kMaxFramingBytes = std::size_t{64} << 10U;
// Servers normally send at most one interim response, `100 Continue`.
constexpr int kMaxInterimResponses = 8;
// Memory of a parsed field besides its characters: a node of the parser's list, or two strings in each of the copies
// that the request and its execution hold.
constexpr std::size_t kFieldOverheadBytes = 2 * sizeof(http::Header);
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

template <typename Fields>
http::Headers copy_headers(const Fields& fields) {
  http::Headers headers;
  for (const auto& field : fields) headers.push_back({std::string(field.name_string()), std::string(field.value())});
  return headers;
}

template <typename Fields>
std::size_t fields_memory(const Fields& fields) {
  std::size_t bytes = 0;
  for (const auto& field : fields) bytes += kFieldOverheadBytes + field.name_string().size() + field.value().size();
  return bytes;
}

template <typename Parser>
ReadState parse(Parser& parser, std::string& pending) {
  std::size_t consumed = 0;
  error_code error;
  while (consumed < pending.size() && !parser.is_done()) {
    const std::size_t parsed =
        parser.put(boost::asio::buffer(pending.data() + consumed, pending.size() - consumed), error);
    consumed += parsed;
    if (error == bhttp::error::need_more) {
      error = {};
      break;
    }
    if (error || parsed == 0) break;
  }
  pending.erase(0, consumed);
  // Frees the space of the parsed bytes, which is as large as a read and not counted.
  if (pending.size() <= core::kMaxIdleBufferBytes && pending.capacity() > core::kMaxIdleBufferBytes) {
    std::string(pending).swap(pending);
  }
  if (parser.is_done()) return ReadState::kDone;
  if (!error) return ReadState::kNeedMore;
  if (error == bhttp::error::header_limit || error == bhttp::error::buffer_overflow) return ReadState::kHeaderTooLarge;
  if (error == bhttp::error::body_limit) return ReadState::kBodyTooLarge;
  return ReadState::kMalformed;
}

std::string serialize(bhttp::response<bhttp::string_body>& message) {
  message.prepare_payload();
  bhttp::serializer<false, bhttp::string_body> serializer(message);
  std::string bytes;
  error_code error;
  while (!error && !serializer.is_done()) {
    serializer.next(error, [&](error_code& step_error, const auto& buffers) {
      step_error = {};
      std::size_t size = 0;
      for (const auto buffer : beast::buffers_range_ref(buffers)) {
        bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      serializer.consume(size);
    });
  }
  return bytes;
}

}  // namespace

struct RequestReader::Parser : bhttp::request_parser<bhttp::string_body> {};
struct ResponseReader::Parser : bhttp::response_parser<bhttp::string_body> {};

RequestReader::RequestReader(std::size_t max_header_bytes, std::size_t max_body_bytes)
    : max_header_bytes_(max_header_bytes), max_body_bytes_(max_body_bytes) {
  reset();
}

RequestReader::~RequestReader() = default;

void RequestReader::reset() {
  parser_ = std::make_unique<Parser>();
  header_memory_ = 0;
  header_counted_ = false;
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(max_header_bytes_));
  parser_->body_limit(max_body_bytes_);
}

ReadState RequestReader::add(std::string_view bytes) {
  pending_.append(bytes);
  return parse_pending();
}

ReadState RequestReader::parse_pending() {
  const ReadState state = parse(*parser_, pending_);
  if (!header_counted_) {
    header_memory_ = parser_->get().target().size() + fields_memory(parser_->get());
    header_counted_ = parser_->is_header_done();
  }
  // Behind the header only chunk sizes with their extensions and trailers stay unparsed; they have no limit of their
  // own.
  const bool framing_too_large =
      state == ReadState::kNeedMore && parser_->is_header_done() && pending_.size() > max_header_bytes_;
  return framing_too_large ? ReadState::kHeaderTooLarge : state;
}

void RequestReader::discard() {
  std::string().swap(pending_);
  reset();
}

bool RequestReader::started() const noexcept { return parser_->got_some() || !pending_.empty(); }
std::size_t RequestReader::held_bytes() const noexcept {
  return pending_.size() + header_memory_ + parser_->get().body().size();
}
bool RequestReader::header_complete() const noexcept { return parser_->is_header_done(); }

bool RequestReader::expects_continue() const {
  return beast::iequals(parser_->get()[bhttp::field::expect], "100-continue");
}

http::Request RequestReader::take() {
  keep_alive_ = parser_->keep_alive();
  auto message = parser_->release();
  http::Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = copy_headers(message);
  request.body = std::move(message.body());
  core::shrink_if_empty(pending_);
  reset();
  return request;
}

std::size_t header_memory(const http::Request& request) noexcept {
  return std::accumulate(request.headers.begin(), request.headers.end(), request.target.size(),
                         [](std::size_t total, const http::Header& header) {
                           return total + kFieldOverheadBytes + header.name.size() + header.value.size();
                         });
}

ResponseReader::ResponseReader(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) { reset(); }
ResponseReader::~ResponseReader() = default;

void ResponseReader::reset() {
  parser_ = std::make_unique<Parser>();
  header_memory_ = 0;
  header_counted_ = false;
  parser_->eager(true);
  parser_->header_limit(kMaxResponseHeaderBytes);
  parser_->body_limit(max_body_bytes_);
}

ReadState ResponseReader::add(std::string_view bytes) {
  pending_.append(bytes);
  return parse_pending();
}

ReadState ResponseReader::parse_pending() {
  for (;;) {
    const ReadState state = parse(*parser_, pending_);
    if (!header_counted_) {
      header_memory_ = fields_memory(parser_->get());
      header_counted_ = parser_->is_header_done();
    }
    if (state == ReadState::kNeedMore && pending_.size() > kMaxFramingBytes) return ReadState::kMalformed;
    const unsigned status = parser_->get().result_int();
    // Beast accepts any three digits. Other numbers are no HTTP status, and nobody may take them for an answer.
    if (parser_->is_header_done() && (status < kFirstStatus || status > kLastStatus)) return ReadState::kMalformed;
    if (state != ReadState::kDone || status >= kFirstFinalStatus) return state;
    if (++interim_responses_ > kMaxInterimResponses) return ReadState::kMalformed;
    reset();  // An interim response; the final one follows.
    if (pending_.empty()) return ReadState::kNeedMore;
  }
}

ReadState ResponseReader::end() {
  if (!parser_->got_some()) return ReadState::kMalformed;
  error_code error;
  parser_->put_eof(error);
  return !error && parser_->is_done() ? ReadState::kDone : ReadState::kMalformed;
}

bool ResponseReader::started() const noexcept { return parser_->got_some() || !pending_.empty(); }
std::size_t ResponseReader::held_bytes() const noexcept {
  return pending_.size() + header_memory_ + parser_->get().body().size();
}

http::Response ResponseReader::take() {
  keep_alive_ = parser_->keep_alive();
  auto message = parser_->release();
  http::Response response;
  response.status = static_cast<int>(message.result_int());
  response.headers = copy_headers(message);
  response.body = std::move(message.body());
  core::shrink_if_empty(pending_);
  interim_responses_ = 0;
  reset();
  return response;
}

std::string head_to_bytes(const http::Request& request, std::size_t body_bytes) {
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const http::Header& header : request.headers)
    bytes.append(header.name).append(": ").append(header.value).append("\r\n");
  // An empty body needs no length where the method expects none (RFC 9110, section 8.6).
  const bool has_body = request.method == "POST" || request.method == "PUT" || request.method == "OPTIONS";
  if (body_bytes > 0 || has_body) bytes.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
  return bytes.append("\r\n");
}

std::string to_bytes(const http::Response& response, bool close) {
  bhttp::response<bhttp::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  message.reason(bhttp::obsolete_reason(message.result()));
  for (const http::Header& header : response.headers) message.insert(header.name, header.value);
  message.body() = response.body;
  message.keep_alive(!close);
  return serialize(message);
}

}  // namespace damaskthread::mesh
