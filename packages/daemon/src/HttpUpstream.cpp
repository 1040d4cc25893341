#include "hemlockproxy/daemon/HttpUpstream.h"

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

/// The response body on a connection; gives the connection back to the pool after a complete
/// response.
class ConnectionBody final : public UpstreamBody
{
public:
  ConnectionBody(runtime::HttpConnectionPool& aPool,
                 model::Address aAddress,
                 HttpConnectionPtr aConnection,
                 CancelSource* aCancel)
    : pool_(aPool)
    , address_(std::move(aAddress))
    , connection_(std::move(aConnection))
    , cancel_(aCancel)
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
    return connection_->Read(aBuffer, aSize);
  }

  void SetStallTimeout(std::chrono::milliseconds aTimeout) override
  {
    connection_->SetStallTimeout(aTimeout);
  }

private:
  runtime::HttpConnectionPool& pool_;
  model::Address address_;
  HttpConnectionPtr connection_;
  CancelSource* cancel_;
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
      auto interim = connection_.ReadHeader(TimeLeft(request_.deadline_));
      if (!interim || interim->result() != http::status::continue_) {
        return interim;
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
    if (auto sent = connection_.SendBody(request_.body_, options_.stallTimeout_); !sent) {
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
        return connection_.FinishBody(options_.stallTimeout_);
      }
      if (auto sent = connection_.SendBody({ part.data(), *read }, options_.stallTimeout_); !sent) {
        return sent;
      }
    }
  }

  HttpResult<runtime::ResponseHeader> ReadFinalHeader()
  {
    // A faulty upstream may send interim responses without end.
    while (std::chrono::steady_clock::now() < request_.deadline_) {
      auto header = connection_.ReadHeader(TimeLeft(request_.deadline_));
      if (!header || header->result_int() >= 200) {
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
  reply.body_ =
    std::make_unique<ConnectionBody>(aPool, aAddress, std::move(connection), aRequest.cancel_);
  return reply;
}

} // namespace hemlockproxy::daemon
