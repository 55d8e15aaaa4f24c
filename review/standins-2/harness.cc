#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>

namespace damaskthread::review {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

constexpr seconds kIdleTime{10};
constexpr int kBacklog = 256;
constexpr std::uint16_t kAdminPort = 9464;

sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

int milliseconds_until(Clock::time_point deadline) {
  const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
  return static_cast<int>(std::max<std::int64_t>(0, left));
}

std::string big_endian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) text.push_back(static_cast<char>((value >> shift) & 0xFFU));
  return text;
}

std::string base64(std::string_view bytes) {
  constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > bytes.size();
      text.push_back(padding ? '=' : kDigits[(group >> (18 - 6 * j)) & 0x3FU]);
    }
  }
  return text;
}

std::string query_value(std::string_view target, std::string_view name) {
  const std::size_t at = target.find(std::string(name) + "=");
  if (at == std::string_view::npos) return "";
  const std::string_view rest = target.substr(at + name.size() + 1);
  return std::string(rest.substr(0, rest.find('&')));
}

std::uint64_t to_number(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

std::int64_t wall_milliseconds() {
  return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string random_hex() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(random()));
  return digits.data();
}

bool can_bind(const Address& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = to_sockaddr(address);
  const bool bound = bind(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
  ::close(descriptor);
  return bound;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string replace_all(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

}  // namespace

std::string to_string(const Address& address) { return address.ip + ":" + std::to_string(address.port); }

std::string find(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) return value;
  }
  return "";
}

bool with_trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

double Record::seconds(Clock::time_point time) const { return std::chrono::duration<double>(time - start_).count(); }

void Record::line(const std::string& text) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f ", seconds(Clock::now()));
  const std::lock_guard lock(mutex_);
  file_ << time.data() << text << std::endl;
}

std::unique_ptr<Wire> Wire::connect(const Address& address, Milliseconds timeout) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0) return nullptr;
  auto wire = std::make_unique<Wire>(descriptor);
  const sockaddr_in name = to_sockaddr(address);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0) {
    if (errno != EINPROGRESS) return nullptr;
    pollfd event{descriptor, POLLOUT, 0};
    if (poll(&event, 1, static_cast<int>(timeout.count())) <= 0) return nullptr;
    int error = 0;
    socklen_t size = sizeof error;
    if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) return nullptr;
  }
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return wire;
}

bool Wire::receive(Clock::time_point deadline) {
  pollfd event{descriptor_, POLLIN, 0};
  if (descriptor_ < 0 || poll(&event, 1, milliseconds_until(deadline)) <= 0) return false;
  std::array<char, 16384> bytes{};
  const ssize_t size = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (size <= 0) return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

bool Wire::read_message(std::string& start_line, Headers& headers, std::string& body, Clock::time_point deadline) {
  std::size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!receive(deadline)) return false;
    end = buffer_.find("\r\n\r\n");
  }
  std::istringstream head(buffer_.substr(0, end + 2));
  std::string line;
  headers.clear();
  start_line.clear();
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (start_line.empty()) {
      start_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(" \t", colon + 1);
    headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
  }
  buffer_.erase(0, end + 4);
  const std::size_t length = to_number(find(headers, "Content-Length"));
  while (buffer_.size() < length) {
    if (!receive(deadline)) return false;
  }
  body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return true;
}

bool Wire::read(Request& request, Clock::time_point deadline) {
  std::string start_line;
  if (!read_message(start_line, request.headers, request.body, deadline)) return false;
  std::istringstream words(start_line);
  words >> request.method >> request.target;
  return true;
}

bool Wire::read(Response& response, Clock::time_point deadline) {
  std::string start_line;
  if (!read_message(start_line, response.headers, response.body, deadline)) return false;
  std::istringstream words(start_line);
  std::string version;
  words >> version >> response.status;
  return response.status != 0;
}

bool Wire::send_all(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t size = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

bool Wire::write(const Request& request) {
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) bytes.append(name).append(": ").append(value).append("\r\n");
  if (!request.body.empty() || request.method == "POST") {
    bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  return send_all(bytes.append("\r\n").append(request.body));
}

bool Wire::write(const Response& response) {
  std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " -\r\n";
  for (const auto& [name, value] : response.headers) bytes.append(name).append(": ").append(value).append("\r\n");
  bytes.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n\r\n");
  return send_all(bytes.append(response.body));
}

std::size_t Wire::read_some(std::size_t most, Clock::time_point deadline) const {
  pollfd event{descriptor_, POLLIN, 0};
  if (descriptor_ < 0 || poll(&event, 1, milliseconds_until(deadline)) <= 0) return 0;
  std::string bytes(most, '\0');
  const ssize_t size = recv(descriptor_, bytes.data(), bytes.size(), 0);
  return size <= 0 ? 0 : static_cast<std::size_t>(size);
}

void Wire::shut_down() const { ::shutdown(descriptor_, SHUT_RDWR); }

void Wire::reset() {
  const linger abort{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
  close();
}

void Wire::close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

bool Wire::peer_closed() const {
  char byte = 0;
  const ssize_t size = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Listener::Listener(const Address& address, Handler handler) : handler_(std::move(handler)) {
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in name = to_sockaddr(address);
  if (bind(descriptor_, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0 ||
      listen(descriptor_, kBacklog) != 0) {
    throw std::runtime_error("cannot listen at " + to_string(address));
  }
  acceptor_ = std::thread([this] { run(); });
}

void Listener::run() {
  while (!stopping_) {
    pollfd event{descriptor_, POLLIN, 0};
    if (poll(&event, 1, 20) <= 0) continue;
    const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto wire = std::make_shared<Wire>(accepted);
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    wires_.insert(wire);
    threads_.emplace_back([this, wire] {
      handler_(*wire);
      const std::lock_guard guard(mutex_);
      if (!stopping_) wires_.erase(wire);
      wire->close();
    });
  }
}

void Listener::stop() {
  if (stopping_.exchange(true)) return;
  acceptor_.join();
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& wire : wires_) wire->shut_down();
    threads.swap(threads_);
  }
  ::close(descriptor_);
  for (std::thread& thread : threads) thread.join();
}

Store::Store(const Address& address) {
  listener_ = std::make_unique<Listener>(address, [this](Wire& wire) {
    Request request;
    while (wire.read(request, Clock::now() + std::chrono::minutes(5))) {
      if (!wire.write(answer(request))) return;
    }
  });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  listener_->stop();
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value) {
  {
    const std::lock_guard lock(mutex_);
    topics_[topic].emplace_back(key, value);
  }
  changed_.notify_all();
}

Response Store::answer(const Request& request) {
  const std::string topic = query_value(request.target, "topic");
  Response response{200, {{"Content-Type", "application/json"}}, "{}"};
  if (request.target.starts_with("/log-append")) {
    std::string_view rest = request.body;
    std::size_t first = 0;
    {
      const std::lock_guard lock(mutex_);
      first = topics_[topic].size();
    }
    while (rest.size() > 4) {
      std::size_t length = 0;
      for (int i = 0; i < 4; ++i) length = (length << 8U) | static_cast<unsigned char>(rest[i]);
      const std::string_view content = rest.substr(4, length);
      const auto key_length = static_cast<unsigned char>(content[0]);
      put(topic, std::string(content.substr(1, key_length)), std::string(content.substr(1 + key_length)));
      rest.remove_prefix(4 + length);
    }
    const std::lock_guard lock(mutex_);
    response.body = Json{{"offset", first}, {"end", topics_[topic].size()}}.dump();
  } else if (request.target.starts_with("/log-newest")) {
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::pair<std::size_t, std::string>> newest;
    const auto& records = topics_[topic];
    for (std::size_t i = 0; i < records.size(); ++i) newest[records[i].first] = {i, records[i].second};
    Json items = Json::array();
    for (const auto& [key, record] : newest) {
      items.push_back({{"key", key}, {"value", base64(record.second)}, {"offset", record.first}});
    }
    response.body = Json{{"items", items}, {"more", false}, {"end", records.size()}}.dump();
  } else if (request.target.starts_with("/log-read")) {
    const std::size_t from = to_number(query_value(request.target, "from"));
    const Milliseconds wait(to_number(query_value(request.target, "wait_ms")));
    std::unique_lock lock(mutex_);
    const auto& records = topics_[topic];
    changed_.wait_for(lock, wait, [&] { return stopping_ || records.size() > from; });
    response.headers = {{"Content-Type", "application/octet-stream"}};
    response.body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
      const auto& [key, value] = records[i];
      response.body.append(big_endian(1 + key.size() + value.size(), 4));
      response.body.push_back(static_cast<char>(key.size()));
      response.body.append(key).append(value);
    }
  } else {
    response.status = 404;
  }
  return response;
}

Server::Server(Machine machine, int capacity, Milliseconds heartbeat, Record& record, Behaviour behaviour)
    : machine_(std::move(machine)),
      capacity_(capacity),
      heartbeat_(heartbeat),
      record_(record),
      behaviour_(std::move(behaviour)) {}

Server::~Server() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  wake_.notify_all();
  if (heartbeats_.joinable()) heartbeats_.join();
  stop_listening();
}

std::string Server::id() {
  const std::lock_guard lock(mutex_);
  return id_;
}

void Server::start() {
  {
    const std::lock_guard lock(mutex_);
    id_ = "i-" + random_hex().substr(0, 8);
    born_ms_ = wall_milliseconds();
    sequence_ = 0;
    draining_ = false;
    crash_wanted_ = false;
    ending_ = false;
  }
  listener_ = std::make_unique<Listener>(machine_.server, [this](Wire& wire) { serve(wire); });
  record_.line("server " + id() + " starts at " + machine_.name);
  if (!heartbeats_.joinable()) heartbeats_ = std::thread([this] { run_heartbeats(); });
}

void Server::stop_listening() {
  if (listener_ != nullptr) listener_->stop();
  listener_.reset();
}

void Server::crash() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  wake_.notify_all();
  if (heartbeats_.joinable()) heartbeats_.join();
  heartbeats_ = std::thread();
  stop_listening();
}

void Server::run_heartbeats() {
  std::unique_lock lock(mutex_);
  auto next = Clock::now();
  while (!ending_) {
    if (crash_wanted_) {
      lock.unlock();
      stop_listening();
      record_.line("server " + id() + " at " + machine_.name + " has crashed");
      lock.lock();
      wake_.wait_for(lock, crash_time_, [this] { return ending_; });
      if (ending_) return;
      lock.unlock();
      start();
      lock.lock();
      next = Clock::now();
      continue;
    }
    if (Clock::now() >= next) {
      lock.unlock();
      (void)send_heartbeat();
      lock.lock();
      next = Clock::now() + heartbeat_;
    }
    wake_.wait_until(lock, next, [this] { return ending_ || crash_wanted_; });
  }
}

bool Server::send_heartbeat() {
  Request request;
  request.method = "POST";
  {
    const std::lock_guard lock(mutex_);
    request.target = "/rpc?call=instances.heartbeat&of=" + id_;
    const Json body = {
        {"address", to_string(machine_.server)},
        {"born", born_ms_},
        {"info", {{"service", machine_.service}, {"version", "v1"}, {"zone", machine_.zone}, {"capacity", capacity_}}},
        {"status", {{"state", draining_ ? "draining" : "ready"}, {"sequence", ++sequence_}, {"cold_left", "0ms"}}}};
    request.body = body.dump();
  }
  request.headers = {{"Host", to_string(machine_.control)}, {"Content-Type", "application/json"}};
  const int status = call(machine_.control, request, seconds(1)).status;
  return status >= 200 && status < 300;
}

Clock::time_point Server::leave() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  while (!send_heartbeat()) std::this_thread::sleep_for(Milliseconds(100));
  const auto acknowledged = Clock::now();
  record_.line("server " + id() + " at " + machine_.name + " is draining, acknowledged");
  return acknowledged;
}

void Server::serve(Wire& wire) {
  Request request;
  while (wire.read(request, Clock::now() + kIdleTime)) {
    const std::string own_id = id();
    if (request.target == "/health") {
      bool ready = false;
      {
        const std::lock_guard lock(mutex_);
        ready = !draining_;
      }
      if (!wire.write(Response{ready ? 200 : 503, {{"X-Instance-Id", own_id}}, ""})) return;
      continue;
    }
    const std::string attempt = find(request.headers, "X-Attempt-Id");
    const Headers echo = {{"X-Attempt-Id", attempt}, {"Keep-Alive", "timeout=10"}};
    if (attempt.empty() || find(request.headers, "X-Target-Instance") != own_id) {
      Headers headers = echo;
      headers.emplace_back("X-Not-Executed", "1");
      if (!wire.write(Response{attempt.empty() ? 400 : 421, headers, ""})) return;
      continue;
    }
    const Outcome outcome = behaviour_({&request, attempt, own_id, &wire});
    if (outcome.ending == Ending::kReset) return wire.reset();
    if (outcome.ending == Ending::kCrash) {
      {
        const std::lock_guard lock(mutex_);
        crash_wanted_ = true;
      }
      wake_.notify_all();
      return wire.shut_down();
    }
    Headers headers = echo;
    headers.emplace_back("X-Server-Seal", "3e1b." + attempt);
    const std::string body =
        outcome.body_bytes == 0 ? "the bytes for " + attempt : std::string(outcome.body_bytes, 'b');
    if (!wire.write(Response{outcome.status, headers, body})) return;
  }
}

Daemon::Daemon(const Machine& machine, const Address& store, const std::string& folder, int budget_slack, int memory_mb)
    : machine_(machine),
      settings_path_(folder + "/" + machine.name + ".json"),
      log_path_(folder + "/" + machine.name + ".log") {
  // The template of the deploy file, filled in as the platform does.
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"node_name", machine.name},
      {"service", machine.service},
      {"zone", machine.zone},
      {"bind.outbound", to_string(machine.outbound)},
      {"bind.inbound", to_string(machine.inbound)},
      {"bind.ready", to_string(machine.ready)},
      {"bind.control", to_string(machine.control)},
      {"ip", machine.ip},
      {"app_addr", to_string(machine.server)},
      {"platform.address", to_string(store)},
      {"heartbeat", "1500ms"},
      {"limits.max_fds", "4100"},
      {"limits.memory_mb", std::to_string(memory_mb)},
      {"contract_params.drain", "2000ms"},
      {"contract_params.grace", "6s"},
      {"contract_params.budget_ratio", "0.2"},
      {"contract_params.budget_window", "10s"},
      {"contract_params.budget_slack", std::to_string(budget_slack)},
  };
  std::string settings = read_file("deploy/settings.json.in");
  for (const auto& [name, value] : fields) {
    settings = replace_all(settings, std::string("{{").append(name).append("}}"), value);
  }
  if (settings.empty() || settings.find("{{") != std::string::npos) throw std::runtime_error("the template is unknown");
  std::ofstream(settings_path_) << settings;
}

Daemon::~Daemon() { kill(); }

void Daemon::start() {
  const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const std::string variable = "DAMASKTHREAD_CONFIG=" + settings_path_;
  std::string program = "target/damaskthread_mesh";
  std::string settings = variable;
  std::array<char*, 2> arguments = {program.data(), nullptr};
  std::array<char*, 2> environment = {settings.data(), nullptr};
  process_ = fork();
  if (process_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(program.c_str(), arguments.data(), environment.data());
    _exit(127);
  }
  ::close(log);
  if (process_ < 0) throw std::runtime_error("cannot start the daemon");
}

void Daemon::signal(int number) const {
  if (process_ > 0) ::kill(process_, number);
}

void Daemon::kill() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
  process_ = -1;
}

std::size_t Daemon::resident_bytes() const {
  if (process_ <= 0) return 0;
  std::ifstream file("/proc/" + std::to_string(process_) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

bool Daemon::ended_by_itself() {
  if (process_ <= 0 || waitpid(process_, nullptr, WNOHANG) != process_) return false;
  process_ = -1;
  return true;
}

std::string Daemon::log() const { return read_file(log_path_); }

Network::Network(const std::vector<ServiceSpec>& services) {
  std::mt19937 random{std::random_device{}()};
  constexpr int kMaxTries = 50;
  for (int attempt = 0; attempt < kMaxTries; ++attempt) {
    std::string prefix = "127.";
    prefix.append(std::to_string(64 + random() % 128)).append(".").append(std::to_string(random() % 256)).append(".");
    // Below the range of ports that outgoing connections take.
    const auto first_port = static_cast<std::uint16_t>(12000 + random() % 15000);
    const auto port = [first_port](int index) { return static_cast<std::uint16_t>(first_port + index); };
    machines_.clear();
    store_ = {prefix + "1", port(0)};
    bool is_free = can_bind(store_);
    int host = 10;
    int zone = 0;
    for (const ServiceSpec& service : services) {
      for (int i = 0; i < service.machines; ++i) {
        Machine machine;
        machine.name = "sidecar-" + service.name + "-" + std::to_string(i);
        machine.service = service.name;
        machine.zone = "zone-" + std::to_string(zone++ % 3);
        machine.ip = prefix + std::to_string(host++);
        machine.inbound = {machine.ip, port(1)};
        machine.server = {machine.ip, port(2)};
        machine.ready = {machine.ip, port(3)};
        machine.outbound = {machine.ip, port(4)};
        machine.control = {machine.ip, port(5)};
        for (const Address& address : {machine.inbound, machine.server, machine.ready, machine.outbound,
                                       machine.control, Address{machine.ip, kAdminPort}}) {
          is_free = is_free && can_bind(address);
        }
        machines_.push_back(machine);
      }
    }
    if (is_free) return;
  }
  throw std::runtime_error("no free addresses");
}

Folder::Folder() {
  std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
  path_ = name;
}

Folder::~Folder() {
  if (std::getenv("KEEP_LOGS") != nullptr) return;
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

Response call(const Address& address, const Request& request, Milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  Response response;
  const auto wire = Wire::connect(address, std::min<Milliseconds>(timeout, seconds(1)));
  if (wire == nullptr || !wire->write(request) || !wire->read(response, deadline)) response.status = 0;
  return response;
}

bool wait_until_ready(const std::vector<std::unique_ptr<Daemon>>& daemons, Milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  for (const auto& daemon : daemons) {
    Request check;
    check.target = "/readiness";
    check.headers = {{"Host", to_string(daemon->machine().ready)}};
    while (call(daemon->machine().ready, check, seconds(1)).status != 200) {
      if (Clock::now() > deadline) return false;
      std::this_thread::sleep_for(Milliseconds(50));
    }
  }
  return true;
}

std::string new_attempt() { return random_hex(); }

}  // namespace damaskthread::review
