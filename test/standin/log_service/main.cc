// Stand-in for the platform's log service: in memory, with limits and faults.
//
// POST /control takes a JSON object with any of these keys:
//   "outage_ms": N, "outage_mode": "refuse" (503), "close" (no response) or "hang" (503 after the outage)
//   "slow_ms": N, "slow_for_ms": M   each response takes N ms longer for the next M ms (default: until reset)
//   "lose_answers": N                the next N appends take effect and their connection is closed without a response
//   "truncate_before": OFFSET        drops older records
//   "reset": true                    clears all faults and records; offsets continue

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <sodium.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "../../support/fake_log.h"

ABSL_FLAG(std::string, ip, "127.0.0.1", "Address to listen on.");
ABSL_FLAG(int, port, 7090, "Port to listen on.");
ABSL_FLAG(int, threads, 64, "Maximum concurrent requests.");
ABSL_FLAG(int, max_appends_per_second, 400, "Appends beyond this rate get 429.");
ABSL_FLAG(int, retention_records, 100'000, "Records retained.");
ABSL_FLAG(int, retention_ms, 86'400'000, "Retention time of records, in milliseconds.");

namespace damaskthread::test {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxRecordBytes = std::size_t{256} << 10U;
constexpr std::size_t kMaxReadRecords = 1'000;

core::TimePoint now() { return std::chrono::steady_clock::now(); }

struct ServiceResponse {
  unsigned status = 200;
  Json body;
  bool drop_connection = false;  // Closes the connection without a response.
};

ServiceResponse error_response(unsigned status, const char* message) {
  return {status, Json{{"error", message}}, false};
}

std::uint64_t query_value(const std::string& query, const std::string& key, std::uint64_t fallback) {
  const std::string start = key + "=";
  for (std::size_t i = 0; i < query.size();) {
    const std::size_t end = std::min(query.find('&', i), query.size());
    if (query.compare(i, start.size(), start) == 0) {
      return std::strtoull(query.c_str() + i + start.size(), nullptr, 10);
    }
    i = end + 1;
  }
  return fallback;
}

std::string base64(const std::string& bytes) {
  std::string text(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  text.resize(text.size() - 1);  // Removes the terminating null.
  return text;
}

class LogState {
 public:
  explicit LogState(FakeLogOptions options) : log_(options) {}

  ServiceResponse handle(const std::string& method, const std::string& url, const std::string& query,
                         const std::string& body) {
    if (url == "/control" && method == "POST") return control(body);
    std::unique_lock lock{mutex_};
    const core::TimePoint start = now();
    const milliseconds delay = start < slow_until_ ? slow_ : milliseconds{0};
    if (log_.in_outage(start)) return respond_during_outage(lock, start);
    ServiceResponse response = serve(method, url, query, body, start);
    lock.unlock();
    std::this_thread::sleep_for(delay);
    return response;
  }

 private:
  ServiceResponse serve(const std::string& method, const std::string& url, const std::string& query,
                        const std::string& body, core::TimePoint start) {
    if (url == "/append" && method == "POST") return append(body, start);
    if (method != "GET") return error_response(405, "method not allowed");
    if (url == "/info") {
      const auto slice = log_.read(log_.next(), 0, start);
      return {200, Json{{"first", slice->first}, {"next", slice->next}}, false};
    }
    if (url == "/read") return read(query, start);
    return error_response(404, "not found");
  }

  ServiceResponse append(const std::string& body, core::TimePoint start) {
    if (body.empty()) return error_response(400, "empty record");
    if (body.size() > kMaxRecordBytes) return error_response(413, "record too large");
    const AppendReply reply = log_.append(body, start);
    if (reply.status == AppendStatus::kRefused) return error_response(429, "too many appends");
    return {200, Json{{"offset", reply.offset}}, reply.status == AppendStatus::kReplyLost};
  }

  ServiceResponse read(const std::string& query, core::TimePoint start) {
    const std::uint64_t max = query_value(query, "max", 100);
    const auto slice = log_.read(query_value(query, "from", 0), std::min<std::uint64_t>(max, kMaxReadRecords), start);
    Json records = Json::array();
    for (const resource::LogEntry& entry : slice->entries) {
      records.push_back({{"offset", entry.offset}, {"body", base64(entry.bytes)}});
    }
    return {200, Json{{"first", slice->first}, {"next", slice->next}, {"records", std::move(records)}}, false};
  }

  ServiceResponse respond_during_outage(std::unique_lock<std::mutex>& lock, core::TimePoint start) {
    const std::string mode = outage_mode_;
    const core::TimePoint until = outage_until_;
    lock.unlock();
    if (mode == "close") return {503, Json{}, true};
    if (mode == "hang") std::this_thread::sleep_for(until - start);
    return error_response(503, "outage");
  }

  ServiceResponse control(const std::string& body) {
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) return error_response(400, "expected a JSON object");
    const std::scoped_lock lock{mutex_};
    try {
      if (json.value("reset", false)) {
        log_.reset();
        slow_until_ = {};
      }
      if (json.contains("outage_ms")) {
        outage_mode_ = json.value("outage_mode", "refuse");
        outage_until_ = now() + milliseconds{json["outage_ms"].get<int>()};
        log_.start_outage(now(), milliseconds{json["outage_ms"].get<int>()});
      }
      if (json.contains("slow_ms")) {
        slow_ = milliseconds{json["slow_ms"].get<int>()};
        slow_until_ = now() + milliseconds{json.value("slow_for_ms", 86'400'000)};
      }
      if (json.contains("lose_answers")) log_.drop_replies(json["lose_answers"].get<std::uint64_t>());
      if (json.contains("truncate_before")) log_.truncate_before(json["truncate_before"].get<std::uint64_t>());
    } catch (const Json::exception& error) {
      return error_response(400, error.what());
    }
    return {200, Json{{"first", log_.first()}, {"next", log_.next()}}, false};
  }

  std::mutex mutex_;
  FakeLog log_;
  std::string outage_mode_ = "refuse";
  core::TimePoint outage_until_{};
  milliseconds slow_{0};
  core::TimePoint slow_until_{};
};

class LogResponder : public cxxtools::http::Responder {
 public:
  LogResponder(cxxtools::http::Service& service, LogState& state) : cxxtools::http::Responder(service), state_(state) {}

  void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override {
    const ServiceResponse response =
        state_.handle(request.method(), request.url(), request.qparams(), request.bodyStr());
    reply.httpReturn(response.status, response.status == 200 ? "OK" : "Refused");
    reply.setHeader("Content-Type", "application/json");
    if (!response.drop_connection) {
      out << response.body.dump();
      return;
    }
    // A responder cannot close its connection without a response, so this one announces more bytes than it has and
    // ends.
    reply.setHeader("Content-Length", "64");
    reply.setHeader("Connection", "close");
  }

 private:
  LogState& state_;
};

class LogService : public cxxtools::http::Service {
 public:
  explicit LogService(LogState& state) : state_(state) {}

 protected:
  cxxtools::http::Responder* createResponder(  // NOLINT(readability-identifier-naming)
      const cxxtools::http::Request& /*request*/) override {
    return new LogResponder(*this, state_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {  // NOLINT(readability-identifier-naming)
    delete responder;
  }

 private:
  LogState& state_;
};

int run() {
  FakeLogOptions options;
  options.appends_per_second = static_cast<std::size_t>(absl::GetFlag(FLAGS_max_appends_per_second));
  options.retention_records = static_cast<std::size_t>(absl::GetFlag(FLAGS_retention_records));
  options.retention_time = milliseconds{absl::GetFlag(FLAGS_retention_ms)};
  LogState state{options};
  LogService service{state};
  cxxtools::EventLoop loop;
  cxxtools::http::Server server{loop, absl::GetFlag(FLAGS_ip),
                                static_cast<unsigned short>(absl::GetFlag(FLAGS_port))};  // NOLINT(google-runtime-int)
  server.minThreads(8);
  server.maxThreads(static_cast<unsigned>(absl::GetFlag(FLAGS_threads)));
  for (const char* url : {"/append", "/read", "/info", "/control"}) server.addService(url, service);
  loop.run();
  return 0;
}

}  // namespace
}  // namespace damaskthread::test

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  try {
    return damaskthread::test::run();
  } catch (const std::exception& error) {
    std::cerr << "log_service: " << error.what() << '\n';
    return 1;
  }
}
