#pragma once

#include "backend/WorkGate.h"
#include "hemlockproxy/testing/Query.h"

namespace hemlockproxy::testing {

/// What a backend server does beside its faults.
struct BackendSettings
{
  std::string service_;
  std::size_t slots_ = 0;
  std::chrono::milliseconds work_{ 0 };
  std::chrono::milliseconds coldTime_{ 0 };
  std::chrono::milliseconds coldExtra_{ 0 };
};

/// Handles the requests of a backend server by their paths.
class BackendService
{
public:
  BackendService(BackendSettings aSettings, std::FILE* aRunsFile);

  /// Handles one request; returns whether the connection stays open.
  bool Handle(const HttpRequest& aRequest, HttpConnection& aConnection);

private:
  struct Job;
  using Handler = bool (BackendService::*)(const Job&, HttpConnection&);

  bool Control(const HttpRequest& aRequest, const Target& aTarget, HttpConnection& aConnection);
  bool SetFaults(const Target& aTarget, HttpConnection& aConnection);
  bool Run(const Job& aJob, HttpConnection& aConnection);
  [[nodiscard]] bool Work(const Job& aJob, HttpConnection& aConnection);
  [[nodiscard]] bool Stall(HttpConnection& aConnection);
  bool SendBytes(const Job& aJob, HttpConnection& aConnection);
  bool SendStream(const Job& aJob, HttpConnection& aConnection);
  bool SendEcho(const Job& aJob, HttpConnection& aConnection);
  /// Sends bytes that are no answer until the caller closes the connection.
  bool SendEndless(const Job& aJob, HttpConnection& aConnection);
  bool SendSummary(const Job& aJob, HttpConnection& aConnection);
  bool Finish(const Job& aJob, HttpResponse aResponse, HttpConnection& aConnection);
  void SetCommonHeaders(const Job& aJob, http::response_header<>& aHeader);

  const BackendSettings settings_;
  const std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  WorkGate gate_;
};

} // namespace hemlockproxy::testing
