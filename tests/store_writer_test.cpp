#include "standins/virtual_platform.h"

#include <ibishinge/fleet/store_writer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

/// Writes of a coordinator through lost answers, conflicts and the loss of its record.
class store_writer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_writer_test);
    CPPUNIT_TEST(unitsShareATransaction);
    CPPUNIT_TEST(lostAnswerIsResolvedByTheRepetition);
    CPPUNIT_TEST(lateWriteDoesNotUndoANewerOne);
    CPPUNIT_TEST(droppableUnitIsGivenUpOnlyIfCertain);
    CPPUNIT_TEST(deposedWriterWritesNothing);
    CPPUNIT_TEST(markComesAfterWhatWasAddedBefore);
    CPPUNIT_TEST_SUITE_END();

    standin::virtual_loop m_loop;
    standin::virtual_world m_world {m_loop};
    standin::virtual_platform m_platform {m_world};
    std::shared_ptr<store_writer> m_writer;
    int m_deposed = 0;

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
                               [this] { ++m_deposed; });
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

    void lostAnswerIsResolvedByTheRepetition()
    {
        std::optional<bool> stored;
        m_platform.loseCommits = 1;
        m_writer->add(put("key", "value", &stored));
        m_loop.run(2s);
        CPPUNIT_ASSERT(stored == true);
        CPPUNIT_ASSERT_EQUAL(1, m_world.transactions);
    }

    void lateWriteDoesNotUndoANewerOne()
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

    void droppableUnitIsGivenUpOnlyIfCertain()
    {
        std::optional<bool> stored;
        m_platform.storeCut = true; // no answer: it may land
        m_writer->add(put("key", "value", &stored, true));
        m_loop.run(2s);
        CPPUNIT_ASSERT(!stored.has_value());
        m_platform.storeCut = false;
        m_loop.run(2s);
        CPPUNIT_ASSERT(stored == true);

        stored.reset();
        m_platform.refuseCommits = true; // certainly not done
        m_writer->add(put("other", "value", &stored, true));
        m_loop.run(100ms);
        CPPUNIT_ASSERT(stored == false);
    }

    void deposedWriterWritesNothing()
    {
        m_world.putItem("leader", "other", 0);
        std::optional<bool> stored;
        m_writer->add(put("key", "value", &stored));
        m_loop.run(1s);
        CPPUNIT_ASSERT(stored == false);
        CPPUNIT_ASSERT_EQUAL(1, m_deposed);
        CPPUNIT_ASSERT(m_world.items.count("key") == 0);
    }

    void markComesAfterWhatWasAddedBefore()
    {
        std::vector<std::string> order;
        write_unit unit = put("key", "value");
        unit.done = [&](const result<void> &) { order.emplace_back("unit"); };
        m_writer->add(std::move(unit));
        m_writer->addMark([&](const result<void> &) { order.emplace_back("mark"); });
        CPPUNIT_ASSERT(order.empty());
        m_loop.run(200ms);
        CPPUNIT_ASSERT(order == (std::vector<std::string> {"unit", "mark"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_writer_test);
