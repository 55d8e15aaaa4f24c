#ifndef REVIEW_STANDINS_2_HARNESS_H_
#define REVIEW_STANDINS_2_HARNESS_H_

/// @file
/// @brief Stand-ins of the platform, its store, servers and clients, for the scripts of the second review. They share
/// no code with the product. All addresses are loopback addresses; every machine has one of its own.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace damaskthread::review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;
};

struct Response {
  /// 0 if the connection ended, or the time was over, before a complete response.
  int status = 0;
  Headers headers;
  std::string body;
};

struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

[[nodiscard]] std::string to_string(const Address& address);
[[nodiscard]] std::string find(const Headers& headers, std::string_view name);

/// @return Whether the case runs with its disruption; TROUBLE=0 leaves it out.
[[nodiscard]] bool with_trouble();

/// @brief Writes what happened, with the time since the start, to a file and keeps the verdict.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void line(const std::string& text);
  [[nodiscard]] double seconds(Clock::time_point time) const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

/// @brief A TCP connection with buffered reading of HTTP/1.1 messages with a length.
class Wire {
 public:
  explicit Wire(int descriptor) : descriptor_(descriptor) {}
  ~Wire() { close(); }
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  /// @return Null if the connection was refused or not established in time.
  [[nodiscard]] static std::unique_ptr<Wire> connect(const Address& address, Milliseconds timeout);

  [[nodiscard]] bool read(Request& request, Clock::time_point deadline);
  [[nodiscard]] bool read(Response& response, Clock::time_point deadline);
  [[nodiscard]] bool write(const Request& request);
  [[nodiscard]] bool write(const Response& response);
  /// @brief Reads up to `most` bytes of whatever comes.
  /// @return Their number; 0 if the connection has ended or the time is over.
  [[nodiscard]] std::size_t read_some(std::size_t most, Clock::time_point deadline) const;
  /// @brief Ends both directions, which wakes a blocked reader.
  void shut_down() const;
  /// @brief Closes with a reset.
  void reset();
  void close();
  /// @return Whether the peer has closed its side.
  [[nodiscard]] bool peer_closed() const;

 private:
  bool receive(Clock::time_point deadline);
  bool read_message(std::string& start_line, Headers& headers, std::string& body, Clock::time_point deadline);
  bool send_all(std::string_view bytes) const;

  int descriptor_;
  std::string buffer_;
};

/// @brief Accepts connections and serves each on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Wire&)>;

  Listener(const Address& address, Handler handler);
  ~Listener() { stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// @brief Closes the listening socket and all connections and waits for the threads. Not for use in a handler.
  void stop();

 private:
  void run();

  int descriptor_ = -1;
  Handler handler_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<std::shared_ptr<Wire>> wires_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// @brief The platform's store: keyed topics with appends, newest records and long polls.
class Store {
 public:
  explicit Store(const Address& address);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  void put(const std::string& topic, const std::string& key, const std::string& value);

 private:
  Response answer(const Request& request);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics_;
  std::unique_ptr<Listener> listener_;
};

/// Addresses of one machine.
struct Machine {
  std::string name;
  std::string service;
  std::string zone;
  std::string ip;
  Address inbound;
  Address outbound;
  Address ready;
  Address control;
  Address server;
};

/// A request at a server.
struct Arrival {
  const Request* request = nullptr;
  std::string attempt;
  /// Id of the server.
  std::string server;
  /// Connection of the request.
  Wire* wire = nullptr;
};

/// What a server does after its work on a request.
enum class Ending : std::uint8_t {
  kAnswer,
  kReset,  ///< The answer is lost: the connection is reset.
  kCrash,  ///< The server crashes.
};

struct Outcome {
  Ending ending = Ending::kAnswer;
  int status = 200;
  /// Size of the body; 0 for a short one.
  std::size_t body_bytes = 0;
};

/// @brief A server that sends heartbeats and runs requests. It runs only those that name its id.
class Server {
 public:
  using Behaviour = std::function<Outcome(const Arrival&)>;

  Server(Machine machine, int capacity, Milliseconds heartbeat, Record& record, Behaviour behaviour);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// @brief Starts a new incarnation.
  void start();
  /// @brief Ends at once, without a word; must not be called by the server's own behaviour.
  void crash();
  /// @brief Says that it is draining, until that is acknowledged.
  /// @return When it was acknowledged.
  Clock::time_point leave();
  [[nodiscard]] const Machine& machine() const noexcept { return machine_; }
  /// @return Id of the current incarnation.
  [[nodiscard]] std::string id();
  /// @brief How long a crash lasts that a request causes.
  void set_crash_time(Milliseconds time) { crash_time_ = time; }

 private:
  void serve(Wire& wire);
  void run_heartbeats();
  bool send_heartbeat();
  void stop_listening();

  Machine machine_;
  int capacity_;
  Milliseconds heartbeat_;
  Record& record_;
  Behaviour behaviour_;
  Milliseconds crash_time_{3000};

  std::mutex mutex_;
  std::condition_variable wake_;
  bool ending_ = false;
  bool crash_wanted_ = false;
  bool draining_ = false;
  std::string id_;
  std::int64_t born_ms_ = 0;
  std::int64_t sequence_ = 0;
  std::unique_ptr<Listener> listener_;
  std::thread heartbeats_;
};

/// `memory_mb` of the small deployments.
constexpr int kMemoryMb = 260;

/// A daemon process, started with the command of the deploy file.
class Daemon {
 public:
  Daemon(const Machine& machine, const Address& store, const std::string& folder, int budget_slack,
         int memory_mb = kMemoryMb);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void start();
  void signal(int number) const;
  /// @brief Kills the process and waits for its end.
  void kill();
  [[nodiscard]] bool running() const noexcept { return process_ > 0; }
  /// @return Memory that the process holds; 0 if it doesn't run.
  [[nodiscard]] std::size_t resident_bytes() const;
  /// @return Whether the process ended by itself.
  [[nodiscard]] bool ended_by_itself();
  [[nodiscard]] std::string log() const;
  [[nodiscard]] const Machine& machine() const noexcept { return machine_; }

 private:
  Machine machine_;
  std::string settings_path_;
  std::string log_path_;
  int process_ = -1;
};

/// A service of a deployment and its machines.
struct ServiceSpec {
  std::string name;
  int machines = 1;
};

/// @brief Chooses free addresses for a store and the machines of some services.
class Network {
 public:
  explicit Network(const std::vector<ServiceSpec>& services);
  [[nodiscard]] const Address& store() const noexcept { return store_; }
  [[nodiscard]] const std::vector<Machine>& machines() const noexcept { return machines_; }

 private:
  Address store_;
  std::vector<Machine> machines_;
};

/// @brief Temporary folder, removed at the end.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  [[nodiscard]] const std::string& path() const noexcept { return path_; }

 private:
  std::string path_;
};

/// @brief Sends a request on a new connection and reads its response.
[[nodiscard]] Response call(const Address& address, const Request& request, Milliseconds timeout);

/// @brief Waits until all daemons answer the readiness check with 200.
[[nodiscard]] bool wait_until_ready(const std::vector<std::unique_ptr<Daemon>>& daemons, Milliseconds timeout);

/// @return A new attempt id.
[[nodiscard]] std::string new_attempt();

}  // namespace damaskthread::review

#endif  // REVIEW_STANDINS_2_HARNESS_H_
