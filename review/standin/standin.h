#ifndef REVIEW_STANDIN_STANDIN_H_
#define REVIEW_STANDIN_STANDIN_H_

/// @file
/// @brief Stand-ins for the review's scripts: the platform's store, backend servers, clients and the daemon processes.
/// Blocking sockets and one thread per connection, no library besides the system's.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
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
using std::chrono::milliseconds;

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// Address on the loopback network.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
  [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

/// @brief Time-stamped lines of what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), start_(Clock::now()) {}
  void line(const std::string& text);
  [[nodiscard]] double seconds() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

/// An HTTP/1.1 message.
struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  [[nodiscard]] std::string find(std::string_view name) const;
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string target() const;
  [[nodiscard]] int status() const;
  [[nodiscard]] std::string bytes() const;
};

/// @brief A connected TCP socket, closed on destruction.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @return A connection, or null if none was accepted within a second.
  static std::shared_ptr<Connection> open(const Address& address);
  bool send(std::string_view bytes);
  /// @brief Reads one message.
  /// @return Whether a complete message arrived in time.
  bool receive(Message& message, milliseconds timeout);
  /// @return Whether the connection has ended, as far as `receive` saw.
  [[nodiscard]] bool ended() const noexcept { return ended_; }
  /// @brief Ends both directions; a blocked `receive` returns.
  void shut_down();
  /// @brief Makes the closing of the socket a reset.
  void reset_on_close();

 private:
  int descriptor_;
  std::string buffer_;
  bool ended_ = false;
};

/// @brief Accepts connections and runs a function for each in a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(const std::shared_ptr<Connection>&)>;
  Listener(const Address& address, Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  [[nodiscard]] bool listening() const noexcept { return descriptor_ >= 0; }
  /// @brief Stops accepting; connections stay.
  void stop_accepting();
  /// @brief Ends all connections.
  void end_connections(bool reset);

 private:
  void accept_connections();

  std::atomic<int> descriptor_ = -1;
  Handler handler_;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::vector<std::thread> workers_;
};

/// @brief The platform's store: keyed topics with one partition.
class Store {
 public:
  explicit Store(const Address& address);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  /// @brief Writes a record as the operator.
  void put(const std::string& topic, const std::string& key, const std::string& value);
  [[nodiscard]] bool listening() const { return listener_->listening(); }

 private:
  using Records = std::vector<std::pair<std::string, std::string>>;
  void serve(Connection& connection);
  Message answer(const Message& request);
  Message newest(const std::string& topic);
  Message read(const std::string& topic, std::uint64_t from, milliseconds wait);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::map<std::string, Records> topics_;
  std::unique_ptr<Listener> listener_;
};

/// How a server treats one request.
struct Behaviour {
  int status = 200;
  /// Whether the request runs; if not, the answer says so.
  bool runs = true;
  milliseconds work{20};
  /// The process crashes when it begins to work on the request.
  bool crashes = false;
  /// A second copy of the answer follows at the point where the next answer of the connection is expected.
  bool extra_late = false;
};

/// A run at a server.
struct Run {
  double at = 0;
  std::string attempt;
  std::string caller_service;
  std::string target;
  std::string service;
  std::string server;
};

/// @brief What ran anywhere.
class RunLog {
 public:
  void add(const Run& run);
  [[nodiscard]] std::vector<Run> all() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

/// Addresses of one machine. Ports are the same on all machines.
struct Machine {
  std::string name;
  std::string zone;
  std::string service;
  std::string ip;
  [[nodiscard]] Address at(std::uint16_t port) const { return {ip, port}; }
  [[nodiscard]] Address peers() const { return at(8300); }
  [[nodiscard]] Address app() const { return at(8301); }
  [[nodiscard]] Address ready() const { return at(8302); }
  [[nodiscard]] Address calls() const { return at(8304); }
  [[nodiscard]] Address control() const { return at(8306); }
};

/// @brief Application server of a machine.
class Server {
 public:
  using Decide = std::function<Behaviour(const Message& request)>;
  Server(Machine machine, std::string service, Record& record, RunLog& runs, Decide decide);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// @brief Starts a new incarnation under an id.
  void start(const std::string& id);
  /// @brief The process ends: connections break and nothing is announced.
  void crash();
  /// @brief Sends a heartbeat of its own.
  /// @return Whether it was acknowledged.
  bool beat();
  /// @brief Announces that it leaves and goes on serving until `crash`.
  /// @return Whether it was acknowledged.
  bool deregister();
  void set_beating(bool beating) { beating_ = beating; }
  [[nodiscard]] std::string id() const;
  [[nodiscard]] bool running() const noexcept { return running_; }
  /// @return The body of a heartbeat.
  [[nodiscard]] static std::string heartbeat(const Machine& machine, const std::string& service, std::int64_t born,
                                             int sequence, std::string_view state);
  [[nodiscard]] std::int64_t born() const noexcept { return born_; }

 private:
  void serve(const std::shared_ptr<Connection>& connection);
  void beat_regularly();

  Machine machine_;
  std::string service_;
  Record& record_;
  RunLog& runs_;
  Decide decide_;
  mutable std::mutex mutex_;
  std::string id_;
  std::atomic<std::int64_t> born_ = 0;
  std::atomic<int> sequence_ = 0;
  std::atomic<bool> running_ = false;
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> beating_ = true;
  std::atomic<bool> stopping_ = false;
  std::unique_ptr<Listener> listener_;
  std::thread beats_;
};

/// A client's request.
struct ClientRequest {
  std::string method = "GET";
  std::string host;
  std::string target;
  std::string attempt;
  int deadline_ms = 5000;
  std::string body;
};

/// @brief Sends a request on a connection and waits for the answer.
/// @return The status; 0 if the connection ended or nothing came until the deadline.
int exchange(Connection& connection, const ClientRequest& request, Message& answer);
/// @brief The same on a new connection.
int exchange(const Address& address, const ClientRequest& request, Message& answer);
/// @brief Makes a control call.
int control_call(const Address& address, const std::string& target, const std::string& body);

/// A route of the configuration; its host is NAME.example and its prefix /NAME/.
struct Route {
  std::string service;
  bool idempotent = true;
  int priority = 2;
};

/// @brief Daemons, store and settings of a small deployment.
class Deployment {
 public:
  /// @param services Service of each machine.
  Deployment(std::string folder, std::vector<std::string> services, std::vector<Route> routes);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// @return Whether the store listens and all daemons were started.
  bool start();
  /// @brief Writes the next version of the configuration, with the same routes.
  void change_configuration();
  /// @brief Waits until all daemons are ready.
  bool wait_ready(milliseconds timeout);
  [[nodiscard]] const std::vector<Machine>& machines() const noexcept { return machines_; }
  void start_daemon(std::size_t machine);
  void signal_daemon(std::size_t machine, int signal);
  /// @brief Kills a daemon and waits for its end.
  void kill_daemon(std::size_t machine);
  [[nodiscard]] pid_t daemon(std::size_t machine) const { return daemons_[machine]; }
  /// @return Whether the daemon's process still runs; takes its exit status.
  bool daemon_runs(std::size_t machine);
  /// @return Resident memory of a daemon in bytes.
  [[nodiscard]] std::size_t resident_bytes(std::size_t machine) const;
  static constexpr int kMemoryMb = 260;

 private:
  [[nodiscard]] std::string settings(const Machine& machine) const;
  [[nodiscard]] std::string configuration() const;

  std::string folder_;
  std::vector<Route> routes_;
  std::vector<Machine> machines_;
  std::vector<pid_t> daemons_;
  Address store_address_;
  std::unique_ptr<Store> store_;
  int starts_ = 0;
  int version_ = 7;
};

/// @return Whether the disruption is to be played: unless TROUBLE=0.
bool trouble();
void pause(milliseconds time);

}  // namespace damaskthread::review

#endif  // REVIEW_STANDIN_STANDIN_H_
