#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/admission.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

/// Admission while the capacity of workers is not known: the roster, which a new coordinator reads,
/// does not contain it.
class unknown_capacity_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unknown_capacity_test);
    CPPUNIT_TEST(workerOfTheRosterRejectsNoJobForGood);
    CPPUNIT_TEST(knownCapacitiesRejectALargeJob);
    CPPUNIT_TEST_SUITE_END();

    fleet_tables m_tables;
    queue_config m_queue;

    [[nodiscard]] admission_verdict verdict() const
    {
        job_entry job;
        job.spec = simpleJob(1);
        return decideAdmission(m_tables, job, m_queue, instant {} + 10s).verdict;
    }

public:
    void setUp() override
    {
        m_queue.pool = "pool";
        auto &small = m_tables.workers["small"].entry;
        small.pool = m_queue.pool;
        small.capacity = {1, 1, 0};
    }

    void workerOfTheRosterRejectsNoJobForGood()
    {
        auto &worker = m_tables.workers["of the roster"].entry;
        worker.pool = m_queue.pool;
        worker.host = "host";
        CPPUNIT_ASSERT(verdict() == admission_verdict::accept);

        m_tables.workers.erase("small");
        CPPUNIT_ASSERT(verdict() == admission_verdict::accept);
    }

    void knownCapacitiesRejectALargeJob()
    {
        CPPUNIT_ASSERT(verdict() == admission_verdict::never);

        auto &worker = m_tables.workers["of the roster"].entry;
        worker.pool = m_queue.pool;
        worker.host = "host";
        m_tables.hosts["host"].capacity = {1, 1, 0};
        CPPUNIT_ASSERT(verdict() == admission_verdict::never);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unknown_capacity_test);
