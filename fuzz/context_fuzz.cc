// Context headers, given as lines `name: value`: bounds hold, and what is parsed formats to what parses the same.
#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <vector>

#include "check.h"
#include "damaskthread/context/call_context.h"
#include "damaskthread/core/error.h"

namespace leaf = boost::leaf;
namespace context = damaskthread::context;
using damaskthread::fuzz::check;

namespace {

std::vector<context::HeaderView> split(std::string_view text) {
  std::vector<context::HeaderView> headers;
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    const std::size_t colon = std::min(line.find(':'), line.size());
    headers.push_back({line.substr(0, colon), line.substr(std::min(line.size(), colon + 1))});
  }
  return headers;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = damaskthread::fuzz::as_text(data, size);
  std::string target(text);
  const std::string service = context::extract_service_prefix(target);
  check(service.empty() ? target == text : context::is_service_name(service), "only a service prefix is removed");
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(parsed, context::parse(split(text)));
        check(parsed.depth >= 0 && parsed.depth <= context::kMaxDepth, "depth is bounded");
        check(parsed.retries >= 0 && parsed.retries <= context::kMaxRetries, "retries are bounded");
        context::HeaderPairs pairs;
        context::append_headers(parsed, pairs);
        std::vector<context::HeaderView> views;
        for (const auto& [name, value] : pairs) {
          check(value.find('\n') == std::string::npos && value.find('\r') == std::string::npos, "no header is added");
          views.push_back({name, value});
        }
        BOOST_LEAF_AUTO(again, context::parse(views));
        check(again.service == parsed.service && again.request_id == parsed.request_id &&
                  again.importance == parsed.importance && again.retries == parsed.retries &&
                  again.depth == parsed.depth && again.parent == parsed.parent && again.token == parsed.token &&
                  again.call_key == parsed.call_key && again.at_most_once == parsed.at_most_once,
              "a context survives a round trip");
        return {};
      },
      [](const damaskthread::core::Error& error) { check(!error.message.empty(), "a refusal has a message"); },
      [] { check(false, "errors are of the documented type"); });
  return 0;
}
