#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/server_table.hpp>
#include <caperpath/fleet/warm_up.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::fleet;

class warm_up_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(warm_up_test);
    CPPUNIT_TEST(the_bound_has_a_tolerance);
    CPPUNIT_TEST(shares_add_up_to_half_of_the_bound);
    CPPUNIT_TEST(two_views_of_the_fleet_stay_within_the_bound);
    CPPUNIT_TEST(a_share_holds_in_any_second);
    CPPUNIT_TEST(a_cold_server_is_chosen_only_if_warm_ones_are_full);
    CPPUNIT_TEST(an_update_extends_the_warm_up);
    CPPUNIT_TEST(a_service_without_a_limit_is_not_bounded);
    CPPUNIT_TEST(servers_that_are_given_back_count_as_cold);
    CPPUNIT_TEST(a_server_that_may_have_restarted_counts_as_cold);
    CPPUNIT_TEST(a_shortage_names_what_lasts_least);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100'000};
    static constexpr warm_up_limit limit{{3'000}, 14};
    static constexpr warm_up_tolerance tolerance{1.5, 5};

    static std::vector<std::string> routers(std::size_t count,
                                            std::size_t from = 0)
    {
        std::vector<std::string> all;
        for (std::size_t i = from; i < from + count; ++i)
        {
            all.push_back("10.0.0." + std::to_string(i) + ":7340");
        }
        return all;
    }

    static std::int64_t sum_of_shares(std::vector<std::string> const& all,
                                      std::int64_t most)
    {
        std::int64_t sum = 0;
        for (auto const& self : all)
        {
            sum += cold_send_share({"i-1"}, all, self, most);
        }
        return sum;
    }

    static server_entry entry(std::string const& id, duration warm_up_left,
                              std::string const& domain = "z")
    {
        server_entry one;
        one.id = {id};
        one.service = {"llm"};
        one.address = "10.0.0.1:80";
        one.failure_domain = {domain};
        one.slots = 4;
        one.warm_up_left = warm_up_left;
        return one;
    }

    static server_table one_warm_and_one_cold()
    {
        server_table table;
        set_warm_ups(table, {{{"llm"}, limit}});
        list_server(table, entry("warm", {}), start);
        list_server(table, entry("cold", {3'000}), start);
        return table;
    }

    static std::optional<placement> choose(server_table const& table,
                                           instant now = start)
    {
        service of;
        of.id = {"llm"};
        of.batch_slots = 4;
        of.memory_tokens = 444'000;
        of.warm_up = limit;
        return choose_placement(table, of, {{"llm"}, 7, 100, 200, 50},
                                prefix_history{10}, {}, {}, now);
    }

    void the_bound_has_a_tolerance()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t{26},
                             most_cold_sends(limit, tolerance));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{14}, most_cold_sends(limit, {}));
    }

    void shares_add_up_to_half_of_the_bound()
    {
        CPPUNIT_ASSERT(rc::check(
            "shares",
            []
            {
                auto const count = *rc::gen::inRange<std::size_t>(1, 300);
                auto const most = *rc::gen::inRange<std::int64_t>(0, 100);
                auto const sum = sum_of_shares(routers(count), most);
                RC_ASSERT(sum <= most / 2);
                RC_ASSERT(most < 2 || sum > 0);
            }));
    }

    // Guards against old and new views of the fleet whose parts add up.
    void two_views_of_the_fleet_stay_within_the_bound()
    {
        auto const older = routers(20);
        auto const newer = routers(20, 5);
        CPPUNIT_ASSERT(sum_of_shares(older, 26) + sum_of_shares(newer, 26) <=
                       26);
    }

    void a_share_holds_in_any_second()
    {
        cold_sends sends{3, {}};
        std::vector<instant> sent;
        for (instant now = start; now < start + duration{5'000};
             now = now + duration{7})
        {
            if (may_send_cold(sends, now))
            {
                sends = note_cold_send(sends, now);
                sent.push_back(now);
            }
        }
        CPPUNIT_ASSERT(sent.size() > 10);
        for (std::size_t i = 3; i < sent.size(); ++i)
        {
            CPPUNIT_ASSERT(sent[i] - sent[i - 3] > duration{1'000});
        }
    }

    // Guards against rejecting what a cold server could take.
    void a_cold_server_is_chosen_only_if_warm_ones_are_full()
    {
        auto table = one_warm_and_one_cold();
        auto& cold = table.servers.at({"cold"});
        cold.while_cold.share = 1;
        CPPUNIT_ASSERT_EQUAL(std::string{"warm"}, choose(table)->server.value);
        table.servers.at({"warm"}).own.open = 4;
        CPPUNIT_ASSERT_EQUAL(std::string{"cold"}, choose(table)->server.value);
        cold.while_cold = note_cold_send(cold.while_cold, start);
        CPPUNIT_ASSERT_EQUAL(std::string{"warm"}, choose(table)->server.value);
        table.servers.at({"warm"}).entry.draining = true;
        CPPUNIT_ASSERT(!choose(table));
        CPPUNIT_ASSERT(choose(table, start + duration{3'000}));
    }

    // Guards against a warm-up that is counted from the server's listing.
    void an_update_extends_the_warm_up()
    {
        auto table = one_warm_and_one_cold();
        auto const later = start + duration{60'000};
        list_server(table, entry("warm", {3'000}), later);
        CPPUNIT_ASSERT(is_cold(table.servers.at({"warm"}), later));
        // Its next entry, with less time left, changes nothing.
        list_server(table, entry("warm", {1'800}), later + duration{1'200});
        auto const& target = table.servers.at({"warm"});
        CPPUNIT_ASSERT(is_cold(target, later + duration{2'999}));
        CPPUNIT_ASSERT(!is_cold(target, later + duration{3'000}));
    }

    // Guards against keeping servers out that are only slow after a start.
    void a_service_without_a_limit_is_not_bounded()
    {
        auto table = one_warm_and_one_cold();
        set_warm_ups(table, {{{"llm"}, warm_up_limit{{3'000}, 0}}});
        CPPUNIT_ASSERT(!is_cold(table.servers.at({"cold"}), start));
        table.servers.at({"warm"}).entry.draining = true;
        CPPUNIT_ASSERT(choose(table));
    }

    void servers_that_are_given_back_count_as_cold()
    {
        auto table = one_warm_and_one_cold();
        set_evacuated(table, {{"z"}}, start);
        CPPUNIT_ASSERT(!choose(table));
        list_server(table, entry("listed meanwhile", {}), start);
        CPPUNIT_ASSERT(!choose(table));
        auto const back = start + duration{8'000};
        set_evacuated(table, {}, back);
        CPPUNIT_ASSERT(is_cold(table.servers.at({"warm"}), back));
        CPPUNIT_ASSERT(!choose(table, back));
        CPPUNIT_ASSERT(choose(table, back + limit.lasts));
    }

    // Guards against a router that is cut off from the store and takes a new
    // process for the one that it knew.
    void a_server_that_may_have_restarted_counts_as_cold()
    {
        auto table = one_warm_and_one_cold();
        auto lasting = entry("lasting id", {});
        lasting.born_ms = 1'700'000'000'000;
        list_server(table, lasting, start);
        note_possible_restart(table, {"lasting id"}, start);
        note_possible_restart(table, {"warm"}, start);
        note_possible_restart(table, {"unknown"}, start);
        CPPUNIT_ASSERT(is_cold(table.servers.at({"lasting id"}), start));
        // Another process of this one would have another id.
        CPPUNIT_ASSERT(!is_cold(table.servers.at({"warm"}), start));
    }

    // Guards against callers that come back too late or too early.
    void a_shortage_names_what_lasts_least()
    {
        auto table = one_warm_and_one_cold();
        placement_request item{{"llm"}};
        table.servers.at({"warm"}).evacuated = true;
        CPPUNIT_ASSERT((shortage{shortage_reason::cold, {3'000}}) ==
                       find_shortage(table, item, start));
        table.servers.at({"cold"}).evacuated = true;
        CPPUNIT_ASSERT(find_shortage(table, item, start).why ==
                       shortage_reason::evacuated);
        item.regions = std::vector<region_id>{{"far"}};
        CPPUNIT_ASSERT(find_shortage(table, item, start).why ==
                       shortage_reason::outside_regions);
        item.version = "v2";
        CPPUNIT_ASSERT(find_shortage(table, item, start).why ==
                       shortage_reason::no_such_version);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(warm_up_test);
