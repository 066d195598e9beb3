#include "router/caller.hpp"
#include "router/site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

using namespace caperpath;
using namespace caperpath::tests;

class claim_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claim_test);
    CPPUNIT_TEST(a_retry_through_another_router_gets_the_same_bytes);
    CPPUNIT_TEST(a_key_is_bound_to_one_customer_and_one_body);
    CPPUNIT_TEST(two_routers_at_once_run_an_order_once);
    CPPUNIT_TEST(router_dies_while_an_order_runs);
    CPPUNIT_TEST(router_dies_after_the_response_and_before_the_bill);
    CPPUNIT_TEST(service_response_is_lost);
    CPPUNIT_TEST(no_run_without_the_store);
    CPPUNIT_TEST(store_responses_are_lost);
    CPPUNIT_TEST(unreachable_service_means_not_run);
    CPPUNIT_TEST(chat_with_a_key_is_billed_once);
    CPPUNIT_TEST(retry_of_an_abandoned_chat_costs_no_more_in_total);
    CPPUNIT_TEST_SUITE_END();

    static std::string code_of(reply const& got)
    {
        return got.body["error"]["code"].get<std::string>();
    }

    // A caller's connection breaks after its order ran, and it retries through
    // another router. Guards against another response than the first one, which
    // would mean a second execution.
    void a_retry_through_another_router_gets_the_same_bytes()
    {
        site here{2};
        std::vector<std::string> const bodies{"one battery",
                                              std::string(10'000, 'x')};
        for (auto const& body : bodies)
        {
            auto const key = "order-" + std::to_string(body.size());
            auto const first =
                order(here.router_address(0), here.key(), key, body);
            CPPUNIT_ASSERT_EQUAL(200, first.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"completed"}, first.outcome);
            auto const again =
                order(here.router_address(1), here.key(), key, body);
            CPPUNIT_ASSERT_EQUAL(200, again.status);
            CPPUNIT_ASSERT_EQUAL(first.raw, again.raw);
            CPPUNIT_ASSERT_EQUAL(first.request_id, again.request_id);
            CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                                 here.executions(first.request_id));
        }
        CPPUNIT_ASSERT(here.wait_for_bills(2));
    }

    // Two customers use the same key, and one of them reuses it with another
    // body. Guards against the response of another customer or of another body.
    void a_key_is_bound_to_one_customer_and_one_body()
    {
        site here;
        auto const router = here.router_address(0);
        auto const first = order(router, here.key(), "1", "one battery");
        auto const changed = order(router, here.key(), "1", "two batteries");
        CPPUNIT_ASSERT_EQUAL(422, changed.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, changed.outcome);
        auto const other = order(router, here.other_key(), "1", "a tyre");
        CPPUNIT_ASSERT_EQUAL(200, other.status);
        CPPUNIT_ASSERT(other.request_id != first.request_id);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, here.executions());
    }

    // A caller sends the same order through two routers at the same time. One
    // runs it; the other waits and returns the same response.
    void two_routers_at_once_run_an_order_once()
    {
        site here{2};
        site::post_fault(here.service_address(),
                         {{"kind", "delay"}, {"ms", 300}, {"count", 1}});
        auto other = std::async(
            std::launch::async,
            [&] { return order(here.router_address(1), here.key(), "twice"); });
        auto const one = order(here.router_address(0), here.key(), "twice");
        auto const two = other.get();
        CPPUNIT_ASSERT_EQUAL(200, one.status);
        CPPUNIT_ASSERT_EQUAL(200, two.status);
        CPPUNIT_ASSERT_EQUAL(one.raw, two.raw);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, here.executions());
        CPPUNIT_ASSERT(here.wait_for_bills(1));
    }

    // A router dies after sending an order and before any response. While it
    // may still be running, a retry gets 409 with Retry-After. Once it is
    // proved dead, it cannot be known whether the order ran, and every retry
    // gets the outcome "unknown".
    void router_dies_while_an_order_runs()
    {
        site here{2};
        site::post_fault(here.service_address(),
                         {{"kind", "silent"}, {"count", 1}});
        auto const lost = order(here.router_address(0), here.key(), "dies",
                                "one battery", 400);
        CPPUNIT_ASSERT_EQUAL(0, lost.status);
        here.crash_router(0);
        auto const waiting = order(here.router_address(1), here.key(), "dies");
        CPPUNIT_ASSERT_EQUAL(409, waiting.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, waiting.outcome);
        CPPUNIT_ASSERT(!waiting.retry_after.empty());
        here.prove_dead(0);
        for (int i = 0; i < 2; ++i)
        {
            auto const got = order(here.router_address(1), here.key(), "dies");
            CPPUNIT_ASSERT_EQUAL(502, got.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, got.outcome);
            CPPUNIT_ASSERT_EQUAL(std::string{"outcome_unknown"}, code_of(got));
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, here.executions());
    }

    // A router responds to an order and dies before it has written the bill.
    // The response is stored and every retry gets it. Guards against a lost
    // bill, by which the budget would be overspent.
    void router_dies_after_the_response_and_before_the_bill()
    {
        site here{2};
        auto const first =
            order(here.router_address(0), here.other_key(), "unbilled");
        here.crash_router(0);
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        auto const again =
            order(here.router_address(1), here.other_key(), "unbilled");
        CPPUNIT_ASSERT_EQUAL(first.raw, again.raw);
        here.prove_dead(0);
        CPPUNIT_ASSERT(here.wait_for_bills(1));
        CPPUNIT_ASSERT_EQUAL(token_count{50}, here.ledger().at(0).tokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, here.executions());
    }

    // The service runs an order and its connection breaks before the response.
    // Guards against the outcome "not-run" and against a second execution.
    void service_response_is_lost()
    {
        site here{2};
        site::post_fault(here.service_address(),
                         {{"kind", "drop_answer"}, {"count", 1}});
        for (std::size_t i = 0; i < 4; ++i)
        {
            auto const got =
                order(here.router_address(i % 2), here.key(), "lost");
            CPPUNIT_ASSERT_EQUAL(502, got.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, got.outcome);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, here.executions());
    }

    // The platform's table is down when an order arrives. Guards against
    // running it without a claim: it could run a second time through another
    // router.
    void no_run_without_the_store()
    {
        site here;
        site::post_fault(here.platform_address(),
                         {{"step", "any"}, {"kind", "outage"}, {"ms", 30'000}});
        auto const refused = order(here.router_address(0), here.key(), "down");
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"claim_undecidable"},
                             code_of(refused));
        CPPUNIT_ASSERT(!refused.retry_after.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, here.executions());
        site::clear_faults(here.platform_address());
        auto const ran = order(here.router_address(0), here.key(), "down");
        CPPUNIT_ASSERT_EQUAL(200, ran.status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, here.executions());
    }

    // The table commits the claim and the stored response, but both of its
    // responses are lost. Guards against treating the commits as rejected: the
    // order would never run, or its response would be lost.
    void store_responses_are_lost()
    {
        site here{2};
        order(here.router_address(0), here.key(), "warm");
        site::post_fault(
            here.platform_address(),
            {{"step", "commit"}, {"kind", "lost_answer"}, {"count", 4}});
        auto const first = order(here.router_address(0), here.key(), "unheard");
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        auto const again = order(here.router_address(1), here.key(), "unheard");
        CPPUNIT_ASSERT_EQUAL(first.raw, again.raw);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                             here.executions(first.request_id));
    }

    // No process listens at the service's address, so no byte of the order has
    // reached it: the outcome is "not-run", also for a later retry through
    // another router.
    void unreachable_service_means_not_run()
    {
        site here{2};
        here.stop_service();
        for (std::size_t i = 0; i < 2; ++i)
        {
            auto const got =
                order(here.router_address(i), here.key(), "unreachable");
            CPPUNIT_ASSERT_EQUAL(503, got.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, got.outcome);
        }
    }

    // A client retries a chat with the same key. It gets the same response, and
    // the customer is billed once.
    void chat_with_a_key_is_billed_once()
    {
        site here{2};
        call_options const options{.headers = {{"Idempotency-Key", "review"}}};
        std::string const prompt = "review this logo [tokens=30]";
        auto const first =
            chat(here.router_address(0), here.key(), prompt, options);
        auto const again =
            chat(here.router_address(1), here.key(), prompt, options);
        CPPUNIT_ASSERT_EQUAL(expected_text(prompt), first.text);
        CPPUNIT_ASSERT_EQUAL(first.raw, again.raw);
        CPPUNIT_ASSERT(here.wait_for_bills(1));
    }

    // A caller disconnects during a chat with a key and retries it. The tokens
    // generated before are billed, and both runs together cost as much as one
    // complete response.
    void retry_of_an_abandoned_chat_costs_no_more_in_total()
    {
        auto engine = site::fast_engine();
        engine.token_time = {5};
        site here{2, engine};
        std::string const prompt = "review it all [tokens=200]";
        call_options options{.headers = {{"Idempotency-Key", "left"}},
                             .stream = true,
                             .disconnect_after = 8};
        chat(here.router_address(0), here.key(), prompt, options);
        CPPUNIT_ASSERT(here.wait_for_bills(1));
        options.disconnect_after = -1;
        auto const whole =
            chat(here.router_address(1), here.key(), prompt, options);
        CPPUNIT_ASSERT_EQUAL(expected_text(prompt), whole.text);
        CPPUNIT_ASSERT(here.wait_for_bills(2));
        token_count total = 0;
        for (auto const& bill : here.ledger())
        {
            total += bill.tokens;
        }
        CPPUNIT_ASSERT_EQUAL(stand_in::prompt_tokens(prompt + "\n") + 3 * 200,
                             total);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_test);
