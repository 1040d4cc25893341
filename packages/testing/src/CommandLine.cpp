#include "hemlockproxy/testing/CommandLine.h"

#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <docopt/docopt.h>
#include <unistd.h>

namespace hemlockproxy::testing {

namespace {

constexpr int kUsageError = 2;

template <typename Number>
bool ParseWhole(const std::string& aText, Number& aNumber)
{
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  return error == std::errc() && end == aText.data() + aText.size();
}

template <typename Number>
std::string RangeError(const std::string& aOption,
                       const std::string& aText,
                       Number aLeast,
                       Number aMost)
{
  return aOption + ": '" + aText + "' is not valid; expected a number from " +
         std::to_string(aLeast) + " to " + std::to_string(aMost);
}

extern "C" void ExitAtOnce(int /*aSignal*/)
{
  _exit(0);
}

} // namespace

CommandLine::CommandLine(const std::string& aUsage, int aCount, char** aArguments)
  : program_(aArguments[0])
{
  program_ = program_.substr(program_.rfind('/') + 1);
  try {
    values_ = std::make_unique<std::map<std::string, docopt::value>>(docopt::docopt_parse(
      aUsage, std::vector<std::string>(aArguments + 1, aArguments + aCount), true, false));
  } catch (const docopt::DocoptExitHelp&) {
    std::puts(aUsage.c_str());
    std::exit(0);
  } catch (const docopt::DocoptArgumentError& error) {
    Fail(std::string(error.what()) + "; see --help");
  }
}

CommandLine::~CommandLine() = default;

bool CommandLine::Has(const std::string& aOption) const
{
  return static_cast<bool>(values_->at(aOption));
}

bool CommandLine::Flag(const std::string& aOption) const
{
  return values_->at(aOption).asBool();
}

std::string CommandLine::Text(const std::string& aOption) const
{
  return Has(aOption) ? values_->at(aOption).asString() : std::string();
}

std::vector<std::string> CommandLine::List(const std::string& aOption) const
{
  return values_->at(aOption).asStringList();
}

std::int64_t CommandLine::Number(const std::string& aOption,
                                 std::int64_t aLeast,
                                 std::int64_t aMost) const
{
  std::int64_t number = 0;
  const std::string text = Text(aOption);
  if (!ParseWhole(text, number) || number < aLeast || number > aMost) {
    Fail(RangeError(aOption, text, aLeast, aMost));
  }
  return number;
}

double CommandLine::Real(const std::string& aOption, double aLeast, double aMost) const
{
  double number = 0;
  const std::string text = Text(aOption);
  // The negated form also rejects "nan".
  if (!ParseWhole(text, number) || !(number >= aLeast && number <= aMost)) {
    Fail(RangeError(aOption, text, aLeast, aMost));
  }
  return number;
}

model::Address CommandLine::Peer(const std::string& aOption) const
{
  auto address = model::ParseAddress(Text(aOption));
  if (!address) {
    Fail(aOption + ": " + address.Error().message_);
  }
  return *address;
}

model::Address CommandLine::Listen(const std::string& aOption) const
{
  auto address = ParseListenAddress(Text(aOption));
  if (!address) {
    Fail(aOption + ": " + address.Error().message_);
  }
  return *address;
}

void CommandLine::Fail(const std::string& aMessage) const
{
  std::fprintf(stderr, "%s: %s\n", program_.c_str(), aMessage.c_str());
  std::exit(kUsageError);
}

model::Result<model::Address, model::AddressError> ParseListenAddress(const std::string& aText)
{
  if (!aText.ends_with(":0")) {
    return model::ParseAddress(aText);
  }
  auto address = model::ParseAddress(aText.substr(0, aText.size() - 1) + "1");
  if (address) {
    address->port_ = 0;
  }
  return address;
}

void PrintListening(const model::Address& aAddress)
{
  std::printf("listening %s\n", ToString(aAddress).c_str());
  std::fflush(stdout);
}

void ExitOnTerminate()
{
  std::signal(SIGTERM, ExitAtOnce);
  std::signal(SIGINT, ExitAtOnce);
  std::signal(SIGPIPE, SIG_IGN);
}

} // namespace hemlockproxy::testing
