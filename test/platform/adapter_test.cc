#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>
#include <variant>

#include "damaskthread/core/error.h"
#include "platform/configuration.h"
#include "platform/heartbeat.h"
#include "platform/store_adapter.h"

namespace damaskthread::platform {
namespace {

using std::chrono::milliseconds;

constexpr const char* kHeartbeat =
    R"({"address":"10.0.0.9:80","born":1779457800020,"info":{"service":"s","version":"v1","zone":"z","capacity":66},)"
    R"("status":{"state":"ready","sequence":4,"cold_left":"1500ms"}})";

constexpr const char* kConfiguration =
    R"({"version":7,"services":[{"name":"a","health_path":"/health","max_conns":532}],)"
    R"("limits":{"header_bytes":16384,"body_bytes":67108864,"header":"3000ms","idle":"15s"},)"
    R"("virtual_hosts":[{"host":"h.example","paths":[)"
    R"({"name":"r1","path_prefix":"/x/","kind":"idempotent","timeout":"1200ms","slo":"1500ms","priority":2,)"
    R"("backends":[{"service":"a","weight":90},{"service":"b","weight":10}],"max_attempts":2},)"
    R"({"name":"r2","path_prefix":"/y/","kind":"non_idempotent","slo":"2s","priority":0,"service":"a"}]}]})";

template <typename Value>
std::optional<Value> value_or_null(boost::leaf::result<Value>&& result) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, std::move(result));
        return std::optional<Value>(std::move(value));
      },
      [] { return std::optional<Value>(); });
}

std::string replace_first(std::string text, const std::string& from, const std::string& to) {
  const std::size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

std::string encode_record(const std::string& content) {
  const auto size = static_cast<char>(content.size());
  return std::string("\0\0\0", 3) + size + content;
}

}  // namespace

TEST_CASE("a heartbeat is decoded to an announcement") {
  const mesh::ControlCall call = parse_heartbeat("i-1", kHeartbeat);
  REQUIRE(std::holds_alternative<gate::ServerHeartbeat>(call));
  const auto& announcement = std::get<gate::ServerHeartbeat>(call);
  CHECK(announcement.id == "i-1");
  CHECK(announcement.service == "s");
  CHECK(announcement.capacity == 66);
  CHECK(announcement.sequence == 4);
  CHECK(announcement.started_at_ms == 1779457800020);
  CHECK(announcement.warm_up_left == milliseconds{1500});
  CHECK(!announcement.leaving);
}

TEST_CASE("an invalid heartbeat is malformed") {
  for (const std::string& body :
       {std::string("{"), std::string("[]"), std::string("\xff\xfe"),
        replace_first(kHeartbeat, "\"ready\"", "\"sleeping\""), replace_first(kHeartbeat, "66", "\"66\""),
        replace_first(kHeartbeat, "\"capacity\":66", "\"slots\":66"),
        replace_first(kHeartbeat, "\"sequence\":4", "\"sequence\":4.5"), replace_first(kHeartbeat, "66", "0"),
        replace_first(kHeartbeat, "1779457800020", "\"now\""), replace_first(kHeartbeat, "1500ms", "soon")}) {
    CHECK_MESSAGE(std::holds_alternative<mesh::MalformedCall>(parse_heartbeat("i-1", body)), body);
  }
}

// Other writers' entries must neither end the process nor change a number on the way.
TEST_CASE("a heartbeat with numbers out of range, deep nesting or an unprintable id is malformed") {
  std::string nested(200'000, '[');
  for (const std::string& body :
       {replace_first(kHeartbeat, "66", "4294967297"), replace_first(kHeartbeat, "66", "1e300"),
        replace_first(kHeartbeat, "66", "18446744073709551615"), replace_first(kHeartbeat, "66", "-1"),
        replace_first(kHeartbeat, "\"sequence\":4", "\"sequence\":18446744073709551615"),
        replace_first(kHeartbeat, "1779457800020", "9223372036854775808"),
        replace_first(kHeartbeat, "1779457800020", std::string(400, '9')),
        replace_first(kHeartbeat, "1500ms", "1e300s"), nested, replace_first(kHeartbeat, "66", nested),
        replace_first(kHeartbeat, "66", nested + std::string(nested.size(), ']'))}) {
    CHECK_MESSAGE(std::holds_alternative<mesh::MalformedCall>(parse_heartbeat("i-1", body)), body.substr(0, 300));
  }
  const StoreAdapter adapter;
  for (const std::string& id :
       {std::string(), std::string("i-\xff\xfe"), std::string("i-\n1"), std::string(300, 'i')}) {
    CHECK(std::holds_alternative<mesh::MalformedCall>(parse_heartbeat(id, kHeartbeat)));
    const http::Request leave{"POST", "/rpc?call=instances.deregister&of=" + id, {}, ""};
    CHECK(std::holds_alternative<mesh::MalformedCall>(adapter.parse_control_call(leave)));
  }
}

TEST_CASE("control calls are distinguished by their request targets") {
  const StoreAdapter adapter;
  const auto call = [&](const std::string& target, const std::string& body) {
    return adapter.parse_control_call({"POST", target, {}, body});
  };
  CHECK(std::holds_alternative<gate::ServerHeartbeat>(call("/rpc?call=instances.heartbeat&of=i-1", kHeartbeat)));
  const mesh::ControlCall deregistration = call("/rpc?call=instances.deregister&of=i-1", "");
  REQUIRE(std::holds_alternative<mesh::Deregistration>(deregistration));
  CHECK(std::get<mesh::Deregistration>(deregistration).server_id == "i-1");
  CHECK(std::holds_alternative<mesh::MalformedCall>(call("/rpc?call=instances.other&of=i-1", "")));
}

TEST_CASE("a configuration is parsed into a route table") {
  const auto table = value_or_null(parse_configuration(kConfiguration));
  REQUIRE(table);
  CHECK((*table)->version() == 7);
  const route::Route* const first = (*table)->find("h.example", "/x/1");
  REQUIRE(first != nullptr);
  CHECK(first->idempotent);
  CHECK(first->timeout == milliseconds{1200});
  CHECK(first->objective == milliseconds{1500});
  CHECK(first->parts.size() == 2);
  CHECK(first->max_servers == 2);
  const route::Route* const second = (*table)->find("h.example", "/y/1");
  REQUIRE(second != nullptr);
  CHECK(!second->idempotent);
  CHECK(second->timeout == core::Duration::zero());
  CHECK((*table)->caller_limits().idle_time == milliseconds{15000});
  CHECK((*table)->find_service("a")->max_connections == 532);
}

// Downloads were treated like requests that may run once, so that a lost response ended them.
TEST_CASE("a download is idempotent") {
  const auto table =
      value_or_null(parse_configuration(replace_first(kConfiguration, "\"non_idempotent\"", "\"download\"")));
  REQUIRE(table);
  REQUIRE((*table)->find("h.example", "/y/1") != nullptr);
  CHECK((*table)->find("h.example", "/y/1")->idempotent);
}

TEST_CASE("tenants are read with their keys, quota and priority, and routes may be public") {
  const std::string tenants =
      R"("tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"rate_per_s":80,"burst":8},)"
      R"({"name":"u","api_keys":["k3"]}],"virtual_hosts":)";
  std::string document = replace_first(kConfiguration, "\"virtual_hosts\":", tenants);
  document = replace_first(document, "\"max_attempts\":2", "\"max_attempts\":2,\"public\":true");
  const auto table = value_or_null(parse_configuration(document));
  REQUIRE(table);
  const tenant::Tenant* const tenant = (*table)->tenants().find_by_key("k2");
  REQUIRE(tenant != nullptr);
  CHECK(tenant->name == "t");
  CHECK(tenant->priority == 1);
  CHECK(tenant->rate_per_second == 80);
  CHECK(tenant->burst == 8);
  REQUIRE((*table)->tenants().find_by_key("k3") != nullptr);
  CHECK(!(*table)->tenants().find_by_key("k3")->has_quota());
  CHECK((*table)->find("h.example", "/x/1")->is_public);
  CHECK(!(*table)->find("h.example", "/y/1")->is_public);
  CHECK(!value_or_null(parse_configuration(replace_first(document, "\"k3\"", "\"k1\""))));
}

TEST_CASE("only routes of the idempotent kind are idempotent") {
  for (const std::string kind : {"non_idempotent", "upload", "keyed", "a kind of a later version"}) {
    const auto table =
        value_or_null(parse_configuration(replace_first(kConfiguration, "\"idempotent\"", "\"" + kind + "\"")));
    REQUIRE(table);
    const route::Route* const route = (*table)->find("h.example", "/x/1");
    REQUIRE(route != nullptr);
    CHECK_MESSAGE(!route->idempotent, kind);
  }
}

TEST_CASE("an invalid configuration is an error") {
  for (const std::string& document :
       {std::string("{"), std::string("{}"), replace_first(kConfiguration, "\"version\":7", "\"version\":\"x\""),
        replace_first(kConfiguration, "1200ms", "soon"),
        replace_first(kConfiguration, "\"weight\":90", "\"weight\":-1")}) {
    CHECK(!value_or_null(parse_configuration(document)));
  }
}

// The JSON library quotes the text in front of a syntax error, which put keys into the logs of all daemons.
TEST_CASE("the error of a malformed configuration gives the place and none of the text") {
  std::string message;
  const auto table = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(parsed, parse_configuration(R"({"version":1,"tenants":[{"name":"t","api_keys":["key-1]}]})"));
        return parsed != nullptr;
      },
      [&](const core::Error& error) {
        message = error.message;
        return false;
      },
      [] { return false; });
  CHECK(!table);
  CHECK_MESSAGE(message.find("key-") == std::string::npos, message);
  CHECK_MESSAGE(message.find("byte ") != std::string::npos, message);
}

// A null in a field that earlier versions ignored made a daemon refuse the configuration.
TEST_CASE("optional fields of routes and tenants may be null") {
  std::string document = replace_first(kConfiguration, "\"max_attempts\":2", "\"max_attempts\":2,\"public\":null");
  document =
      replace_first(document, "\"virtual_hosts\":",
                    R"("tenants":[{"name":"t","api_keys":["k"],"rate_per_s":null,"burst":null}],"virtual_hosts":)");
  const auto table = value_or_null(parse_configuration(document));
  REQUIRE(table);
  REQUIRE((*table)->find("h.example", "/x/1") != nullptr);
  CHECK(!(*table)->find("h.example", "/x/1")->is_public);
  REQUIRE((*table)->tenants().find_by_name("t") != nullptr);
  CHECK(!(*table)->tenants().find_by_name("t")->has_quota());
}

TEST_CASE("records of a keyed topic are decoded from any offset and a truncated one is left for the next read") {
  const StoreAdapter adapter;
  std::string body(16, '\0');
  body += encode_record(
              "\x06"
              "configONE") +
          encode_record("\x01k") + encode_record("");
  http::Response response{200, {}, body + std::string("\0\0\0\x09\x06", 5)};
  const auto changes = value_or_null(adapter.parse_changes(response, 40));
  REQUIRE(changes);
  CHECK(changes->next == 43);
  REQUIRE(changes->records.size() == 2);
  CHECK(changes->records[0].key == "config");
  CHECK(changes->records[0].value == "ONE");
  CHECK(changes->records[1].value.empty());
  CHECK(value_or_null(adapter.parse_changes({410, {}, ""}, 40))->truncated);
  CHECK(!value_or_null(adapter.parse_changes({503, {}, ""}, 40)));
  CHECK(!value_or_null(adapter.parse_changes({200, {}, "short"}, 40)));
}

TEST_CASE("the newest records are decoded and invalid ones are an error") {
  const StoreAdapter adapter;
  const auto page = value_or_null(
      adapter.parse_newest({200, {}, R"({"items":[{"key":"config","value":"e30=","offset":4}],"more":true,"end":6})"}));
  REQUIRE(page);
  CHECK(page->records.front().value == "{}");
  CHECK(page->more);
  CHECK(page->end == 6);
  CHECK(!value_or_null(adapter.parse_newest({200, {}, R"({"items":[{"key":"config","value":"*"}],"end":6})"})));
  CHECK(!value_or_null(adapter.parse_newest({200, {}, "["})));
}

// A page that was cut off put the encoded configuration, and with it the tenants' keys, into the log.
TEST_CASE("the error of a malformed page gives none of its text") {
  std::string message;
  (void)boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(page, StoreAdapter().parse_newest({200, {}, R"({"items":[{"key":"config","value":"c2VjcmV0)"}));
        return !page.more;
      },
      [&](const core::Error& error) {
        message = error.message;
        return false;
      },
      [] { return false; });
  CHECK_MESSAGE(message.find("c2Vj") == std::string::npos, message);
  CHECK_MESSAGE(message.find("byte ") != std::string::npos, message);
}

TEST_CASE("an entry is encoded as one keyed record") {
  const StoreAdapter adapter;
  const http::Request request = adapter.put(mesh::Topic::kMembers, "key", "value");
  CHECK(request.method == "POST");
  CHECK(request.body == std::string("\0\0\0\x09\x03", 5) + "keyvalue");
}

TEST_CASE("a conditional write names the offset at which the topic must end") {
  const StoreAdapter adapter;
  const http::Request request = adapter.put_at(mesh::Topic::kLeases, "key", "value", 12);
  CHECK(request.method == "POST");
  CHECK(request.target == "/log-append?topic=keyed.leases&part=0&at=12");
  CHECK(request.body == std::string("\0\0\0\x09\x03", 5) + "keyvalue");
}

}  // namespace damaskthread::platform
