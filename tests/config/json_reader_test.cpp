#include <caperpath/config/json_reader.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath::config;

class json_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(json_reader_test);
    CPPUNIT_TEST(names_every_fault_by_path);
    CPPUNIT_TEST(a_number_past_64_bits_is_a_fault);
    CPPUNIT_TEST(checks_addresses);
    CPPUNIT_TEST_SUITE_END();

    void names_every_fault_by_path()
    {
        std::vector<fault> faults;
        auto const value = nlohmann::json::parse(
            R"({"listne": "127.0.0.1:80", "timeout_ms": -1})");
        json_reader reader{value, "/router", faults};
        reader.text("listen");
        reader.integer("timeout_ms", "milliseconds", 1, 1000);
        reader.finish();
        std::vector<fault> const expected{
            {"/router/listen", "expected text"},
            {"/router/timeout_ms",
             "expected a whole number of milliseconds from 1 to 1000"},
            {"/router/listne", "unknown key, did you mean \"listen\"?"}};
        CPPUNIT_ASSERT(faults == expected);
    }

    void a_number_past_64_bits_is_a_fault()
    {
        std::vector<fault> faults;
        auto const value =
            nlohmann::json::parse(R"({"paid": 18446744073709551615})");
        json_reader reader{value, "", faults};
        reader.integer("paid", "tokens", 0, 1'000'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, faults.size());
    }

    void checks_addresses()
    {
        CPPUNIT_ASSERT(is_address("127.0.0.1:80"));
        CPPUNIT_ASSERT(!is_address("localhost:80"));
        CPPUNIT_ASSERT(!is_address("127.0.0.1:0"));
        CPPUNIT_ASSERT(!is_address("127.0.0.1:99999"));
        CPPUNIT_ASSERT(!is_address("127.0.0.1"));
        CPPUNIT_ASSERT(is_listen_address("127.0.0.1:0"));
        CPPUNIT_ASSERT(!is_listen_address("127.0.0.1:-1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(json_reader_test);
