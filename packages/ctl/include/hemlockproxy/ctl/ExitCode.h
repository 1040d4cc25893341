#pragma once

namespace hemlockproxy::ctl {

/// The exit codes of hemlockctl (docs/configuration.md).
enum class ExitCode : unsigned char
{
  Done = 0,
  InvalidFiles = 1,
  Usage = 2,
  LimitLowered = 3,
  /// Another publication is in effect; this one is not.
  Lost = 4,
  /// The log cannot be read, or did not take the record; nothing was appended.
  LogUnavailable = 5,
  /// The record may have been appended; the same command may be run again.
  OutcomeUnknown = 6,
  /// A daemon did not answer; the output covers the others.
  DaemonUnreachable = 7,
  /// No line of the files belongs to the request.
  NotFound = 8,
};

} // namespace hemlockproxy::ctl
