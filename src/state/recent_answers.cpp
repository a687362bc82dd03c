#include <ibishinge/state/recent_answers.h>

namespace ibishinge {

void recent_answers::note(const std::string &key, const std::string &bodyHash,
                          const stored_response &answer)
{
    if (answer.body.size() > maxStoredResponseBytes) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (!m_answers.emplace(key, noted_answer {bodyHash, answer}).second) {
        return;
    }
    m_order.push_back(key);
    if (m_order.size() > capacity) {
        m_answers.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<stored_response> recent_answers::find(const std::string &key,
                                                    const std::string &bodyHash) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_answers.find(key);
    if (found == m_answers.end() || found->second.bodyHash != bodyHash) {
        return std::nullopt;
    }
    return found->second.answer;
}

} // namespace ibishinge
