#pragma once

#include "hemlockproxy/model/Address.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace docopt {
struct value;
}

namespace hemlockproxy::testing {

/// The options of a test program; a bad option ends the process with exit code 2 and a message.
class CommandLine
{
public:
  /// Parses the arguments by the docopt usage text; `--help` prints it and exits with 0.
  CommandLine(const std::string& aUsage, int aCount, char** aArguments);
  ~CommandLine();
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;

  /// Returns whether the option was given or has a default.
  [[nodiscard]] bool Has(const std::string& aOption) const;
  [[nodiscard]] bool Flag(const std::string& aOption) const;
  [[nodiscard]] std::string Text(const std::string& aOption) const;
  [[nodiscard]] std::vector<std::string> List(const std::string& aOption) const;
  /// Returns a whole number within the bounds.
  [[nodiscard]] std::int64_t Number(const std::string& aOption,
                                    std::int64_t aLeast,
                                    std::int64_t aMost) const;
  [[nodiscard]] double Real(const std::string& aOption, double aLeast, double aMost) const;
  /// Returns an address with a port that is not 0.
  [[nodiscard]] model::Address Peer(const std::string& aOption) const;
  /// Returns an address to listen on; port 0 lets the system choose one.
  [[nodiscard]] model::Address Listen(const std::string& aOption) const;
  /// Prints the message with the program's name and exits with code 2.
  [[noreturn]] void Fail(const std::string& aMessage) const;

private:
  std::string program_;
  std::unique_ptr<std::map<std::string, docopt::value>> values_;
};

/// Parses IP:PORT where port 0 is allowed.
[[nodiscard]] model::Result<model::Address, model::AddressError> ParseListenAddress(
  const std::string& aText);

/// Prints the line `listening IP:PORT` that tells the starting process that requests are taken.
void PrintListening(const model::Address& aAddress);

/// Makes SIGTERM and SIGINT end the process at once with exit code 0, and ignores SIGPIPE.
void ExitOnTerminate();

} // namespace hemlockproxy::testing
