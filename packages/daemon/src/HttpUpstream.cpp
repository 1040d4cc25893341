#include "hemlockproxy/daemon/HttpUpstream.h"

#include "hemlockproxy/decisions/BodyTime.h"

#include "impl/Delivery.h"
#include "impl/HeldBody.h"

#include <array>

namespace hemlockproxy::daemon {

namespace {

using model::RefusalReason;
using model::RequestOutcome;
using model::Unit;
using runtime::HttpConnectionPtr;
using runtime::HttpError;
using runtime::HttpErrorKind;
using runtime::HttpResult;
namespace http = runtime::http;

/// The response body on a connection, bounded by the request's time-out; gives the connection back
/// to the pool after a complete response.
class ConnectionBody final : public UpstreamBody
{
public:
  ConnectionBody(runtime::HttpConnectionPool& aPool,
                 model::Address aAddress,
                 HttpConnectionPtr aConnection,
                 CancelSource* aCancel,
                 decisions::BodyTime aTime)
    : pool_(aPool)
    , address_(std::move(aAddress))
    , connection_(std::move(aConnection))
    , cancel_(aCancel)
    , time_(aTime)
  {
  }

  ~ConnectionBody() override
  {
    if (cancel_ != nullptr) {
      cancel_->SetAction({});
    }
    pool_.Release(address_, std::move(connection_));
  }

  ConnectionBody(const ConnectionBody&) = delete;
  ConnectionBody& operator=(const ConnectionBody&) = delete;

  [[nodiscard]] HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    const auto now = std::chrono::steady_clock::now();
    const auto due = decisions::NextPartDue(time_, now);
    if (due <= now) {
      return HttpError{ HttpErrorKind::TimedOut, "the response did not end in time" };
    }
    connection_->SetStallTimeout(std::chrono::ceil<std::chrono::milliseconds>(due - now));
    return connection_->Read(aBuffer, aSize);
  }

  void SetStallTimeout(std::chrono::milliseconds aTimeout) override { time_.stall_ = aTimeout; }

private:
  runtime::HttpConnectionPool& pool_;
  model::Address address_;
  HttpConnectionPtr connection_;
  CancelSource* cancel_;
  decisions::BodyTime time_;
};

/// One exchange on a connection.
class Exchange
{
public:
  Exchange(runtime::HttpConnection& aConnection,
           UpstreamRequest& aRequest,
           const ExchangeOptions& aOptions)
    : connection_(aConnection)
    , request_(aRequest)
    , options_(aOptions)
  {
  }

  /// Sends the request and returns the header of the final response.
  HttpResult<runtime::ResponseHeader> Run()
  {
    connection_.SetStallTimeout(options_.stallTimeout_);
    if (request_.rest_ == nullptr) {
      if (auto sent =
            connection_.Send(request_.header_, request_.body_, TimeLeft(request_.deadline_));
          !sent) {
        return sent.Error();
      }
      return ReadFinalHeader();
    }
    const bool waits = options_.offer_ == BodyOffer::AfterContinue;
    runtime::RequestHeader header = request_.header_;
    if (waits) {
      header.set(http::field::expect, "100-continue");
    }
    if (auto sent = connection_.SendHeader(std::move(header), TimeLeft(request_.deadline_));
        !sent) {
      return sent.Error();
    }
    if (waits) {
      auto answer = ReadHeaderFrom(http::status::continue_);
      if (!answer || answer->result() != http::status::continue_) {
        return answer;
      }
    }
    if (auto sent = StreamBody(); !sent) {
      return sourceError_ ? *sourceError_ : ResponseAfterFailedSend(sent.Error());
    }
    return ReadFinalHeader();
  }

  /// Returns why the request's body could not be read, if that ended the exchange.
  [[nodiscard]] const std::optional<HttpError>& SourceError() const noexcept
  {
    return sourceError_;
  }

private:
  HttpResult<Unit> StreamBody()
  {
    if (auto sent = connection_.SendBody(request_.body_, SendTime()); !sent) {
      return sent;
    }
    std::string part(runtime::kBodyPartBytes, '\0');
    while (true) {
      auto read = request_.rest_->Read(part.data(), part.size());
      if (!read) {
        // The upstream must not take a truncated body for a whole one.
        connection_.Close();
        sourceError_ = read.Error();
        return read.Error();
      }
      if (*read == 0) {
        return connection_.FinishBody(SendTime());
      }
      if (auto sent = connection_.SendBody({ part.data(), *read }, SendTime()); !sent) {
        return sent;
      }
    }
  }

  /// Returns how long a part of the request may take. An upstream that has not taken the request by
  /// its deadline cannot respond in time.
  [[nodiscard]] std::chrono::milliseconds SendTime() const
  {
    return std::min(options_.stallTimeout_, TimeLeft(request_.deadline_));
  }

  HttpResult<runtime::ResponseHeader> ReadFinalHeader() { return ReadHeaderFrom(http::status::ok); }

  /// Reads headers until one has at least the given status, or 100 where that is asked for; all
  /// others below 200 are interim.
  HttpResult<runtime::ResponseHeader> ReadHeaderFrom(http::status aLeast)
  {
    // A faulty upstream may send interim responses without end.
    while (std::chrono::steady_clock::now() < request_.deadline_) {
      auto header = connection_.ReadHeader(TimeLeft(request_.deadline_));
      if (!header || header->result_int() >= 200 || header->result() == aLeast) {
        return header;
      }
    }
    return HttpError{ HttpErrorKind::TimedOut, "no final response before the deadline" };
  }

  /// An upstream that rejects a body closes its side while the body is still sent; its response may
  /// be readable.
  HttpResult<runtime::ResponseHeader> ResponseAfterFailedSend(const HttpError& aError)
  {
    auto header = ReadFinalHeader();
    if (!header) {
      return aError;
    }
    return header;
  }

  runtime::HttpConnection& connection_;
  UpstreamRequest& request_;
  const ExchangeOptions& options_;
  std::optional<HttpError> sourceError_;
};

RefusalReason ReasonOf(const HttpError& aError)
{
  switch (aError.kind_) {
    case HttpErrorKind::TimedOut:
      return RefusalReason::UpstreamTimeout;
    default:
      return RefusalReason::UpstreamFailed;
  }
}

/// Handles a response that is no answer. The short body of a rejection is read, so that the
/// connection can be used again; after another request's response it is dropped.
UpstreamReply RefuseAs(ResponseMeaning aMeaning,
                       runtime::HttpConnectionPool& aPool,
                       const model::Address& aAddress,
                       HttpConnectionPtr aConnection)
{
  if (aMeaning == ResponseMeaning::Foreign) {
    return Refused(RequestOutcome::Unknown, RefusalReason::UpstreamFailed);
  }
  aConnection->SetStallTimeout(impl::kRejectionTextTime);
  impl::DropRest(*aConnection);
  aPool.Release(aAddress, std::move(aConnection));
  return Refused(RequestOutcome::NotRun,
                 aMeaning == ResponseMeaning::NotRun ? RefusalReason::BackendRefused
                                                     : RefusalReason::OtherBackend);
}

} // namespace

UpstreamReply RunExchange(runtime::HttpConnectionPool& aPool,
                          const model::Address& aAddress,
                          UpstreamRequest& aRequest,
                          const ExchangeOptions& aOptions)
{
  const auto connectTimeout = std::min(aOptions.connectTimeout_, TimeLeft(aRequest.deadline_));
  auto acquired = aPool.Acquire(aAddress, connectTimeout);
  if (!acquired) {
    return Refused(RequestOutcome::NotRun, RefusalReason::ConnectFailed);
  }
  HttpConnectionPtr connection = *std::move(acquired);
  const bool kept = connection->BytesTransferred() > 0;
  if (std::chrono::steady_clock::now() >= aRequest.deadline_) {
    // The wait for the connection took the rest of the time.
    aPool.Release(aAddress, std::move(connection));
    return Refused(RequestOutcome::NotRun, RefusalReason::DeadlineTooShort);
  }
  if (aRequest.cancel_ != nullptr) {
    if (aRequest.cancel_->CheckStopped()) {
      aPool.Release(aAddress, std::move(connection));
      return Refused(RequestOutcome::NotRun,
                     aRequest.cancel_->Cancelled() ? RefusalReason::CallerLeft
                                                   : RefusalReason::DeadlineTooShort);
    }
    aRequest.cancel_->SetAction([raw = connection.get()] { raw->Close(); });
  }
  Exchange exchange(*connection, aRequest, aOptions);
  auto header = exchange.Run();
  if (!header) {
    if (aRequest.cancel_ != nullptr) {
      aRequest.cancel_->SetAction({});
    }
    return Refused(connection->AnySent() ? RequestOutcome::Unknown : RequestOutcome::NotRun,
                   exchange.SourceError() ? impl::ReasonOfBody(*exchange.SourceError())
                                          : ReasonOf(header.Error()));
  }
  UpstreamReply reply;
  if (aOptions.dialect_ != nullptr) {
    BackendResponse response = aOptions.dialect_->ReadBackendResponse(*header, aRequest.id_);
    if (kept && !response.namesRequest_ && response.meaning_ != ResponseMeaning::Answer) {
      // A faulty server may write an earlier rejection once more.
      response.meaning_ = ResponseMeaning::Foreign;
    }
    if (response.meaning_ != ResponseMeaning::Answer) {
      if (aRequest.cancel_ != nullptr) {
        aRequest.cancel_->SetAction({});
      }
      UpstreamReply refusal = RefuseAs(response.meaning_, aPool, aAddress, std::move(connection));
      if (response.meaning_ == ResponseMeaning::NotRun) {
        refusal.status_ = response.status_;
      }
      return refusal;
    }
    connection->SetIdleLimit(response.keepAlive_);
    reply.status_ = response.status_;
  }
  reply.outcome_ = RequestOutcome::Answered;
  reply.header_ = *std::move(header);
  const decisions::BodyTime time{ .timeout_ = aRequest.deadline_,
                                  .end_ = aRequest.bodyDeadline_,
                                  .stall_ = aOptions.stallTimeout_ };
  reply.body_ = std::make_unique<ConnectionBody>(
    aPool, aAddress, std::move(connection), aRequest.cancel_, time);
  return reply;
}

} // namespace hemlockproxy::daemon
