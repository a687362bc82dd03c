#include <ibishinge/base/error.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

using namespace ibishinge;

/// Guards against a kind without its own row in the answer table.
class error_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(error_test);
    CPPUNIT_TEST(everyKindHasItsOwnAnswer);
    CPPUNIT_TEST(kindConvertsToErrorCode);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyKindHasItsOwnAnswer()
    {
        std::set<std::string_view> names;
        for (int value = 1; value <= static_cast<int>(error_kind::internal); ++value) {
            const auto kind = static_cast<error_kind>(value);
            CPPUNIT_ASSERT(answerFor(kind).kind == kind);
            CPPUNIT_ASSERT(answerFor(kind).httpStatus >= 400);
            names.insert(nameOf(kind));
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(error_kind::internal), names.size());
    }

    void kindConvertsToErrorCode()
    {
        const std::error_code code = error_kind::over_limit;
        CPPUNIT_ASSERT_EQUAL(std::string("ibishinge"), std::string(code.category().name()));
        CPPUNIT_ASSERT_EQUAL(std::string("over_limit"), code.message());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_test);
