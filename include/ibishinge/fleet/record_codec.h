#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/fleet/tables.h>
#include <ibishinge/fleet/worker_relay.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace ibishinge::fleet {

/// Keys and key prefixes of the coordinator's records in the store.
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

/// Record of the leader. It is attached to a lease, so that it is deleted when its holder fails.
struct leader_record
{
    std::string name; ///< name of the process
    std::string incarnation; ///< identifies the run of the process
    std::string address; ///< address at which the leader accepts forwarded requests
    std::int64_t term = 0; ///< number of the coordinator, from 1

    /// Returns true if the leader accepts forwarded requests at `peerAddress`, so that a process
    /// there has replaced this leader.
    [[nodiscard]] bool hasAddress(const std::string &peerAddress) const
    {
        return address == peerAddress;
    }
};

/// All encoders and decoders are thread-safe. A decoder fails with `invalid_request` and the reason
/// if the text is malformed.
[[nodiscard]] std::string encodeLeader(const leader_record &record);
[[nodiscard]] result<leader_record> decodeLeader(const std::string &text);

/// Specification of a job.
[[nodiscard]] nlohmann::json encodeSpec(const job_spec &spec);
[[nodiscard]] result<job_spec> decodeSpec(const nlohmann::json &document);

/// Record of a job as submitted; it is never changed.
[[nodiscard]] std::string encodeJob(const job_entry &job);
[[nodiscard]] result<job_entry> decodeJob(const std::string &id, const std::string &text);

/// Progress of a job: complete occurrences, finished tasks, and the failed runs of open
/// occurrences.
[[nodiscard]] std::string encodeProgress(const job_entry &job);
/// Applies a progress record to a job, and opens the occurrences that it lists. Errors:
/// `invalid_request`.
[[nodiscard]] result<void> applyProgress(job_entry &job, const std::string &text);

/// Final state of a job, kept for a while for callers that ask for it.
struct ended_record
{
    job_state state = job_state::completed;
    std::int64_t wallMs = 0; ///< time of the end, milliseconds since 1970
    /// False: the id was cancelled while no job had it, see `fleet_tables::withdrawn`.
    bool submitted = true;
};

[[nodiscard]] std::string encodeEnded(const ended_record &ended);
[[nodiscard]] result<ended_record> decodeEnded(const std::string &text);

/// Processes that call workers on behalf of the coordinator.
[[nodiscard]] std::string encodeRelays(const std::vector<relay_peer> &relays);
[[nodiscard]] result<std::vector<relay_peer>> decodeRelays(const std::string &text);
/// Number of records that the roster is split into, so that a change rewrites only one part.
inline constexpr std::uint32_t rosterParts = 16;

/// Returns the key of the roster record that lists a worker. The result is the same in every
/// version of the program.
[[nodiscard]] std::string rosterKeyOf(std::string_view worker);

/// Workers on which runs may exist, as stored in one roster record.
[[nodiscard]] std::string encodeRoster(const std::vector<worker_entry> &workers);
[[nodiscard]] result<std::vector<worker_entry>> decodeRoster(const std::string &text);

/// Progress of a maintenance wave.
struct wave_record
{
    std::vector<std::string> hosts; ///< hosts whose maintenance was accepted by the platform
    bool completed = false; ///< maintenance of all hosts is finished
    /// Hosts whose maintenance may have been ordered and is not known to be accepted.
    std::vector<std::string> ordered;
};

[[nodiscard]] std::string encodeWaveRecord(const wave_record &record);
[[nodiscard]] result<wave_record> decodeWaveRecord(const std::string &text);

/// Number of hosts that the operators assigned to each pool.
[[nodiscard]] std::string encodeBaselines(const std::map<std::string, int> &baselines);
[[nodiscard]] result<std::map<std::string, int>> decodeBaselines(const std::string &text);

} // namespace ibishinge::fleet
