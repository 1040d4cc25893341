#include "hemlockproxy/daemon/Settings.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using daemon::ParseSettings;

namespace {

const std::string kValid = "name: bitacora-1\n"
                           "region: pe-sur\n"
                           "failure_domain: pe-sur-a\n"
                           "caller: 127.0.0.1:7100\n"
                           "forward: 127.0.0.1:7101\n"
                           "control: 127.0.0.1:7102\n"
                           "admin: 127.0.0.1:7103\n"
                           "log: 127.0.0.1:7000\n";

/// Returns the error on a line, or an empty text.
std::string ErrorAt(const daemon::SettingsErrors& aErrors, int aLine)
{
  const auto found = std::find_if(aErrors.begin(), aErrors.end(), [aLine](const auto& aError) {
    return aError.position_.line_ == aLine;
  });
  return found == aErrors.end() ? "" : found->message_;
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, TakesTheRequiredKeysAndFillsInDefaults)
{
  const auto settings = ParseSettings(kValid, "s.yaml");
  CHECK_TRUE(settings.Ok());
  STRCMP_EQUAL("pe-sur-a", settings->domain_.Value().c_str());
  CHECK_TRUE(settings->profile_ == daemon::Profile::Fast);
  LONGS_EQUAL(60000, settings->drainLimit_.count());
}

TEST(Settings, TakesDurationsWithUnits)
{
  const auto settings = ParseSettings(kValid + "drain_limit: 2m\nstall_timeout: 250ms\n", "s.yaml");
  CHECK_TRUE(settings.Ok());
  LONGS_EQUAL(120000, settings->drainLimit_.count());
  LONGS_EQUAL(250, settings->stallTimeout_.count());
}

// Guards against settings of a platform that are ignored, or read with another unit.
TEST(Settings, TakesTheAddressesAndBoundsOfAPlatform)
{
  const auto settings =
    ParseSettings(kValid + "interface: platform\nready: 10.1.0.2:8140\nreports: 10.1.0.2:8146\n"
                           "caller_service: huvo11a\napply_within: 2.5s\nretry_share: 0.2\n"
                           "retry_window: 10s\nretry_extra: 58\ntraffic_spin: false\n"
                           "link_mbps: 28.0\n",
                  "s.yaml");
  CHECK_TRUE(settings.Ok());
  CHECK_TRUE(settings->interface_ == daemon::Interface::Platform);
  STRCMP_EQUAL("10.1.0.2:8146", ToString(settings->reports_).c_str());
  STRCMP_EQUAL("huvo11a", settings->callerService_.Value().c_str());
  LONGS_EQUAL(2500, settings->applyWithin_.count());
  DOUBLES_EQUAL(0.2, settings->retryShare_, 1e-9);
  LONGS_EQUAL(10000, settings->retryWindow_.count());
  LONGS_EQUAL(58, settings->retryExtra_);
  CHECK_FALSE(settings->trafficSpin_);
  LONGS_EQUAL(3'500'000, settings->linkBytesPerSecond_);
}

TEST_GROUP(SettingsErrors){};

TEST(SettingsErrors, RejectsBoundsOfAPlatformThatAreOutOfRange)
{
  const auto settings = ParseSettings(
    kValid + "interface: other\nretry_share: 1.5\nretry_extra: -1\ntraffic_spin: often\n",
    "s.yaml");
  CHECK_FALSE(settings.Ok());
  STRCMP_EQUAL("found 'other'; expected hemlock or platform", ErrorAt(settings.Error(), 9).c_str());
  STRCMP_EQUAL("found '1.5'; expected a number from 0 to 1", ErrorAt(settings.Error(), 10).c_str());
  STRCMP_EQUAL("found '-1'; expected a number from 0 to 4294967295",
               ErrorAt(settings.Error(), 11).c_str());
  STRCMP_EQUAL("found 'often'; expected true or false", ErrorAt(settings.Error(), 12).c_str());
}

// Guards against a mistyped key that is ignored.
TEST(SettingsErrors, RejectsAnUnknownKeyWithItsPosition)
{
  const auto settings = ParseSettings(kValid + "profil: fast\n", "s.yaml");
  CHECK_FALSE(settings.Ok());
  const std::string text = ToString(settings.Error().front());
  CHECK_TRUE(text.starts_with("s.yaml:9:1: unknown key 'profil'; expected one of name, region"));
}

TEST(SettingsErrors, ReportsEachFaultNotOnlyTheFirst)
{
  const auto settings = ParseSettings(
    kValid + "profile: slow\ndrain_limit: 5\nname: again\nseeds: 127.0.0.1:1\n", "s.yaml");
  CHECK_FALSE(settings.Ok());
  CHECK_TRUE(ErrorAt(settings.Error(), 9).find("expected fast or frugal") != std::string::npos);
  CHECK_TRUE(ErrorAt(settings.Error(), 10).find("expected a duration") != std::string::npos);
  CHECK_TRUE(ErrorAt(settings.Error(), 11).find("appears twice") != std::string::npos);
  CHECK_TRUE(ErrorAt(settings.Error(), 12).find("expected a list") != std::string::npos);
}

TEST(SettingsErrors, NamesMissingKeys)
{
  const auto settings = ParseSettings("name: a\n", "s.yaml");
  CHECK_FALSE(settings.Ok());
  LONGS_EQUAL(7, settings.Error().size());
}

// Guards against an admin port that is open to the network without authentication.
TEST(SettingsErrors, KeepsTheAdminPortOnLoopback)
{
  std::string text = kValid;
  text.replace(text.find("127.0.0.1:7103"), 14, "10.0.0.1:7103");
  const auto settings = ParseSettings(text, "s.yaml");
  CHECK_FALSE(settings.Ok());
  CHECK_TRUE(ErrorAt(settings.Error(), 7).find("expected a loopback address") != std::string::npos);
}

TEST(SettingsErrors, ReportsYamlSyntaxWithItsPosition)
{
  const auto settings = ParseSettings("name: [a\n", "s.yaml");
  CHECK_FALSE(settings.Ok());
  CHECK_TRUE(settings.Error().front().position_.line_ > 0);
}
