#pragma once

#include "hemlockproxy/runtime/Log.h"

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockproxy::ctl::test {

/// A log in memory whose appends fail as told.
class FakeLog : public runtime::LogPort
{
public:
  enum class Fault : std::uint8_t
  {
    None,
    Unavailable,
    /// The record is appended and the response is lost.
    LostAfter,
    /// The record is not appended, and the caller cannot know.
    LostBefore,
  };

  model::Result<runtime::LogPosition, runtime::LogError> Append(std::string_view,
                                                                std::string_view aBytes) override
  {
    if (beforeAppend_) {
      std::exchange(beforeAppend_, nullptr)();
    }
    ++appends_;
    const Fault fault = faults_.empty() ? Fault::None : faults_.front();
    if (!faults_.empty()) {
      faults_.pop_front();
    }
    if (fault == Fault::Unavailable) {
      return runtime::LogError{ runtime::LogErrorKind::Unavailable, "outage" };
    }
    if (fault != Fault::LostBefore) {
      records_.emplace_back(aBytes);
    }
    if (fault != Fault::None) {
      return runtime::LogError{ runtime::LogErrorKind::OutcomeUnknown, "no response" };
    }
    return runtime::LogPosition{ {}, model::LogOffset(records_.size() - 1) };
  }

  model::Result<runtime::LogBatch, runtime::LogError> Read(std::string_view,
                                                           model::LogOffset aFrom,
                                                           std::chrono::milliseconds,
                                                           std::size_t aMax) override
  {
    const model::LogOffset next(records_.size());
    if (readsFail_ || (readsFailAfterAppend_ && appends_ > 0)) {
      return runtime::LogError{ runtime::LogErrorKind::Unavailable, "outage" };
    }
    if (aFrom < first_) {
      return runtime::LogError{ runtime::LogErrorKind::Trimmed, "trimmed", first_, next };
    }
    runtime::LogBatch batch{ first_, next, {} };
    for (std::uint64_t i = aFrom.Value(); i < next.Value() && batch.records_.size() < aMax; ++i) {
      batch.records_.push_back({ model::LogOffset(i), model::WallTime(), records_[i] });
    }
    return batch;
  }

  model::Result<runtime::LogPosition, runtime::LogError> Put(std::string_view,
                                                             std::string_view,
                                                             std::string_view) override
  {
    return runtime::LogError{ runtime::LogErrorKind::Unavailable, "no streams with keys" };
  }

  model::Result<runtime::LogBatch, runtime::LogError> ReadNewest(std::string_view) override
  {
    return runtime::LogError{ runtime::LogErrorKind::Unavailable, "no streams with keys" };
  }

  model::Result<runtime::LogBatch, runtime::LogError> ReadNewestPage(std::string_view,
                                                                     std::string_view) override
  {
    return runtime::LogError{ runtime::LogErrorKind::Unavailable, "no streams with keys" };
  }

  std::vector<std::string> records_;
  model::LogOffset first_;
  std::deque<Fault> faults_;
  std::function<void()> beforeAppend_;
  bool readsFail_ = false;
  bool readsFailAfterAppend_ = false;
  int appends_ = 0;
};

} // namespace hemlockproxy::ctl::test
