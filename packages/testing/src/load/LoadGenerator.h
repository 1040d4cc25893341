#pragma once

#include "load/LoadConnection.h"
#include "load/LoadReport.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace hemlockproxy::testing {

/// What a load run sends.
struct LoadSettings
{
  std::vector<boost::asio::ip::tcp::endpoint> targets_;
  double requestsPerSecond_ = 0;
  std::chrono::milliseconds duration_{ 0 };
  std::size_t connections_ = 0;
  std::string method_;
  /// The text "{n}" stands for the request's number.
  std::string path_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::size_t bodyBytes_ = 0;
  /// Sent as Hemlock-Deadline-Ms unless it is 0.
  std::chrono::milliseconds deadline_{ 0 };
  std::chrono::milliseconds timeout_{ 0 };
  bool keys_ = false;
  std::size_t repeats_ = 0;
  std::string prefix_;
};

/// Returns what a response says about its request; checks its tag and the hash of its body.
///
/// The response to a HEAD request has no body, although it carries the hash of one.
[[nodiscard]] LoadResult JudgeResponse(const LoadConnection::Response& aResponse,
                                       const std::string& aTag,
                                       bool aHasBody);

/// Sends requests at a fixed rate, whatever the responses take.
class LoadGenerator
{
public:
  LoadGenerator(boost::asio::io_context& aContext, LoadSettings aSettings);

  /// Runs until all requests have ended; returns the report.
  [[nodiscard]] LoadReport Run();

private:
  using TimePoint = std::chrono::steady_clock::time_point;
  using ConnectionPointer = std::shared_ptr<LoadConnection>;
  /// One request with its intended send time and the attempts so far.
  struct Call
  {
    std::uint64_t number_ = 0;
    TimePoint intended_;
    std::size_t attempts_ = 0;
  };

  void Schedule();
  void SendDue();
  void SendWaiting();
  void Send(const Call& aCall, const ConnectionPointer& aConnection);
  void Ended(const Call& aCall,
             const ConnectionPointer& aConnection,
             ExchangeEnd aEnd,
             const LoadConnection::Response& aResponse);
  void Repeat(const Call& aCall);
  [[nodiscard]] LoadConnection::Request MakeRequest(const Call& aCall) const;
  [[nodiscard]] std::string TagOf(const Call& aCall) const;
  [[nodiscard]] std::size_t TargetOf(const Call& aCall) const;
  /// Returns an idle or new connection, or null when all are in use.
  [[nodiscard]] ConnectionPointer Acquire(std::size_t aTarget);
  /// Closes an idle connection to another target; returns false when there is none.
  bool CloseIdle();

  boost::asio::io_context& context_;
  const LoadSettings settings_;
  boost::asio::steady_timer timer_;
  TimePoint start_;
  std::uint64_t next_ = 0;
  std::uint64_t total_ = 0;
  std::size_t open_ = 0;
  std::vector<std::vector<ConnectionPointer>> idle_;
  std::deque<Call> waiting_;
  LoadReport report_;
};

} // namespace hemlockproxy::testing
