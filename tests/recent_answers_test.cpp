#include <ibishinge/state/recent_answers.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace ibishinge;

/// Guards against an answer being replayed to another request, and against unbounded memory.
class recent_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(recent_answers_test);
    CPPUNIT_TEST(answersOnlyTheSameRequest);
    CPPUNIT_TEST(dropsTheOldestAndLargeOnes);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersOnlyTheSameRequest()
    {
        m_answers.note("request/a/1", "hash", {200, "text/plain", "body"});
        CPPUNIT_ASSERT(m_answers.find("request/a/1", "hash")->body == "body");
        CPPUNIT_ASSERT(!m_answers.find("request/a/1", "other"));
        CPPUNIT_ASSERT(!m_answers.find("request/b/1", "hash"));
    }

    void dropsTheOldestAndLargeOnes()
    {
        for (std::size_t i = 0; i <= recent_answers::capacity; ++i) {
            m_answers.note(std::to_string(i), "hash", {200, "", ""});
        }
        CPPUNIT_ASSERT(!m_answers.find("0", "hash"));
        CPPUNIT_ASSERT(m_answers.find("1", "hash"));
        m_answers.note("large", "hash", {200, "", std::string(maxStoredResponseBytes + 1, 'x')});
        CPPUNIT_ASSERT(!m_answers.find("large", "hash"));
    }

private:
    recent_answers m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(recent_answers_test);
