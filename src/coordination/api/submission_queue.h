#pragma once

// Queues the validated submissions that wait to be stored, fairly by team and with a limit on their total
// number. Owns the waiting submissions, the round-robin position, the number of writes in flight, and the
// budget of key-value store writes that all submissions share. Used on the controller's thread.

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"
#include "protocol/settings.h"
#include "storage/token_bucket.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// A validated submission that waits to be stored.
struct Submission {
    protocol::JobSpec spec;
    transport::Reply reply;
    Time queuedAt;
};

/// A first-in, first-out queue per team. The teams are served round-robin, one submission at a time. The
/// queue neither writes to the key-value store nor replies to users.
class SubmissionQueue {
  public:
    /// The longest time in milliseconds that a submission may wait in the queue. Users wait 2 s for a reply.
    static constexpr Duration kMaxWait{1200};

    SubmissionQueue(const protocol::Settings& settings, Time now);

    /// Admission control. Empty if the queue has space for one more submission, which is expected to be
    /// written within `kMaxWait`. Otherwise the submission must be rejected, and the result is the time (1 to
    /// 30 s) after which the user should try again.
    std::optional<std::chrono::seconds> retryAfterIfFull(Time now);

    /// Appends a submission to the queue of its team.
    void add(Submission submission);

    /// Puts a submission whose write was not applied, because the key-value store was unavailable or the
    /// write exceeded its rate limit, back at the front of the queue of its team.
    void requeue(Submission submission);

    /// Removes and returns the submissions that have waited for longer than `kMaxWait`. The caller replies to
    /// them.
    std::vector<Submission> takeExpired(Time now);

    /// Removes and returns the next submission to store, from the team that follows the one served last.
    /// Empty if no submission waits, the write budget is used up or too many writes are in flight.
    /// `writeCompleted` must be called once for each submission taken.
    std::optional<Submission> takeNext(Time now);

    /// Records that the write of a submission returned by `takeNext` has ended, whatever its outcome.
    void writeCompleted() { --writesInFlight_; }

    /// Records that the key-value store rejected a write because of its rate limit, which reduces the write
    /// budget for a while.
    void recordRateLimit(Time now) { writeBudget_.recordRejection(now); }

    /// True if no submission waits. Submissions whose writes are in flight do not count.
    bool empty() const { return queues_.empty(); }

  private:
    storage::TokenBucket writeBudget_;
    std::map<std::string, std::deque<Submission>> queues_;  // by team; contains no empty queues
    std::size_t queued_ = 0;                                // total over all queues
    std::size_t writesInFlight_ = 0;
    std::string lastServedTeam_;
};

}  // namespace burlpoint::coordination
