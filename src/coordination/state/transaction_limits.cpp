#include "coordination/state/transaction_limits.h"

#include <algorithm>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

// Leaves a margin below the 64 KiB that a transaction may have, as sizes are estimated.
constexpr std::size_t kMaxBytes = std::size_t{48} * 1024;
// Lower bounds: below these sizes nearly every write would be too large.
constexpr std::size_t kMinBytes = 512;
constexpr std::size_t kMinBitmapBytes = 16;
constexpr std::size_t kMinTerminalRecordBytes = 128;
constexpr auto kFirstGrowthPause = 10s;  // after the first rejection, before limits are raised
constexpr auto kLongestGrowthPause = 320s;
constexpr auto kDeferral = 30s;  // for a key whose value alone is too large

}  // namespace

TransactionLimits::TransactionLimits(const protocol::Settings& settings)
    : settings_(settings),
      maxWrites_(settings.minTransactionWrites()),
      maxBytes_(kMaxBytes),
      maxBitmapBytes_(settings.maxValueBytes()),
      maxTerminalRecordBytes_(settings.maxValueBytes()) {}

void TransactionLimits::dropExpiredDeferrals(Time now) {
    std::erase_if(deferredUntil_, [now](const auto& entry) { return entry.second <= now; });
}

// Halves the limits after a transaction of several writes. A single bitmap can be split into smaller ranges,
// and a single terminal record can omit fields. Any other single write is deferred, so that it does not block
// the other writes.
void TransactionLimits::shrink(const TransactionContents& rejected, Time now) {
    growthPause_ = std::clamp<Clock::duration>(growthPause_ * 2, kFirstGrowthPause, kLongestGrowthPause);
    nextGrowth_ = now + growthPause_;
    if (rejected.keys.size() > 1) {
        maxWrites_ = rejected.keys.size() / 2;
        maxBytes_ = std::max(kMinBytes, rejected.bytes / 2);
    } else if (!rejected.bitmaps.empty() && maxBitmapBytes_ > kMinBitmapBytes) {
        shrinkBitmaps(rejected.bitmaps.front());
    } else if (!rejected.terminalRecords.empty() && maxTerminalRecordBytes_ > kMinTerminalRecordBytes) {
        maxTerminalRecordBytes_ = std::min(maxTerminalRecordBytes_, rejected.bytes) / 2;
    } else if (!rejected.keys.empty()) {
        deferredUntil_[rejected.keys.front()] = now + kDeferral;
    }
}

void TransactionLimits::shrinkBitmaps(const TransactionContents::Bitmap& rejected) {
    // The rejected value may be much smaller than the current limit, for example if the job has few tasks.
    const auto rejectedBytes =
        (rejected.range.end - rejected.range.first + 3) / 4 + 2;  // 4 tasks per digit, 2 quotes
    maxBitmapBytes_ = std::max(kMinBitmapBytes, std::min(maxBitmapBytes_, rejectedBytes) / 2);
}

void TransactionLimits::grow(Time now) {
    if (now < nextGrowth_) return;
    maxWrites_ = std::min<std::size_t>(maxWrites_ * 2, settings_.minTransactionWrites());
    maxBytes_ = std::min(maxBytes_ * 2, kMaxBytes);
    nextGrowth_ = now + growthPause_;
}

}  // namespace burlpoint::coordination
