#ifndef DAMASKTHREAD_CLIENT_LOCAL_FILES_H_
#define DAMASKTHREAD_CLIENT_LOCAL_FILES_H_

/// @file
/// @brief Declarations from files, checked before anything is sent.

#include <filesystem>
#include <string>
#include <vector>

#include "damaskthread/resource/declaration.h"

namespace damaskthread::client {

/// A declaration and the file that it comes from.
struct LocalResource {
  std::filesystem::path file;
  resource::ServiceDeclaration declaration;
};

struct LocalResources {
  std::vector<LocalResource> resources;  ///< Ordered by name.
  std::vector<resource::FieldError> errors;
};

/// @brief Reads one file, or each `.json` file of a folder.
/// @return The declarations and everything that is wrong, also a service that is declared twice.
[[nodiscard]] LocalResources read_declarations(const std::filesystem::path& path);

}  // namespace damaskthread::client

#endif  // DAMASKTHREAD_CLIENT_LOCAL_FILES_H_
