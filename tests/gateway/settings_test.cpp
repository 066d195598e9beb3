#include "gateway/settings.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <fstream>

using namespace caperpath;

class gateway_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_settings_test);
    CPPUNIT_TEST(the_example_is_valid);
    CPPUNIT_TEST(faults_name_field_and_unit);
    CPPUNIT_TEST(an_unsupported_retry_window_is_rejected);
    CPPUNIT_TEST(the_template_names_every_field);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array fields{"vm",
                                       "failure_domain",
                                       "callers",
                                       "readiness",
                                       "metrics",
                                       "store_address",
                                       "store_writes_per_s",
                                       "peer_ports",
                                       "grace_s",
                                       "retry_ratio",
                                       "retry_window_s",
                                       "retry_slack",
                                       "warm_up_factor",
                                       "warm_up_slack",
                                       "region",
                                       "regions"};

    static nlohmann::json example()
    {
        std::ifstream file{CAPERPATH_SOURCE_DIR "/examples/gateway.json"};
        nlohmann::json value;
        file >> value;
        return value;
    }

    static std::vector<config::fault> faults_of(nlohmann::json const& value)
    {
        std::vector<config::fault> faults;
        static_cast<void>(gateway::read_settings(value, faults));
        return faults;
    }

    // Guards against an example that the router rejects.
    void the_example_is_valid()
    {
        std::vector<config::fault> faults;
        auto const read = gateway::read_settings(example(), faults);
        CPPUNIT_ASSERT(faults.empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"edge-1"}, read.vm);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7'355}, read.last_peer_port);
        CPPUNIT_ASSERT(read.grace == duration{8'000});
    }

    // An operator mistypes a setting. Guards against a message without the name
    // of the field or its unit: the operator could not find the mistake.
    void faults_name_field_and_unit()
    {
        auto value = example();
        value["grace_s"] = "long";
        value["callers"] = "somewhere";
        value["vm"] = 5;
        value["peer_ports"] = "7340-7355";
        auto const faults = faults_of(value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, faults.size());
        std::string all;
        for (auto const& fault : faults)
        {
            all += fault.path + " " + fault.detail + "\n";
        }
        for (auto const* part :
             {"/grace_s", "seconds", "/callers", "/vm", "/peer_ports"})
        {
            CPPUNIT_ASSERT_MESSAGE(all, all.find(part) != std::string::npos);
        }
    }

    // Guards against a window of zero, which would renew the retry allowance
    // each millisecond, and against one that is longer than a router remembers
    // routers that left.
    void an_unsupported_retry_window_is_rejected()
    {
        for (nlohmann::json const& wrong :
             {nlohmann::json(0), nlohmann::json(0.5), nlohmann::json(-10),
              nlohmann::json(61), nlohmann::json("10")})
        {
            auto value = example();
            value["retry_window_s"] = wrong;
            auto const faults = faults_of(value);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(wrong.dump(), std::size_t{1},
                                         faults.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"/retry_window_s"},
                                 faults.front().path);
        }
        for (int const right : {1, 10, 60})
        {
            auto value = example();
            value["retry_window_s"] = right;
            CPPUNIT_ASSERT(faults_of(value).empty());
        }
    }

    // Guards against a template that differs from the reader, with which no
    // machine starts.
    void the_template_names_every_field()
    {
        std::ifstream file{CAPERPATH_SOURCE_DIR
                           "/deploy/gateway.json.template"};
        std::string const text{std::istreambuf_iterator<char>{file}, {}};
        auto const value = example();
        CPPUNIT_ASSERT_EQUAL(fields.size(), value.size());
        for (std::string const field : fields)
        {
            CPPUNIT_ASSERT_MESSAGE(field, value.contains(field));
            CPPUNIT_ASSERT_MESSAGE(field, text.find("\"" + field + "\"") !=
                                              std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_settings_test);
