#include "standins/virtual_platform.h"

#include <ibishinge/fleet/record_writer.h>
#include <ibishinge/fleet/store_writer.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <optional>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

/// Records of a few jobs, written by successive coordinators to a store that loses answers and
/// carries out writes late.
class job_records_world
{
public:
    enum class record_status : std::uint8_t { none, submitted, stored, refused, ending, ended };

    job_records_world()
    {
        changeLeader();
    }

    void step(std::uint8_t choice)
    {
        const auto job = static_cast<std::size_t>(choice / 8 % jobs);
        switch (choice % 8) {
        case 0:
        case 1:
            submit(job);
            break;
        case 2:
            progress(job);
            break;
        case 3:
            end(job);
            break;
        case 4:
            m_platform.delayCommits = 1 + choice / 64;
            m_platform.commitDelay = milliseconds(400 * (1 + choice / 16 % 8));
            break;
        case 5:
            m_platform.loseCommits = 1;
            break;
        case 6:
            m_platform.refuseCommits = !m_platform.refuseCommits;
            break;
        case 7:
            if (choice >= 192) {
                changeLeader();
            } else {
                m_loop.run(milliseconds(choice * 8));
            }
            break;
        }
        m_loop.run(milliseconds(choice % 32));
    }

    /// Ends all injected faults and runs until every delayed write has been carried out.
    void runPendingWrites()
    {
        m_platform.refuseCommits = false;
        m_platform.delayCommits = 0;
        m_platform.loseCommits = 0;
        m_loop.run(10s);
    }

    void check()
    {
        for (std::size_t job = 0; job < jobs; ++job) {
            const bool live = exists("fleet/job/", job);
            const bool ended = exists("fleet/ended/", job);
            switch (m_statuses[job]) {
            case record_status::none:
            case record_status::refused:
                RC_ASSERT(!live);
                RC_ASSERT(!ended);
                break;
            case record_status::stored:
                RC_ASSERT(live);
                break;
            case record_status::ended:
                RC_ASSERT(ended);
                RC_ASSERT(!live);
                RC_ASSERT(!exists("fleet/progress/", job));
                break;
            case record_status::submitted:
            case record_status::ending:
                RC_FAIL("a write stays open although the store answers");
            }
        }
    }

private:
    static constexpr std::size_t jobs = 4;

    [[nodiscard]] bool exists(const std::string &prefix, std::size_t job) const
    {
        return m_world.items.count(prefix + std::to_string(job)) > 0;
    }

    void submit(std::size_t job)
    {
        if (m_statuses[job] != record_status::none && m_statuses[job] != record_status::refused) {
            return;
        }
        m_statuses[job] = record_status::submitted;
        write_unit unit;
        unit.changes.push_back({"fleet/job/" + std::to_string(job), "job"});
        unit.guards.push_back("fleet/ended/" + std::to_string(job));
        unit.droppable = true;
        unit.done = [this, job, term = m_term](const result<void> &stored) {
            if (term == m_term) {
                m_statuses[job] = stored ? record_status::stored : record_status::refused;
            }
        };
        m_writer->add(std::to_string(job), std::move(unit));
    }

    void progress(std::size_t job)
    {
        if (m_statuses[job] != record_status::stored) {
            return;
        }
        write_unit unit;
        unit.changes.push_back(
            {"fleet/progress/" + std::to_string(job), std::to_string(++m_progress)});
        unit.guards.push_back("fleet/job/" + std::to_string(job));
        m_writer->add(std::to_string(job), std::move(unit));
    }

    void end(std::size_t job)
    {
        if (m_statuses[job] != record_status::stored) {
            return;
        }
        m_statuses[job] = record_status::ending;
        write_unit unit;
        unit.changes.push_back({"fleet/ended/" + std::to_string(job), "ended"});
        unit.changes.push_back({"fleet/job/" + std::to_string(job), std::nullopt});
        unit.changes.push_back({"fleet/progress/" + std::to_string(job), std::nullopt});
        unit.done = [this, job, term = m_term](const result<void> &stored) {
            if (term == m_term && stored) {
                m_statuses[job] = record_status::ended;
            }
        };
        m_writer->add(std::to_string(job), std::move(unit));
    }

    void changeLeader()
    {
        ++m_term;
        if (m_writer) {
            m_writer->close();
        }
        m_world.putItem("leader", std::to_string(m_term), 0);
        m_writer = std::make_unique<record_writer>(
            m_platform, m_loop, store_condition {"leader", m_world.items.at("leader").revision}, 4,
            [] {});
        for (const auto &[key, item] : m_world.items) {
            if (key.starts_with("fleet/")) {
                m_writer->setKnownRevision(key.substr(key.rfind('/') + 1), key, item.revision);
            }
        }
        for (std::size_t job = 0; job < jobs; ++job) {
            const bool open = m_statuses[job] == record_status::submitted
                              || m_statuses[job] == record_status::ending;
            if (open) {
                m_statuses[job] = exists("fleet/ended/", job) ? record_status::ended
                                  : exists("fleet/job/", job) ? record_status::stored
                                                              : record_status::none;
            }
        }
    }

    standin::virtual_loop m_loop;
    standin::virtual_world m_world {m_loop};
    standin::virtual_platform m_platform {m_world};
    std::unique_ptr<record_writer> m_writer;
    int m_term = 0;
    int m_progress = 0;
    std::array<record_status, jobs> m_statuses {};
};

} // namespace

/// Guards against writes that are lost, applied twice or overwritten by older ones when the store
/// loses answers, carries out writes late or reports conflicts, and against writes after the
/// coordinator has lost its leader record.
class store_writer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_writer_test);
    CPPUNIT_TEST(unitsShareATransaction);
    CPPUNIT_TEST(retryResolvesLostAnswer);
    CPPUNIT_TEST(lateWriteDoesNotOverwriteNewerOne);
    CPPUNIT_TEST(droppableUnitFailsOnlyIfCertainlyNotStored);
    CPPUNIT_TEST(writerThatLostLeadershipWritesNothing);
    CPPUNIT_TEST(barrierCompletesAfterEarlierWrites);
    CPPUNIT_TEST(lateCopyDoesNotRecreateDeletedKey);
    CPPUNIT_TEST(onlyUnitWithChangedGuardFails);
    CPPUNIT_TEST(waitingChangesOfOneRecordAreWrittenOnce);
    CPPUNIT_TEST(changeIsNotMovedAheadOfLaterUnits);
    CPPUNIT_TEST(recordsMatchJobStatusUnderFaults);
    CPPUNIT_TEST_SUITE_END();

    standin::virtual_loop m_loop;
    standin::virtual_world m_world {m_loop};
    standin::virtual_platform m_platform {m_world};
    std::shared_ptr<store_writer> m_writer;
    int m_leadershipLosses = 0;

    write_unit put(const std::string &key, const std::string &value,
                   std::optional<bool> *stored = nullptr, bool droppable = false)
    {
        write_unit unit;
        unit.changes.push_back({key, value});
        unit.droppable = droppable;
        unit.done = [stored](const result<void> &outcome) {
            if (stored != nullptr) {
                *stored = outcome.has_value();
            }
        };
        return unit;
    }

public:
    void setUp() override
    {
        m_world.putItem("leader", "me", 0);
        m_writer =
            store_writer::make(m_platform, m_loop, {"leader", m_world.items.at("leader").revision},
                               [this] { ++m_leadershipLosses; });
    }

    void unitsShareATransaction()
    {
        for (int i = 0; i < 15; ++i) {
            m_writer->add(put("key" + std::to_string(i), "value"));
        }
        m_loop.run(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {16}, m_world.items.size());
        CPPUNIT_ASSERT(m_world.transactions <= 2);
    }

    void retryResolvesLostAnswer()
    {
        std::optional<bool> stored;
        m_platform.loseCommits = 1;
        m_writer->add(put("key", "value", &stored));
        m_loop.run(2s);
        CPPUNIT_ASSERT(stored == true);
        CPPUNIT_ASSERT_EQUAL(1, m_world.transactions);
    }

    void lateWriteDoesNotOverwriteNewerOne()
    {
        m_writer->add(put("key", "one"));
        m_loop.run(100ms);
        const auto late = store_transaction {{{"leader", m_world.items.at("leader").revision},
                                              {"key", m_world.items.at("key").revision}},
                                             {{"key", "two", 0}},
                                             {}};
        m_writer->add(put("key", "three"));
        m_loop.run(100ms);
        m_world.apply(late);
        CPPUNIT_ASSERT_EQUAL(std::string("three"), m_world.items.at("key").value);
    }

    void droppableUnitFailsOnlyIfCertainlyNotStored()
    {
        std::optional<bool> stored;
        m_platform.storeCut = true; // no answer: the write may still be applied
        m_writer->add(put("key", "value", &stored, true));
        m_loop.run(2s);
        CPPUNIT_ASSERT(!stored.has_value());
        m_platform.storeCut = false;
        m_loop.run(2s);
        CPPUNIT_ASSERT(stored == true);

        stored.reset();
        m_platform.refuseCommits = true; // the write is certainly not applied
        m_writer->add(put("other", "value", &stored, true));
        m_loop.run(100ms);
        CPPUNIT_ASSERT(stored == false);
    }

    void writerThatLostLeadershipWritesNothing()
    {
        m_world.putItem("leader", "other", 0);
        std::optional<bool> stored;
        m_writer->add(put("key", "value", &stored));
        m_loop.run(1s);
        CPPUNIT_ASSERT(stored == false);
        CPPUNIT_ASSERT_EQUAL(1, m_leadershipLosses);
        CPPUNIT_ASSERT(m_world.items.count("key") == 0);
    }

    void barrierCompletesAfterEarlierWrites()
    {
        std::vector<std::string> order;
        write_unit unit = put("key", "value");
        unit.done = [&](const result<void> &) { order.emplace_back("unit"); };
        m_writer->add(std::move(unit));
        m_writer->addBarrier([&](const result<void> &) { order.emplace_back("mark"); });
        CPPUNIT_ASSERT(order.empty());
        m_loop.run(200ms);
        CPPUNIT_ASSERT(order == (std::vector<std::string> {"unit", "mark"}));
    }

    void lateCopyDoesNotRecreateDeletedKey()
    {
        m_platform.delayCommits = 1;
        auto created = put("key", "value");
        created.guards.emplace_back("end");
        m_writer->add(std::move(created));
        m_loop.run(1s);
        write_unit ended = put("end", "value");
        ended.changes.push_back({"key", std::nullopt});
        m_writer->add(std::move(ended));
        m_loop.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_world.items.count("end"));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_world.items.count("key"));
    }

    void onlyUnitWithChangedGuardFails()
    {
        m_world.putItem("end", "of another writer", 0);
        std::optional<bool> first;
        std::optional<bool> second;
        auto guarded = put("one", "value", &first);
        guarded.guards.emplace_back("end");
        m_writer->add(put("zero", "value"));
        m_writer->add(std::move(guarded));
        m_writer->add(put("two", "value", &second));
        m_loop.run(1s);
        CPPUNIT_ASSERT(first == false);
        CPPUNIT_ASSERT(second == true);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_world.items.count("one"));
    }

    /// Guards against writing a record once for each of its changes: a maintenance wave over
    /// 561 hosts changed its record 1,100 times, one transaction each, and writes of jobs with the
    /// same writer waited 10 s behind them.
    void waitingChangesOfOneRecordAreWrittenOnce()
    {
        int done = 0;
        for (int i = 0; i < 500; ++i) {
            auto unit = put("wave", std::to_string(i));
            unit.done = [&](const result<void> &stored) { done += stored ? 1 : 0; };
            m_writer->add(std::move(unit));
        }
        std::optional<bool> stored;
        m_writer->add(put("job", "value", &stored));
        m_loop.run(20ms);
        CPPUNIT_ASSERT(stored == true);
        CPPUNIT_ASSERT_EQUAL(500, done);
        CPPUNIT_ASSERT(m_world.transactions <= 2);
        CPPUNIT_ASSERT_EQUAL(std::string("499"), m_world.items.at("wave").value);
    }

    void changeIsNotMovedAheadOfLaterUnits()
    {
        m_writer->add(put("first", "value")); // in flight
        m_writer->add(put("key", "one"));
        auto ended = put("end", "value");
        ended.changes.push_back({"key", std::nullopt});
        m_writer->add(std::move(ended));
        // Must not be moved ahead of the unit that deletes the key.
        m_writer->add(put("key", "two"));
        m_loop.run(200ms);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), m_world.items.at("key").value);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_world.items.count("end"));
    }

    void recordsMatchJobStatusUnderFaults()
    {
        CPPUNIT_ASSERT(rc::check("records match the status of their jobs", [] {
            const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(
                *rc::gen::inRange(10, 120), rc::gen::arbitrary<std::uint8_t>());
            job_records_world world;
            for (const auto step : steps) {
                world.step(step);
            }
            world.runPendingWrites();
            world.check();
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_writer_test);
