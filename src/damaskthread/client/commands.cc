#include "damaskthread/client/commands.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "damaskthread/client/internal/output.h"
#include "damaskthread/client/local_files.h"
#include "damaskthread/http/message.h"

namespace damaskthread::client {
namespace {

using internal::field_text;
using internal::Json;

constexpr std::string_view kServices = "/v1/resources/services/";
constexpr std::chrono::milliseconds kWatchTime{30'000};
// The daemon answers a watch after `kWatchTime` at the latest.
constexpr std::chrono::milliseconds kWatchTimeout{40'000};

/// What a command works with.
struct Context {
  const CommandOptions& options;
  AdminClient& client;
  std::ostream& out;
  std::ostream& err;
};

int rank(ExitCode code) {
  constexpr std::array<ExitCode, 6> kOrder = {ExitCode::kOk,      ExitCode::kDifferent,   ExitCode::kUsage,
                                              ExitCode::kInvalid, ExitCode::kUnavailable, ExitCode::kUnknown};
  return static_cast<int>(std::find(kOrder.begin(), kOrder.end(), code) - kOrder.begin());
}

ExitCode worse(ExitCode a, ExitCode b) { return rank(a) < rank(b) ? b : a; }

ExitCode usage(Context& context, std::string_view message) {
  context.err << "damaskctl: " << message << "; see damaskctl --help\n";
  return ExitCode::kUsage;
}

struct Page {
  ExitCode code = ExitCode::kOk;
  int status = 0;
  Json json;
};

// Reads a page; an answer other than 200 or 404 is reported.
Page read_page(Context& context, const std::string& target, core::Duration timeout) {
  const Answer answer = context.client.read(target, timeout);
  const auto* response = std::get_if<http::Response>(&answer);
  if (response == nullptr) {
    context.err << "damaskctl: no daemon answers; try another "
                << (context.options.command == "where" ? "--admin" : "--server") << '\n';
    return {ExitCode::kUnavailable, 0, nullptr};
  }
  Json json = Json::parse(response->body, nullptr, false);
  const bool usable = response->status == 200 && json.is_object();
  if (usable || response->status == 404) return {ExitCode::kOk, response->status, std::move(json)};
  context.err << "damaskctl: the daemon answered " << response->status << ": " << field_text(json, "error") << '\n';
  const bool rejected = response->status >= 400 && response->status < 500;
  return {rejected ? ExitCode::kInvalid : ExitCode::kUnavailable, response->status, nullptr};
}

Page read_page(Context& context, const std::string& target) {
  return read_page(context, target, context.options.limits.request_timeout);
}

/// A service as it is in force.
struct Current {
  ExitCode code = ExitCode::kOk;
  std::uint64_t version = 0;  // 0 if the service is not declared.
  Json declaration;
};

Current read_current(Context& context, const std::string& name) {
  Page page = read_page(context, std::string{kServices} + name);
  if (page.code != ExitCode::kOk || page.status == 404) return {page.code, 0, nullptr};
  if (!page.json.contains("version") || !page.json["version"].is_number_unsigned()) {
    context.err << "damaskctl: the answer of the daemon names no version\n";
    return {ExitCode::kUnavailable, 0, nullptr};
  }
  return {ExitCode::kOk, page.json["version"].get<std::uint64_t>(), page.json.value("declaration", Json{})};
}

bool is_same(const resource::ServiceDeclaration& local, const Current& current) {
  if (current.version == 0) return false;
  const auto parsed = resource::parse_declaration(current.declaration.dump(), "", resource::ParseMode::kStored);
  return parsed.declaration && *parsed.declaration == local;
}

std::optional<std::vector<LocalResource>> read_files(Context& context) {
  LocalResources local = read_declarations(context.options.file);
  if (local.errors.empty()) return std::move(local.resources);
  for (const resource::FieldError& error : local.errors) context.err << to_string(error) << '\n';
  return std::nullopt;
}

struct StateEntry {
  PublishState state;
  std::string_view name;
  ExitCode code;
};
constexpr std::array<StateEntry, 5> kStates = {{{PublishState::kAccepted, "accepted", ExitCode::kOk},
                                                {PublishState::kConflict, "conflict", ExitCode::kDifferent},
                                                {PublishState::kInvalid, "invalid", ExitCode::kInvalid},
                                                {PublishState::kUnavailable, "refused", ExitCode::kUnavailable},
                                                {PublishState::kUnknown, "unknown", ExitCode::kUnknown}}};

const StateEntry& entry_of(PublishState state) { return kStates[static_cast<std::size_t>(state)]; }

Json result_json(const std::string& name, std::string_view outcome, const PublishResult& result) {
  return {{"name", name},
          {"outcome", outcome},
          {"version", result.version},
          {"operation_id", result.operation_id},
          {"message", result.message}};
}

// Publishes and prints one line, or adds to `results`.
ExitCode publish_one(Context& context, const Change& change, Json& results) {
  const PublishResult result = publish(context.client, change, context.options.limits);
  const StateEntry& entry = entry_of(result.state);
  results.push_back(result_json(change.name, entry.name, result));
  if (context.options.json) return entry.code;
  context.out << change.name << ": " << entry.name;
  if (result.version > 0)
    context.out << (result.state == PublishState::kConflict ? ", winner is version " : ", version ") << result.version;
  if (!result.message.empty()) context.out << " (" << result.message << ')';
  context.out << '\n';
  return entry.code;
}

ExitCode finish(Context& context, ExitCode code, const Json& results) {
  if (context.options.json) context.out << Json{{"results", results}}.dump(2) << '\n';
  return code;
}

ExitCode apply(Context& context) {
  if (context.options.file.empty()) return usage(context, "apply needs -f FILE-OR-FOLDER");
  const auto local = read_files(context);
  if (!local) return ExitCode::kInvalid;
  ExitCode code = ExitCode::kOk;
  Json results = Json::array();
  for (const LocalResource& resource : *local) {
    const std::string& name = resource.declaration.name;
    const Current current = read_current(context, name);
    if (current.code != ExitCode::kOk) {
      results.push_back(result_json(name, "refused", {}));
      code = worse(code, current.code);
      continue;
    }
    if (is_same(resource.declaration, current)) {
      results.push_back(result_json(name, "unchanged", {PublishState::kAccepted, current.version, "", ""}));
      if (!context.options.json) context.out << name << ": unchanged, version " << current.version << '\n';
      continue;
    }
    const Change change{name, resource::to_json(resource.declaration), current.version, new_operation_id()};
    code = worse(code, publish_one(context, change, results));
  }
  return finish(context, code, results);
}

void print_difference(Context& context, const std::string& name, const Current& current, const Json& local) {
  if (current.version == 0) {
    context.out << name << ": not declared yet\n";
    return;
  }
  context.out << name << ": differs from version " << current.version << '\n';
  for (const Json& step : Json::diff(current.declaration, local)) {
    const std::string path = step.value("path", "");
    const Json::json_pointer pointer{path};
    const bool existed = step.value("op", "") != "add";
    const std::string before =
        existed && current.declaration.contains(pointer) ? current.declaration[pointer].dump() : "none";
    context.out << "  " << path << ": " << before << " -> " << (step.contains("value") ? step["value"].dump() : "none")
                << '\n';
  }
}

ExitCode diff(Context& context) {
  if (context.options.file.empty()) return usage(context, "diff needs -f FILE-OR-FOLDER");
  const auto local = read_files(context);
  if (!local) return ExitCode::kInvalid;
  ExitCode code = ExitCode::kOk;
  Json results = Json::array();
  for (const LocalResource& resource : *local) {
    const std::string& name = resource.declaration.name;
    const Current current = read_current(context, name);
    code = worse(code, current.code);
    if (current.code != ExitCode::kOk || is_same(resource.declaration, current)) continue;
    code = worse(code, ExitCode::kDifferent);
    const Json declaration = Json::parse(resource::to_json(resource.declaration));
    const Json before = current.version == 0 ? Json::object() : current.declaration;
    results.push_back({{"name", name}, {"version", current.version}, {"changes", Json::diff(before, declaration)}});
    if (!context.options.json) print_difference(context, name, current, declaration);
  }
  return finish(context, code, results);
}

ExitCode get(Context& context) {
  if (context.options.names.size() > 1) return usage(context, "get takes one name");
  if (context.options.names.empty()) {
    const Page page = read_page(context, "/v1/resources");
    if (page.code != ExitCode::kOk) return page.code;
    const Json resources = page.json.is_object() ? page.json.value("resources", Json::array()) : Json::array();
    context.out << (context.options.json ? page.json.dump(2) + '\n' : internal::format_list(resources));
    return ExitCode::kOk;
  }
  const std::string& name = context.options.names.front();
  if (!resource::is_valid_name(name)) return usage(context, name + " is not the name of a service");
  const Page page = read_page(context, std::string{kServices} + name);
  if (page.code != ExitCode::kOk) return page.code;
  if (page.status == 404) {
    context.err << "damaskctl: " << name << " is not declared\n";
    return ExitCode::kDifferent;
  }
  context.out << (context.options.json ? page.json : page.json.value("declaration", Json{})).dump(2) << '\n';
  return ExitCode::kOk;
}

ExitCode remove(Context& context) {
  if (context.options.names.size() != 1) return usage(context, "delete needs one name");
  const std::string& name = context.options.names.front();
  if (!resource::is_valid_name(name)) return usage(context, name + " is not the name of a service");
  std::uint64_t version = context.options.version.value_or(0);
  if (version == 0) {
    const Current current = read_current(context, name);
    if (current.code != ExitCode::kOk) return current.code;
    version = current.version;
  }
  if (version == 0) {
    context.err << "damaskctl: " << name << " is not declared\n";
    return ExitCode::kDifferent;
  }
  Json results = Json::array();
  const ExitCode code = publish_one(context, {name, std::nullopt, version, new_operation_id()}, results);
  return finish(context, code, results);
}

ExitCode watch(Context& context) {
  std::uint64_t after = context.options.after;
  std::uint64_t seen = 0;
  int failures = 0;
  while (failures < context.options.limits.attempts) {
    const std::string target =
        "/v1/watch?after=" + std::to_string(after) + "&timeout_ms=" + std::to_string(kWatchTime.count());
    const Page page = read_page(context, target, kWatchTimeout);
    if (page.code == ExitCode::kInvalid) return page.code;
    if (page.code != ExitCode::kOk || !page.json.is_object()) {
      ++failures;
      if (context.options.limits.sleep) context.options.limits.sleep(context.options.limits.pause);
      continue;
    }
    failures = 0;
    for (const Json& resource : page.json.value("resources", Json::array())) {
      if (context.options.json) {
        context.out << resource.dump() << std::endl;  // NOLINT(performance-avoid-endl): a reader waits for each line.
      } else {
        context.out << field_text(resource, "name") << ": version " << field_text(resource, "version")
                    << (resource.value("deleted", false) ? " deleted" : "") << " by " << field_text(resource, "author")
                    << std::endl;  // NOLINT(performance-avoid-endl)
      }
      if (++seen == context.options.count) return ExitCode::kOk;
    }
    // A daemon that lags behind the one asked before has a lower revision.
    after = std::max(after, page.json.value("revision", after));
  }
  return ExitCode::kUnavailable;
}

ExitCode status(Context& context) {
  const Page page = read_page(context, "/v1/status");
  if (page.code != ExitCode::kOk) return page.code;
  context.out << (context.options.json ? page.json.dump(2) + '\n' : internal::format_status(page.json));
  return internal::is_settled(page.json) ? ExitCode::kOk : ExitCode::kDifferent;
}

ExitCode report(Context& context) {
  const Page page = read_page(context, "/v1/report");
  if (page.code != ExitCode::kOk) return page.code;
  context.out << (context.options.json ? page.json.dump(2) + '\n' : internal::format_report(page.json));
  return ExitCode::kOk;
}

ExitCode where(Context& context) {
  if (context.options.names.size() != 2) return usage(context, "where needs HOST and PATH");
  const std::string& host = context.options.names[0];
  const std::string& path = context.options.names[1];
  if (host.empty()) return usage(context, "where needs HOST and PATH");
  if (!path.starts_with('/')) return usage(context, "PATH must begin with /");
  std::string target = "/explain?host=" + http::encode_query_value(host) + "&path=" + http::encode_query_value(path);
  if (context.options.tenant) target += "&tenant=" + http::encode_query_value(*context.options.tenant);
  const Page page = read_page(context, target);
  if (page.code != ExitCode::kOk) return page.code;
  if (page.status == 404) {
    context.err << "damaskctl: there is no /explain at this address; --admin needs the admin port of a mesh daemon\n";
    return ExitCode::kInvalid;
  }
  context.out << (context.options.json ? page.json.dump(2) + '\n' : internal::format_explanation(page.json));
  return internal::is_placeable(page.json) ? ExitCode::kOk : ExitCode::kDifferent;
}

struct Command {
  std::string_view name;
  ExitCode (*run)(Context&);
};
constexpr std::array<Command, 8> kCommands = {{{"apply", &apply},
                                               {"diff", &diff},
                                               {"get", &get},
                                               {"delete", &remove},
                                               {"watch", &watch},
                                               {"status", &status},
                                               {"report", &report},
                                               {"where", &where}}};

}  // namespace

ExitCode run_command(const CommandOptions& options, AdminClient& client, std::ostream& out, std::ostream& err) {
  Context context{options, client, out, err};
  const auto* command = std::find_if(kCommands.begin(), kCommands.end(),
                                     [&](const Command& candidate) { return candidate.name == options.command; });
  if (command == kCommands.end()) return usage(context, "unknown command " + options.command);
  return command->run(context);
}

}  // namespace damaskthread::client
