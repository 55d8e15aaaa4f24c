/// @file
/// @brief Stand-in for callers: sends a bounded open load to daemons on loopback and prints one line of JSON.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <charconv>
#include <iostream>
#include <string_view>
#include <thread>

#include "load.h"

ABSL_FLAG(std::string, daemons, "",
          "ip:port of the call ports, separated by commas; the next is used when one is gone");
ABSL_FLAG(std::string, service, "", "service to call");
ABSL_FLAG(std::string, method, "GET", "method of kinds that name none");
ABSL_FLAG(std::string, path, "/", "path of kinds that name none");
ABSL_FLAG(std::string, mix, "normal:1", "kinds of requests: IMPORTANCE:SHARE[:METHOD:PATH], separated by commas");
ABSL_FLAG(double, rate, 10, "requests per second");
ABSL_FLAG(double, duration, 1, "seconds");
ABSL_FLAG(std::string, phases, "", "SECONDS:RATE, separated by commas; instead of rate and duration");
ABSL_FLAG(int, threads, 16, "requests in progress, from 1 to 2000");
ABSL_FLAG(int, retries, 0, "repeats of one request, from 0 to 20");
ABSL_FLAG(int, retry_delay_ms, 0, "pause before a repeat");
ABSL_FLAG(bool, polite, false, "wait for Retry-After, and do not repeat without it");
ABSL_FLAG(bool, keep_id, true, "repeat with the request id of the refused attempt");
ABSL_FLAG(int, timeout_ms, 2000, "how long a request is waited for, from its arrival on");
ABSL_FLAG(int, deadline_ms, 0, "deadline sent along; 0 sends none");
ABSL_FLAG(int, good_within_ms, 1000, "latency up to which an answer is good");
ABSL_FLAG(uint64_t, bytes, 0, "size of the document asked for; 0 asks for a small answer");
ABSL_FLAG(uint64_t, seed, 1, "seed of the arrivals and the mix");
ABSL_FLAG(std::string, prefix, "op", "begins the key of each request; must differ between callers of one test");
ABSL_FLAG(std::string, journals, "", "ip:port of the servers whose journals are compared with the outcomes");
ABSL_FLAG(int, journal_delay_ms, 500, "pause before the journals are read, for what still runs");
ABSL_FLAG(bool, timeline, false, "add [offered, good] for each 100 ms");

namespace damaskthread::standin {
namespace {

// Keys of refused requests are kept for the comparison, so the count is bounded.
constexpr double kMaxRequests = 2'000'000;
constexpr double kMaxSeconds = 3'600;

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(separator), text.size());
    parts.push_back(text.substr(0, end));
    text.remove_prefix(std::min(text.size(), end + 1));
  }
  return parts;
}

bool parse_double(std::string_view text, double& out) {
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), out);
  return failure == std::errc{} && end == text.data() + text.size() && out >= 0;
}

bool parse_endpoints(std::string_view text, std::vector<settings::Endpoint>& out) {
  for (const std::string_view part : split(text, ',')) {
    const auto endpoint = settings::parse_endpoint(part);
    if (!endpoint || endpoint->host.substr(0, 4) != "127.") return false;
    out.push_back(*endpoint);
  }
  return true;
}

bool parse_mix(std::string_view text, std::vector<Kind>& out) {
  for (const std::string_view part : split(text, ',')) {
    const auto fields = split(part, ':');
    Kind kind{.method = absl::GetFlag(FLAGS_method), .path = absl::GetFlag(FLAGS_path)};
    if (fields.size() != 2 && fields.size() != 4) return false;
    const auto importance = core::parse_importance(fields[0]);
    if (!importance || !parse_double(fields[1], kind.share)) return false;
    kind.importance = *importance;
    if (fields.size() == 4) {
      kind.method = fields[2];
      kind.path = fields[3];
    }
    out.push_back(std::move(kind));
  }
  return !out.empty();
}

bool parse_phases(std::string_view text, std::vector<Phase>& out) {
  for (const std::string_view part : split(text, ',')) {
    const auto fields = split(part, ':');
    Phase phase;
    if (fields.size() != 2 || !parse_double(fields[0], phase.seconds) || !parse_double(fields[1], phase.rate)) {
      return false;
    }
    out.push_back(phase);
  }
  if (out.empty()) out.push_back({absl::GetFlag(FLAGS_duration), absl::GetFlag(FLAGS_rate)});
  double requests = 0;
  double seconds = 0;
  for (const Phase& phase : out) {
    requests += phase.seconds * phase.rate;
    seconds += phase.seconds;
  }
  return requests <= kMaxRequests && seconds <= kMaxSeconds;
}

int run() {
  Plan plan;
  std::vector<settings::Endpoint> journals;
  if (!parse_endpoints(absl::GetFlag(FLAGS_daemons), plan.daemons) || plan.daemons.empty() ||
      !parse_endpoints(absl::GetFlag(FLAGS_journals), journals)) {
    std::cerr << "expected --daemons and --journals as lists of 127.x.x.x:port\n";
    return 2;
  }
  if (!parse_mix(absl::GetFlag(FLAGS_mix), plan.kinds) || !parse_phases(absl::GetFlag(FLAGS_phases), plan.phases)) {
    std::cerr << "expected --mix as IMPORTANCE:SHARE[:METHOD:PATH],... and --phases as SECONDS:RATE,... with at most "
                 "2,000,000 requests in an hour\n";
    return 2;
  }
  plan.service = absl::GetFlag(FLAGS_service);
  plan.threads = absl::GetFlag(FLAGS_threads);
  plan.retries = absl::GetFlag(FLAGS_retries);
  if (plan.service.empty() || plan.threads < 1 || plan.threads > 2000 || plan.retries < 0 || plan.retries > 20) {
    std::cerr << "expected --service, --threads from 1 to 2000 and --retries from 0 to 20\n";
    return 2;
  }
  plan.retry_delay = std::chrono::milliseconds(absl::GetFlag(FLAGS_retry_delay_ms));
  plan.polite = absl::GetFlag(FLAGS_polite);
  plan.keep_id = absl::GetFlag(FLAGS_keep_id);
  plan.timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  plan.deadline = std::chrono::milliseconds(absl::GetFlag(FLAGS_deadline_ms));
  plan.good_within = std::chrono::milliseconds(absl::GetFlag(FLAGS_good_within_ms));
  plan.bytes = absl::GetFlag(FLAGS_bytes);
  plan.seed = absl::GetFlag(FLAGS_seed);
  plan.prefix = absl::GetFlag(FLAGS_prefix);

  const auto start = Clock::now();
  Schedule schedule(plan, start);
  Results results(plan, start);
  run_load(plan, schedule, results);
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  nlohmann::json line = results.to_json(elapsed.count(), absl::GetFlag(FLAGS_timeline));
  if (!journals.empty()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(absl::GetFlag(FLAGS_journal_delay_ms)));
    line["journal"] = check_journals(journals, results);
  }
  std::cout << line.dump() << std::endl;
  return 0;
}

}  // namespace
}  // namespace damaskthread::standin

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  try {
    return damaskthread::standin::run();
  } catch (const std::exception& error) {
    std::cerr << "load_caller: " << error.what() << "\n";
    return 1;
  }
}
