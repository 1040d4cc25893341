#include "TrafficFixture.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;

namespace {

constexpr const char* kKeyName = "Key";
constexpr const char* kCustomerName = "Customer";

/// Callers send their keys in the field Key, and backend servers get the customer in the field
/// Customer.
class KeyDialect final : public Dialect
{
public:
  [[nodiscard]] CallerRequest ReadCallerRequest(
    const runtime::RequestHeader& aHeader) const override
  {
    CallerRequest request = hemlock_->ReadCallerRequest(aHeader);
    if (const auto key = aHeader[kKeyName]; !key.empty()) {
      request.key_ = model::HashKey({ key.data(), key.size() });
    }
    return request;
  }
  void WriteBackendRequest(runtime::RequestHeader& aHeader,
                           const BackendRequest& aRequest) const override
  {
    hemlock_->WriteBackendRequest(aHeader, aRequest);
    if (!aRequest.customer_.Empty()) {
      aHeader.set(kCustomerName, aRequest.customer_.Value());
    }
  }
  void RemoveCustomerFields(runtime::RequestHeader& aHeader) const override
  {
    aHeader.erase(kKeyName);
    aHeader.erase(kCustomerName);
  }
  [[nodiscard]] BackendResponse ReadBackendResponse(const runtime::ResponseHeader& aHeader,
                                                    std::string_view aRequestId) const override
  {
    return hemlock_->ReadBackendResponse(aHeader, aRequestId);
  }
  [[nodiscard]] std::string RetryAfter(std::chrono::milliseconds aTime) const override
  {
    return hemlock_->RetryAfter(aTime);
  }

private:
  DialectPtr hemlock_ = MakeHemlockDialect();
};

model::Customer MakeCustomer(const char* aName, const char* aKey)
{
  model::Customer customer;
  customer.name_ = model::CustomerName(aName);
  customer.keys_ = { model::HashKey(aKey) };
  return customer;
}

/// Returns the view with the given customers, and whether its route is public.
TrafficViewPtr WithCustomers(const TrafficViewPtr& aView,
                             std::vector<model::Customer> aCustomers,
                             bool aPublic = false)
{
  auto configuration = std::make_shared<model::Configuration>(aView->routes_->Configuration());
  configuration->customers_ = model::MakeCustomerList(std::move(aCustomers));
  for (auto& [name, resource] : configuration->content_) {
    model::ServiceConfig service = resource->config_;
    for (model::RouteRule& rule : service.routes_) {
      rule.public_ = aPublic;
    }
    resource = model::MakeResource(std::move(service));
  }
  auto view = std::make_shared<TrafficView>(*aView);
  view->routes_ = std::make_shared<const decisions::RouteIndex>(std::move(configuration));
  return view;
}

/// A daemon whose owner or a peer takes the requests; both keep the last request that arrived.
class Mesh
{
public:
  explicit Mesh(const runtime::IoContextPtr& aIo)
    : io_(aIo)
    , backend_(aIo, [this](auto& aExchange) { Answer(aExchange); })
  {
    backend_.Start();
    owner_ = MakeOwner(aIo, surroundings_, backend_.Address(), kSlots, 0, dialect_);
    forward_.emplace(aIo, [this](auto& aExchange) { owner_->HandleForwarded(aExchange); });
    forward_->Start();
    entry_ = MakeEntry(aIo, surroundings_, *owner_, dialect_);
    callers_.emplace(aIo, [this](auto& aExchange) { entry_->Handle(aExchange); });
    callers_->Start();
    surroundings_.views_.SetCurrentAsOf(std::chrono::steady_clock::now());
    Use({ MakeCustomer("mill", "secret") });
  }
  ~Mesh()
  {
    callers_.reset();
    forward_.reset();
    entry_->Stop();
  }
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  void Use(std::vector<model::Customer> aCustomers, bool aPublic = false)
  {
    surroundings_.views_.Store(
      WithCustomers(MakeView({ forward_->Address() }), std::move(aCustomers), aPublic));
  }
  [[nodiscard]] TrafficViewSlot& Views() { return surroundings_.views_; }

  /// Sends a request with a key, or none for an empty text; returns the status.
  unsigned Ask(const char* aKey)
  {
    auto header = runtime::MakeRequest(runtime::http::verb::get, "/", callers_->Address());
    if (*aKey != 0) {
      header.set(kKeyName, aKey);
    }
    header.set(kCustomerName, "forged");
    header.set(kCustomerField, "forged");
    return StatusOf(*io_, callers_->Address(), std::move(header));
  }

  /// Returns a field of the last request that the backend server got.
  [[nodiscard]] std::string Seen(const char* aName) const { return std::string(seen_[aName]); }
  [[nodiscard]] int Requests() const noexcept { return requests_; }

private:
  static constexpr std::uint32_t kSlots = 4;

  void Answer(runtime::HttpExchange& aExchange)
  {
    ++requests_;
    seen_ = aExchange.Request();
    (void)aExchange.SendResponse(runtime::http::status::ok, "ok");
  }

  runtime::IoContextPtr io_;
  DialectPtr dialect_ = std::make_shared<const KeyDialect>();
  Surroundings surroundings_;
  runtime::RequestHeader seen_;
  int requests_ = 0;
  Server backend_;
  std::unique_ptr<OwnerService> owner_;
  std::unique_ptr<EntryService> entry_;
  std::optional<Server> forward_;
  std::optional<Server> callers_;
};

} // namespace

TEST_GROUP(CustomerKeys){};

// Guards against a key that is shown to a backend server, and a caller that names its own customer.
TEST(CustomerKeys, TheBackendServerSeesTheCustomerInsteadOfTheKey)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    Mesh mesh(aIo);
    LONGS_EQUAL(200, mesh.Ask("secret"));
    STRCMP_EQUAL("mill", mesh.Seen(kCustomerName).c_str());
    STRCMP_EQUAL("", mesh.Seen(kKeyName).c_str());
    STRCMP_EQUAL("", mesh.Seen(kCustomerField).c_str());
  });
}

// Guards against work for callers without a key, and for those whose key was withdrawn while their
// connection stayed open.
TEST(CustomerKeys, UnknownKeysAreRefused)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    Mesh mesh(aIo);
    LONGS_EQUAL(401, mesh.Ask("guess"));
    LONGS_EQUAL(401, mesh.Ask(""));
    mesh.Use({ MakeCustomer("mill", "other") });
    LONGS_EQUAL(401, mesh.Ask("secret"));
    LONGS_EQUAL(0, mesh.Requests());
    LONGS_EQUAL(200, mesh.Ask("other"));
  });
}

// Guards against a 401 for a key that a newer configuration lists, after which callers do not come
// back.
TEST(CustomerKeys, AnOutdatedConfigurationAnswersNotRunInsteadOf401)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    Mesh mesh(aIo);
    mesh.Views().SetCurrentAsOf(std::chrono::steady_clock::now() - EntryOptions().applyWithin_);
    LONGS_EQUAL(503, mesh.Ask("new"));
    mesh.Views().Store(std::make_shared<const TrafficView>());
    LONGS_EQUAL(503, mesh.Ask("secret"));
    LONGS_EQUAL(0, mesh.Requests());
  });
}

// Guards against public routes that ask for keys, and that pass on one all the same.
TEST(CustomerKeys, PublicRoutesNeedNoKey)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    Mesh mesh(aIo);
    mesh.Use({ MakeCustomer("mill", "secret") }, true);
    LONGS_EQUAL(200, mesh.Ask(""));
    STRCMP_EQUAL("", mesh.Seen(kCustomerName).c_str());
    LONGS_EQUAL(200, mesh.Ask("guess"));
    STRCMP_EQUAL("", mesh.Seen(kKeyName).c_str());
    LONGS_EQUAL(200, mesh.Ask("secret"));
    STRCMP_EQUAL("mill", mesh.Seen(kCustomerName).c_str());
  });
}

// Guards against requests over an allowance that run, and against customers without an allowance
// that are counted. This daemon has no lender and holds next to nothing.
TEST(CustomerKeys, RequestsOverTheAllowanceAreRefused)
{
  // The rate, and the slack of a window of 5 s.
  constexpr int kMostAdmitted = 27;
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    Mesh mesh(aIo);
    model::Customer limited = MakeCustomer("limited", "other");
    limited.ratePerSecond_ = 1;
    mesh.Use({ MakeCustomer("mill", "secret"), limited });
    int admitted = 0;
    while (admitted < kMostAdmitted && mesh.Ask("other") == 200) {
      ++admitted;
    }
    CHECK_TRUE(admitted < kMostAdmitted);
    LONGS_EQUAL(admitted, mesh.Requests());
    LONGS_EQUAL(429, mesh.Ask("other"));
    LONGS_EQUAL(200, mesh.Ask("secret"));
  });
}
