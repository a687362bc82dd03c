#include <ibishinge/outside/receive_budget.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace ibishinge {

namespace {

using std::chrono::milliseconds;

/// Ordinary bodies arrive whole within less.
constexpr milliseconds minReclaimAge {1000};

/// Descriptions of jobs have a few kilobytes.
constexpr std::size_t smallRequestBytes = 16U << 10U;
constexpr std::size_t smallRequestShare = 8;

/// How long an address that was refused counts as waiting.
constexpr milliseconds refusedWaits {1000};

/// Other processes give up sooner than this.
constexpr milliseconds progressGrace {5000};
constexpr std::size_t minBytesPerSecond = 256;

constexpr milliseconds minWaitOfClosed {1000};

struct candidate
{
    receive_number number = 0;
    std::size_t bytes = 0;
    bool small = false;
    double bytesPerMs = 0;
};

std::size_t usedBy(const receive_state &state, const std::string &address)
{
    const auto found = state.usedByAddress.find(address);
    return found == state.usedByAddress.end() ? 0 : found->second;
}

bool anotherWaits(const receive_state &state, const std::string &address, instant now)
{
    return state.refusedAt && state.refusedAddress != address
           && now - *state.refusedAt < refusedWaits;
}

/// Returns the address that takes more than half of the bound, if any.
const std::string *findBeyondShare(const receive_state &state)
{
    for (const auto &[address, used] : state.usedByAddress) {
        if (used > state.totalBytes / 2) {
            return &address;
        }
    }
    return nullptr;
}

/// Returns the unfinished requests that may be ended for one of `address`, in any order.
std::vector<candidate> findCandidates(const receive_state &state, receive_number number,
                                      const std::string &address, instant now)
{
    std::vector<candidate> found;
    const auto *const beyondShare =
        usedBy(state, address) < state.totalBytes / 2 ? findBeyondShare(state) : nullptr;
    for (const auto &[each, request] : state.requests) {
        if (each == number || request.complete || request.chargedBytes == 0) {
            continue;
        }
        const auto age = now - request.since;
        if (age >= minReclaimAge || (beyondShare != nullptr && request.address == *beyondShare)) {
            const auto ageMs = static_cast<double>(std::max<std::int64_t>(1, age.count()));
            found.push_back({each, request.chargedBytes, request.chargedBytes <= smallRequestBytes,
                             static_cast<double>(request.readBytes) / ageMs});
        }
    }
    return found;
}

/// Orders a heap of candidates: large ones before small ones, each slowest first. On a narrow link,
/// an ordinary request is slower than a large body that was sent at once and then stopped, and
/// ending it frees little.
bool isEndedLater(const candidate &a, const candidate &b)
{
    return std::tuple(a.small, a.bytesPerMs, a.number)
           > std::tuple(b.small, b.bytesPerMs, b.number);
}

} // namespace

charge_decision decideCharge(const receive_state &state, receive_number number, std::size_t bytes,
                             instant now)
{
    const auto &request = state.requests.at(number);
    const auto &address = request.address;
    const bool small = request.chargedBytes + bytes <= smallRequestBytes;
    const auto bound =
        small ? state.totalBytes : state.totalBytes - state.totalBytes / smallRequestShare;
    if (!small && usedBy(state, address) + bytes > state.totalBytes / 2
        && anotherWaits(state, address, now)) {
        return {};
    }
    if (state.usedBytes + bytes <= bound) {
        return {true, {}};
    }
    if (!request.mayReclaim) {
        return {};
    }
    auto candidates = findCandidates(state, number, address, now);
    std::size_t reclaimable = 0;
    for (const auto &each : candidates) {
        reclaimable += each.bytes;
    }
    if (state.usedBytes - reclaimable + bytes > bound) {
        return {};
    }
    // Usually a few of thousands are ended, so that sorting all of them would be a waste.
    std::make_heap(candidates.begin(), candidates.end(), isEndedLater);
    charge_decision decision {true, {}};
    for (std::size_t freed = 0; state.usedBytes - freed + bytes > bound; candidates.pop_back()) {
        std::pop_heap(candidates.begin(), candidates.end(), isEndedLater);
        decision.reclaimed.push_back(candidates.back().number);
        freed += candidates.back().bytes;
    }
    return decision;
}

bool isWithoutProgress(std::size_t readBytes, std::optional<std::size_t> announcedBytes,
                       instant since, instant now) noexcept
{
    const auto age = now - since;
    const bool small = announcedBytes && *announcedBytes <= smallRequestBytes;
    return !small && age >= progressGrace
           && readBytes < minBytesPerSecond * static_cast<std::size_t>(age.count()) / 1000;
}

std::vector<int> chooseClosed(std::vector<waiting_connection> waiting, std::size_t open,
                              std::size_t maxConnections, instant now)
{
    const auto kept = maxConnections - maxConnections / 8;
    if (open <= kept) {
        return {};
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const auto &a, const auto &b) { return a.since < b.since; });
    std::vector<int> closed;
    for (const auto &each : waiting) {
        if (closed.size() == open - kept || now - each.since < minWaitOfClosed) {
            break;
        }
        closed.push_back(each.descriptor);
    }
    return closed;
}

std::string_view nameOf(shed_reason reason) noexcept
{
    constexpr std::array<std::string_view, 4> names {"refused", "reclaimed", "no_progress",
                                                     "connections"};
    return names.at(static_cast<std::size_t>(reason));
}

receive_budget::receive_budget(std::size_t totalBytes)
{
    m_state.totalBytes = totalBytes;
}

void receive_budget::onShed(std::function<void(const shed_request &)> observer)
{
    m_observer = std::move(observer);
}

receive_number receive_budget::open(const std::string &address, instant since, bool mayReclaim,
                                    std::function<void()> end)
{
    const auto number = ++m_last;
    m_state.requests[number] = {address, 0, 0, since, false, mayReclaim};
    m_ends[number] = std::move(end);
    return number;
}

bool receive_budget::charge(receive_number number, std::size_t bytes, instant now)
{
    const auto found = m_state.requests.find(number);
    if (found == m_state.requests.end()) {
        return false;
    }
    const auto decision = decideCharge(m_state, number, bytes, now);
    for (const auto each : decision.reclaimed) {
        const auto &other = m_state.requests.at(each);
        const shed_request shed {other.address, other.chargedBytes, now - other.since,
                                 shed_reason::reclaimed};
        const auto end = std::move(m_ends.at(each));
        release(each);
        end();
        report(shed);
    }
    auto &request = found->second;
    if (decision.granted) {
        setCharge(request, request.chargedBytes + bytes);
        return true;
    }
    if (usedBy(m_state, request.address) < m_state.totalBytes / 2) {
        m_state.refusedAddress = request.address;
        m_state.refusedAt = now;
    }
    report(
        {request.address, request.chargedBytes + bytes, now - request.since, shed_reason::refused});
    release(number);
    return false;
}

void receive_budget::addRead(receive_number number, std::size_t bytes)
{
    const auto found = m_state.requests.find(number);
    if (found != m_state.requests.end()) {
        found->second.readBytes += bytes;
    }
}

void receive_budget::setComplete(receive_number number)
{
    const auto found = m_state.requests.find(number);
    if (found != m_state.requests.end()) {
        found->second.complete = true;
    }
}

void receive_budget::release(receive_number number)
{
    const auto found = m_state.requests.find(number);
    if (found != m_state.requests.end()) {
        setCharge(found->second, 0);
        m_state.requests.erase(found);
        m_ends.erase(number);
    }
}

void receive_budget::setCharge(received_request &request, std::size_t bytes)
{
    m_state.usedBytes += bytes - request.chargedBytes;
    auto &used = m_state.usedByAddress[request.address];
    used += bytes - request.chargedBytes;
    request.chargedBytes = bytes;
    if (used == 0) {
        m_state.usedByAddress.erase(request.address);
    }
}

void receive_budget::report(const shed_request &shed) const
{
    if (m_observer) {
        m_observer(shed);
    }
}

std::size_t receive_budget::usedBytes() const noexcept
{
    return m_state.usedBytes;
}

} // namespace ibishinge
