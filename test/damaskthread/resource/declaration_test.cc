#include "damaskthread/resource/declaration.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "damaskthread/resource/log_record.h"
#include "damaskthread/resource/resource_store.h"

namespace damaskthread::resource {
namespace {

using core::Importance;

constexpr std::string_view kValid = R"({
  // Interactive traffic.
  "kind": "Service", "name": "booking", "retries": 2, "deadline_ms": 1500, "max_body_bytes": 4096,
  "slots": 80, "connections": 570, "max_concurrency_per_caller": 40,
  "operations": [
    {"method": "POST", "path_prefix": "/payments", "importance": "critical", "at_most_once": true, "deadline_ms": 900},
    {"method": "GET", "path_prefix": "/", "importance": "high"},
    {"method": "*", "path_prefix": "/payments/report/", "importance": "sheddable", "idempotent": true}
  ],
  "objectives": [{"importance": "critical", "target": 0.999, "latency_ms": 800, "window": "28d"}]
})";

ServiceDeclaration valid_declaration() { return *parse_declaration(kValid).declaration; }

// The first error after replacing a substring of `kValid`.
FieldError first_error_after_replacing(std::string_view from, std::string_view to) {
  std::string text{kValid};
  text.replace(text.find(from), from.size(), to);
  const ParsedDeclaration parsed = parse_declaration(text, "booking.json");
  CHECK_FALSE(parsed.declaration.has_value());
  return parsed.errors.empty() ? FieldError{} : parsed.errors.front();
}

// Overwrites random bytes of a valid document and truncates it. Reaches more code than random bytes.
std::string corrupt(std::string text) {
  const auto edits = *rc::gen::container<std::vector<std::pair<std::uint32_t, char>>>(rc::gen::pair(
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()), rc::gen::arbitrary<char>()));
  for (const auto& [at, byte] : edits) text[at % text.size()] = byte;
  return text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size() + 1));
}

}  // namespace

TEST_CASE("a declaration round-trips through canonical JSON") {
  const ServiceDeclaration declaration = valid_declaration();
  CHECK(declaration.retries == 2);
  CHECK(declaration.objectives.front().window == std::chrono::days{28});
  const ParsedDeclaration again = parse_declaration(to_json(declaration));
  REQUIRE(again.declaration.has_value());
  CHECK(*again.declaration == declaration);
}

// Guards against a payment classified as an ordinary call because its path is encoded differently.
TEST_CASE("classify selects the longest prefix and compares normalized paths") {
  const ServiceDeclaration service = valid_declaration();
  for (const char* path :
       {"/payments", "/payments/7?x=1", "//payments", "/./payments", "/x/../payments", "/%70ayments", "/payments/"}) {
    CAPTURE(path);
    CHECK(service.classify("POST", path).at_most_once);
  }
  CHECK_FALSE(service.classify("POST", "/paymentsx").at_most_once);
  CHECK(service.classify("POST", "/payments/report/1").importance == Importance::kSheddable);
  CHECK(service.classify("GET", "/payments").importance == Importance::kHigh);
  CHECK(service.classify("GET", "/payments").idempotent);
  const Operation& fallback = service.classify("DELETE", "/other");
  CHECK(fallback.importance == Importance::kNormal);
  CHECK_FALSE(fallback.idempotent);
  CHECK(fallback.deadline == std::chrono::milliseconds{1'500});
}

// Guards against input that is silently misread, and errors without a location.
TEST_CASE("each error reports its line, its field and the expected value") {
  const auto check = [](std::string_view from, std::string_view to, int line, std::string_view path,
                        std::string_view expected) {
    const FieldError error = first_error_after_replacing(from, to);
    CAPTURE(to);
    CHECK(error.file == "booking.json");
    CHECK(error.line == line);
    CHECK(error.path == path);
    CHECK(error.message.find(expected) != std::string::npos);
  };
  check("\"retries\": 2", "\"retries\": 9", 3, "retries", "integer from 0 to 8");
  check("\"retries\": 2", "\"retries\": 2.5", 3, "retries", "integer");
  check("\"retries\": 2", "\"retrys\": 2", 3, "retrys", "unknown key; expected one of");
  check("\"retries\": 2", "\"retries\": 2, \"retries\": 3", 3, "retries", "duplicate");
  check("\"slots\": 80", "\"slots\": 600", 4, "connections", "at least as many as slots");
  check("\"critical\", \"at", "\"vital\", \"at", 6, "operations[0].importance", "sheddable, normal, high or critical");
  check("\"at_most_once\": true", "\"at_most_once\": true, \"idempotent\": true", 6, "operations[0].idempotent",
        "false");
  check("\"GET\"", "\"get\"", 7, "operations[1].method", "GET");
  check("\"path_prefix\": \"/\", ", "", 7, "operations[1]", "path_prefix");
  check("\"GET\", \"path_prefix\": \"/\"", "\"POST\", \"path_prefix\": \"/payments/\"", 7, "operations[1]",
        "duplicate");
  check("0.999", "1.0", 10, "objectives[0].target", "below 1");
  check("28d", "28x", 10, "objectives[0].window", "30m, 24h or 28d");
  check("\"booking\"", "\"Booking\"", 3, "name", "a-z");
  check("\"Service\"", "\"Policy\"", 3, "kind", "`Service`");
  check("  ],", "  ", 10, "operations[3]", "valid JSON");
}

// Guards against an older daemon that drops a service because a newer version added an optional key.
TEST_CASE("stored declarations may have keys of a newer version") {
  constexpr std::string_view kNewer = R"({"kind": "Service", "name": "a", "new": 1, "operations":
    [{"path_prefix": "/", "importance": "high", "newer": true}]})";
  CHECK(parse_declaration(kNewer).errors.size() == 2);
  CHECK(parse_declaration(kNewer, "", ParseMode::kStored).declaration.has_value());
}

// Guards against input that crashes a daemon or exhausts its stack.
TEST_CASE("arbitrary bytes are rejected or parsed, and never crash") {
  CHECK_FALSE(parse_declaration(std::string(60'000, '[')).declaration.has_value());
  CHECK_FALSE(decode(std::string(60'000, '[')).has_value());
  CHECK_FALSE(parse_declaration(std::string(100'000, ' ')).errors.empty());
  const LogRecord record{RecordOperation::kPut, "Service", "booking", 0, "op", "author", std::string{kValid}};
  CHECK(rc::check("bytes", [&](const std::string& bytes) {
    for (const std::string& text : {bytes, corrupt(std::string{kValid})}) {
      const ParsedDeclaration parsed = parse_declaration(text);
      RC_ASSERT(parsed.declaration.has_value() == parsed.errors.empty());
    }
    static_cast<void>(decode(bytes));
    const auto decoded = decode(corrupt(*encode(record)));
    if (decoded) RC_ASSERT(encode(*decoded).has_value());
    ResourceStore store;
    store.apply({0, 1, {{0, *encode(record)}}}, {});
    ResourceStore other;
    static_cast<void>(other.apply_state(bytes));
    static_cast<void>(other.apply_records(bytes, {}));
    static_cast<void>(other.apply_records(corrupt(*store.records_since(0, 100'000)), {}));
    static_cast<void>(other.apply_state(corrupt(store.state())));
    static_cast<void>(valid_declaration().classify("GET", bytes));
  }));
}

// Guards against examples that an operator copies and the daemon then rejects.
TEST_CASE("the examples are valid declarations") {
  int files = 0;
  for (const char* deployment : {"birchrun", "lindqvist"}) {
    const std::filesystem::path folder = std::filesystem::path{DAMASKTHREAD_EXAMPLES} / deployment;
    for (const auto& entry : std::filesystem::directory_iterator{folder}) {
      std::ifstream in{entry.path()};
      std::stringstream text;
      text << in.rdbuf();
      const ParsedDeclaration parsed = parse_declaration(text.str(), entry.path().filename().string());
      for (const FieldError& error : parsed.errors) FAIL_CHECK(to_string(error));
      REQUIRE(parsed.declaration.has_value());
      CHECK(parsed.declaration->name == entry.path().stem().string());
      ++files;
    }
  }
  CHECK(files == 8);
}

}  // namespace damaskthread::resource
