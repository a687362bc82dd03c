#pragma once

#include <ibishinge/decision/ledger.h>

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace ibishinge {

/// Answers of requests that finished in this process a moment ago. They bridge the time until
/// `request_ledger::finishLater` has written the record, during which a repetition of the request
/// would be told "in progress". Thread-safe.
class recent_answers
{
public:
    /// With answers of at most `maxStoredResponseBytes` this is about 4 MB.
    static constexpr std::size_t capacity = 1024;

    /// Notes an answer; drops the oldest one above `capacity`. Larger answers are not kept.
    void note(const std::string &key, const std::string &bodyHash, const stored_response &answer);

    /// Returns the answer of the request with this ledger key and body hash.
    [[nodiscard]] std::optional<stored_response> find(const std::string &key,
                                                      const std::string &bodyHash) const;

private:
    struct noted_answer
    {
        std::string bodyHash;
        stored_response answer;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, noted_answer> m_answers;
    std::deque<std::string> m_order;
};

} // namespace ibishinge
