#ifndef TEST_MESHFLEET_STORE_H_
#define TEST_MESHFLEET_STORE_H_

/// @file
/// @brief Stand-in for the platform's store: keyed topics, a long poll, and faults.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/mesh/http_listener.h"

namespace damaskthread::meshfleet {

class Store {
 public:
  enum class Fault { kNone, kRefuse, kSilent, kLoseAnswers };

  Store(boost::asio::io_context& io, std::uint16_t port);

  void set_fault(Fault fault) { fault_ = fault; }
  /// @brief Drops all records but the newest of each key.
  void forget_history();
  /// @return Calls taken so far, answered or not.
  [[nodiscard]] int calls() const noexcept { return calls_; }
  /// @brief Writes as the operator does, whatever fault there is.
  void operator_writes(const std::string& key, const std::string& value);

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::vector<Record> records;
    std::uint64_t first = 0;
  };
  struct Waiting {
    std::shared_ptr<mesh::CallerRequest> request;
    std::string topic;
    std::uint64_t from = 0;
    std::chrono::steady_clock::time_point until;
  };

  void handle(const std::shared_ptr<mesh::CallerRequest>& request);
  void append(const std::string& topic, std::string_view body);
  [[nodiscard]] http::Response newest(const std::string& topic);
  [[nodiscard]] http::Response changes(const std::string& topic, std::uint64_t from);
  void release_waiting();
  void schedule();

  mesh::HttpListener listener_;
  boost::asio::steady_timer timer_;
  std::map<std::string, Topic> topics_;
  std::vector<Waiting> waiting_;
  std::vector<std::shared_ptr<mesh::CallerRequest>> unanswered_;
  Fault fault_ = Fault::kNone;
  int calls_ = 0;
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_STORE_H_
