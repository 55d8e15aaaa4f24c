#include "damaskthread/settings/settings.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <variant>

namespace damaskthread::settings {
namespace {

namespace leaf = boost::leaf;
using Outcome = std::variant<Settings, Errors>;

constexpr std::string_view kKeyHex = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

Outcome capture_outcome(const std::function<leaf::result<Settings>()>& call) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Outcome> {
        BOOST_LEAF_AUTO(settings, call());
        return Outcome(std::move(settings));
      },
      [](const Errors& errors) { return Outcome(errors); }, [] { return Outcome(Errors{}); });
}

leaf::result<std::string> read_fake_file(const std::filesystem::path& path) {
  if (path == "operator.token") return std::string("a-long-operator-token\n");
  if (path == "raw.key") return std::string(32, 'k');
  return leaf::new_error(core::Error{core::ErrorCode::kNotFound, path.string(), "the file does not exist"});
}

Outcome parse_text(const std::string& text) {
  return capture_outcome([&] { return parse(text, "settings.json", read_fake_file); });
}

std::string valid_text() {
  return R"({
  // one daemon per server
  "server": "availability-1", "service": "availability", "zone": "a", "region": "ne",
  "listen": {"address": "10.0.0.1", "call_port": 7001, "peer_port": 7002, "admin_port": 7003, "control_port": 7004},
  "local_server": "127.0.0.1:8080", "slots": 70, "connections": 530,
  "seeds": ["10.0.0.2:7004", "[fd00::1]:7004"], "log_service": ["10.0.0.9:9000"],
  "shared_key": {"hex": ")" +
         std::string(kKeyHex) + R"("},
  "operators": [{"name": "duty", "role": "write", "token_file": "operator.token"}],
  "bounds": {"max_queue": 200}, "drain_ms": 5000, "log_level": "debug"
})";
}

std::string replace_in_valid_text(std::string_view old_text, std::string_view new_text) {
  std::string text = valid_text();
  const auto at = text.find(old_text);
  REQUIRE(at != std::string::npos);
  return text.replace(at, old_text.size(), new_text);
}

bool has_error(const Outcome& outcome, std::string_view where, std::string_view message) {
  const auto* errors = std::get_if<Errors>(&outcome);
  if (errors == nullptr) return false;
  return std::any_of(errors->begin(), errors->end(), [&](const core::Error& error) {
    return error.where == where && error.message.find(message) != std::string::npos;
  });
}

}  // namespace

// Guards against a field that is read into the wrong member or ignored.
TEST_CASE("parse reads every field of a complete file") {
  const Outcome outcome = parse_text(valid_text());
  REQUIRE(std::holds_alternative<Settings>(outcome));
  const auto& settings = std::get<Settings>(outcome);
  CHECK(settings.server_name == "availability-1");
  CHECK(settings.server_id.value != 0);
  CHECK(settings.listen.call_port == 7001);
  CHECK(settings.listen.control_port == 7004);
  CHECK(settings.advertised_ip == "10.0.0.1");
  CHECK(settings.local_server == Endpoint{"127.0.0.1", 8080});
  CHECK(settings.seeds == std::vector<Endpoint>{{"10.0.0.2", 7004}, {"fd00::1", 7004}});
  CHECK(settings.shared_key.size() == kKeyBytes);
  CHECK(settings.bounds.max_queue == 200);
  CHECK(settings.bounds.max_body_bytes == 32U << 20);
  CHECK(settings.drain_timeout == std::chrono::seconds(5));
  CHECK(settings.log_level == LogLevel::kDebug);
  REQUIRE(settings.operators.size() == 1);
  CHECK(find_operator(settings.operators, "a-long-operator-token") == settings.operators.data());
  CHECK(find_operator(settings.operators, "a-long-operator-tokeN") == nullptr);
  CHECK(find_operator(settings.operators, "") == nullptr);
}

// Guards against an invalid field that is accepted silently or reported without its path.
TEST_CASE("parse reports the path and the expected value of an invalid field") {
  struct Case {
    std::string_view old_text, new_text, where, message;
  };
  const Case cases[] = {
      {"\"slots\": 70", "\"slots\": \"70\"", "settings.json: slots",
       "expected an integer from 1 to 65535, found string"},
      {"\"slots\": 70", "\"slots\": 0", "settings.json: slots", "found 0"},
      {"\"slots\": 70", "\"slots\": -1", "settings.json: slots", "found -1"},
      {"\"slots\": 70", "\"slots\": 7.0", "settings.json: slots", "found number"},
      {"\"slots\": 70", "\"slots\": 99999999999999999999", "settings.json: slots", "found number"},
      {"\"slots\": 70", "\"slots\": 600", "settings.json: connections", "at least as many connections as slots"},
      {"\"slots\": 70", "\"slots\": 520", "settings.json: bounds.max_threads", "at least one thread per slot"},
      {"\"slots\": 70, ", "", "settings.json: slots", "required"},
      {"\"slots\": 70", "\"slots\": 70, \"slotz\": 1", "settings.json: slotz", "unknown field"},
      {"\"slots\": 70", "\"slots\": 70, \"slots\": 71", "settings.json: slots", "more than once"},
      {"\"max_queue\": 200", "\"max_quue\": 200", "settings.json: bounds.max_quue", "unknown field"},
      {"\"call_port\": 7001", "\"call_port\": 7002", "settings.json: listen.peer_port", "same port"},
      {"\"call_port\": 7001", "\"call_port\": 70010", "settings.json: listen.call_port", "1 to 65535"},
      {"\"127.0.0.1:8080\"", "\"10.0.0.1:7001\"", "settings.json: local_server", "would loop"},
      {"\"127.0.0.1:8080\"", "\"localhost:8080\"", "settings.json: local_server", "expected 'ip:port'"},
      {"\"address\": \"10.0.0.1\"", "\"address\": \"0.0.0.0\"", "settings.json: advertised_ip", "wildcard"},
      {"\"zone\": \"a\"", "\"zone\": \"a b\"", "settings.json: zone", "letters"},
      {"\"zone\": \"a\"", "\"zone\": null", "settings.json: zone", "found null"},
      {"10.0.0.2:7004\"", "10.0.0.2\"", "settings.json: seeds[0]", "expected 'ip:port'"},
      {"[fd00::1]:7004", "10.0.0.2:7004", "settings.json: seeds[1]", "repeats"},
      {"\"hex\": \"00", "\"hex\": \"0x", "settings.json: shared_key.hex", "64 hexadecimal digits"},
      {"\"hex\": ", "\"file\": \"raw.key\", \"hex\": ", "settings.json: shared_key", "exactly one"},
      {"\"role\": \"write\"", "\"role\": \"root\"", "settings.json: operators[0].role", "read, write"},
      {"operator.token", "absent.token", "settings.json: operators[0].token_file", "does not exist"},
      {"\"drain_ms\": 5000", "\"drain_ms\": 1", "settings.json: drain_ms", "100 to 600000"},
      {"\"debug\"", "\"verbose\"", "settings.json: log_level", "error, warn, info, debug"},
      {"\"bounds\": {", "\"bounds\": [{", "settings.json:9:44", "expected JSON"},
      {"\"bounds\": {\"max_queue\": 200}", "\"bounds\": 3", "settings.json: bounds", "expected an object"},
  };
  for (const Case& item : cases) {
    CAPTURE(item.new_text);
    const Outcome outcome = parse_text(replace_in_valid_text(item.old_text, item.new_text));
    const auto* errors = std::get_if<Errors>(&outcome);
    CAPTURE((errors != nullptr ? to_string(*errors) : std::string("accepted")));
    CHECK(has_error(outcome, item.where, item.message));
  }
}

// Guards against a parser that stops at the first error, so that a file takes one attempt per mistake.
TEST_CASE("parse reports all errors of a file together") {
  const Outcome outcome = parse_text(R"({"server": 1, "slots": "x", "listen": {"call_port": 0}, "extra": true})");
  CHECK(has_error(outcome, "settings.json: server", "expected a string"));
  CHECK(has_error(outcome, "settings.json: slots", "expected an integer"));
  CHECK(has_error(outcome, "settings.json: listen.call_port", "found 0"));
  CHECK(has_error(outcome, "settings.json: listen.peer_port", "required"));
  CHECK(has_error(outcome, "settings.json: shared_key", "required"));
  CHECK(has_error(outcome, "settings.json: extra", "unknown field"));
}

// Guards against a key or token that leaks into a log through the printed settings or an error message.
TEST_CASE("describe and error messages contain no secrets") {
  const Outcome outcome = parse_text(valid_text());
  REQUIRE(std::holds_alternative<Settings>(outcome));
  const std::string text = describe(std::get<Settings>(outcome));
  CHECK(text.find("shared_key: [redacted]") != std::string::npos);
  CHECK(text.find("00112233") == std::string::npos);
  CHECK(text.find("operator duty: write [redacted]") != std::string::npos);
  // A key with an invalid digit, and a text truncated inside the key.
  const std::string broken = valid_text();
  for (const std::string& input :
       {replace_in_valid_text("ddeeff\"", "ddeefg\""), broken.substr(0, broken.find("ddeeff"))}) {
    const Outcome failed = parse_text(input);
    REQUIRE(std::holds_alternative<Errors>(failed));
    CHECK(to_string(std::get<Errors>(failed)).find("2233") == std::string::npos);
  }
}

// Guards against a relative key path that is resolved against the working directory, and against reading special files
// such as /dev/zero without end.
TEST_CASE("load resolves file names relative to the settings file") {
  const auto directory = std::filesystem::temp_directory_path() / ("damaskthread-settings-" + std::to_string(getpid()));
  std::filesystem::create_directories(directory);
  std::ofstream(directory / "shared.key") << kKeyHex << "\n";
  std::ofstream(directory / "operator.token") << "a-long-operator-token\n";
  const std::string text =
      replace_in_valid_text("\"hex\": \"" + std::string(kKeyHex) + "\"", "\"file\": \"shared.key\"");
  std::ofstream(directory / "settings.json") << text;
  const Outcome outcome = capture_outcome([&] { return load(directory / "settings.json"); });
  REQUIRE(std::holds_alternative<Settings>(outcome));
  CHECK(std::get<Settings>(outcome).shared_key.size() == kKeyBytes);
  const Outcome absent = capture_outcome([&] { return load(directory / "absent.json"); });
  REQUIRE(std::holds_alternative<Errors>(absent));
  CHECK(std::get<Errors>(absent).front().code == core::ErrorCode::kNotFound);
  CHECK(std::holds_alternative<Errors>(capture_outcome([&] { return load("/dev/zero"); })));
  std::filesystem::remove_all(directory);
}

// Guards against crashes on corrupted input (one byte changed) and against accepting truncated input.
TEST_CASE("parse handles corrupted and truncated input") {
  CHECK(rc::check("one changed byte is accepted or reported", [](std::uint16_t at, char byte) {
    std::string text = valid_text();
    text[at % text.size()] = byte;
    const Outcome outcome = parse_text(text);
    if (const auto* errors = std::get_if<Errors>(&outcome)) RC_ASSERT(!errors->empty());
  }));
  CHECK(rc::check("a truncated text is rejected", [](std::uint16_t length) {
    const std::string text = valid_text();
    RC_ASSERT(std::holds_alternative<Errors>(parse_text(text.substr(0, length % text.size()))));
  }));
}

// Guards against endpoints that change when they are formatted and parsed again.
TEST_CASE("parse_endpoint inverts to_string") {
  CHECK(rc::check([](std::array<std::uint8_t, 4> ip, std::uint16_t port) {
    RC_PRE(port != 0);
    std::ostringstream host;
    host << int{ip[0]} << "." << int{ip[1]} << "." << int{ip[2]} << "." << int{ip[3]};
    const Endpoint endpoint{host.str(), port};
    RC_ASSERT(parse_endpoint(to_string(endpoint)) == endpoint);
  }));
  for (const std::string_view text : {"", ":", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:80x", "[1.2.3.4]:80",
                                      "fd00::1:80", "[fd00::1]", "1.2.3:80", "host:80"}) {
    CAPTURE(text);
    CHECK_FALSE(parse_endpoint(text).has_value());
  }
}

}  // namespace damaskthread::settings
