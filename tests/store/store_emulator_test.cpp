#include "store/fake_platform.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

using namespace caperpath;
using namespace caperpath::store;
using nlohmann::json;

namespace
{

std::size_t listed(port const& connected)
{
    auto const found = value_or_error([&] { return connected.list_vms(); });
    return std::get<std::vector<listed_vm>>(found).size();
}

} // namespace

class store_emulator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_emulator_test);
    CPPUNIT_TEST(the_vm_list_lags);
    CPPUNIT_TEST(the_example_settings_are_valid);
    CPPUNIT_TEST_SUITE_END();

    // A VM is destroyed and replaced, but the list shows it seconds later; a
    // router must not treat the list as current.
    void the_vm_list_lags()
    {
        store_emulator_settings settings;
        settings.list_lag = {2'000};
        fake_platform platform{settings};
        auto const connected = platform.connect();
        json const added{{"vm", "entry-1"},
                         {"incarnation", "a"},
                         {"address", "127.0.0.1:7201"},
                         {"failure_domain", "mapo"},
                         {"state", "live"}};
        CPPUNIT_ASSERT_EQUAL(200, platform.post("/vms", added));
        platform.now += 1'999;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listed(connected));
        platform.now += 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listed(connected));
        platform.plan({{"step", "list_vms"}, {"kind", "lag"}, {"ms", 1}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listed(connected));
        CPPUNIT_ASSERT_EQUAL(200,
                             platform.client().Delete("/vms/entry-1")->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listed(connected));
        platform.now += 2'000;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listed(connected));
    }

    void the_example_settings_are_valid()
    {
        std::ifstream file{CAPERPATH_SOURCE_DIR "/examples/platform.json"};
        std::vector<config::fault> faults;
        auto const settings =
            read_store_emulator_settings(json::parse(file), faults);
        CPPUNIT_ASSERT(faults.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, settings.vms.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_emulator_test);
