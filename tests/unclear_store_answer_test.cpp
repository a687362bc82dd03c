#include "platform/platform_client.h"

#include <ibishinge/outside/http_server.h>
#include <ibishinge/outside/io_loop.h>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace ibishinge::fleet;

/// Guards against a submission that is rejected although its job is stored: an answer of the store
/// that does not say that nothing was done is taken for one that does.
class unclear_store_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unclear_store_answer_test);
    CPPUNIT_TEST(outcomeOfATransaction);
    CPPUNIT_TEST_SUITE_END();

    std::mutex m_mutex;
    http_response m_answer; ///< of the store
    std::unique_ptr<http_server> m_server;

    std::optional<result<transaction_reply>> commit(const http_response &answer)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_answer = answer;
        }
        auto loop = std::move(io_loop::make().value());
        const auto address = "127.0.0.1:" + std::to_string(m_server->port());
        platform::platform_client client(*loop, {address, address, "", "one"});
        std::optional<result<transaction_reply>> outcome;
        store_transaction change;
        change.puts = {{"key", "value", 0}};
        client.commit(change, [&](const result<transaction_reply> &reply) {
            outcome = reply;
            loop->stop();
        });
        loop->run();
        return outcome;
    }

public:
    void setUp() override
    {
        http_server_options options;
        options.address = "127.0.0.1";
        auto server = http_server::start(options, [this](const http_request &) {
            const std::lock_guard lock(m_mutex);
            return m_answer;
        });
        CPPUNIT_ASSERT(server.has_value());
        m_server = std::move(*server);
    }

    void outcomeOfATransaction()
    {
        struct row
        {
            int status;
            std::string body;
            std::optional<error_kind> failure;
        };
        const std::vector<row> rows {
            {200, R"({"revision":7})", std::nullopt},
            {200, "{}", error_kind::outcome_unknown},
            {200, R"({"revi)", error_kind::outcome_unknown},
            {500, "", error_kind::outcome_unknown},
            {502, "", error_kind::outcome_unknown},
            {504, "", error_kind::outcome_unknown},
            {201, "", error_kind::outcome_unknown},
            {202, "", error_kind::outcome_unknown},
            {302, "", error_kind::outcome_unknown},
            {408, "", error_kind::outcome_unknown},
            {503, "", error_kind::unavailable},
            {429, "", error_kind::over_limit},
            {400, "", error_kind::internal},
        };
        for (const auto &each : rows) {
            const auto outcome = commit({each.status, {}, each.body});
            const auto name = std::to_string(each.status) + " " + each.body;
            CPPUNIT_ASSERT_MESSAGE(name, outcome.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, !each.failure, outcome->has_value());
            CPPUNIT_ASSERT_MESSAGE(name, !each.failure || outcome->error().kind == *each.failure);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unclear_store_answer_test);
