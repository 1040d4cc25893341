#include "hemlockproxy/ctl/Main.h"

#include "hemlockproxy/ctl/Explain.h"
#include "hemlockproxy/ctl/Fleet.h"
#include "hemlockproxy/ctl/Publisher.h"
#include "hemlockproxy/ctl/Reports.h"

#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

namespace hemlockproxy::ctl {

namespace {

constexpr const char* kUsage = R"(hemlockctl - checks and publishes the mesh's configuration.

Usage:
  hemlockctl check DIR
  hemlockctl diff DIR --log ADDR
  hemlockctl publish DIR --log ADDR [--id ID] [--operator NAME] [--base VERSION]
  hemlockctl history --log ADDR
  hemlockctl status --admin ADDR... [MORE...]
  hemlockctl timeline --admin ADDR... [MORE...] [--json]
  hemlockctl explain REQUEST FILE...
  hemlockctl (-h | --help)

Options:
  --log ADDR       IP number and port of the log service.
  --admin ADDR     IP number and port of a daemon's admin port; further ones follow it.
  --json           Print JSON.
  --id ID          Publication id; by default derived from the content and the base version.
  --operator NAME  Name stored with the publication; by default the USER of the environment.
  --base VERSION   The version that the files were checked against; by default the current one.

Exit codes: 0 done, 1 invalid files, 2 usage, 3 limit lowered, 4 lost to another publication,
5 log unavailable and nothing appended, 6 outcome unknown (run the same command again),
7 a daemon did not answer, 8 no line belongs to the request.
)";

constexpr std::chrono::milliseconds kLogTimeout{ 5000 };
constexpr std::chrono::milliseconds kAdminTimeout{ 2000 };

using Arguments = std::map<std::string, docopt::value>;
using FolderResult = model::Result<model::ServiceFolder, model::FileErrors>;

/// Reports a bad argument; ends the command with ExitCode::Usage.
struct UsageError
{
  std::string message_;
};

model::Address ReadAddress(const char* aOption, const std::string& aText)
{
  const auto address = model::ParseAddress(aText);
  if (!address) {
    throw UsageError{ std::string(aOption) + ": " + address.Error().message_ };
  }
  return *address;
}

model::Address LogAddress(const Arguments& aArguments)
{
  return ReadAddress("--log", aArguments.at("--log").asString());
}

PublishOptions ReadPublishOptions(const Arguments& aArguments)
{
  PublishOptions options;
  if (const docopt::value& id = aArguments.at("--id")) {
    options.id_ = model::PublicationId(id.asString());
  }
  if (const docopt::value& base = aArguments.at("--base")) {
    const std::string& text = base.asString();
    std::uint64_t version = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (failure != std::errc() || end != text.data() + text.size()) {
      throw UsageError{ "--base: found '" + text + "'; expected a whole number" };
    }
    options.base_ = model::ConfigVersion(version);
  }
  const char* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): one thread
  const docopt::value& name = aArguments.at("--operator");
  options.operator_ = name ? name.asString() : user == nullptr ? "unknown" : user;
  return options;
}

PublishReport Check(const FolderResult& aFolder)
{
  if (!aFolder) {
    return { ExitCode::InvalidFiles, ErrorText(aFolder.Error()) };
  }
  return { ExitCode::Done, std::to_string(aFolder->files_.size()) + " service files are valid\n" };
}

/// Reads the stream and returns a report on it.
PublishReport ReadAndReport(runtime::LogPort& aLog,
                            const std::function<std::string(const ConfigStream&)>& aReport)
{
  ConfigStream stream(aLog);
  if (const auto read = stream.ReadToTail(); !read) {
    return { ExitCode::LogUnavailable, "log: " + read.Error().message_ + "\n" };
  }
  return { ExitCode::Done, aReport(stream) };
}

PublishReport Diff(runtime::LogPort& aLog, const model::ServiceFolder& aFolder)
{
  return ReadAndReport(aLog, [&aFolder](const ConfigStream& aStream) {
    if (aStream.Replay().IsHistoryMissing()) {
      return std::string("the current version is unknown: records have expired\n");
    }
    return "current version " + std::to_string(aStream.Replay().Version().Value()) + "\n" +
           DiffText(aStream.Replay().Content(), aFolder.content_);
  });
}

PublishReport History(runtime::LogPort& aLog)
{
  return ReadAndReport(aLog,
                       [](const ConfigStream& aStream) { return HistoryText(aStream.Entries()); });
}

PublishReport WithLog(const runtime::LogFactory& aMakeLog,
                      const model::Address& aAddress,
                      const std::function<PublishReport(runtime::LogPort&)>& aCommand)
{
  PublishReport report;
  auto io = std::make_shared<runtime::IoContext>(1);
  runtime::RunFiberLoop(io, [&report, &aMakeLog, &aAddress, &aCommand, io] {
    const auto log = aMakeLog(io, aAddress, kLogTimeout, {});
    report = aCommand(*log);
  });
  return report;
}

/// Runs status or timeline; lines on daemons that did not answer go to standard error.
PublishReport AskDaemons(const Arguments& aArguments)
{
  std::vector<model::Address> daemons;
  for (const char* name : { "--admin", "MORE" }) {
    for (const std::string& text : aArguments.at(name).asStringList()) {
      daemons.push_back(ReadAddress("--admin", text));
    }
  }
  FleetReport report;
  auto io = std::make_shared<runtime::IoContext>(1);
  runtime::RunFiberLoop(io, [&report, &daemons, &aArguments, io] {
    const auto admin = MakeHttpAdmin(io, kAdminTimeout);
    const TimelineFormat format =
      aArguments.at("--json").asBool() ? TimelineFormat::Json : TimelineFormat::Text;
    report = aArguments.at("status").asBool() ? ReadStatus(*admin, daemons)
                                              : ReadTimeline(*admin, daemons, format);
  });
  std::cout << report.text_ << std::flush;
  return { report.code_, report.errors_ };
}

/// Runs explain; lines on damaged files go to standard error.
PublishReport Explain(const Arguments& aArguments)
{
  std::vector<LogFile> files;
  for (const std::string& path : aArguments.at("FILE").asStringList()) {
    std::ifstream file(path);
    if (!file) {
      throw UsageError{ path + ": cannot be read; expected a file of structured lines" };
    }
    std::ostringstream text;
    text << file.rdbuf();
    files.push_back(LogFile{ path, text.str() });
  }
  const FleetReport report = ExplainRequest(aArguments.at("REQUEST").asString(), files);
  std::cout << report.text_ << std::flush;
  std::cerr << (report.code_ == ExitCode::Done ? report.errors_ : std::string());
  return { report.code_, report.code_ == ExitCode::Done ? std::string() : report.errors_ };
}

PublishReport RunCommand(const Arguments& aArguments, const runtime::LogFactory& aMakeLog)
{
  if (aArguments.at("history").asBool()) {
    return WithLog(aMakeLog, LogAddress(aArguments), History);
  }
  if (aArguments.at("explain").asBool()) {
    return Explain(aArguments);
  }
  if (aArguments.at("status").asBool() || aArguments.at("timeline").asBool()) {
    return AskDaemons(aArguments);
  }
  const FolderResult folder = model::LoadServiceFolder(aArguments.at("DIR").asString());
  if (!folder || aArguments.at("check").asBool()) {
    return Check(folder);
  }
  if (aArguments.at("diff").asBool()) {
    return WithLog(aMakeLog, LogAddress(aArguments), [&folder](runtime::LogPort& aLog) {
      return Diff(aLog, *folder);
    });
  }
  const PublishOptions options = ReadPublishOptions(aArguments);
  return WithLog(aMakeLog, LogAddress(aArguments), [&folder, &options](runtime::LogPort& aLog) {
    return Publisher(aLog).Run(*folder, options);
  });
}

} // namespace

int RunCtl(int aCount, char** aArguments, const runtime::LogFactory& aMakeLog)
{
  PublishReport report;
  try {
    report = RunCommand(
      docopt::docopt_parse(
        kUsage, std::vector<std::string>(aArguments + 1, aArguments + aCount), true, false),
      aMakeLog);
  } catch (const docopt::DocoptExitHelp&) {
    report = { ExitCode::Done, kUsage };
  } catch (const docopt::DocoptArgumentError& error) {
    report = { ExitCode::Usage, std::string(error.what()) + "\n" + kUsage };
  } catch (const UsageError& error) {
    report = { ExitCode::Usage, error.message_ + "\n" };
  }
  (report.code_ == ExitCode::Done ? std::cout : std::cerr) << report.text_ << std::flush;
  return static_cast<int>(report.code_);
}

} // namespace hemlockproxy::ctl
