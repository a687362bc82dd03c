#include <ibishinge/base/settings.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <string>
#include <vector>

using namespace ibishinge;

namespace {

const std::vector<setting> declared {
    {"entry", setting_type::address, "127.0.0.1:1", "Address", 0, 0, false},
    {"count", setting_type::integer, "3", "Count", 1, 9, false},
    {"shape", setting_type::choice, "text", "Shape", 0, 0, true, {"text", "json"}},
};

result<settings> read(std::vector<const char *> arguments, argument_use use)
{
    arguments.insert(arguments.begin(), "program");
    const auto count = static_cast<int>(arguments.size());
    arguments.push_back(nullptr);
    return readSettings(count, arguments.data(), declared, use);
}

} // namespace

/// Guards against a daemon that ignores a mistyped setting, and against a command line tool whose
/// arguments are lost or taken for flags.
class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(argumentsAreKeptInOrder);
    CPPUNIT_TEST(argumentsAreRefusedByDefault);
    CPPUNIT_TEST(wrongValuesAreRefused);
    CPPUNIT_TEST(flagPrecedesEnvironmentPrecedesDefault);
    CPPUNIT_TEST(helpNamesEverySetting);
    CPPUNIT_TEST_SUITE_END();

public:
    void argumentsAreKeptInOrder()
    {
        struct row
        {
            std::vector<const char *> given;
            std::vector<std::string> arguments;
            std::int64_t count;
        };
        const std::vector<row> rows {
            {{}, {}, 3},
            {{"get", "x"}, {"get", "x"}, 3},
            {{"--count=4", "get", "x"}, {"get", "x"}, 4},
            {{"get", "--count", "5", "x"}, {"get", "x"}, 5},
            {{"get", "x", "--count=6"}, {"get", "x"}, 6},
            {{"apply", "-"}, {"apply", "-"}, 3},
            {{"get", "--", "--count=6"}, {"get", "--count=6"}, 3},
        };
        for (const auto &[given, arguments, count] : rows) {
            const auto values = read(given, argument_use::accepted);
            CPPUNIT_ASSERT_MESSAGE(values ? "" : describe(values.error()), values.has_value());
            CPPUNIT_ASSERT(values->arguments == arguments);
            CPPUNIT_ASSERT_EQUAL(count, values->integer("count"));
        }
    }

    void argumentsAreRefusedByDefault()
    {
        for (const auto &given : std::vector<std::vector<const char *>> {
                 {"get"}, {"--count=4", "get"}, {"-"}, {"--", "--count=4"}}) {
            const auto values = read(given, argument_use::refused);
            CPPUNIT_ASSERT(!values);
            CPPUNIT_ASSERT(values.error().kind == error_kind::invalid_request);
            CPPUNIT_ASSERT(values.error().message.find("unexpected argument") != std::string::npos);
        }
    }

    void wrongValuesAreRefused()
    {
        for (const char *given : {"--count=0", "--count=10", "--count=4x", "--count", "--entry=a",
                                  "--shape=html", "--shape=", "--unknown=1", "--coun=4x"}) {
            for (const auto use : {argument_use::accepted, argument_use::refused}) {
                CPPUNIT_ASSERT_MESSAGE(given, !read({given}, use));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string("json"),
                             read({"--shape=json"}, argument_use::refused)->text("shape"));
    }

    void flagPrecedesEnvironmentPrecedesDefault()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), read({}, argument_use::refused)->integer("count"));
        setenv("IBISHINGE_COUNT", "7", 1); // NOLINT(concurrency-mt-unsafe)
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), read({}, argument_use::refused)->integer("count"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8),
                             read({"--count=8"}, argument_use::refused)->integer("count"));
        setenv("IBISHINGE_COUNT", "x", 1); // NOLINT(concurrency-mt-unsafe)
        CPPUNIT_ASSERT(!read({}, argument_use::refused));
        unsetenv("IBISHINGE_COUNT"); // NOLINT(concurrency-mt-unsafe)
    }

    void helpNamesEverySetting()
    {
        const std::string text = describeSettings(declared);
        for (const char *part : {"--entry  (IBISHINGE_ENTRY)", "an integer from 1 to 9; default 3",
                                 "one of text, json; default text"}) {
            CPPUNIT_ASSERT_MESSAGE(part, text.find(part) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);
