#include "hemlockproxy/testing/ChildProcess.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace hemlockproxy::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kPollInterval{ 2 };
constexpr int kSignalExitBase = 128;
constexpr int kExecFailed = 127;
constexpr std::string_view kListening = "listening ";

/// Reads a file from its start without moving the offset that the child shares.
std::string ReadAll(std::FILE* aFile)
{
  constexpr std::size_t kChunkBytes = 4096;
  std::string text;
  std::array<char, kChunkBytes> chunk{};
  ssize_t count = 0;
  while ((count = ::pread(
            fileno(aFile), chunk.data(), chunk.size(), static_cast<off_t>(text.size()))) > 0) {
    text.append(chunk.data(), static_cast<std::size_t>(count));
  }
  return text;
}

/// Only calls functions that are safe between fork and exec in a process with threads.
[[noreturn]] void RunChild(std::vector<char*>& aArguments, int aOutput, int aErrors, pid_t aParent)
{
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != aParent) {
    _exit(kExecFailed);
  }
  ::dup2(aOutput, STDOUT_FILENO);
  ::dup2(aErrors, STDERR_FILENO);
  // Asio's sockets are inherited otherwise and would stay open after the test closes them.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execv(aArguments[0], aArguments.data());
  _exit(kExecFailed);
}

} // namespace

model::Result<ChildProcess, ChildProcessError> ChildProcess::Create(
  const std::string& aProgram,
  const std::vector<std::string>& aArguments)
{
  File output(std::tmpfile());
  File errors(std::tmpfile());
  if (!output || !errors) {
    return ChildProcessError{ std::string("no temporary file: ") + std::strerror(errno) };
  }
  std::vector<std::string> texts{ aProgram };
  texts.insert(texts.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> arguments;
  arguments.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    arguments.push_back(text.data());
  }
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0) {
    RunChild(arguments, fileno(output.get()), fileno(errors.get()), parent);
  }
  if (pid < 0) {
    return ChildProcessError{ std::string("fork: ") + std::strerror(errno) };
  }
  return ChildProcess(pid, std::move(output), std::move(errors));
}

model::Result<ChildProcess, ChildProcessError> ChildProcess::CreateServer(
  const std::string& aProgram,
  const std::vector<std::string>& aArguments,
  milliseconds aTimeout)
{
  auto child = Create(aProgram, aArguments);
  if (child) {
    if (const auto address = child->WaitForListening(aTimeout); !address) {
      return address.Error();
    }
  }
  return child;
}

ChildProcess::ChildProcess(pid_t aPid, File aOutput, File aErrors)
  : pid_(aPid)
  , output_(std::move(aOutput))
  , errors_(std::move(aErrors))
{
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : pid_(std::exchange(aOther.pid_, -1))
  , exitCode_(aOther.exitCode_)
  , listening_(std::move(aOther.listening_))
  , output_(std::move(aOther.output_))
  , errors_(std::move(aOther.errors_))
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  if (this != &aOther) {
    Kill();
    pid_ = std::exchange(aOther.pid_, -1);
    exitCode_ = aOther.exitCode_;
    listening_ = std::move(aOther.listening_);
    output_ = std::move(aOther.output_);
    errors_ = std::move(aOther.errors_);
  }
  return *this;
}

ChildProcess::~ChildProcess()
{
  Kill();
}

model::Result<model::Address, ChildProcessError> ChildProcess::WaitForListening(
  milliseconds aTimeout)
{
  const auto end = steady_clock::now() + aTimeout;
  while (true) {
    const bool running = Running();
    const std::string output = Output();
    const std::size_t start = output.find(kListening);
    const std::size_t line = start == std::string::npos ? start : output.find('\n', start);
    if (line != std::string::npos) {
      const std::size_t text = start + kListening.size();
      auto address = model::ParseAddress(std::string_view(output).substr(text, line - text));
      if (!address) {
        return ChildProcessError{ address.Error().message_ };
      }
      listening_ = *address;
      return *address;
    }
    if (!running) {
      return ChildProcessError{ "ended with code " + std::to_string(*exitCode_) +
                                " before it listened: " + ErrorOutput() };
    }
    if (steady_clock::now() >= end) {
      return ChildProcessError{ "no 'listening' line in time: " + ErrorOutput() };
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void ChildProcess::Signal(int aSignal) const
{
  // A reaped process's id may already belong to another process.
  if (pid_ > 0 && !exitCode_) {
    ::kill(pid_, aSignal);
  }
}

void ChildProcess::Pause() const
{
  Signal(SIGSTOP);
}

void ChildProcess::Continue() const
{
  Signal(SIGCONT);
}

void ChildProcess::Kill()
{
  if (pid_ > 0 && !exitCode_) {
    Signal(SIGKILL);
    Reap(0);
  }
}

std::optional<int> ChildProcess::WaitForExit(milliseconds aTimeout)
{
  const auto end = steady_clock::now() + aTimeout;
  while (Running() && steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return exitCode_;
}

bool ChildProcess::Running()
{
  return pid_ > 0 && !exitCode_ && !Reap(WNOHANG);
}

std::string ChildProcess::Output() const
{
  return ReadAll(output_.get());
}

std::string ChildProcess::ErrorOutput() const
{
  return ReadAll(errors_.get());
}

bool ChildProcess::Reap(int aFlags)
{
  int status = 0;
  pid_t reaped = 0;
  do {
    reaped = ::waitpid(pid_, &status, aFlags);
  } while (reaped < 0 && errno == EINTR);
  if (reaped == pid_) {
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
  }
  return reaped == pid_;
}

} // namespace hemlockproxy::testing
