#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/fleet/tables.h>
#include <ibishinge/fleet/worker_relay.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace ibishinge::fleet {

/// Keys of the coordinator's records in the store.
inline constexpr std::string_view recordPrefix = "fleet/";
inline constexpr std::string_view leaderKey = "fleet/leader";
inline constexpr std::string_view termKey = "fleet/term";
inline constexpr std::string_view rosterPrefix = "fleet/roster";
inline constexpr std::string_view jobPrefix = "fleet/job/";
inline constexpr std::string_view progressPrefix = "fleet/progress/";
inline constexpr std::string_view endedPrefix = "fleet/ended/";
inline constexpr std::string_view baselinesKey = "fleet/homes";
inline constexpr std::string_view relaysKey = "fleet/relays"; ///< processes that call workers
inline constexpr std::string_view wavePrefix = "fleet/wave/";

/// Who coordinates. Lies under a lease, so that it vanishes with its holder.
struct leader_record
{
    std::string name; ///< of the process
    std::string incarnation; ///< of its run
    std::string address; ///< where it takes forwarded requests
    std::int64_t term = 0; ///< counts coordinators, from 1

    /// Returns true if a process at `peerAddress` has taken the place of this leader.
    [[nodiscard]] bool hasAddress(const std::string &peerAddress) const
    {
        return address == peerAddress;
    }
};

[[nodiscard]] std::string encodeLeader(const leader_record &record);
/// Errors of the decoders: `invalid_request` with what is wrong. All are thread-safe.
[[nodiscard]] result<leader_record> decodeLeader(const std::string &text);

[[nodiscard]] nlohmann::json encodeSpec(const job_spec &spec);
[[nodiscard]] result<job_spec> decodeSpec(const nlohmann::json &document);

/// A job as submitted. Never changes.
[[nodiscard]] std::string encodeJob(const job_entry &job);
[[nodiscard]] result<job_entry> decodeJob(const std::string &id, const std::string &text);

/// What is done of a job: complete occurrences, tasks done and failures of the others.
[[nodiscard]] std::string encodeProgress(const job_entry &job);
/// Applies a progress record to a job whose due occurrences are open. Errors: `invalid_request`.
[[nodiscard]] result<void> applyProgress(job_entry &job, const std::string &text);

/// Final state of a job, kept for a while for callers who ask.
[[nodiscard]] std::string encodeEnded(job_state state, std::int64_t wallMs);
[[nodiscard]] result<std::pair<job_state, std::int64_t>> decodeEnded(const std::string &text);

/// Workers on which runs may exist.
[[nodiscard]] std::string encodeRelays(const std::vector<relay_peer> &relays);
[[nodiscard]] result<std::vector<relay_peer>> decodeRelays(const std::string &text);
/// The roster is kept in so many records: a change rewrites a part of it only.
inline constexpr std::uint32_t rosterParts = 16;

/// Returns the record of the roster that names a worker. The same in each version of the program.
[[nodiscard]] std::string rosterKeyOf(std::string_view worker);

[[nodiscard]] std::string encodeRoster(const std::vector<worker_entry> &workers);
[[nodiscard]] result<std::vector<worker_entry>> decodeRoster(const std::string &text);

/// What was done of a maintenance wave.
struct wave_record
{
    std::vector<std::string> hosts; ///< whose maintenance was accepted
    bool completed = false;
};

[[nodiscard]] std::string encodeWaveRecord(const wave_record &record);
[[nodiscard]] result<wave_record> decodeWaveRecord(const std::string &text);

/// Hosts that the operators gave to each pool.
[[nodiscard]] std::string encodeBaselines(const std::map<std::string, int> &baselines);
[[nodiscard]] result<std::map<std::string, int>> decodeBaselines(const std::string &text);

} // namespace ibishinge::fleet
