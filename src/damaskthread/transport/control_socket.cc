#include "damaskthread/transport/control_socket.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <array>
#include <list>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <utility>

namespace damaskthread::transport {
namespace {

// Maximum delay until the receiving thread checks whether to stop.
constexpr nng_duration kReceiveTimeoutMs = 200;
// A restarted peer is reconnected to within a probe period; the maximum keeps dials to dead peers rare.
constexpr nng_duration kReconnectMinMs = 100;
constexpr nng_duration kReconnectMaxMs = 2000;

class Socket {
 public:
  using OpenFunction = int (*)(nng_socket*);
  explicit Socket(OpenFunction open) {
    if (const int error = open(&socket_); error != 0) throw std::runtime_error{nng_strerror(error)};
  }
  ~Socket() { nng_close(socket_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  [[nodiscard]] nng_socket raw() const noexcept { return socket_; }

 private:
  nng_socket socket_{};
};

std::string url(const std::string& address) { return "tcp://" + address; }

}  // namespace

struct ControlSocket::Impl {
  struct Peer {
    std::string address;
    Socket socket;
    explicit Peer(const std::string& peer_address) : address{peer_address}, socket{&nng_push0_open} {}
  };
  using Peers = std::list<Peer>;

  Impl(const Options& socket_options, Receiver message_receiver)
      : options{socket_options}, receiver{std::move(message_receiver)}, pull{&nng_pull0_open} {
    nng_socket_set_size(pull.raw(), NNG_OPT_RECVMAXSZ, options.max_message_bytes);
    nng_socket_set_ms(pull.raw(), NNG_OPT_RECVTIMEO, kReceiveTimeoutMs);
    if (const int error = nng_listen(pull.raw(), url(options.listen_address).c_str(), &listener, 0); error != 0) {
      throw std::runtime_error{"control socket " + options.listen_address + ": " + nng_strerror(error)};
    }
    thread = std::thread{[this] { run(); }};
  }

  ~Impl() {
    stopping = true;
    thread.join();
  }

  void run() {
    while (!stopping) {
      nng_msg* message = nullptr;
      const int error = nng_recvmsg(pull.raw(), &message, 0);
      if (error == NNG_ECLOSED) return;
      if (error != 0) continue;
      const std::unique_ptr<nng_msg, decltype(&nng_msg_free)> guard{message, &nng_msg_free};
      ++received;
      received_bytes += nng_msg_len(message);
      receiver({static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message)});
    }
  }

  // Moves the peer to the front of the list, opening its socket if needed. Returns null if dialling the address fails.
  Peer* find_or_connect(const std::string& address) {
    if (const auto found = by_address.find(address); found != by_address.end()) {
      peers.splice(peers.begin(), peers, found->second);
      return &peers.front();
    }
    peers.emplace_front(address);
    const nng_socket raw = peers.front().socket.raw();
    nng_socket_set_int(raw, NNG_OPT_SENDBUF, options.queue_messages);
    nng_socket_set_ms(raw, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(raw, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    if (nng_dial(raw, url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
      peers.pop_front();
      return nullptr;
    }
    by_address[address] = peers.begin();
    if (peers.size() > options.max_peers) {
      by_address.erase(peers.back().address);
      peers.pop_back();
      ++evicted;
    }
    return &peers.front();
  }

  const Options options;
  const Receiver receiver;
  Socket pull;
  nng_listener listener{};
  std::atomic<bool> stopping{false};
  std::thread thread;
  std::atomic<std::uint64_t> received{0};
  std::atomic<std::uint64_t> received_bytes{0};

  mutable std::mutex mutex;  ///< Guards all members below.
  Peers peers;               ///< Most recently used first.
  std::unordered_map<std::string, Peers::iterator> by_address;
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t dropped = 0;
  std::uint64_t evicted = 0;
};

ControlSocket::ControlSocket(const Options& options, Receiver receiver)
    : impl_{std::make_unique<Impl>(options, std::move(receiver))} {}

ControlSocket::~ControlSocket() = default;

bool ControlSocket::send(const std::string& address, std::string_view bytes) {
  const std::lock_guard lock{impl_->mutex};
  Impl::Peer* peer = impl_->find_or_connect(address);
  // nng_send copies the bytes and does not write through the pointer unless NNG_FLAG_ALLOC is set.
  if (peer == nullptr ||
      nng_send(peer->socket.raw(), const_cast<char*>(bytes.data()), bytes.size(), NNG_FLAG_NONBLOCK) != 0) {
    ++impl_->dropped;
    return false;
  }
  ++impl_->sent;
  impl_->sent_bytes += bytes.size();
  return true;
}

std::string ControlSocket::address() const {
  nng_sockaddr bound;
  if (nng_listener_get_addr(impl_->listener, NNG_OPT_LOCADDR, &bound) != 0) return impl_->options.listen_address;
  const std::string& requested = impl_->options.listen_address;
  const std::uint16_t big_endian = bound.s_family == NNG_AF_INET6 ? bound.s_in6.sa_port : bound.s_in.sa_port;
  const auto* bytes = reinterpret_cast<const unsigned char*>(&big_endian);
  return requested.substr(0, requested.rfind(':') + 1) + std::to_string(bytes[0] * 256 + bytes[1]);
}

std::size_t ControlSocket::open_peers() const {
  const std::lock_guard lock{impl_->mutex};
  return impl_->peers.size();
}

ControlSocketCounters ControlSocket::counters() const {
  const std::lock_guard lock{impl_->mutex};
  return {.sent = impl_->sent,
          .sent_bytes = impl_->sent_bytes,
          .received = impl_->received,
          .received_bytes = impl_->received_bytes,
          .dropped = impl_->dropped,
          .evicted = impl_->evicted};
}

}  // namespace damaskthread::transport
