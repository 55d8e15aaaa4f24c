#ifndef TEST_MESHFLEET_STORE_H_
#define TEST_MESHFLEET_STORE_H_

/// @file
/// @brief Stand-in for the platform's store: keyed topics, long polls and injected faults.

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

/// @brief Keeps topics of keyed records in memory and serves them over HTTP.
class Store {
 public:
  /// kSilent answers no call; kLoseAnswers executes appends without answering them.
  enum class Fault { kNone, kRefuse, kSilent, kLoseAnswers };

  Store(boost::asio::io_context& io, std::uint16_t port);

  void set_fault(Fault fault) { fault_ = fault; }
  /// @brief Drops the history of all topics; reads from before it are answered with 410, the newest values remain.
  void forget_history();
  /// @brief Goes back to the records of the last `back_up`; its era rises by one.
  void restore();
  /// @brief Copies the records of all topics.
  void back_up() { backup_ = topics_; }
  /// @return Newest value of a key in the member list; empty if there is none.
  [[nodiscard]] std::string member(const std::string& key) const;
  /// @return Number of calls received so far, answered or not.
  [[nodiscard]] int calls() const noexcept { return calls_; }
  /// @brief Writes a record as the operator does, regardless of the injected fault.
  void write_as_operator(const std::string& key, const std::string& value);
  /// @brief Writes an entry of the member list, as a daemon or another writer does.
  void write_member(const std::string& key, const std::string& value);

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::vector<Record> records;
    std::uint64_t first = 0;
  };
  struct PendingRead {
    std::shared_ptr<mesh::CallerRequest> request;
    std::string topic;
    std::uint64_t from = 0;
    std::chrono::steady_clock::time_point until;
  };

  void handle(const std::shared_ptr<mesh::CallerRequest>& request);
  void append(const std::string& topic, std::string_view body);
  [[nodiscard]] http::Response newest(const std::string& topic);
  [[nodiscard]] http::Response changes(const std::string& topic, std::uint64_t from);
  void answer_pending_reads();
  void answer(const std::shared_ptr<mesh::CallerRequest>& request, http::Response response) const;
  void schedule_tick();

  mesh::HttpListener listener_;
  boost::asio::steady_timer timer_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> backup_;
  int era_ = 1;
  std::vector<PendingRead> pending_reads_;
  std::vector<std::shared_ptr<mesh::CallerRequest>> unanswered_;
  Fault fault_ = Fault::kNone;
  int calls_ = 0;
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_STORE_H_
