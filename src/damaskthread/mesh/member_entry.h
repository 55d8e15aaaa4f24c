#ifndef DAMASKTHREAD_MESH_MEMBER_ENTRY_H_
#define DAMASKTHREAD_MESH_MEMBER_ENTRY_H_

/// @file
/// @brief The entry of a daemon in the member list on the store.

#include <optional>
#include <string>

#include "damaskthread/gate/server_lifecycle.h"

namespace damaskthread::mesh {

struct MemberEntry {
  std::string zone;
  /// Service of the daemon's local server; empty if unknown.
  std::string service;
  /// The local server that departed last, if any. It is identified by its start time as well, since a server may start
  /// again under the id of a departed one.
  std::optional<gate::ServerIncarnation> departed_server;
};

/// @brief Encodes an entry.
[[nodiscard]] std::string serialize(const MemberEntry& entry);
/// @brief Decodes an entry.
/// @return The entry, or nothing if the text is not an object with a zone.
[[nodiscard]] std::optional<MemberEntry> parse_member_entry(const std::string& text);

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_MEMBER_ENTRY_H_
