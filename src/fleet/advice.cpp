#include <ibishinge/fleet/advice.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Maximum number of workers in one call of the advice service; each delays the answer.
constexpr std::size_t maxAdvisedWorkers = 24;

/// Pause between the answer to a call and the next call for the step, unless that names workers for
/// the first time.
constexpr milliseconds callPause {150};

/// What is known of a worker from earlier answers, the most promising first.
enum class advice_rank : std::uint8_t { permitted, unknown, denied };

/// Returns the last answer about the worker's present process, whether it is valid or not; null if
/// there is none.
const worker_advice *findAdvice(const step_tickets &tickets, const worker_status &worker)
{
    const auto found = tickets.adviceByWorker.find(worker.entry.id);
    return found == tickets.adviceByWorker.end() || found->second.incarnation != worker.incarnation
               ? nullptr
               : &found->second;
}

advice_rank rankOf(const worker_advice *advice)
{
    if (advice == nullptr) {
        return advice_rank::unknown;
    }
    return advice->ticket.empty() ? advice_rank::denied : advice_rank::permitted;
}

/// Returns the index of the first task of the step that waits; 0 if none does.
int firstWaitingTask(const waiting_step &where)
{
    const auto &tasks =
        where.job->occurrences.at(where.occurrence).steps[static_cast<std::size_t>(where.step)];
    const auto first =
        findFirst(tasks, [](const task_entry &task) { return task.phase == task_phase::waiting; });
    return static_cast<int>(first.value_or(0));
}

} // namespace

const std::string *findTicket(const step_tickets &tickets, const worker_status &worker, instant now)
{
    const auto *const advice = findAdvice(tickets, worker);
    return advice == nullptr || advice->ticket.empty() || advice->validUntil <= now
               ? nullptr
               : &advice->ticket;
}

bool hasTicket(const step_tickets &tickets, instant now)
{
    return std::any_of(tickets.adviceByWorker.begin(), tickets.adviceByWorker.end(),
                       [now](const auto &each) {
                           return !each.second.ticket.empty() && each.second.validUntil > now;
                       });
}

bool isDenied(const step_tickets &tickets, const worker_status &worker)
{
    return rankOf(findAdvice(tickets, worker)) == advice_rank::denied;
}

std::vector<std::string> workersToAskAbout(const fleet_tables &tables,
                                           const pool_candidates &candidates,
                                           const waiting_step &where, const step_tickets &tickets,
                                           advice_scope scope, instant now)
{
    const int index = firstWaitingTask(where);
    std::vector<std::tuple<bool, bool, advice_rank, std::int64_t, std::string>> ranked;
    for (const auto *const worker : candidates.usable) {
        const auto *const advice = findAdvice(tickets, *worker);
        if (!isSuitable(*worker, where, nullptr, now)
            || (advice != nullptr && advice->validUntil > now)) {
            continue;
        }
        const bool ready = canTakeTask(tables, *worker, where, index, nullptr, now);
        if (ready || scope == advice_scope::suitable) {
            const auto rank = rankOf(advice);
            ranked.emplace_back(rank == advice_rank::denied, !ready, rank, worker->held.cpuMillis,
                                worker->entry.id);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), maxAdvisedWorkers));
    std::vector<std::string> ids;
    ids.reserve(ranked.size());
    for (auto &row : ranked) {
        ids.push_back(std::move(std::get<std::string>(row)));
    }
    return ids;
}

void recordAdviceCall(step_tickets &tickets, const fleet_tables &tables,
                      const std::vector<std::string> &workers, instant now)
{
    advice_call call;
    call.sentAt = now;
    for (const auto &id : workers) {
        const auto &worker = tables.workers.at(id);
        call.namesNew = call.namesNew || findAdvice(tickets, worker) == nullptr;
        call.incarnations.emplace(id, worker.incarnation);
    }
    tickets.openCall = std::move(call);
}

void recordAdvice(step_tickets &tickets, const result<ticket_reply> &answer, instant now)
{
    const auto call = *std::exchange(tickets.openCall, std::nullopt);
    tickets.nextRequestAt = now + callPause;
    if (!answer) {
        return;
    }
    // A denial holds as long as a ticket.
    const auto validUntil = call.sentAt + answer->validity;
    for (const auto &[id, incarnation] : call.incarnations) {
        tickets.adviceByWorker[id] = {incarnation, {}, validUntil};
    }
    for (const auto &each : answer->tickets) {
        if (call.incarnations.count(each.worker) > 0) {
            tickets.adviceByWorker.at(each.worker).ticket = each.proof;
        }
    }
    if (call.namesNew && !hasTicket(tickets, now)) {
        tickets.nextRequestAt = now;
    }
}

} // namespace ibishinge::fleet
