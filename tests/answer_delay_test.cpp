#include <ibishinge/fleet/answer_delay.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr instant start {1000s};

} // namespace

/// The typical delay of answers, from which a coordinator tells that its link is full.
class answer_delay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answer_delay_test);
    CPPUNIT_TEST(delayOfAllAnswersIsTypical);
    CPPUNIT_TEST(slowWorkersAreNotTypical);
    CPPUNIT_TEST(ordersOfOneWorkerCountOnce);
    CPPUNIT_TEST(fewAnswersTellNothing);
    CPPUNIT_TEST(oldAnswersAreForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void delayOfAllAnswersIsTypical()
    {
        answer_delay answers;
        for (int i = 0; i < 20; ++i) {
            recordAnswer(answers, std::to_string(i), 600ms, start + i * 10ms);
        }
        CPPUNIT_ASSERT(typicalDelay(answers, start + 200ms) == 600ms);
    }

    /// Guards against an admission that is limited because half of the workers do not answer.
    void slowWorkersAreNotTypical()
    {
        answer_delay answers;
        for (int i = 0; i < 20; ++i) {
            recordAnswer(answers, std::to_string(i), i % 2 == 0 ? 20ms : 450ms, start + i * 10ms);
        }
        CPPUNIT_ASSERT(typicalDelay(answers, start + 200ms) == 20ms);
    }

    /// Guards against an admission that is limited because many orders to one silent worker fail.
    void ordersOfOneWorkerCountOnce()
    {
        answer_delay answers;
        for (int i = 0; i < 12; ++i) {
            recordAnswer(answers, std::to_string(i), 20ms, start + i * 10ms);
        }
        for (int i = 0; i < 100; ++i) {
            recordAnswer(answers, "silent", 450ms, start + i * 2ms);
        }
        CPPUNIT_ASSERT(typicalDelay(answers, start + 200ms) == 20ms);
    }

    void fewAnswersTellNothing()
    {
        answer_delay answers;
        for (int i = 0; i < 4; ++i) {
            recordAnswer(answers, std::to_string(i), 450ms, start);
        }
        CPPUNIT_ASSERT(typicalDelay(answers, start) == 0ms);
    }

    void oldAnswersAreForgotten()
    {
        answer_delay answers;
        for (int i = 0; i < 20; ++i) {
            recordAnswer(answers, std::to_string(i), 600ms, start);
        }
        CPPUNIT_ASSERT(typicalDelay(answers, start + 1s) == 0ms);
        recordAnswer(answers, "fast", 20ms, start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, answers.samples.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_delay_test);
