#include "observe/command_line.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace caperpath;

class command_line_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_line_test);
    CPPUNIT_TEST(valid_settings_run);
    CPPUNIT_TEST(check_ends_before_the_run);
    CPPUNIT_TEST(every_fault_is_reported);
    CPPUNIT_TEST(an_invalid_command_line_exits_with_2);
    CPPUNIT_TEST(help_and_version_need_no_settings);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int ran = 42;

    static std::string settings_file(std::string const& content)
    {
        auto file =
            std::string{CAPERPATH_BINARY_DIR} + "/command_line_test.json";
        std::ofstream{file} << content;
        return file;
    }

    static std::int64_t read(nlohmann::json const& value,
                             std::vector<config::fault>& faults)
    {
        config::json_reader reader{value, "", faults};
        auto const limit = reader.integer("limit", "writes", 1, 100);
        reader.finish();
        return limit;
    }

    static int run(std::vector<char const*> arguments)
    {
        arguments.insert(arguments.begin(), "caperpath-test");
        return observe::run_program<std::int64_t>(
            {"caperpath-test", "Tests."}, static_cast<int>(arguments.size()),
            arguments.data(), read,
            [](std::int64_t limit)
            {
                CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, limit);
                return ran;
            });
    }

    void valid_settings_run()
    {
        auto const file = settings_file(R"({"limit": 7})");
        CPPUNIT_ASSERT_EQUAL(ran, run({"--settings", file.c_str()}));
    }

    void check_ends_before_the_run()
    {
        auto const file = settings_file(R"({"limit": 7})");
        CPPUNIT_ASSERT_EQUAL(0, run({"--settings", file.c_str(), "--check"}));
    }

    // An operator mistypes two keys. All errors are reported with their paths
    // before anything runs, so that one correction is enough.
    void every_fault_is_reported()
    {
        auto const file = settings_file(R"({"limti": 7})");
        std::ostringstream seen;
        auto* const before = std::cerr.rdbuf(seen.rdbuf());
        auto const code = run({"--settings", file.c_str()});
        std::cerr.rdbuf(before);
        CPPUNIT_ASSERT_EQUAL(observe::exit_bad_settings, code);
        CPPUNIT_ASSERT_EQUAL(
            std::string{"/limit: expected a whole number of writes from 1 to "
                        "100\n/limti: unknown key, did you mean \"limit\"?\n"},
            seen.str());
    }

    void an_invalid_command_line_exits_with_2()
    {
        auto const broken = settings_file(R"({"limit": )");
        CPPUNIT_ASSERT_EQUAL(2, run({"--settings", broken.c_str()}));
        CPPUNIT_ASSERT_EQUAL(2, run({"--settings", "no/such/file"}));
        CPPUNIT_ASSERT_EQUAL(2, run({"--setings", "x"}));
        CPPUNIT_ASSERT_EQUAL(2, run({}));
    }

    void help_and_version_need_no_settings()
    {
        CPPUNIT_ASSERT_EQUAL(0, run({"--help"}));
        CPPUNIT_ASSERT_EQUAL(0, run({"--version"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_line_test);
