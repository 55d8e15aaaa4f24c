// Stand-in for the platform's log service: in memory, with limits and faults.
//
// POST /control takes a JSON object with any of these keys:
//   "outage_ms": N, "outage_mode": "refuse" (503), "close" (no answer) or "hang" (answers 503 after the outage)
//   "slow_ms": N, "slow_for_ms": M   each answer takes N ms longer for the next M ms (default: until reset)
//   "lose_answers": N                the next N appends take effect and their connection is closed without an answer
//   "truncate_before": OFFSET        drops older records
//   "reset": true                    ends all faults and drops all records; offsets go on

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
ABSL_FLAG(int, threads, 64, "Requests served at once.");
ABSL_FLAG(int, max_appends_per_second, 400, "Appends beyond this rate get 429.");
ABSL_FLAG(int, retention_records, 100'000, "Records kept.");
ABSL_FLAG(int, retention_ms, 86'400'000, "Time that records are kept.");

namespace damaskthread::test {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxRecordBytes = std::size_t{256} << 10U;
constexpr std::size_t kMaxReadRecords = 1'000;

core::TimePoint now() { return std::chrono::steady_clock::now(); }

struct Answer {
  unsigned status = 200;
  Json body;
  bool close = false;  // Ends the connection without an answer.
};

Answer refused(unsigned status, const char* message) { return {status, Json{{"error", message}}, false}; }

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
  text.resize(text.size() - 1);  // The terminating zero.
  return text;
}

class LogState {
 public:
  explicit LogState(FakeLogOptions options) : log_(options) {}

  Answer handle(const std::string& method, const std::string& url, const std::string& query, const std::string& body) {
    if (url == "/control" && method == "POST") return control(body);
    std::unique_lock lock{mutex_};
    const core::TimePoint start = now();
    const milliseconds extra = start < slow_until_ ? slow_ : milliseconds{0};
    if (log_.in_outage(start)) return outage(lock, start);
    Answer answer = serve(method, url, query, body, start);
    lock.unlock();
    std::this_thread::sleep_for(extra);
    return answer;
  }

 private:
  Answer serve(const std::string& method, const std::string& url, const std::string& query, const std::string& body,
               core::TimePoint start) {
    if (url == "/append" && method == "POST") return append(body, start);
    if (method != "GET") return refused(405, "method not allowed");
    if (url == "/info") {
      const auto slice = log_.read(log_.next(), 0, start);
      return {200, Json{{"first", slice->first}, {"next", slice->next}}, false};
    }
    if (url == "/read") return read(query, start);
    return refused(404, "not found");
  }

  Answer append(const std::string& body, core::TimePoint start) {
    if (body.empty()) return refused(400, "empty record");
    if (body.size() > kMaxRecordBytes) return refused(413, "record too large");
    const AppendReply reply = log_.append(body, start);
    if (reply.status == AppendStatus::kRefused) return refused(429, "too many appends");
    return {200, Json{{"offset", reply.offset}}, reply.status == AppendStatus::kLost};
  }

  Answer read(const std::string& query, core::TimePoint start) {
    const std::uint64_t max = query_value(query, "max", 100);
    const auto slice = log_.read(query_value(query, "from", 0), std::min<std::uint64_t>(max, kMaxReadRecords), start);
    Json records = Json::array();
    for (const resource::LogEntry& entry : slice->entries) {
      records.push_back({{"offset", entry.offset}, {"body", base64(entry.bytes)}});
    }
    return {200, Json{{"first", slice->first}, {"next", slice->next}, {"records", std::move(records)}}, false};
  }

  Answer outage(std::unique_lock<std::mutex>& lock, core::TimePoint start) {
    const std::string mode = outage_mode_;
    const core::TimePoint until = outage_until_;
    lock.unlock();
    if (mode == "close") return {503, Json{}, true};
    if (mode == "hang") std::this_thread::sleep_for(until - start);
    return refused(503, "outage");
  }

  Answer control(const std::string& body) {
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) return refused(400, "expected a JSON object");
    const std::scoped_lock lock{mutex_};
    try {
      if (json.value("reset", false)) {
        log_.reset();
        slow_until_ = {};
      }
      if (json.contains("outage_ms")) {
        outage_mode_ = json.value("outage_mode", "refuse");
        outage_until_ = now() + milliseconds{json["outage_ms"].get<int>()};
        log_.outage(now(), milliseconds{json["outage_ms"].get<int>()});
      }
      if (json.contains("slow_ms")) {
        slow_ = milliseconds{json["slow_ms"].get<int>()};
        slow_until_ = now() + milliseconds{json.value("slow_for_ms", 86'400'000)};
      }
      if (json.contains("lose_answers")) log_.lose_answers(json["lose_answers"].get<std::uint64_t>());
      if (json.contains("truncate_before")) log_.truncate_before(json["truncate_before"].get<std::uint64_t>());
    } catch (const Json::exception& error) {
      return refused(400, error.what());
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
    const Answer answer = state_.handle(request.method(), request.url(), request.qparams(), request.bodyStr());
    reply.httpReturn(answer.status, answer.status == 200 ? "OK" : "Refused");
    reply.setHeader("Content-Type", "application/json");
    if (!answer.close) {
      out << answer.body.dump();
      return;
    }
    // A responder cannot drop its connection, so the answer promises more than it holds and the connection ends.
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
