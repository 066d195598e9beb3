#include <caperpath/fleet/server_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::fleet;

class server_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_table_test);
    CPPUNIT_TEST(a_server_whose_entry_goes_takes_no_new_work);
    CPPUNIT_TEST(entries_that_lapse_with_the_store_may_come_back);
    CPPUNIT_TEST(an_entry_that_stays_away_after_an_outage_is_gone);
    CPPUNIT_TEST(a_server_that_starts_again_under_its_id_is_a_new_one);
    CPPUNIT_TEST(a_server_that_cannot_be_reached_is_left_out_for_a_time);
    CPPUNIT_TEST(a_replaced_server_gets_nothing_until_it_is_listed_anew);
    CPPUNIT_TEST(a_server_with_open_requests_is_not_swept);
    CPPUNIT_TEST(an_entry_that_goes_late_in_an_outage_s_wake_is_not_kept_long);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100'000};

    static server_entry entry(std::string id, std::int64_t born = 1)
    {
        server_entry one;
        one.id = {std::move(id)};
        one.service = {"s"};
        one.address = "10.0.0.1:80";
        one.slots = 4;
        one.born_ms = born;
        return one;
    }

    static server_table with_one()
    {
        server_table table;
        list_server(table, entry("a"), start);
        return table;
    }

    static server const& a_of(server_table const& table)
    {
        return table.servers.at({"a"});
    }

    // A server that is about to stop removes its entry. Work sent to it after
    // that is cut off when it ends, and its caller waits for nothing.
    void a_server_whose_entry_goes_takes_no_new_work()
    {
        auto table = with_one();
        CPPUNIT_ASSERT(usable(a_of(table), start));
        unlist_server(table, {"a"}, start);
        CPPUNIT_ASSERT(!usable(a_of(table), start));
    }

    // While the store is away its entries lapse, though the servers live. If
    // all of them were taken for gone, every caller would be refused.
    void entries_that_lapse_with_the_store_may_come_back()
    {
        auto table = with_one();
        note_store(table, false, start);
        auto const back = start + duration{5'000};
        note_store(table, true, back);
        unlist_server(table, {"a"}, back);
        CPPUNIT_ASSERT(usable(a_of(table), back));
        list_server(table, entry("a"), back + duration{1'500});
        CPPUNIT_ASSERT(usable(a_of(table), back + duration{60'000}));
    }

    // A server crashed during the outage, so its entry does not come back. A
    // router that went on to believe in it would send callers to a dead
    // address.
    void an_entry_that_stays_away_after_an_outage_is_gone()
    {
        auto table = with_one();
        note_store(table, false, start);
        auto const back = start + duration{5'000};
        note_store(table, true, back);
        unlist_server(table, {"a"}, back);
        auto const later = back + entry_return_time;
        CPPUNIT_ASSERT(!usable(a_of(table), later));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             sweep_servers(table, later).size());
    }

    // An engine crashes and starts again under the same id. It knows nothing of
    // before; a router that still held its failures against it would leave a
    // good engine out while callers are refused.
    void a_server_that_starts_again_under_its_id_is_a_new_one()
    {
        auto table = with_one();
        note_failure(table.servers.at({"a"}), true, start);
        CPPUNIT_ASSERT(!usable(a_of(table), start));
        CPPUNIT_ASSERT(!list_server(table, entry("a", 1), start));
        CPPUNIT_ASSERT(!usable(a_of(table), start));
        CPPUNIT_ASSERT(list_server(table, entry("a", 2), start));
        CPPUNIT_ASSERT(usable(a_of(table), start));
    }

    // A server loses power. Each request sent to it waits for a connection that
    // never comes, and the caller sees the delay.
    void a_server_that_cannot_be_reached_is_left_out_for_a_time()
    {
        auto table = with_one();
        auto& one = table.servers.at({"a"});
        note_failure(one, true, start);
        CPPUNIT_ASSERT(!usable(one, start + duration{399}));
        CPPUNIT_ASSERT(usable(one, start + first_set_aside));
        note_failure(one, true, start + first_set_aside);
        CPPUNIT_ASSERT(!usable(one, start + first_set_aside * 2));
        note_success(one, {50}, {50});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, one.failures);
    }

    // Guards against a server that has ended in an outage of the store and is
    // asked again every second until its end can be read.
    void a_replaced_server_gets_nothing_until_it_is_listed_anew()
    {
        auto table = with_one();
        auto& one = table.servers.at({"a"});
        note_replaced(one, start);
        CPPUNIT_ASSERT(!usable(one, start + duration{10'000}));
        list_server(table, entry("a", 2), start + duration{1'000});
        CPPUNIT_ASSERT(
            usable(table.servers.at({"a"}), start + duration{1'000}));
    }

    void a_server_with_open_requests_is_not_swept()
    {
        auto table = with_one();
        table.servers.at({"a"}).own.open = 1;
        unlist_server(table, {"a"}, start);
        CPPUNIT_ASSERT(sweep_servers(table, start).empty());
        table.servers.at({"a"}).own.open = 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             sweep_servers(table, start).size());
    }

    // The store was out of reach of this router alone. 1.5 s after it is back a
    // server leaves, and its entry goes. Kept for as long as an entry that
    // lapsed in the outage, counted from then, the server got requests more
    // than two seconds after it had left.
    void an_entry_that_goes_late_in_an_outage_s_wake_is_not_kept_long()
    {
        server_table table;
        server_entry one;
        one.id = {"i-1"};
        list_server(table, one, start);
        note_store(table, false, start);
        auto const back = start + duration{5'000};
        note_store(table, true, back);
        unlist_server(table, {"i-1"}, back + duration{1'500});
        auto const& server = table.servers.at({"i-1"});
        CPPUNIT_ASSERT(usable(server, back + duration{2'100}));
        CPPUNIT_ASSERT(!usable(server, back + entry_return_time));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_table_test);
