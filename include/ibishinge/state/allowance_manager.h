#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/decision/allowance.h>
#include <ibishinge/outside/kv_store.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ibishinge {

/// What one process knows of a team's use.
struct team_allowance
{
    int running = 0; ///< of this process
    int cap = 0; ///< how many this process may have running
    int limit = 0; ///< of the team, over the fleet
    int othersRunning = 0; ///< last known use of the other holders; lags
};

/// Keeps one process's grants of all teams and counts what it has running.
///
/// \code
/// manager->setLimits({{"search", 40}}, config.modRevision);
/// manager->adjust(clock.wallNow()); // once a second
/// if (manager->tryStart("search")) {
///     dispatch();
///     manager->finished("search");
/// }
/// \endcode
///
/// Thread-safe; only `adjust` and `release` call the store, and they hold no lock meanwhile. They
/// must not run at the same time as each other.
class allowance_manager
{
public:
    /// Precondition: `store` outlives the manager; `holder` differs for each run of a process.
    [[nodiscard]] static std::unique_ptr<allowance_manager>
    create(std::string holder, kv_store &store, allowance_settings settings = {});

    /// Sets the limits of all teams from the configuration at revision `version` (above 0). Lower
    /// versions are ignored; a team that is missing gets the limit 0.
    void setLimits(const std::map<std::string, int> &limits, std::int64_t version);

    /// Sets the longest `max_run_ms` of all services, for which the grant of a dead or stopped
    /// holder stays reserved. Once set it is only raised: work admitted under an earlier catalogue
    /// may still be running.
    void setLongestRun(milliseconds longest);

    /// Reserves one unit of the team's allowance. Returns false if none is left.
    [[nodiscard]] bool tryStart(const std::string &team);

    /// Returns the unit of a successful `tryStart`.
    void finished(const std::string &team);

    /// Sets what is running, for a holder whose use is known from records instead of its own
    /// starts.
    void setRunning(const std::string &team, int running);

    /// Makes all later writes depend on another key's revision. For a durable holder, whose grants
    /// an earlier owner must not change any more.
    void setGuard(write_guard guard);

    /// Sets how many requests of the team wait in this process.
    void setQueued(const std::string &team, int queued);

    /// Notes a proof of death of `holder` (design.md, section 6); `now` is the time of the proof.
    void provedDead(const std::string &holder, wall_time now);

    /// Returns all holders in the records last read, each once.
    [[nodiscard]] std::vector<std::string> holders() const;

    [[nodiscard]] team_allowance stateOf(const std::string &team) const;

    /// Reads the allowance records that changed since the last call and writes those that should
    /// change: one read, and one batch for each 128 written records; records that another holder
    /// changed in between are tried once more. Errors: those of the store, and `invalid_request`
    /// for a record that cannot be read; grants then stay as they are.
    [[nodiscard]] result<void> adjust(wall_time now);

    /// Stops all starts and gives the grants back. What still runs stays reserved for the run time.
    /// May be repeated after an error.
    [[nodiscard]] result<void> release(wall_time now);

private:
    allowance_manager(std::string holder, kv_store &store, allowance_settings settings);

    allowance_holder &holderOf(const std::string &team);
    [[nodiscard]] result<void> readChanged();
    [[nodiscard]] std::vector<std::string>
    planAll(wall_time now, std::vector<conditional_write> &writes, bool &resends);
    [[nodiscard]] result<bool> writeSome(std::span<const std::string> teams,
                                         std::span<const conditional_write> writes);

    const std::string m_id;
    kv_store &m_store;
    allowance_settings m_settings;
    mutable std::mutex m_mutex;
    bool m_longestRunKnown = false;
    std::map<std::string, allowance_holder> m_teams;
    dead_holders m_proofs;
    std::int64_t m_limitVersion = 0;
    bool m_stopping = false;
    std::optional<write_guard> m_guard;
    store_revision m_readFrom = 0; ///< records below this revision were read
    bool m_readAll = true; ///< the next read covers all records, whatever their revision
};

} // namespace ibishinge
