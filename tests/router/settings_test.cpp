#include "router/settings.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <fstream>

using namespace caperpath;

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(example_equals_the_defaults);
    CPPUNIT_TEST(every_fault_is_reported);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an example that differs from the defaults: it would
    // mislead users who start from it.
    void example_equals_the_defaults()
    {
        std::ifstream file{CAPERPATH_SOURCE_DIR "/examples/router.json"};
        std::vector<config::fault> faults;
        auto const example =
            router::read_settings(nlohmann::json::parse(file), faults);
        router::settings defaults;
        defaults.vm = "vm-1";
        defaults.failure_domain = {"sala-norte"};
        defaults.listen = "127.0.0.1:8080";
        defaults.platform = "127.0.0.1:9000";
        CPPUNIT_ASSERT(faults.empty());
        CPPUNIT_ASSERT(example == defaults);
    }

    void every_fault_is_reported()
    {
        auto const value = nlohmann::json::parse(
            R"({"vm": 7, "failure_domian": "x", "listen": "here:80",
                "platform": "127.0.0.1:9000", "settle_interval_ms": 0})");
        std::vector<config::fault> faults;
        router::read_settings(value, faults);
        std::vector<std::string> paths;
        paths.reserve(faults.size());
        for (auto const& fault : faults)
        {
            paths.push_back(fault.path);
        }
        std::vector<std::string> const expected{
            "/vm", "/failure_domain", "/listen", "/settle_interval_ms",
            "/failure_domian"};
        CPPUNIT_ASSERT(paths == expected);
        CPPUNIT_ASSERT_EQUAL(
            std::string{"unknown key, did you mean \"failure_domain\"?"},
            faults.back().detail);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);
