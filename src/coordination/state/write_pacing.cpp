#include "coordination/state/write_pacing.h"

#include <algorithm>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {
constexpr double kRateShare =
    0.6;  // of the store's writes; the rest is for submissions and other controllers
// Other users of the store need their turn, and a short wait lets writes gather.
constexpr auto kPause = 150ms;
constexpr auto kPauseAfterRefusal = 500ms;
}  // namespace

WritePacing::WritePacing(const protocol::Settings& settings, Time now)
    : budget_(settings.storeWritesPerSecond * kRateShare, now, settings.minWritesPerSecond() * kRateShare) {}

std::size_t WritePacing::allowedWrites(Time now) {
    return static_cast<std::size_t>(std::max(0.0, budget_.available(now)));
}

void WritePacing::noteSent(std::size_t writes, Time now) {
    budget_.takeUnconditionally(static_cast<double>(writes), now);
}

void WritePacing::noteAnswered(Time now) { nextWrite_ = now + kPause; }

void WritePacing::noteRefused(Time now) { nextWrite_ = now + kPauseAfterRefusal; }

void WritePacing::noteTooMany(Time now) {
    budget_.recordRefusal(now);
    noteRefused(now);
}

}  // namespace burlpoint::coordination
