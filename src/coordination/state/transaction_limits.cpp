#include "coordination/state/transaction_limits.h"

#include <algorithm>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxBytes = std::size_t{48} * 1024;  // of the 64 KiB that a transaction may have
// Below these the service would refuse nearly everything, whatever its limits.
constexpr std::size_t kMinBytes = 512;
constexpr std::size_t kMinBitmapBytes = 16;
constexpr std::size_t kMinTerminalRecordBytes = 128;
constexpr auto kFirstGrowthPause = 10s;  // after a refusal, before the limits are raised
constexpr auto kLongestGrowthPause = 320s;
constexpr auto kDeferral = 30s;  // of a key whose value is too large alone

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

// A transaction of several writes is halved. A single bitmap can be cut into smaller ranges, and a single
// terminal record can do with less. Any other single write is deferred while the rest goes on.
void TransactionLimits::shrink(const TransactionContents& refused, Time now) {
    growthPause_ = std::clamp<Clock::duration>(growthPause_ * 2, kFirstGrowthPause, kLongestGrowthPause);
    nextGrowth_ = now + growthPause_;
    if (refused.keys.size() > 1) {
        maxWrites_ = refused.keys.size() / 2;
        maxBytes_ = std::max(kMinBytes, refused.bytes / 2);
    } else if (!refused.bitmaps.empty() && maxBitmapBytes_ > kMinBitmapBytes) {
        shrinkBitmaps(refused.bitmaps.front());
    } else if (!refused.terminalRecords.empty() && maxTerminalRecordBytes_ > kMinTerminalRecordBytes) {
        maxTerminalRecordBytes_ = std::min(maxTerminalRecordBytes_, refused.bytes) / 2;
    } else if (!refused.keys.empty()) {
        deferredUntil_[refused.keys.front()] = now + kDeferral;
    }
}

void TransactionLimits::shrinkBitmaps(const TransactionContents::Bitmap& refused) {
    // The refused value may have been well below the limit so far, as that of a small job is.
    const auto refusedBytes =
        (refused.range.end - refused.range.first + 3) / 4 + 2;  // 4 tasks a digit, quotes
    maxBitmapBytes_ = std::max(kMinBitmapBytes, std::min(maxBitmapBytes_, refusedBytes) / 2);
}

void TransactionLimits::grow(Time now) {
    if (now < nextGrowth_) return;
    maxWrites_ = std::min<std::size_t>(maxWrites_ * 2, settings_.minTransactionWrites());
    maxBytes_ = std::min(maxBytes_ * 2, kMaxBytes);
    nextGrowth_ = now + growthPause_;
}

}  // namespace burlpoint::coordination
