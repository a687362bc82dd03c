#pragma once

#include <ibishinge/fleet/store_writer.h>

#include <memory>
#include <string_view>
#include <vector>

namespace ibishinge::fleet {

/// Spreads the records of a coordinator over several writers, so that more than one transaction is
/// on its way. All records of one job go to the same writer and keep their order. Not thread-safe.
class record_writer
{
public:
    /// `onLeadershipLost` is called when the leader's record has changed, possibly once for each
    /// lane. `maxConcurrent` transactions are on their way while the store answers at its usual
    /// speed. Precondition: `maxConcurrent` is positive.
    record_writer(platform_api &platform, scheduler &timers, const store_condition &leader,
                  int maxConcurrent, const std::function<void()> &onLeadershipLost);

    /// Adds changes that belong to `owner`: a job's id, or the name of a record of its own.
    void add(std::string_view owner, write_unit unit);

    /// Calls `done` with success once everything added before is stored.
    void addBarrier(const std::function<void(result<void>)> &done);

    void setKnownRevision(std::string_view owner, const std::string &key, std::int64_t revision);

    /// Returns the longest time that a transaction has been without success.
    [[nodiscard]] milliseconds stalledFor() const;

    /// Returns when the store last answered a transaction; the epoch if it never did.
    [[nodiscard]] instant answeredAt() const;

    /// Returns how many changes wait.
    [[nodiscard]] std::size_t waiting() const;

    void close();

private:
    [[nodiscard]] store_writer &writerOf(std::string_view owner) const;

    std::vector<std::shared_ptr<store_writer>> m_writers;
};

} // namespace ibishinge::fleet
