#include <ibishinge/base/processor_time.h>

#include <array>
#include <ctime>
#include <string>
#include <utility>

namespace ibishinge {

namespace {

constexpr std::string_view counterName = "ibishinge_processor_us_total";

constexpr std::array<std::pair<work_kind, std::string_view>, 8> workKindNames {{
    {work_kind::callers, "callers"},
    {work_kind::relay_messages, "relay_messages"},
    {work_kind::worker_reports, "worker_reports"},
    {work_kind::scheduling, "scheduling"},
    {work_kind::pool_sizing, "pool_sizing"},
    {work_kind::maintenance, "maintenance"},
    {work_kind::periodic_checks, "periodic_checks"},
    {work_kind::progress, "progress"},
}};

thread_local processor_time_scope *innermostScope = nullptr;

std::chrono::nanoseconds threadTime() noexcept
{
    timespec used {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

metric_labels labelsOf(work_kind kind)
{
    return {{"work", std::string(nameOf(kind))}};
}

} // namespace

std::string_view nameOf(work_kind kind) noexcept
{
    for (const auto &[each, name] : workKindNames) {
        if (each == kind) {
            return name;
        }
    }
    return {};
}

processor_time_scope::processor_time_scope(metrics_registry &metrics, work_kind kind) noexcept
    : m_metrics(metrics)
    , m_kind(kind)
    , m_outer(std::exchange(innermostScope, this))
    , m_startedAt(threadTime())
{
}

processor_time_scope::~processor_time_scope()
{
    const auto used = threadTime() - m_startedAt;
    innermostScope = m_outer;
    if (m_outer != nullptr) {
        m_outer->m_inner += used;
    }
    const auto own = std::chrono::duration_cast<std::chrono::microseconds>(used - m_inner);
    m_metrics.add(counterName, labelsOf(m_kind), static_cast<std::uint64_t>(own.count()));
}

std::uint64_t processorTimeUs(const metrics_registry &metrics, work_kind kind)
{
    return metrics.counter(counterName, labelsOf(kind));
}

} // namespace ibishinge
