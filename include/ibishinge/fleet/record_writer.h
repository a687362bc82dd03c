#pragma once

#include <ibishinge/fleet/store_writer.h>

#include <memory>
#include <string_view>
#include <vector>

namespace ibishinge::fleet {

/// Distributes the records of a coordinator over several store writers, so that several
/// transactions are in progress at the same time. All records of one job go through the same writer
/// and keep their order. Not thread-safe.
class record_writer
{
public:
    /// `onLeadershipLost` is called when the leader's record has changed, possibly once for each
    /// writer. `maxConcurrent` limits the transactions in progress while the store answers at its
    /// usual speed. Precondition: `maxConcurrent` is positive.
    record_writer(platform_api &platform, scheduler &timers, const store_condition &leader,
                  int maxConcurrent, const std::function<void()> &onLeadershipLost);

    /// Adds changes that belong to `owner`, which is a job's id or the name of a record that
    /// belongs to no job.
    void add(std::string_view owner, write_unit unit);

    /// Calls `done` with success when everything added before is stored. `done` is not called if a
    /// write fails.
    void addBarrier(const std::function<void(result<void>)> &done);

    /// Sets the revision of a key that was read; see `store_writer::setKnownRevision`.
    void setKnownRevision(std::string_view owner, const std::string &key, std::int64_t revision);

    /// Returns how long the oldest unfinished transaction has been without success; 0 if none is
    /// open.
    [[nodiscard]] milliseconds stalledFor() const;

    /// Returns when the store last answered a transaction; the epoch if it never did.
    [[nodiscard]] instant answeredAt() const;

    /// Returns the number of changes that wait to be written.
    [[nodiscard]] std::size_t waiting() const;

    /// Stops writing; changes that are not stored are answered with `outcome_unknown`.
    void close();

private:
    [[nodiscard]] store_writer &writerOf(std::string_view owner) const;

    std::vector<std::shared_ptr<store_writer>> m_writers;
};

} // namespace ibishinge::fleet
