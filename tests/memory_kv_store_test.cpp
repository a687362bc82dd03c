#include "standins/memory_kv_store.h"
#include "tests/support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace ibishinge;
using namespace std::chrono_literals;

/// Guards against a store double that is more forgiving than the real store.
class memory_kv_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(memory_kv_store_test);
    CPPUNIT_TEST(writesOfABatchAreDecidedSeparately);
    CPPUNIT_TEST(lostResponseHasTakenEffect);
    CPPUNIT_TEST(expiredLeaseDeletesItsKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    void writesOfABatchAreDecidedSeparately()
    {
        const std::array<conditional_write, 2> writes {
            {{"a", 0, {}, "1", 0}, {"b", 7, {}, "2", 0}}};
        const auto applied = m_store.applyBatch(writes);
        CPPUNIT_ASSERT(applied->outcomes[0].applied);
        CPPUNIT_ASSERT(!applied->outcomes[1].applied);
    }

    void lostResponseHasTakenEffect()
    {
        m_store.setFaultHook([](std::string_view) { return store_fault::lost_response; });
        const std::array<conditional_write, 1> write {{{"a", 0, {}, "1", 0}}};
        CPPUNIT_ASSERT(m_store.applyBatch(write).error().kind == error_kind::outcome_unknown);
        m_store.setFaultHook({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_store.range({"a"})->entries.size());
    }

    void expiredLeaseDeletesItsKeys()
    {
        const auto lease = m_store.grantLease(3s);
        const std::array<conditional_write, 1> write {{{"a", 0, {}, "1", *lease}}};
        CPPUNIT_ASSERT(m_store.applyBatch(write)->outcomes[0].applied);
        m_clock.advance(2s);
        CPPUNIT_ASSERT(m_store.keepAlive(*lease).has_value());
        m_clock.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_store.range({"a"})->entries.size());
        m_clock.advance(1s);
        CPPUNIT_ASSERT(m_store.range({"a"})->entries.empty());
        CPPUNIT_ASSERT(m_store.keepAlive(*lease).error().kind == error_kind::unknown_entity);
    }

private:
    manual_clock m_clock;
    memory_kv_store m_store {m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_kv_store_test);
