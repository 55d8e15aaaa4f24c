#ifndef TEST_SUPPORT_CONFIG_FLEET_H_
#define TEST_SUPPORT_CONFIG_FLEET_H_

/// @file
/// @brief A fleet of configuration replicas on one log in virtual time, with operators, faults and an oracle.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "damaskthread/resource/api_handler.h"
#include "damaskthread/resource/resource_store.h"
#include "support/fake_log.h"

namespace damaskthread::test {

class ConfigFleet {
 public:
  explicit ConfigFleet(std::size_t replicas, resource::StoreOptions options = {});

  /// @brief One step of a random schedule, chosen by the bits of a number.
  void step(std::uint32_t event);
  /// @brief Ends all faults and lets the replicas read for a time.
  void heal_and_run(core::Duration time);
  /// @brief What does not hold, in words; empty if all holds. Call after `heal_and_run`.
  [[nodiscard]] std::string broken_promise();

 private:
  struct Request {
    resource::ApiRequest request;
    bool refused = false;  // The log or the daemon said that nothing was done, at every try so far.
  };
  struct Replica {
    std::unique_ptr<resource::ResourceStore> store;
    std::map<std::string, std::uint64_t> versions;  // Highest version seen in force, also of tombstones.
    std::uint64_t revision = 0;
    std::vector<resource::AppendStep> pending;
  };

  void publish(std::size_t at, std::size_t seen_at, std::size_t name, bool remove);
  void send(std::size_t at, Request& request);
  void note_answer(const std::string& operation_id, const resource::ApiResponse& answer);
  void append(const std::string& record);
  void poll(std::size_t at, std::size_t max);
  void sync(std::size_t at, std::size_t from);
  void maintain(std::size_t at);
  void restart(std::size_t at);
  void truncate(std::uint64_t offset);
  void observe(std::size_t at);
  [[nodiscard]] bool known_elsewhere(std::size_t except, std::uint64_t offset) const;
  [[nodiscard]] std::string name_of(std::size_t name) const { return "service-" + std::to_string(name % 3); }

  resource::StoreOptions options_;
  FakeLog log_;
  core::TimePoint now_{};
  core::Random random_{1};
  std::vector<Replica> replicas_;
  std::vector<std::string> history_;  // Every record that the log ever took.
  std::vector<Request> requests_;
  std::map<std::string, std::uint64_t> told_accepted_;
  std::map<std::string, std::uint64_t> told_conflict_;
  std::string fault_;
  std::uint64_t snapshots_ = 0;
};

}  // namespace damaskthread::test

#endif  // TEST_SUPPORT_CONFIG_FLEET_H_
