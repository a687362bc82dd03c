#include <ibishinge/fleet/queueing/pool_outlook.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <queue>
#include <utility>
#include <vector>

namespace ibishinge::fleet {

namespace {

/// Rounding errors below this many cores or core-milliseconds count as zero.
constexpr double negligible = 1e-6;

/// Demand and backlog of the work that shares a limit.
struct group_state
{
    int number = 0;
    double limit = std::numeric_limits<double>::infinity(); ///< cores
    double demand = 0; ///< cores
    double backlog = 0; ///< core-milliseconds that the limit holds up

    /// Returns the cores that the group asks of the pool.
    [[nodiscard]] double outflow() const
    {
        const double most = std::max(limit, 0.0);
        return backlog > negligible ? most : std::min(demand, most);
    }
    /// Returns the time until the backlog is gone.
    [[nodiscard]] double drainTime() const
    {
        const double surplus = std::max(limit, 0.0) - demand;
        return backlog > negligible && surplus > negligible
                   ? backlog / surplus
                   : std::numeric_limits<double>::infinity();
    }
    void advance(double time)
    {
        const double change = (demand - std::max(limit, 0.0)) * time;
        backlog = std::isfinite(change) ? std::max(0.0, backlog + change) : 0;
    }
};

/// A fluid queue: work flows in at the rate of the demand and out at that of the free cores.
class fluid_queue
{
public:
    explicit fluid_queue(const std::map<int, double> &groupCores)
    {
        m_groups.reserve(groupCores.size());
        for (const auto &[number, cores] : groupCores) {
            m_groups.push_back({number, cores, 0, 0});
        }
    }

    /// Returns the group, or null if it has no limit. Valid until the queue is destroyed.
    group_state *find(int number)
    {
        const auto found = std::lower_bound(
            m_groups.begin(), m_groups.end(), number,
            [](const group_state &each, int value) { return each.number < value; });
        return number != 0 && found != m_groups.end() && found->number == number ? &*found
                                                                                 : nullptr;
    }
    void addDemand(int number, double cores)
    {
        auto *group = find(number);
        (group == nullptr ? m_demand : group->demand) += cores;
    }
    void addFree(int number, double cores)
    {
        m_free += cores;
        if (auto *group = find(number)) {
            group->limit += cores;
        }
    }
    [[nodiscard]] double outflow() const
    {
        double sum = m_demand;
        for (const auto &each : m_groups) {
            sum += each.outflow();
        }
        return sum;
    }
    [[nodiscard]] bool hasRoom(const group_state *own, double cores) const
    {
        const bool inPool = m_backlog <= negligible && m_free - outflow() >= cores - negligible;
        const bool inGroup =
            own == nullptr
            || (own->backlog <= negligible && own->limit - own->demand >= cores - negligible);
        return inPool && inGroup;
    }
    /// Returns the time until a backlog is gone, if no event comes first.
    [[nodiscard]] double drainTime() const
    {
        const double surplus = m_free - outflow();
        double time = m_backlog > negligible && surplus > negligible
                          ? m_backlog / surplus
                          : std::numeric_limits<double>::infinity();
        for (const auto &each : m_groups) {
            time = std::min(time, each.drainTime());
        }
        return time;
    }
    void advance(double time)
    {
        m_backlog = std::max(0.0, m_backlog + (outflow() - m_free) * time);
        for (auto &each : m_groups) {
            each.advance(time);
        }
    }

private:
    double m_free = 0; ///< cores
    double m_demand = 0; ///< of work without a limit, in cores
    double m_backlog = 0; ///< core-milliseconds
    std::vector<group_state> m_groups; ///< by number
};

/// End of the promised work of a group.
struct promise_end
{
    double at = 0;
    int group = 0;
    double cores = 0;
};

/// The free cores of a pool over time, as waiting work uses them up.
class supply
{
public:
    explicit supply(const pool_outlook &outlook)
        : m_events(outlook.events)
    {
    }

    /// Returns the time by which the free cores have done `work`, in core-milliseconds; infinity if
    /// they never do. Precondition: `work` is not less than in the call before.
    double timeOf(double work)
    {
        while (m_next < m_events.size()) {
            const auto &event = m_events[m_next];
            const double done = m_done + std::max(m_cores, 0.0) * (event.at - m_time);
            if (event.flow < 0 && event.at > m_time && done >= work) {
                break;
            }
            ++m_next;
            if (event.flow < 0) {
                m_done = done;
                m_time = event.at;
                m_cores += event.cores;
            }
        }
        const double left = work - m_done;
        if (left <= 0) {
            return m_time;
        }
        return m_cores > 0 ? m_time + left / m_cores : std::numeric_limits<double>::infinity();
    }

private:
    const std::vector<outlook_event> &m_events;
    std::size_t m_next = 0;
    double m_time = 0;
    double m_done = 0;
    double m_cores = 0; ///< free
};

} // namespace

bool goesFirst(const work_flow &work, const order_place &place) noexcept
{
    return !work.late && work.objectiveAt <= place.objectiveAt;
}

std::optional<double> findRoom(const pool_outlook &outlook, const order_place &place,
                               const std::map<int, promised_work> &promised, double from, int group,
                               double cores)
{
    fluid_queue queue(outlook.groupCores);
    const auto *const own = queue.find(group);
    std::vector<promise_end> promiseEnds;
    for (const auto &[number, work] : promised) {
        if (work.cores > 0 && work.coreMs > 0) {
            queue.addDemand(number, work.cores);
            promiseEnds.push_back({work.coreMs / work.cores, number, work.cores});
        }
    }
    std::sort(promiseEnds.begin(), promiseEnds.end(),
              [](const auto &a, const auto &b) { return a.at > b.at; });
    constexpr double never = std::numeric_limits<double>::infinity();
    double now = 0;
    auto event = outlook.events.begin();
    while (true) {
        for (; event != outlook.events.end() && event->at <= now; ++event) {
            if (event->flow < 0) {
                queue.addFree(event->group, event->cores);
            } else if (goesFirst(outlook.flows[static_cast<std::size_t>(event->flow)], place)) {
                queue.addDemand(event->group, event->cores);
            }
        }
        while (!promiseEnds.empty() && promiseEnds.back().at <= now) {
            queue.addDemand(promiseEnds.back().group, -promiseEnds.back().cores);
            promiseEnds.pop_back();
        }
        if (now >= from && queue.hasRoom(own, cores)) {
            return now;
        }
        double next = never;
        if (event != outlook.events.end()) {
            next = event->at;
        }
        next = promiseEnds.empty() ? next : std::min(next, promiseEnds.back().at);
        next = now < from ? std::min(next, from) : next;
        // A minimum keeps rounding errors from stopping the time.
        next = std::min(next, now + std::max(queue.drainTime(), negligible));
        if (next == never) {
            return std::nullopt;
        }
        queue.advance(next - now);
        now = next;
    }
}

void setAsideHopelessWork(pool_outlook &outlook, milliseconds tolerance)
{
    auto &flows = outlook.flows;
    std::vector<std::size_t> order; // of the first steps
    for (std::size_t i = 0; i < flows.size(); ++i) {
        if (!flows[i].follows && !flows[i].late) {
            order.push_back(i);
        }
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return flows[a].objectiveAt < flows[b].objectiveAt;
    });
    supply free(outlook);
    // Work of later steps, by its begin.
    std::priority_queue<std::pair<double, double>, std::vector<std::pair<double, double>>,
                        std::greater<>>
        laterWork;
    const auto leeway = static_cast<double>(tolerance.count());
    double work = 0;
    for (const auto index : order) {
        double begin = std::max(free.timeOf(work), flows[index].begin);
        while (!laterWork.empty() && laterWork.top().first <= begin) {
            work += laterWork.top().second;
            laterWork.pop();
            begin = std::max(begin, free.timeOf(work));
        }
        const bool late = begin > flows[index].latestBegin + leeway;
        for (auto i = index; i < flows.size() && (i == index || flows[i].follows); ++i) {
            const double each = (flows[i].end - flows[i].begin) * flows[i].cores;
            flows[i].late = late;
            if (!late && i == index) {
                work += each;
            } else if (!late) {
                laterWork.emplace(begin + flows[i].begin, each);
            }
        }
    }
}

double workAhead(const pool_outlook &outlook, const order_place &place)
{
    double sum = 0;
    for (const auto &flow : outlook.flows) {
        sum += goesFirst(flow, place) ? (flow.end - flow.begin) * flow.cores : 0;
    }
    return sum;
}

double coresAt(const pool_outlook &outlook, double time)
{
    double cores = 0;
    for (const auto &step : outlook.capacity) {
        if (step.at > time) {
            break;
        }
        cores = step.cores;
    }
    return cores;
}

} // namespace ibishinge::fleet
