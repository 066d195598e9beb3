#include <caperpath/fleet/placement.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace caperpath;
using namespace caperpath::fleet;

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(a_shared_prefix_stays_at_one_idle_server);
    CPPUNIT_TEST(all_routers_agree_on_the_server_of_a_prefix);
    CPPUNIT_TEST(prefixes_spread_over_all_servers);
    CPPUNIT_TEST(a_long_prefill_moves_other_requests_to_idle_servers);
    CPPUNIT_TEST(a_slow_server_gets_no_requests_while_others_are_free);
    CPPUNIT_TEST(plain_requests_go_to_the_least_loaded_server);
    CPPUNIT_TEST(a_server_that_was_tried_is_not_chosen_again);
    CPPUNIT_TEST(a_chosen_server_is_always_usable);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100'000};

    static service engines()
    {
        service one;
        one.id = {"llm"};
        one.batch_slots = 64;
        one.memory_tokens = 444'000;
        return one;
    }

    static service plain()
    {
        service one;
        one.id = {"app"};
        return one;
    }

    static server_table table_of(std::string const& service, int count)
    {
        server_table table;
        for (int i = 0; i < count; ++i)
        {
            server_entry one;
            one.id = {"i-" + std::to_string(i)};
            one.service = {service};
            one.address = "10.0.0.1:" + std::to_string(1'000 + i);
            one.slots = service == "llm" ? 64 : 6;
            list_server(table, one, start);
        }
        return table;
    }

    static placement_request prompt(std::uint64_t part,
                                    token_count shared = 4'000,
                                    token_count all = 6'000)
    {
        return {{"llm"}, part, shared, all, 400};
    }

    static std::optional<placement>
    choose(server_table const& table, placement_request const& item,
           std::vector<backend_server_id> const& avoid = {})
    {
        prefix_history const memory{100};
        auto const of = item.service.value == "llm" ? engines() : plain();
        return choose_placement(table, of, item, memory, avoid, {}, start);
    }

    void a_shared_prefix_stays_at_one_idle_server()
    {
        auto const table = table_of("llm", 18);
        auto const first = choose(table, prompt(77));
        CPPUNIT_ASSERT(first->had_prefix);
        CPPUNIT_ASSERT(first->server == choose(table, prompt(77))->server);
    }

    // Routers choose servers independently. If they disagreed on the server of
    // a prefix, every engine would prefill it again, which delays callers.
    void all_routers_agree_on_the_server_of_a_prefix()
    {
        auto const own_view = table_of("llm", 18);
        auto other_view = table_of("llm", 18);
        other_view.servers.at({"i-3"}).own.open = 1;
        int agreed = 0;
        for (std::uint64_t part = 1; part <= 100; ++part)
        {
            agreed += choose(own_view, prompt(part))->server ==
                              choose(other_view, prompt(part))->server
                          ? 1
                          : 0;
        }
        CPPUNIT_ASSERT(agreed >= 90);
    }

    void prefixes_spread_over_all_servers()
    {
        auto const table = table_of("llm", 18);
        std::map<backend_server_id, int> counts;
        for (std::uint64_t part = 1; part <= 1'800; ++part)
        {
            counts[choose(table, prompt(part))->server] += 1;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{18}, counts.size());
        for (auto const& [id, count] : counts)
        {
            CPPUNIT_ASSERT(count > 50 && count < 200);
        }
    }

    // Prefill of a prompt of 54,600 tokens occupies an engine for most of a
    // second. Requests sent to the same engine for a shared prefix of 400
    // tokens would begin late while other engines are idle.
    void a_long_prefill_moves_other_requests_to_idle_servers()
    {
        auto table = table_of("llm", 18);
        auto const home = choose(table, prompt(5, 400, 1'000))->server;
        table.servers.at(home).own = {1, 54'600, 55'000};
        CPPUNIT_ASSERT(choose(table, prompt(5, 400, 1'000))->server != home);
    }

    // An engine is eight times as slow as usual and its health check does not
    // report it. Requests sent there would miss their latency goal.
    void a_slow_server_gets_no_requests_while_others_are_free()
    {
        auto table = table_of("llm", 6);
        auto const home = choose(table, prompt(9))->server;
        auto& slow = table.servers.at(home);
        for (int i = 0; i < 5; ++i)
        {
            note_success(slow, {640}, {80});
        }
        CPPUNIT_ASSERT(choose(table, prompt(9))->server != home);
    }

    void plain_requests_go_to_the_least_loaded_server()
    {
        auto table = table_of("app", 3);
        table.servers.at({"i-0"}).own.open = 6;
        table.servers.at({"i-1"}).own.open = 2;
        table.servers.at({"i-2"}).own.open = 5;
        CPPUNIT_ASSERT_EQUAL(
            std::string{"i-1"},
            choose(table, {{"app"}, 0, 0, 0, 0})->server.value);
        // The server's load report includes the requests of other routers.
        auto& one = table.servers.at({"i-1"});
        one.report = {6, 9, 6};
        one.reported_at = start;
        CPPUNIT_ASSERT_EQUAL(
            std::string{"i-2"},
            choose(table, {{"app"}, 0, 0, 0, 0})->server.value);
    }

    void a_server_that_was_tried_is_not_chosen_again()
    {
        auto const table = table_of("app", 2);
        placement_request const order{{"app"}, 0, 0, 0, 0};
        auto const first = choose(table, order)->server;
        auto const second = choose(table, order, {first})->server;
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT(!choose(table, order, {first, second}));
    }

    void a_chosen_server_is_always_usable()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto table = table_of("llm", 8);
                for (auto& [id, one] : table.servers)
                {
                    one.entry.draining = *rc::gen::arbitrary<bool>();
                    one.own.open = *rc::gen::inRange(0, 100);
                    one.own.unread = *rc::gen::inRange(0, 100'000);
                    one.own.in_memory = *rc::gen::inRange(0, 600'000);
                    one.set_aside_until =
                        start + duration{*rc::gen::inRange(-1'000, 1'000)};
                }
                auto const part = *rc::gen::arbitrary<std::uint64_t>();
                auto const chosen = choose(table, prompt(part));
                if (chosen)
                {
                    RC_ASSERT(usable(table.servers.at(chosen->server), start));
                }
                else
                {
                    for (auto const& [id, one] : table.servers)
                    {
                        RC_ASSERT(!usable(one, start));
                    }
                }
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);
