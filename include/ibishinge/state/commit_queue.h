#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/base/time.h>
#include <ibishinge/outside/kv_store.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace ibishinge {

struct commit_options
{
    /// Shortest time between two batches. Table in docs/ledger.md.
    std::chrono::microseconds minInterval {25000};
    /// Calls a second of all members together. The store handles several hundred writes a second,
    /// and the other records need some of them.
    std::int64_t callsPerSecond = 320;
    /// Batches that may be sent in a row after a pause, so that a claim under low load does not
    /// wait for the interval. The average rate stays the same.
    std::size_t burst = 1;
    /// Longest time for which a `relaxed` write waits for others to share its batch.
    std::chrono::microseconds relaxedDelay {100000};
    std::size_t maxBatch = maxBatchWrites;
    std::size_t maxQueued = 4096; ///< waiting and in flight
    std::size_t maxInFlight = 4; ///< batches
    /// Longest pause after failed batches. It doubles from the interval on.
    std::chrono::microseconds maxBackoff {1000000};
    std::uint32_t seed = 1; ///< of the jitter; should differ for each process
};

/// Returns the time between two batches of one process: the sum over `members` processes stays at
/// or below `callsPerSecond`. Thread-safe.
[[nodiscard]] std::chrono::microseconds commitInterval(const commit_options &options,
                                                       std::size_t members) noexcept;

/// Whether somebody waits for a write.
enum class write_urgency : std::uint8_t {
    prompt, ///< sent as soon as the rate allows
    relaxed, ///< may wait for a batch that is sent anyway, at most for `relaxedDelay`
};

/// Number of failed batches in a row from which the store counts as failing.
inline constexpr std::size_t failingBatches = 3;

/// Decides which conditional writes go into the next batch, and when. Not thread-safe; no I/O.
///
/// Batches whose effect is not certain, and those that certainly had none, are sent again with
/// back-off until they are decided or abandoned. So an outcome "not applied" may show the write's
/// own value: an earlier send was applied.
class commit_queue
{
public:
    using ticket = std::uint64_t;

    struct batch
    {
        std::vector<ticket> tickets;
        std::vector<conditional_write> writes;
    };

    using decided_write = std::pair<ticket, result<write_outcome>>;

    explicit commit_queue(const commit_options &options)
        : m_options(options)
        , m_interval(commitInterval(options, 1))
        , m_random(options.seed)
    {
    }

    void setMembers(std::size_t members) noexcept
    {
        m_interval = commitInterval(m_options, members);
    }

    /// Errors: `overloaded` if the queue is full, `too_large` for a value above the store's bound,
    /// which would make the store refuse the other writes of its batch too.
    [[nodiscard]] result<ticket> add(conditional_write write, monotonic_time now,
                                     write_urgency urgency = write_urgency::prompt);

    /// Ends the interest in a write. Returns true if it may have been applied or may be applied
    /// later; false if it certainly was not and will not be. No outcome is delivered after this.
    bool abandon(ticket number);

    /// Returns the time from which `take` returns a batch; none if there is nothing to send or the
    /// bound of batches in flight is reached.
    [[nodiscard]] std::optional<monotonic_time> nextSend() const;

    /// Returns the next batch if it is due: the oldest writes, no key twice.
    [[nodiscard]] std::optional<batch> take(monotonic_time now);

    /// Takes the result of a batch and returns the writes that are decided by it.
    [[nodiscard]] std::vector<decided_write>
    complete(const batch &sent, const result<batch_result> &answer, monotonic_time now);

    /// Returns true if the last batches failed and a write that is queued will tell when the store
    /// is back; a further one would only wait.
    [[nodiscard]] bool isFailing() const noexcept
    {
        return m_failures >= failingBatches && size() > 0;
    }

    /// Writes waiting or in flight.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_queued.size() + m_inFlight.size();
    }

private:
    struct pending_write
    {
        conditional_write write;
        bool uncertain = false; ///< an earlier send may have been or may still be applied
        bool abandoned = false;
        monotonic_time dueAt; ///< not sent before this for its own sake
    };

    void requeue(const batch &sent, bool uncertain);
    void backOff(monotonic_time now);

    commit_options m_options;
    std::chrono::microseconds m_interval;
    std::minstd_rand m_random;
    std::map<ticket, pending_write> m_queued; ///< in the order of arrival
    std::map<ticket, pending_write> m_inFlight;
    std::size_t m_batchesInFlight = 0;
    std::size_t m_failures = 0; ///< failed batches since the last success
    ticket m_lastTicket = 0;
    monotonic_time m_nextPaced; ///< next send at the average rate, without the burst
    monotonic_time m_resumeAt; ///< end of the back-off
};

} // namespace ibishinge
