#pragma once

#include "hemlockproxy/model/Address.h"

#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hemlockproxy::testing {

struct ChildProcessError
{
  std::string message_;
};

/// A process started by a test; killed and reaped by the destructor at the latest.
///
/// The child is also killed when the thread that started it ends, so that an aborted test run
/// leaves nothing behind.
class ChildProcess
{
public:
  /// Starts the program with the arguments; its output goes to temporary files.
  [[nodiscard]] static model::Result<ChildProcess, ChildProcessError> Create(
    const std::string& aProgram,
    const std::vector<std::string>& aArguments);
  /// Starts the program and waits for its `listening` line.
  [[nodiscard]] static model::Result<ChildProcess, ChildProcessError> CreateServer(
    const std::string& aProgram,
    const std::vector<std::string>& aArguments,
    std::chrono::milliseconds aTimeout = std::chrono::seconds(5));

  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;
  ~ChildProcess();

  /// Returns the address of the first `listening` line; fails when the child ends or time is over.
  [[nodiscard]] model::Result<model::Address, ChildProcessError> WaitForListening(
    std::chrono::milliseconds aTimeout);
  /// Returns the address found by the last WaitForListening.
  [[nodiscard]] const model::Address& Listening() const noexcept { return listening_; }

  void Signal(int aSignal) const;
  /// Stops the process by SIGSTOP; Continue resumes it.
  void Pause() const;
  void Continue() const;
  /// Ends the process by SIGKILL and reaps it.
  void Kill();
  /// Returns the exit code (128 plus the signal's number when a signal ended it), or nothing when
  /// it still runs at the end of the time.
  [[nodiscard]] std::optional<int> WaitForExit(std::chrono::milliseconds aTimeout);
  [[nodiscard]] bool Running();

  [[nodiscard]] pid_t Pid() const noexcept { return pid_; }
  [[nodiscard]] std::string Output() const;
  [[nodiscard]] std::string ErrorOutput() const;

private:
  struct FileCloser
  {
    void operator()(std::FILE* aFile) const noexcept { std::fclose(aFile); }
  };
  using File = std::unique_ptr<std::FILE, FileCloser>;

  ChildProcess(pid_t aPid, File aOutput, File aErrors);
  bool Reap(int aFlags);

  pid_t pid_ = -1;
  std::optional<int> exitCode_;
  model::Address listening_;
  File output_;
  File errors_;
};

} // namespace hemlockproxy::testing
