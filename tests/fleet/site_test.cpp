#include <caperpath/fleet/site.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace caperpath;
using namespace caperpath::fleet;

class site_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(site_test);
    CPPUNIT_TEST(the_longest_prefix_of_the_host_wins);
    CPPUNIT_TEST(a_host_matches_in_any_case_and_with_a_port);
    CPPUNIT_TEST(a_key_finds_its_customer);
    CPPUNIT_TEST(services_are_chosen_by_weight);
    CPPUNIT_TEST_SUITE_END();

    static route make_route(std::string name, std::string host,
                            std::string prefix)
    {
        route one;
        one.name = std::move(name);
        one.host = std::move(host);
        one.prefix = std::move(prefix);
        one.services = {{{"s"}, 1}};
        return one;
    }

    static site make_site()
    {
        site_parts parts;
        parts.version = 7;
        parts.routes = {make_route("short", "a.example", "/x/"),
                        make_route("long", "a.example", "/x/y/"),
                        make_route("other", "b.example", "/x/")};
        customer one;
        one.id = {"c"};
        one.keys = {"k1", "k2"};
        parts.customers = {one};
        return site{parts};
    }

    void the_longest_prefix_of_the_host_wins()
    {
        auto const config = make_site();
        CPPUNIT_ASSERT_EQUAL(std::string{"long"},
                             config.find_route("a.example", "/x/y/z")->name);
        CPPUNIT_ASSERT_EQUAL(std::string{"short"},
                             config.find_route("a.example", "/x/z")->name);
        CPPUNIT_ASSERT(config.find_route("a.example", "/x") == nullptr);
        CPPUNIT_ASSERT(config.find_route("c.example", "/x/") == nullptr);
    }

    void a_host_matches_in_any_case_and_with_a_port()
    {
        auto const config = make_site();
        CPPUNIT_ASSERT_EQUAL(std::string{"other"},
                             config.find_route("B.Example:80", "/x/1")->name);
    }

    void a_key_finds_its_customer()
    {
        auto const config = make_site();
        CPPUNIT_ASSERT_EQUAL(std::string{"c"},
                             config.find_customer("k2")->id.value);
        CPPUNIT_ASSERT(config.find_customer("") == nullptr);
        CPPUNIT_ASSERT(config.find_customer("k3") == nullptr);
    }

    void services_are_chosen_by_weight()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                route one;
                one.services = {{{"a"}, 90}, {{"b"}, 10}, {{"none"}, 0}};
                int a = 0;
                for (std::uint64_t draw = 0; draw < 100; ++draw)
                {
                    auto const& name = choose_service(one, draw);
                    RC_ASSERT(name.value != "none");
                    a += name.value == "a" ? 1 : 0;
                }
                RC_ASSERT(a == 90);
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(site_test);
