#pragma once

#include <algorithm>
#include <cstddef>
#include <set>
#include <vector>

namespace ibishinge {

/// Input of `exact_shares`: demands and bounds of the teams, and slots of the services.
struct share_problem
{
    std::vector<double> weights; ///< by team
    std::vector<int> caps; ///< largest total number of slots, by team
    std::vector<std::vector<int>> wants; ///< demanded slots, by team and service
    std::vector<int> slots; ///< by service
};

/// Computes exact weighted max-min fair shares in whole slots with augmenting paths. One slot at a
/// time is assigned to the team with the lowest use relative to its weight that can get another
/// one, if necessary by moving slots of other teams to other services without changing their
/// totals.
class exact_shares
{
public:
    /// Precondition: `problem` outlives this object.
    explicit exact_shares(const share_problem &problem)
        : m_problem(problem)
        , m_held(problem.weights.size(), std::vector<int>(problem.slots.size(), 0))
        , m_free(problem.slots)
    {
    }

    /// Returns the number of slots of each team. Must be called only once.
    [[nodiscard]] std::vector<int> solve()
    {
        std::vector<int> totals(m_problem.weights.size(), 0);
        std::set<std::size_t> open;
        for (std::size_t t = 0; t < totals.size(); ++t) {
            open.insert(t);
        }
        while (!open.empty()) {
            const std::size_t lowest =
                *std::min_element(open.begin(), open.end(), [&](std::size_t a, std::size_t b) {
                    return totals[a] / m_problem.weights[a] < totals[b] / m_problem.weights[b];
                });
            std::set<std::size_t> visited;
            if (totals[lowest] < m_problem.caps[lowest] && augment(lowest, visited)) {
                ++totals[lowest];
            } else {
                open.erase(lowest);
            }
        }
        return totals;
    }

private:
    bool augment(std::size_t team, std::set<std::size_t> &visited) // NOLINT(misc-no-recursion)
    {
        for (std::size_t s = 0; s < m_free.size(); ++s) {
            if (m_held[team][s] >= m_problem.wants[team][s] || !visited.insert(s).second) {
                continue;
            }
            if (m_free[s] > 0) {
                --m_free[s];
                ++m_held[team][s];
                return true;
            }
            for (std::size_t other = 0; other < m_held.size(); ++other) {
                if (other != team && m_held[other][s] > 0 && augment(other, visited)) {
                    --m_held[other][s];
                    ++m_held[team][s];
                    return true;
                }
            }
        }
        return false;
    }

    const share_problem &m_problem;
    std::vector<std::vector<int>> m_held;
    std::vector<int> m_free;
};

} // namespace ibishinge
