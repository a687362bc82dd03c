#include <ibishinge/decision/death_proof.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

holder_id holder(const std::string &host, std::uint16_t port, const std::string &incarnation)
{
    return {host, {"127.0.0.1", port}, incarnation};
}

host_list_snapshot listOf(const std::vector<std::string> &ids)
{
    host_list_snapshot list;
    for (const auto &id : ids) {
        listed_host host;
        host.id = id;
        list.hosts.push_back(host);
    }
    return list;
}

} // namespace

/// Guards against freeing the allowance of a process that is frozen, or whose host is not listed
/// yet, and that may still run requests.
class death_proof_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(death_proof_test);
    CPPUNIT_TEST(holderIdRoundTripsThroughText);
    CPPUNIT_TEST(holderIsDeadOnlyWithProof);
    CPPUNIT_TEST(unlistedHostIsDeadAfterGracePeriod);
    CPPUNIT_TEST_SUITE_END();

public:
    void holderIdRoundTripsThroughText()
    {
        CPPUNIT_ASSERT(parseHolderId(toString(m_self)) == m_self);
        for (const char *text : {"jobs/pool", "", "a/b/c", "//", "h/127.0.0.1:1/"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseHolderId(text).has_value());
        }
    }

    void holderIsDeadOnlyWithProof()
    {
        struct row
        {
            const char *name;
            holder_id holder;
            std::vector<std::string> listedBefore;
            std::vector<std::string> listedNow;
            bool dead;
        };
        const std::vector<row> rows {
            {"itself", m_self, {"a"}, {"a"}, false},
            {"predecessor at its address", holder("a", 1, "old"), {"a"}, {"a"}, true},
            {"another live process", holder("b", 2, "x"), {"a", "b"}, {"a", "b"}, false},
            {"host left the list", holder("b", 2, "x"), {"a", "b"}, {"a"}, true},
            {"host never listed", holder("c", 3, "x"), {"a"}, {"a"}, false},
            {"list not read yet", holder("b", 2, "x"), {}, {}, false},
        };
        for (const auto &row : rows) {
            host_list_history history;
            recordHostList(history, listOf(row.listedBefore));
            recordHostList(history, listOf(row.listedNow));
            const auto dead = findDeadHolders(history, {toString(row.holder)}, m_self, m_start);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.dead, !dead.empty());
        }
    }

    void unlistedHostIsDeadAfterGracePeriod()
    {
        host_list_history history;
        recordHostList(history, listOf({"a"}));
        const std::vector<std::string> holders {toString(holder("c", 3, "x"))};
        CPPUNIT_ASSERT(findDeadHolders(history, holders, m_self, m_start).empty());
        CPPUNIT_ASSERT(
            findDeadHolders(history, holders, m_self, m_start + unlistedHostGracePeriod - 1s)
                .empty());
        CPPUNIT_ASSERT(
            !findDeadHolders(history, holders, m_self, m_start + unlistedHostGracePeriod).empty());
    }

private:
    const monotonic_time m_start = monotonic_time {} + 1h;
    const holder_id m_self = holder("a", 1, "new");
};

CPPUNIT_TEST_SUITE_REGISTRATION(death_proof_test);
