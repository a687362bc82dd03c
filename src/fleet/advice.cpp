#include <ibishinge/fleet/advice.h>

#include <algorithm>
#include <tuple>

namespace ibishinge::fleet {

namespace {

/// Maximum number of workers in one call of the advice service; each delays the answer.
constexpr std::size_t maxAdvisedWorkers = 24;

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
    const auto first = std::find_if(tasks.begin(), tasks.end(), [](const task_entry &task) {
        return task.phase == task_phase::waiting;
    });
    return first == tasks.end() ? 0 : static_cast<int>(first - tasks.begin());
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
    std::vector<std::tuple<bool, advice_rank, std::int64_t, std::string>> ranked;
    for (const auto *const worker : candidates.usable) {
        const auto *const advice = findAdvice(tickets, *worker);
        if (!isSuitable(*worker, where, nullptr, now)
            || (advice != nullptr && advice->validUntil > now)) {
            continue;
        }
        const bool ready = canTakeTask(tables, *worker, where, index, nullptr, now);
        if (ready || scope == advice_scope::suitable) {
            ranked.emplace_back(!ready, rankOf(advice), worker->held.cpuMillis, worker->entry.id);
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

bool recordAdviceCall(step_tickets &tickets, const fleet_tables &tables,
                      const std::vector<std::string> &workers)
{
    bool namesNew = false;
    for (const auto &id : workers) {
        const auto &worker = tables.workers.at(id);
        namesNew = namesNew || findAdvice(tickets, worker) == nullptr;
        tickets.asked.emplace(id, worker.incarnation);
    }
    return namesNew;
}

bool recordAdvice(step_tickets &tickets, const ticket_reply &answer, instant sentAt)
{
    // A denial holds as long as a ticket.
    const auto validUntil = sentAt + answer.validity;
    for (const auto &[id, incarnation] : tickets.asked) {
        tickets.adviceByWorker[id] = {incarnation, {}, validUntil};
    }
    bool granted = false;
    for (const auto &each : answer.tickets) {
        if (tickets.asked.count(each.worker) > 0) {
            tickets.adviceByWorker.at(each.worker).ticket = each.proof;
            granted = true;
        }
    }
    tickets.asked.clear();
    return granted;
}

} // namespace ibishinge::fleet
