#include <caperpath/fleet/attempt.hpp>
#include <caperpath/fleet/event_splitter.hpp>
#include <caperpath/fleet/membership.hpp>
#include <caperpath/fleet/retry_window.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace caperpath;
using namespace caperpath::fleet;

/// The small rules of the core: attempts, retries, events, membership.
class rules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rules_test);
    CPPUNIT_TEST(an_order_with_unknown_outcome_is_never_retried);
    CPPUNIT_TEST(not_run_is_reported_only_if_nothing_can_have_run);
    CPPUNIT_TEST(
        an_idempotent_request_is_retried_on_a_limited_number_of_servers);
    CPPUNIT_TEST(retries_of_all_routers_stay_within_the_limit);
    CPPUNIT_TEST(events_split_anywhere_are_forwarded_complete);
    CPPUNIT_TEST(an_incomplete_event_is_not_forwarded);
    CPPUNIT_TEST(a_router_without_heartbeats_is_not_counted);
    CPPUNIT_TEST(all_routers_count_after_an_outage);
    CPPUNIT_TEST(the_row_of_a_dead_router_is_removed_by_one_live_router);
    CPPUNIT_TEST(routers_that_start_together_write_at_different_times);
    CPPUNIT_TEST(of_two_incarnations_at_an_address_the_later_is_live);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100'000};

    // An engine accepts an order and the connection breaks before its response.
    // A retry would place the order, and charge for it, twice.
    void an_order_with_unknown_outcome_is_never_retried()
    {
        attempt_state state;
        state.kind = request_kind::non_idempotent;
        state.sends = 1;
        state.runs = 1;
        CPPUNIT_ASSERT(
            !may_try_another_server(state, attempt_outcome::in_doubt));
        CPPUNIT_ASSERT(!may_try_another_server(state, attempt_outcome::failed));
        state.kind = request_kind::streaming;
        CPPUNIT_ASSERT(
            !may_try_another_server(state, attempt_outcome::in_doubt));
        state.resumable = true;
        state.max_servers = 2;
        CPPUNIT_ASSERT(
            may_try_another_server(state, attempt_outcome::in_doubt));
    }

    // A caller that receives "not run" retries its order. If the order had run,
    // it would be placed twice.
    void not_run_is_reported_only_if_nothing_can_have_run()
    {
        attempt_state state;
        state.sends = 2;
        CPPUNIT_ASSERT_EQUAL(503,
                             final_status(state, attempt_outcome::not_run));
        CPPUNIT_ASSERT_EQUAL(503,
                             final_status(state, attempt_outcome::expired));
        state.runs = 1;
        CPPUNIT_ASSERT_EQUAL(502,
                             final_status(state, attempt_outcome::not_run));
        CPPUNIT_ASSERT_EQUAL(504,
                             final_status(state, attempt_outcome::expired));
    }

    void an_idempotent_request_is_retried_on_a_limited_number_of_servers()
    {
        attempt_state state;
        state.kind = request_kind::idempotent;
        state.max_servers = 2;
        state.sends = 1;
        state.runs = 1;
        CPPUNIT_ASSERT(may_try_another_server(state, attempt_outcome::failed));
        state.runs = 2;
        CPPUNIT_ASSERT(!may_try_another_server(state, attempt_outcome::failed));
        state.runs = 0;
        state.sends = max_sends;
        CPPUNIT_ASSERT(
            !may_try_another_server(state, attempt_outcome::not_reached));
    }

    // Engines fail a part of their requests. Without a limit for all routers
    // together, retries alone would keep the engines overloaded.
    void retries_of_all_routers_stay_within_the_limit()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                retry_limit const limit{0.2, 58, {10'000}};
                auto const routers = *rc::gen::inRange(1, 12);
                auto const requests = *rc::gen::inRange(0, 200);
                std::int64_t taken = 0;
                for (int router = 0; router < routers; ++router)
                {
                    retry_window window{limit};
                    for (int i = 0; i < requests; ++i)
                    {
                        window.note_request({"s"}, start);
                    }
                    while (window.take({"s"}, routers, start))
                    {
                        taken += 1;
                    }
                    RC_ASSERT(window.left({"s"}, routers,
                                          start + limit.window + duration{1}) >=
                              0);
                }
                RC_ASSERT(static_cast<double>(taken) <=
                          limit.ratio * requests * routers + limit.allowance);
            }));
    }

    void events_split_anywhere_are_forwarded_complete()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                std::string const all =
                    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                    "id: 3\ndata: c\ndata: d\n\n";
                event_splitter scan;
                std::string forwarded;
                for (std::size_t at = 0; at < all.size();)
                {
                    auto const size =
                        static_cast<std::size_t>(*rc::gen::inRange(1, 12));
                    forwarded +=
                        scan.feed(std::string_view{all}.substr(at, size));
                    RC_ASSERT(forwarded.empty() || forwarded.ends_with("\n"));
                    at += size;
                }
                RC_ASSERT(forwarded == all);
                RC_ASSERT(scan.last_id() == "3");
                RC_ASSERT(scan.events() == 3);
                RC_ASSERT(!scan.in_event());
            }));
    }

    // An engine stops in the middle of an event, and another one resumes after
    // the last complete event. If the first half were forwarded, the caller
    // would read a mix of both.
    void an_incomplete_event_is_not_forwarded()
    {
        event_splitter scan;
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 1\ndata: a\n\n"},
                             scan.feed("id: 1\ndata: a\n\nid: 2\ndata: b"));
        CPPUNIT_ASSERT(scan.in_event());
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 2\ndata: b"}, scan.take_rest());
        CPPUNIT_ASSERT(!scan.in_event());
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, scan.last_id());
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 2\ndata: c\n\n"},
                             scan.feed("id: 2\ndata: c\n\n"));
    }

    // A router loses power. If it counted for ever, the others could not use
    // its part of the retry allowance.
    void a_router_without_heartbeats_is_not_counted()
    {
        std::vector<heartbeat> rows{{{"a"}, "x", 1}, {{"b"}, "y", 2}};
        auto known = update_membership({}, rows, {start, start});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, live_router_count(known));
        auto at = start;
        auto const read_until = [&](instant end)
        {
            while (at < end)
            {
                at = at + heartbeat_interval;
                rows[0].version += 2;
                known = update_membership(known, rows, {at, at});
            }
        };
        read_until(start + member_lifetime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, live_router_count(known));
        CPPUNIT_ASSERT(dead_routers_to_remove(known, {"a"}).empty());
        read_until(start + row_lifetime + duration{1});
        CPPUNIT_ASSERT_EQUAL(std::string{"b"},
                             dead_routers_to_remove(known, {"a"}).at(0).value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, live_router_count({}));
    }

    // No heartbeat is written or read in an outage of the store of one minute.
    // If rows aged by the clock, all would count as dead after it: each router
    // would allocate budgets as if it were alone and remove the other rows.
    void all_routers_count_after_an_outage()
    {
        for (std::size_t const routers : {9, 81, 390})
        {
            std::vector<heartbeat> rows;
            for (std::size_t i = 0; i < routers; ++i)
            {
                auto const number = std::to_string(i);
                rows.push_back({{"r" + number}, number, 1});
            }
            auto const count = static_cast<std::int64_t>(routers);
            auto known = update_membership({}, rows, {start, start});
            auto const back = start + duration{60'000};
            known = update_membership(known, rows, {back, back});
            CPPUNIT_ASSERT_EQUAL(count, live_router_count(known));
            CPPUNIT_ASSERT_EQUAL(count, alive_vms(known));
            CPPUNIT_ASSERT(dead_routers_to_remove(known, {"r0"}).empty());
            // One router does not return; the others send heartbeats again.
            auto at = back;
            while (at < back + read_interval(known) + member_lifetime)
            {
                at = at + read_interval(known);
                for (std::size_t i = 1; i < routers; ++i)
                {
                    rows[i].version += 1;
                }
                known = update_membership(known, rows, {at, at});
            }
            CPPUNIT_ASSERT_EQUAL(count - 1, live_router_count(known));
        }
    }

    // Forty routers are killed and restart. A minute later each new one finds
    // forty old rows. If each removed them all, the store would get 1,600
    // writes at once and reject other calls.
    void the_row_of_a_dead_router_is_removed_by_one_live_router()
    {
        std::vector<heartbeat> rows;
        for (int i = 0; i < 40; ++i)
        {
            auto const number = std::to_string(i);
            rows.push_back({{"vm-" + number + "-old"}, number, 1});
            rows.push_back({{"vm-" + number + "-new"}, number, 1});
        }
        membership known;
        for (auto at = start; at <= start + row_lifetime + heartbeat_interval;
             at = at + heartbeat_interval)
        {
            for (std::size_t i = 1; i < rows.size(); i += 2)
            {
                rows[i].version += 1;
            }
            known = update_membership(known, rows, {at, at});
        }
        std::map<std::string, int> removals;
        for (std::size_t i = 1; i < rows.size(); i += 2)
        {
            for (auto const& one :
                 dead_routers_to_remove(known, rows[i].router))
            {
                removals[one.value] += 1;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, removals.size());
        for (auto const& [router, times] : removals)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(router, 1, times);
        }
    }

    // Guards against a large fleet whose heartbeats time out because they are
    // written together: their partition takes 200 writes a second.
    void routers_that_start_together_write_at_different_times()
    {
        std::map<std::int64_t, int> in_second;
        for (int i = 0; i < 295; ++i)
        {
            incarnation_id const router{"vm-" + std::to_string(i) + "-7"};
            auto const first = first_heartbeat_after(router);
            CPPUNIT_ASSERT(first < heartbeat_interval);
            in_second[first.ms / 1'000] += 1;
        }
        for (auto const& [second, writes] : in_second)
        {
            CPPUNIT_ASSERT(writes < 200);
        }
    }

    // Guards against sending tokens to the previous process.
    void of_two_incarnations_at_an_address_the_later_is_live()
    {
        auto const known = update_membership({},
                                             {{{"a-1"}, "10.0.0.1:7", 5},
                                              {{"a-2"}, "10.0.0.1:7", 9},
                                              {{"b-1"}, "10.0.0.2:7", 6}},
                                             {instant{1'000}, instant{1'010}});
        auto const live = live_routers(known);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, live.size());
        CPPUNIT_ASSERT(live.at("10.0.0.1:7") == incarnation_id{"a-2"});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rules_test);
