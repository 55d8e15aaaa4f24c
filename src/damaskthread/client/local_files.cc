#include "damaskthread/client/local_files.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <system_error>

namespace damaskthread::client {
namespace {

namespace fs = std::filesystem;

std::vector<fs::path> files_of(const fs::path& path, std::error_code& error) {
  if (!fs::is_directory(path, error)) return {path};
  std::vector<fs::path> files;
  for (const fs::directory_entry& entry : fs::directory_iterator{path, error}) {
    if (entry.path().extension() == ".json") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

LocalResources read_declarations(const fs::path& path) {
  LocalResources result;
  std::error_code error;
  const std::vector<fs::path> files = files_of(path, error);
  if (files.empty()) result.errors.push_back({path.string(), 0, "", "expected at least one .json file"});
  for (const fs::path& file : files) {
    std::ifstream in{file, std::ios::binary};
    std::stringstream text;
    if (!in || fs::is_directory(file, error) || !(text << in.rdbuf())) {
      result.errors.push_back({file.string(), 0, "", "expected a readable file that is not empty"});
      continue;
    }
    resource::ParsedDeclaration parsed = resource::parse_declaration(text.str(), file.string());
    std::move(parsed.errors.begin(), parsed.errors.end(), std::back_inserter(result.errors));
    if (!parsed.declaration) continue;
    result.resources.push_back({file, std::move(*parsed.declaration)});
  }
  const auto name = [](const LocalResource& resource) -> const std::string& { return resource.declaration.name; };
  std::sort(result.resources.begin(), result.resources.end(),
            [&](const LocalResource& a, const LocalResource& b) { return name(a) < name(b); });
  for (std::size_t i = 1; i < result.resources.size(); ++i) {
    if (name(result.resources[i]) != name(result.resources[i - 1])) continue;
    result.errors.push_back({result.resources[i].file.string(), 0, "name",
                             "expected each service once, " + name(result.resources[i]) + " is also declared in " +
                                 result.resources[i - 1].file.string()});
  }
  return result;
}

}  // namespace damaskthread::client
