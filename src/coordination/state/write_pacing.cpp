#include "coordination/state/write_pacing.h"

#include <algorithm>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {
// Share of the store's write rate that the leader's own writes may use. Submissions and other controllers,
// which write to the same store, have budgets of their own.
constexpr double kRateShare = 0.6;
// Leaves the store time for its other clients, and batches writes.
constexpr auto kPauseBetweenTransactions = 150ms;
constexpr auto kPauseAfterRejection = 500ms;
}  // namespace

WritePacing::WritePacing(const protocol::Settings& settings, Time now)
    : writeBudget_(settings.storeWritesPerSecond * kRateShare, now,
                   settings.minWritesPerSecond() * kRateShare) {}

std::size_t WritePacing::allowedWrites(Time now) {
    return static_cast<std::size_t>(std::max(0.0, writeBudget_.available(now)));
}

void WritePacing::recordSend(std::size_t writes, Time now) {
    writeBudget_.takeUnconditionally(static_cast<double>(writes), now);
}

void WritePacing::recordCompletion(Time now) { nextWrite_ = now + kPauseBetweenTransactions; }

void WritePacing::recordUnavailability(Time now) { nextWrite_ = now + kPauseAfterRejection; }

void WritePacing::recordRateLimit(Time now) {
    writeBudget_.recordRejection(now);
    recordUnavailability(now);
}

}  // namespace burlpoint::coordination
