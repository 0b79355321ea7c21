#pragma once

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
#include "storage/key_value_client.h"
#include "transport/http_message.h"

/// The submissions that wait to be stored. `SubmissionQueue` owns them until they are taken, whose turn it
/// is, how many are being stored, and the budget of the key-value store's changes that they share.
namespace burlpoint::coordination {

/// A submission that waits for its turn to be stored.
struct Submission {
    protocol::JobSpec spec;
    transport::Reply reply;
    Time since;  // when it was accepted into the queue
};

/// A queue per team, served in turn, one submission of each. It neither stores nor answers.
class SubmissionQueue {
  public:
    /// The longest that a submission waits, refusals by the key-value store included: users wait 2 s.
    static constexpr Duration kMaxWait{1200};

    SubmissionQueue(const protocol::Settings& settings, Time now);

    /// Nothing if one more submission could be stored soon; else it is to be turned away, and this is the
    /// time after which the user may come back (1 to 30 s).
    std::optional<std::chrono::seconds> retryAfter(Time now);

    /// Adds a submission behind the others of its team.
    void add(Submission submission);
    /// Takes a submission back that the key-value store refused, as the next of its team.
    void putBack(Submission submission);

    /// Removes the submissions that have waited for too long, for the caller to answer.
    std::vector<Submission> takeExpired(Time now);

    /// Removes the next submission to be stored, of the team after the one that had its turn last. Nothing if
    /// none waits, the budget is used up or as many as may be are being stored. Each one taken is to be
    /// followed by `stored`.
    std::optional<Submission> takeNext(Time now);
    /// The attempt to store one that was taken is over, whatever came of it.
    void stored();

    /// The key-value store refused a change as one too many: the budget shrinks for a while.
    void noteRefused(Time now) { changes_.recordRefusal(now); }

    /// Does none wait? Those being stored don't count.
    bool empty() const { return queues_.empty(); }

  private:
    storage::TokenBucket changes_;
    std::map<std::string, std::deque<Submission>> queues_;  // per team; none of them is empty
    std::size_t queued_ = 0;                                // in all of them
    std::size_t storing_ = 0;                               // taken and not stored so far
    std::string lastTeam_;                                  // had its turn last
};

}  // namespace burlpoint::coordination
