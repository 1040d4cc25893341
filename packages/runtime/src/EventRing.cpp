#include "hemlockproxy/runtime/EventRing.h"

namespace hemlockproxy::runtime {

model::HybridTimestamp EventRing::Add(LogEvent aEvent, std::string aDetail)
{
  const std::string_view name = InfoOf(aEvent).name_;
  const std::size_t stop = name.find('.');
  const std::string_view part = name.substr(0, stop);
  const std::string_view kind = name.substr(stop + 1);
  Log(LogLevel::Info, part, std::string(kind) + (aDetail.empty() ? "" : ": " + aDetail));
  if (lines_ != nullptr && lines_->Wants(aEvent)) {
    lines_->Write(lines_->Line(aEvent).Add("detail", aDetail));
  }
  const std::lock_guard lock(mutex_);
  model::Event event{
    clock_.Tick(model::WallNow()), std::string(part), std::string(kind), std::move(aDetail)
  };
  const model::HybridTimestamp stamp = event.stamp_;
  events_.push_back(std::move(event));
  if (events_.size() > capacity_) {
    events_.pop_front();
    ++dropped_;
  }
  return stamp;
}

model::HybridTimestamp EventRing::Stamp()
{
  const std::lock_guard lock(mutex_);
  return clock_.Tick(model::WallNow());
}

void EventRing::Observe(model::HybridTimestamp aRemote)
{
  const std::lock_guard lock(mutex_);
  clock_.Observe(aRemote, model::WallNow());
}

std::vector<model::Event> EventRing::After(model::HybridTimestamp aStamp) const
{
  const std::lock_guard lock(mutex_);
  std::vector<model::Event> found;
  for (const model::Event& event : events_) {
    if (event.stamp_ > aStamp) {
      found.push_back(event);
    }
  }
  return found;
}

std::size_t EventRing::Dropped() const
{
  const std::lock_guard lock(mutex_);
  return dropped_;
}

} // namespace hemlockproxy::runtime
