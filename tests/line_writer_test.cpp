#include <ibishinge/base/boot_clock.h>
#include <ibishinge/base/line_writer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <ctime>
#include <string>

using namespace ibishinge;
using namespace std::chrono_literals;

/// Log lines never wait for their reader, and the clock of leases counts a suspension.
class line_writer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(line_writer_test);
    CPPUNIT_TEST(linesArriveInOrder);
    CPPUNIT_TEST(readerThatDoesNotReadBlocksNobody);
    CPPUNIT_TEST(leasesAreMeasuredWithTheClockThatCountsSuspension);
    CPPUNIT_TEST_SUITE_END();

    std::array<int, 2> m_pipe {};

public:
    void setUp() override
    {
        CPPUNIT_ASSERT_EQUAL(0, pipe(m_pipe.data()));
    }

    void tearDown() override
    {
        close(m_pipe[0]);
        close(m_pipe[1]);
    }

    void linesArriveInOrder()
    {
        {
            line_writer writer(m_pipe[1], 1U << 20U);
            CPPUNIT_ASSERT(writer.write("one\n"));
            CPPUNIT_ASSERT(writer.write("two\n"));
            writer.flush(1s);
        }
        std::array<char, 16> text {};
        CPPUNIT_ASSERT_EQUAL(ssize_t {8}, read(m_pipe[0], text.data(), text.size()));
        CPPUNIT_ASSERT_EQUAL(std::string("one\ntwo\n"), std::string(text.data(), 8));
    }

    void readerThatDoesNotReadBlocksNobody()
    {
        constexpr std::size_t bound = 64U << 10U;
        const std::string line(1023, 'x');
        line_writer writer(m_pipe[1], bound);
        const auto begin = std::chrono::steady_clock::now();
        int accepted = 0;
        for (int i = 0; i < 2000; ++i) {
            accepted += writer.write(line + "\n") ? 1 : 0;
        }
        // 2 MB in all: a pipe and the bound together hold less than 200 KB.
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < 5s);
        CPPUNIT_ASSERT(accepted < 400);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(2000 - accepted), writer.takeDropped());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {0}, writer.takeDropped());
    }

    void leasesAreMeasuredWithTheClockThatCountsSuspension()
    {
        std::timespec value {};
        clock_gettime(CLOCK_BOOTTIME, &value);
        const auto expected = std::chrono::seconds(value.tv_sec);
        const auto shown = boot_clock::now().time_since_epoch();
        CPPUNIT_ASSERT(shown >= expected);
        CPPUNIT_ASSERT(shown < expected + 10s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_writer_test);
