#include "backend/Announcer.h"

#include "hemlockproxy/testing/HttpClient.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace hemlockproxy::testing {

namespace {

constexpr std::chrono::milliseconds kSignalCheckInterval{ 20 };
constexpr std::chrono::milliseconds kAnnounceTimeout{ 1000 };

volatile std::sig_atomic_t gDraining = 0;

extern "C" void StartDraining(int /*aSignal*/)
{
  gDraining = 1;
}

std::string Render(const Announcement& aAnnouncement, bool aDraining)
{
  return "service: " + aAnnouncement.service_ +
         "\naddress: " + model::ToString(aAnnouncement.address_) +
         "\nslots: " + std::to_string(aAnnouncement.slots_) +
         "\nconnections: " + std::to_string(aAnnouncement.connections_) +
         "\ndraining: " + (aDraining ? "true" : "false") + "\n";
}

[[noreturn]] void Announce(const model::Address& aAdmin,
                           const Announcement& aAnnouncement,
                           std::chrono::milliseconds aInterval)
{
  while (true) {
    const bool draining = gDraining != 0;
    const auto next = std::chrono::steady_clock::now() + aInterval;
    (void)SendHttp(aAdmin,
                   HttpCall{ .method_ = "POST",
                             .target_ = "/announce",
                             .body_ = Render(aAnnouncement, draining),
                             .timeout_ = kAnnounceTimeout });
    while (std::chrono::steady_clock::now() < next && draining == (gDraining != 0)) {
      std::this_thread::sleep_for(std::min(kSignalCheckInterval, aInterval));
    }
  }
}

} // namespace

void DrainOnSignal()
{
  std::signal(SIGUSR1, StartDraining);
}

void StartAnnouncing(const model::Address& aAdmin,
                     Announcement aAnnouncement,
                     std::chrono::milliseconds aInterval)
{
  std::thread([aAdmin, announcement = std::move(aAnnouncement), aInterval] {
    Announce(aAdmin, announcement, aInterval);
  }).detach();
}

} // namespace hemlockproxy::testing
