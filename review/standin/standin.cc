#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): declares kill.
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>

namespace damaskthread::review {
namespace {

constexpr std::size_t kReadBytes = std::size_t{64} << 10U;
constexpr milliseconds kHeartbeat{1500};

sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

void set_option(int descriptor, int level, int option, int value) {
  (void)::setsockopt(descriptor, level, option, &value, sizeof value);
}

int listen_on(const Address& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  set_option(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in target = to_sockaddr(address);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0 &&
      ::listen(descriptor, 1024) == 0) {
    return descriptor;
  }
  ::close(descriptor);
  return -1;
}

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string word(const std::string& line, int index) {
  std::istringstream words(line);
  std::string text;
  for (int i = 0; i <= index; ++i) words >> text;
  return text;
}

std::string query_value(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const std::string rest = target.substr(at + name.size() + 1);
  return rest.substr(0, rest.find('&'));
}

std::uint64_t number(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

std::string big_endian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) text.push_back(static_cast<char>((value >> shift) & 0xFFU));
  return text;
}

std::string base64(const std::string& bytes) {
  static constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text.push_back(i + j > bytes.size() ? '=' : kDigits[(group >> (18U - 6U * j)) & 63U]);
    }
  }
  return text;
}

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

Message make_answer(int status, const std::string& body) {
  Message message;
  message.start_line = "HTTP/1.1 " + std::to_string(status) + " Status";
  message.body = body;
  return message;
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

}  // namespace

void Record::line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", seconds());
  file_ << time.data() << text << std::endl;
}

double Record::seconds() const { return std::chrono::duration<double>(Clock::now() - start_).count(); }

std::string Message::find(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (same_name(key, name)) return value;
  }
  return "";
}

std::string Message::method() const { return word(start_line, 0); }
std::string Message::target() const { return word(start_line, 1); }
int Message::status() const { return static_cast<int>(number(word(start_line, 1))); }

std::string Message::bytes() const {
  std::string text = start_line + "\r\n";
  for (const auto& [name, value] : headers) text.append(name).append(": ").append(value).append("\r\n");
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

Connection::~Connection() { ::close(descriptor_); }

std::shared_ptr<Connection> Connection::open(const Address& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = to_sockaddr(address);
  set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  const int flags = ::fcntl(descriptor, F_GETFL);
  ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  (void)::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  pollfd waited{descriptor, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  const bool connected =
      ::poll(&waited, 1, 1000) == 1 && ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
  if (!connected) {
    ::close(descriptor);
    return nullptr;
  }
  ::fcntl(descriptor, F_SETFL, flags);
  return std::make_shared<Connection>(descriptor);
}

bool Connection::send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool Connection::receive(Message& message, milliseconds timeout) {
  const auto end = Clock::now() + timeout;
  for (;;) {
    const std::size_t header_end = buffer_.find("\r\n\r\n");
    if (header_end != std::string::npos) {
      message = {};
      std::istringstream lines(buffer_.substr(0, header_end + 2));
      std::getline(lines, message.start_line);
      message.start_line.pop_back();
      for (std::string line; std::getline(lines, line);) {
        if (line.ends_with('\r')) line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) continue;
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon), begin == std::string::npos ? "" : line.substr(begin));
      }
      const std::size_t length = number(message.find("Content-Length"));
      if (buffer_.size() >= header_end + 4 + length) {
        message.body = buffer_.substr(header_end + 4, length);
        buffer_.erase(0, header_end + 4 + length);
        return true;
      }
    }
    const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
    pollfd waited{descriptor_, POLLIN, 0};
    if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) == 0) return false;
    std::vector<char> bytes(kReadBytes);
    const ssize_t size = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(size));
  }
}

void Connection::shut_down() { ::shutdown(descriptor_, SHUT_RDWR); }

void Connection::reset_on_close() {
  const linger now{1, 0};
  (void)::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

Listener::Listener(const Address& address, Handler handler)
    : descriptor_(listen_on(address)), handler_(std::move(handler)) {
  if (descriptor_ >= 0) acceptor_ = std::thread([this] { accept_connections(); });
}

Listener::~Listener() {
  stop_accepting();
  end_connections(false);
  for (std::thread& worker : workers_) worker.join();
}

void Listener::accept_connections() {
  for (;;) {
    const int listening = descriptor_;
    if (listening < 0) return;
    pollfd waited{listening, POLLIN, 0};
    if (::poll(&waited, 1, 20) <= 0) continue;
    const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    set_option(accepted, IPPROTO_TCP, TCP_NODELAY, 1);
    const auto connection = std::make_shared<Connection>(accepted);
    const std::lock_guard lock(mutex_);
    connections_.insert(connection);
    workers_.emplace_back([this, connection] {
      handler_(connection);
      const std::lock_guard worker_lock(mutex_);
      connections_.erase(connection);
    });
  }
}

void Listener::stop_accepting() {
  const int descriptor = descriptor_.exchange(-1);
  if (acceptor_.joinable()) acceptor_.join();
  if (descriptor >= 0) ::close(descriptor);
}

void Listener::end_connections(bool reset) {
  const std::lock_guard lock(mutex_);
  for (const auto& connection : connections_) {
    if (reset) connection->reset_on_close();
    connection->shut_down();
  }
}

Store::Store(const Address& address) {
  listener_ = std::make_unique<Listener>(address, [this](const auto& connection) { serve(*connection); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  listener_.reset();
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  topics_[topic].emplace_back(key, value);
  changed_.notify_all();
}

void Store::serve(Connection& connection) {
  Message request;
  while (!connection.ended()) {
    if (!connection.receive(request, milliseconds(500))) {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      continue;
    }
    if (!connection.send(answer(request).bytes())) return;
  }
}

Message Store::answer(const Message& request) {
  const std::string target = request.target();
  const std::string topic = query_value(target, "topic");
  if (target.starts_with("/log-newest")) return newest(topic);
  if (target.starts_with("/log-read")) {
    return read(topic, number(query_value(target, "from")), milliseconds(number(query_value(target, "wait_ms"))));
  }
  if (!target.starts_with("/log-append")) return make_answer(404, "");
  std::string_view rest = request.body;
  while (rest.size() > 4) {
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) length = (length << 8U) | static_cast<unsigned char>(rest[i]);
    const std::string_view content = rest.substr(4, length);
    const auto key_length = static_cast<unsigned char>(content[0]);
    put(topic, std::string(content.substr(1, key_length)), std::string(content.substr(1 + key_length)));
    rest.remove_prefix(4 + length);
  }
  return make_answer(200, R"({"offset":0,"end":0})");
}

Message Store::newest(const std::string& topic) {
  const std::lock_guard lock(mutex_);
  const Records& records = topics_[topic];
  std::map<std::string, std::size_t> last;
  for (std::size_t i = 0; i < records.size(); ++i) last[records[i].first] = i;
  std::string items;
  for (const auto& [key, index] : last) {
    items += (items.empty() ? "" : ",") + std::string(R"({"key":)") + quoted(key) + R"(,"value":)" +
             quoted(base64(records[index].second)) + R"(,"offset":)" + std::to_string(index) + "}";
  }
  return make_answer(200, R"({"items":[)" + items + R"(],"more":false,"end":)" + std::to_string(records.size()) + "}");
}

Message Store::read(const std::string& topic, std::uint64_t from, milliseconds wait) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [&] { return stopping_ || topics_[topic].size() > from; });
  const Records& records = topics_[topic];
  std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
  for (std::size_t i = from; i < records.size(); ++i) {
    const auto& [key, value] = records[i];
    body += big_endian(1 + key.size() + value.size(), 4);
    body.push_back(static_cast<char>(key.size()));
    body.append(key).append(value);
  }
  return make_answer(200, body);
}

void RunLog::add(const Run& run) {
  const std::lock_guard lock(mutex_);
  runs_.push_back(run);
}

std::vector<Run> RunLog::all() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

Server::Server(Machine machine, std::string service, Record& record, RunLog& runs, Decide decide)
    : machine_(std::move(machine)),
      service_(std::move(service)),
      record_(record),
      runs_(runs),
      decide_(std::move(decide)),
      beats_([this] { beat_regularly(); }) {}

Server::~Server() {
  stopping_ = true;
  beats_.join();
  running_ = false;
  listener_.reset();
}

std::string Server::id() const {
  const std::lock_guard lock(mutex_);
  return id_;
}

void Server::start(const std::string& id) {
  {
    const std::lock_guard lock(mutex_);
    id_ = id;
  }
  born_ = unix_ms();
  sequence_ = 0;
  leaving_ = false;
  listener_ = std::make_unique<Listener>(machine_.app(), [this](const auto& connection) { serve(connection); });
  running_ = listener_->listening();
  record_.line("server " + id + " of " + service_ + " starts at " + machine_.app().text() +
               (running_ ? "" : " (cannot listen)"));
  if (beating_) beat();
}

void Server::crash() {
  if (!running_.exchange(false)) return;
  record_.line("server " + id() + " ends at once");
  listener_->stop_accepting();
  listener_->end_connections(true);
}

std::string Server::heartbeat(const Machine& machine, const std::string& service, std::int64_t born, int sequence,
                              std::string_view state) {
  std::ostringstream text;
  text << R"({"address":")" << machine.app().text() << R"(","born":)" << born << R"(,"info":{"service":")" << service
       << R"(","version":"v1","zone":")" << machine.zone << R"(","capacity":72},"status":{"state":")" << state
       << R"(","sequence":)" << sequence << R"(,"cold_left":"0ms"}})";
  return text.str();
}

bool Server::beat() {
  const std::string body = heartbeat(machine_, service_, born_, ++sequence_, "ready");
  return control_call(machine_.control(), "/rpc?call=instances.heartbeat&of=" + id(), body) == 200;
}

bool Server::deregister() {
  leaving_ = true;
  return control_call(machine_.control(), "/rpc?call=instances.deregister&of=" + id(), "") == 200;
}

void Server::beat_regularly() {
  auto next = Clock::now() + kHeartbeat;
  while (!stopping_) {
    pause(milliseconds(20));
    if (Clock::now() < next) continue;
    next = Clock::now() + kHeartbeat;
    if (running_ && beating_ && !leaving_) beat();
  }
}

void Server::serve(const std::shared_ptr<Connection>& connection) {
  std::string extra;
  Message request;
  while (!connection->ended()) {
    if (!connection->receive(request, milliseconds(50))) {
      if (stopping_) return;
      continue;
    }
    if (!running_) return;
    const std::string id = this->id();
    const std::string attempt = request.find("X-Attempt-Id");
    if (request.target() == "/health") {
      Message answer = make_answer(leaving_ ? 503 : 200, "");
      answer.headers = {{"X-Instance-Id", id}};
      if (!connection->send(answer.bytes())) return;
      continue;
    }
    const std::string wanted = request.find("X-Target-Instance");
    if (!wanted.empty() && wanted != id) {
      Message answer = make_answer(421, "");
      answer.headers = {{"X-Instance-Id", id}};
      if (!connection->send(answer.bytes())) return;
      continue;
    }
    const Behaviour behaviour = decide_(request);
    std::ostringstream line;
    line << (behaviour.runs ? "run at " : "rejected (not executed) by ") << id << " of " << service_ << ": "
         << request.method() << " " << request.target() << " attempt " << attempt << " caller "
         << request.find("X-Caller-Service");
    record_.line(line.str());
    if (behaviour.runs) {
      runs_.add({record_.seconds(), attempt, request.find("X-Caller-Service"), request.target(), service_, id});
    }
    if (!extra.empty() && !connection->send(std::exchange(extra, ""))) return;
    if (behaviour.crashes) {
      crash();
      return;
    }
    const auto end = Clock::now() + behaviour.work;
    while (Clock::now() < end && !stopping_) {
      pause(std::min<milliseconds>(milliseconds(10), std::chrono::ceil<milliseconds>(end - Clock::now())));
    }
    if (!running_) return;
    Message answer = make_answer(behaviour.status, behaviour.runs ? "body of " + attempt : "");
    answer.headers = {{"X-Attempt-Id", attempt}};
    if (behaviour.runs) answer.headers.emplace_back("X-Server-Seal", id);
    if (!behaviour.runs) answer.headers.emplace_back("X-Not-Executed", "1");
    if (!connection->send(answer.bytes())) return;
    if (behaviour.extra_late) {
      extra = answer.bytes();
      std::string fault = "faulty " + id;
      fault.append(": a second copy of the answer to attempt ").append(attempt).append(" will follow late");
      record_.line(fault);
    }
  }
}

int exchange(Connection& connection, const ClientRequest& request, Message& answer) {
  Message message;
  message.start_line = request.method + " " + request.target + " HTTP/1.1";
  message.headers = {{"Host", request.host},
                     {"X-Attempt-Id", request.attempt},
                     {"X-Deadline-Ms", std::to_string(request.deadline_ms)}};
  message.body = request.body;
  if (!connection.send(message.bytes())) return 0;
  if (!connection.receive(answer, milliseconds(request.deadline_ms + 500))) return 0;
  return answer.status();
}

int exchange(const Address& address, const ClientRequest& request, Message& answer) {
  const auto connection = Connection::open(address);
  return connection == nullptr ? 0 : exchange(*connection, request, answer);
}

int control_call(const Address& address, const std::string& target, const std::string& body) {
  const auto connection = Connection::open(address);
  if (connection == nullptr) return 0;
  Message message;
  message.start_line = "POST " + target + " HTTP/1.1";
  message.headers = {{"Host", address.text()}, {"Content-Type", "application/json"}};
  message.body = body;
  Message answer;
  if (!connection->send(message.bytes()) || !connection->receive(answer, milliseconds(1000))) return 0;
  return answer.status();
}

Deployment::Deployment(std::string folder, std::vector<std::string> services, std::vector<Route> routes)
    : folder_(std::move(folder)), routes_(std::move(routes)) {
  const auto seed = static_cast<unsigned>(::getpid());
  const std::string network =
      "127." + std::to_string(1 + seed / 250 % 250) + "." + std::to_string(1 + seed % 250) + ".";
  for (std::size_t i = 0; i < services.size(); ++i) {
    static const std::array<std::string, 3> zones = {"ne-a", "ne-b", "ne-c"};
    const std::string& zone = zones[i % zones.size()];
    machines_.push_back(
        {"sidecar-" + zone + "-" + std::to_string(i), zone, services[i], network + std::to_string(10 + i)});
  }
  daemons_.resize(machines_.size(), 0);
  store_address_ = {network + "7", 8309};
}

Deployment::~Deployment() {
  for (std::size_t i = 0; i < daemons_.size(); ++i) kill_daemon(i);
}

std::string Deployment::configuration() const {
  std::set<std::string> names;
  for (const Machine& machine : machines_) names.insert(machine.service);
  for (const Route& route : routes_) names.insert(route.service);
  std::string services;
  for (const std::string& name : names) {
    services += (services.empty() ? "" : ",") + std::string(R"({"name":)") + quoted(name) +
                R"(,"health_path":"/health","max_conns":532,"protocol":"h1","tls":false})";
  }
  std::string hosts;
  for (const Route& route : routes_) {
    hosts += (hosts.empty() ? "" : ",") + std::string(R"({"host":)") + quoted(route.service + ".example") +
             R"(,"paths":[{"name":)" + quoted("r-" + route.service) + R"(,"path_prefix":)" +
             quoted("/" + route.service + "/") + R"(,"kind":)" +
             quoted(route.idempotent ? "idempotent" : "non_idempotent") + R"(,"timeout":)" +
             quoted(route.idempotent ? "1200ms" : "1500ms") + R"(,"slo":"1500ms","priority":)" +
             std::to_string(route.priority) + R"(,"service":)" + quoted(route.service) + R"(,"max_attempts":2}]})";
  }
  return R"({"version":)" + std::to_string(version_) + R"(,"services":[)" + services +
         R"(],"limits":{"header_bytes":16384,"body_bytes":67108864,"header":"3000ms","idle":"15000ms"},)" +
         R"("virtual_hosts":[)" + hosts + "]}";
}

std::string Deployment::settings(const Machine& machine) const {
  std::ifstream file("deploy/settings.json.in");
  std::stringstream text;
  text << file.rdbuf();
  std::string settings = text.str();
  const std::map<std::string, std::string> values = {
      {"node_name", machine.name},
      {"service", machine.service},
      {"zone", machine.zone},
      {"ip", machine.ip},
      {"bind.outbound", machine.calls().text()},
      {"bind.inbound", machine.peers().text()},
      {"bind.ready", machine.ready().text()},
      {"bind.control", machine.control().text()},
      {"app_addr", machine.app().text()},
      {"platform.address", store_address_.text()},
      {"heartbeat", "1500ms"},
      {"limits.max_fds", "4100"},
      {"limits.memory_mb", std::to_string(kMemoryMb)},
      {"contract_params.drain", "2000ms"},
      {"contract_params.grace", "6s"},
      {"contract_params.budget_ratio", "0.2"},
      {"contract_params.budget_window", "10s"},
      {"contract_params.budget_slack", "49"},
  };
  for (const auto& [name, value] : values) replace_all(settings, "{{" + name + "}}", value);
  return settings;
}

bool Deployment::start() {
  store_ = std::make_unique<Store>(store_address_);
  if (!store_->listening()) return false;
  store_->put("keyed.op", "config", configuration());
  for (std::size_t i = 0; i < machines_.size(); ++i) start_daemon(i);
  return true;
}

bool Deployment::wait_ready(milliseconds timeout) {
  const auto end = Clock::now() + timeout;
  for (const Machine& machine : machines_) {
    for (;;) {
      const auto connection = Connection::open(machine.ready());
      Message request;
      request.start_line = "GET /readiness HTTP/1.1";
      request.headers = {{"Host", machine.ready().text()}};
      Message answer;
      if (connection != nullptr && connection->send(request.bytes()) &&
          connection->receive(answer, milliseconds(1000)) && answer.status() == 200) {
        break;
      }
      if (Clock::now() > end) return false;
      pause(milliseconds(50));
    }
  }
  return true;
}

void Deployment::change_configuration() {
  version_ += 2;
  store_->put("keyed.op", "config", configuration());
}

void Deployment::start_daemon(std::size_t machine) {
  const std::string path = folder_ + "/" + machines_[machine].name + ".json";
  std::ofstream(path) << settings(machines_[machine]);
  const std::string log = folder_ + "/" + machines_[machine].name + ".log" + std::to_string(++starts_);
  const std::string variable = "DAMASKTHREAD_CONFIG=" + path;
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) std::_Exit(1);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::string program = "target/damaskthread_mesh";
    std::string environment = variable;
    std::array<char*, 2> arguments = {program.data(), nullptr};
    std::array<char*, 2> variables = {environment.data(), nullptr};
    ::execve(program.c_str(), arguments.data(), variables.data());
    std::_Exit(127);
  }
  daemons_[machine] = child;
}

void Deployment::signal_daemon(std::size_t machine, int signal) {
  if (daemons_[machine] > 0) ::kill(daemons_[machine], signal);
}

void Deployment::kill_daemon(std::size_t machine) {
  const pid_t process = std::exchange(daemons_[machine], 0);
  if (process <= 0) return;
  ::kill(process, SIGKILL);
  ::waitpid(process, nullptr, 0);
}

bool Deployment::daemon_runs(std::size_t machine) {
  if (daemons_[machine] <= 0) return false;
  if (::waitpid(daemons_[machine], nullptr, WNOHANG) == 0) return true;
  daemons_[machine] = 0;
  return false;
}

std::size_t Deployment::resident_bytes(std::size_t machine) const {
  std::ifstream file("/proc/" + std::to_string(daemons_[machine]) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

void pause(milliseconds time) { std::this_thread::sleep_for(time); }

}  // namespace damaskthread::review
