#include "hemlockproxy/runtime/StructuredLog.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <ctime>

namespace hemlockproxy::runtime {

namespace {

/// Lines are written together after this time, which saves wake-ups under load.
constexpr std::chrono::milliseconds kGather{ 50 };

std::string TimeText()
{
  const auto now = std::chrono::system_clock::now();
  const auto ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  const std::time_t seconds = static_cast<std::time_t>(ms / 1000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 40> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  (void)std::snprintf(
    text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(ms % 1000));
  return text.data();
}

log4cxx::LoggerPtr LinesLogger()
{
  static const log4cxx::LoggerPtr kLogger = [] {
    auto logger = log4cxx::Logger::getLogger("structured");
    logger->setAdditivity(false);
    auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    logger->addAppender(
      std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.out")));
    logger->setLevel(log4cxx::Level::getInfo());
    return logger;
  }();
  return kLogger;
}

} // namespace

LogLine::LogLine(LogEvent aEvent, const std::string& aDaemon)
  : class_(InfoOf(aEvent).class_)
  , writer_(text_)
{
  writer_.StartObject();
  Add("t", TimeText());
  Add("daemon", aDaemon);
  Add("event", InfoOf(aEvent).name_);
}

LogLine& LogLine::Add(const char* aName, std::string_view aValue)
{
  writer_.Key(aName);
  writer_.String(aValue.data(), static_cast<rapidjson::SizeType>(aValue.size()));
  return *this;
}

LogLine& LogLine::Add(const char* aName, std::uint64_t aValue)
{
  writer_.Key(aName);
  writer_.Uint64(aValue);
  return *this;
}

LogLine& LogLine::Add(const char* aName, model::Duration aValue)
{
  writer_.Key(aName);
  writer_.Int64(std::chrono::duration_cast<std::chrono::milliseconds>(aValue).count());
  return *this;
}

StructuredLog::StructuredLog(StructuredLogOptions aOptions)
  : options_(std::move(aOptions))
  , filled_(std::chrono::steady_clock::now())
{
  const std::array rates = { options_.changesPerSecond_,
                             options_.failuresPerSecond_,
                             options_.successesPerSecond_ };
  for (std::size_t i = 0; i < kClasses; ++i) {
    budgets_[i].perSecond_ = rates[i];
    budgets_[i].tokens_ = rates[i];
  }
}

StructuredLog::~StructuredLog()
{
  Stop(std::chrono::milliseconds(0));
  if (writer_.joinable()) {
    // Standard output may block for ever; the thread ends with the process.
    writer_.detach();
  }
}

void StructuredLog::Start()
{
  writer_ = std::thread([this] { WriteUntilStopped(); });
}

void StructuredLog::Stop(std::chrono::milliseconds aLimit)
{
  std::unique_lock lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
  if (writer_.joinable() && changed_.wait_for(lock, aLimit, [this] { return ended_; })) {
    lock.unlock();
    writer_.join();
  }
}

bool StructuredLog::Wants(LogEvent aEvent)
{
  const LogClass wanted = InfoOf(aEvent).class_;
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  const double passed = std::chrono::duration<double>(now - filled_).count();
  filled_ = now;
  for (Budget& budget : budgets_) {
    budget.tokens_ = std::min(budget.perSecond_, budget.tokens_ + passed * budget.perSecond_);
  }
  Budget& budget = budgets_[static_cast<std::size_t>(wanted)];
  const std::size_t places =
    wanted == LogClass::Success ? options_.waiting_ / 2 : options_.waiting_;
  if (budget.tokens_ < 1 || lines_.size() >= places) {
    ++budget.dropped_;
    return false;
  }
  budget.tokens_ -= 1;
  return true;
}

void StructuredLog::Write(LogLine& aLine)
{
  aLine.writer_.EndObject();
  const std::lock_guard lock(mutex_);
  if (lines_.size() >= options_.waiting_) {
    ++budgets_[static_cast<std::size_t>(aLine.class_)].dropped_;
    return;
  }
  lines_.emplace_back(aLine.text_.GetString(), aLine.text_.GetSize());
  if (idle_) {
    changed_.notify_all();
  }
}

std::uint64_t StructuredLog::Dropped(LogClass aClass) const
{
  const std::lock_guard lock(mutex_);
  return budgets_[static_cast<std::size_t>(aClass)].dropped_;
}

std::string StructuredLog::ReportDrops()
{
  bool changed = false;
  std::array<std::uint64_t, kClasses> fresh{};
  for (std::size_t i = 0; i < kClasses; ++i) {
    fresh[i] = budgets_[i].dropped_ - budgets_[i].reported_;
    // Successes are a sample, so that drops of them alone are no news.
    changed = changed || (fresh[i] > 0 && i != static_cast<std::size_t>(LogClass::Success));
  }
  if (!changed) {
    return {};
  }
  for (Budget& budget : budgets_) {
    budget.reported_ = budget.dropped_;
  }
  LogLine line = Line(LogEvent::LinesDropped);
  line.Add("changes", fresh[0]).Add("failures", fresh[1]).Add("successes", fresh[2]);
  line.writer_.EndObject();
  return { line.text_.GetString(), line.text_.GetSize() };
}

void StructuredLog::WriteUntilStopped()
{
  const auto logger = LinesLogger();
  std::unique_lock lock(mutex_);
  while (true) {
    idle_ = true;
    changed_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
    idle_ = false;
    if (!stopping_) {
      changed_.wait_for(lock, kGather, [this] { return stopping_; });
    }
    std::vector<std::string> lines;
    lines.swap(lines_);
    if (std::string drops = ReportDrops(); !drops.empty()) {
      lines.push_back(std::move(drops));
    }
    const bool last = stopping_;
    lock.unlock();
    for (const std::string& line : lines) {
      LOG4CXX_INFO(logger, line);
    }
    lock.lock();
    if (last) {
      break;
    }
  }
  ended_ = true;
  changed_.notify_all();
}

} // namespace hemlockproxy::runtime
