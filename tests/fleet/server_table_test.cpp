#include <caperpath/fleet/server_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::fleet;

class server_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_table_test);
    CPPUNIT_TEST(a_server_without_an_entry_gets_no_new_requests);
    CPPUNIT_TEST(entries_that_lapse_in_an_outage_may_return);
    CPPUNIT_TEST(an_entry_that_does_not_return_after_an_outage_is_gone);
    CPPUNIT_TEST(a_server_that_restarts_under_its_id_is_new);
    CPPUNIT_TEST(an_unreachable_server_is_excluded_for_a_time);
    CPPUNIT_TEST(a_replaced_server_gets_no_requests_until_listed_again);
    CPPUNIT_TEST(a_server_with_open_requests_is_not_removed);
    CPPUNIT_TEST(an_entry_removed_after_an_outage_is_not_kept_long);
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

    static server_table table_with_one_server()
    {
        server_table table;
        list_server(table, entry("a"), start);
        return table;
    }

    static server const& server_a(server_table const& table)
    {
        return table.servers.at({"a"});
    }

    // A server removes its entry before it stops. A request sent after that is
    // cut off when the server ends, and its caller gets no response.
    void a_server_without_an_entry_gets_no_new_requests()
    {
        auto table = table_with_one_server();
        CPPUNIT_ASSERT(usable(server_a(table), start));
        unlist_server(table, {"a"}, start);
        CPPUNIT_ASSERT(!usable(server_a(table), start));
    }

    // Entries lapse during an outage of the store although the servers live.
    // If they counted as gone, every request would be rejected.
    void entries_that_lapse_in_an_outage_may_return()
    {
        auto table = table_with_one_server();
        note_store(table, false, start);
        auto const back = start + duration{5'000};
        note_store(table, true, back);
        unlist_server(table, {"a"}, back);
        CPPUNIT_ASSERT(usable(server_a(table), back));
        list_server(table, entry("a"), back + duration{1'500});
        CPPUNIT_ASSERT(usable(server_a(table), back + duration{60'000}));
    }

    // A server crashes during the outage, so its entry does not return. A
    // router that kept it would send requests to a dead address.
    void an_entry_that_does_not_return_after_an_outage_is_gone()
    {
        auto table = table_with_one_server();
        note_store(table, false, start);
        auto const back = start + duration{5'000};
        note_store(table, true, back);
        unlist_server(table, {"a"}, back);
        auto const later = back + entry_return_time;
        CPPUNIT_ASSERT(!usable(server_a(table), later));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             sweep_servers(table, later).size());
    }

    // An engine crashes and restarts under the same id. A router that kept the
    // failures of the old process would exclude a healthy engine while requests
    // are rejected.
    void a_server_that_restarts_under_its_id_is_new()
    {
        auto table = table_with_one_server();
        note_failure(table.servers.at({"a"}), true, start);
        CPPUNIT_ASSERT(!usable(server_a(table), start));
        CPPUNIT_ASSERT(!list_server(table, entry("a", 1), start));
        CPPUNIT_ASSERT(!usable(server_a(table), start));
        CPPUNIT_ASSERT(list_server(table, entry("a", 2), start));
        CPPUNIT_ASSERT(usable(server_a(table), start));
    }

    // A server loses power. Each request sent to it waits until the connect
    // times out, which delays the caller.
    void an_unreachable_server_is_excluded_for_a_time()
    {
        auto table = table_with_one_server();
        auto& one = table.servers.at({"a"});
        note_failure(one, true, start);
        CPPUNIT_ASSERT(!usable(one, start + duration{399}));
        CPPUNIT_ASSERT(usable(one, start + first_set_aside));
        note_failure(one, true, start + first_set_aside);
        CPPUNIT_ASSERT(!usable(one, start + first_set_aside * 2));
        note_success(one, {50}, {50});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, one.failures);
    }

    // Guards against retrying a server that ended in an outage of the store
    // every second until the store shows that it is gone.
    void a_replaced_server_gets_no_requests_until_listed_again()
    {
        auto table = table_with_one_server();
        auto& one = table.servers.at({"a"});
        note_replaced(one, start);
        CPPUNIT_ASSERT(!usable(one, start + duration{10'000}));
        list_server(table, entry("a", 2), start + duration{1'000});
        CPPUNIT_ASSERT(
            usable(table.servers.at({"a"}), start + duration{1'000}));
    }

    void a_server_with_open_requests_is_not_removed()
    {
        auto table = table_with_one_server();
        table.servers.at({"a"}).own.open = 1;
        unlist_server(table, {"a"}, start);
        CPPUNIT_ASSERT(sweep_servers(table, start).empty());
        table.servers.at({"a"}).own.open = 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             sweep_servers(table, start).size());
    }

    // Only this router could not reach the store. 1.5 s after the outage a
    // server removes its entry to drain. If the return time counted from that
    // moment, the server would get requests more than two seconds later.
    void an_entry_removed_after_an_outage_is_not_kept_long()
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
