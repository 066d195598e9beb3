#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/residency.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::fleet;

/// Three regions with a failure domain each.
class residency_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(residency_test);
    CPPUNIT_TEST(a_route_and_a_customer_both_bind);
    CPPUNIT_TEST(an_unknown_region_is_not_allowed);
    CPPUNIT_TEST(placement_stays_in_the_allowed_regions);
    CPPUNIT_TEST(relays_are_used_within_one_region_only);
    CPPUNIT_TEST(a_request_that_may_not_be_relayed_needs_a_direct_path);
    CPPUNIT_TEST_SUITE_END();

    using regions = std::vector<region_id>;

    static residency bound(regions const& by_route, regions const& by_customer)
    {
        route from;
        from.regions = by_route;
        customer payer;
        payer.regions = by_customer;
        return residency_of(from, &payer);
    }

    static server_table three_regions()
    {
        server_table table;
        for (std::string const name : {"a", "b", "c"})
        {
            table.regions[{"z-" + name}] = {name};
            server_entry one;
            one.id = {"i-" + name};
            one.service = {"app"};
            one.address = "10.0.0.1:80";
            one.failure_domain = {"z-" + name};
            list_server(table, one, instant{1'000});
        }
        return table;
    }

    static std::string chosen(server_table const& table,
                              placement_request const& item)
    {
        service of;
        of.id = {"app"};
        auto const where = choose_placement(table, of, item, prefix_history{1},
                                            {}, {}, instant{1'000});
        return where ? where->server.value : "";
    }

    void a_route_and_a_customer_both_bind()
    {
        CPPUNIT_ASSERT(!bound({}, {}));
        CPPUNIT_ASSERT(bound({{"a"}}, {}) == residency{regions{{"a"}}});
        CPPUNIT_ASSERT(bound({}, {{"b"}}) == residency{regions{{"b"}}});
        CPPUNIT_ASSERT(bound({{"a"}, {"b"}}, {{"b"}, {"c"}}) ==
                       residency{regions{{"b"}}});
        CPPUNIT_ASSERT(bound({{"a"}}, {{"c"}}) == residency{regions{}});
        route from;
        from.regions = {{"a"}};
        CPPUNIT_ASSERT(residency_of(from, nullptr) ==
                       residency{regions{{"a"}}});
    }

    void an_unknown_region_is_not_allowed()
    {
        CPPUNIT_ASSERT(allows_region(std::nullopt, {}));
        CPPUNIT_ASSERT(!allows_region(regions{{"a"}}, {}));
        CPPUNIT_ASSERT(!allows_region(regions{{""}}, {}));
    }

    // Guards against a request that reaches a server abroad.
    void placement_stays_in_the_allowed_regions()
    {
        auto table = three_regions();
        placement_request item{{"app"}};
        item.regions = regions{{"b"}};
        CPPUNIT_ASSERT_EQUAL(std::string{"i-b"}, chosen(table, item));
        table.servers.at({"i-b"}).entry.draining = true;
        CPPUNIT_ASSERT_EQUAL(std::string{}, chosen(table, item));
        item.regions = regions{};
        CPPUNIT_ASSERT_EQUAL(std::string{}, chosen(table, item));
    }

    // Guards against a request whose body passes through a router abroad.
    void relays_are_used_within_one_region_only()
    {
        region_map const one{{{"z-1"}, {"a"}}, {{"z-2"}, {"a"}}};
        region_map const two{{{"z-1"}, {"a"}}, {{"z-2"}, {"b"}}};
        CPPUNIT_ASSERT(may_relay(std::nullopt, two, {"a"}));
        CPPUNIT_ASSERT(may_relay(regions{{"a"}}, one, {"a"}));
        CPPUNIT_ASSERT(!may_relay(regions{{"a"}}, two, {"a"}));
        CPPUNIT_ASSERT(!may_relay(regions{{"b"}}, one, {"a"}));
        CPPUNIT_ASSERT(!may_relay(regions{{"a"}}, {}, {}));
    }

    void a_request_that_may_not_be_relayed_needs_a_direct_path()
    {
        auto table = three_regions();
        placement_request item{{"app"}};
        item.regions = regions{{"b"}};
        item.may_be_relayed = false;
        CPPUNIT_ASSERT_EQUAL(std::string{"i-b"}, chosen(table, item));
        table.servers.at({"i-b"}).path.direct_failed = true;
        CPPUNIT_ASSERT_EQUAL(std::string{}, chosen(table, item));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(residency_test);
