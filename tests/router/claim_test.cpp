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
    CPPUNIT_TEST(a_key_belongs_to_one_customer_and_one_body);
    CPPUNIT_TEST(two_routers_at_once_run_an_order_once);
    CPPUNIT_TEST(a_router_dies_with_an_order_under_way);
    CPPUNIT_TEST(a_router_dies_with_an_answer_given_and_no_bill_written);
    CPPUNIT_TEST(the_service_loses_its_answer);
    CPPUNIT_TEST(no_claim_without_the_store);
    CPPUNIT_TEST(the_store_loses_its_answers);
    CPPUNIT_TEST(an_unreachable_service_has_not_run_it);
    CPPUNIT_TEST(a_keyed_chat_is_billed_once);
    CPPUNIT_TEST(a_keyed_chat_that_was_left_costs_no_more_in_all);
    CPPUNIT_TEST_SUITE_END();

    static std::string code_of(reply const& got)
    {
        return got.body["error"]["code"].get<std::string>();
    }

    // A technician's connection breaks after the order went through. He presses
    // the button again, reaches another router, and must read the same receipt;
    // a second one is a second battery.
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

    // Two agencies count their orders from 1, and one of them changes an order
    // under its old number. Neither may read the other's receipt, nor the
    // receipt of another order than the one it sent.
    void a_key_belongs_to_one_customer_and_one_body()
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

    // An impatient caller sends an order through two routers at the same time.
    // One runs it; the other waits and gives the same receipt.
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

    // A router dies after it has sent an order and before any answer. While it
    // may still be running a retry is told to wait; once it is proved dead
    // nobody can know whether the order ran, and everybody is told so for good.
    void a_router_dies_with_an_order_under_way()
    {
        site here{2};
        site::post_fault(here.service_address(),
                         {{"kind", "silent"}, {"count", 1}});
        auto const lost = order(here.router_address(0), here.key(), "dies",
                                "one battery", 400);
        CPPUNIT_ASSERT_EQUAL(0, lost.status);
        here.crash_router(0);
        auto const waits = order(here.router_address(1), here.key(), "dies");
        CPPUNIT_ASSERT_EQUAL(409, waits.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, waits.outcome);
        CPPUNIT_ASSERT(!waits.retry_after.empty());
        here.prove_dead(0);
        for (int i = 0; i < 2; ++i)
        {
            auto const told = order(here.router_address(1), here.key(), "dies");
            CPPUNIT_ASSERT_EQUAL(502, told.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, told.outcome);
            CPPUNIT_ASSERT_EQUAL(std::string{"outcome_unknown"}, code_of(told));
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, here.executions());
    }

    // A router answers an order and dies before it has written the bill. The
    // answer is kept, so every repeat gets it; without its bill the workshop
    // would have it for nothing, and the budget would be overspent by it.
    void a_router_dies_with_an_answer_given_and_no_bill_written()
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

    // The service runs an order and its connection breaks before the answer.
    // "Not run" would be a lie and a second try a second battery.
    void the_service_loses_its_answer()
    {
        site here{2};
        site::post_fault(here.service_address(),
                         {{"kind", "drop_answer"}, {"count", 1}});
        for (std::size_t i = 0; i < 4; ++i)
        {
            auto const told =
                order(here.router_address(i % 2), here.key(), "lost");
            CPPUNIT_ASSERT_EQUAL(502, told.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, told.outcome);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, here.executions());
    }

    // The platform's table is down when an order comes. Run without a claim it
    // could run again elsewhere; it has to wait for the table.
    void no_claim_without_the_store()
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

    // The table takes the claim and the kept answer, and loses both of its own
    // answers. Taken for refused, the order would never run again or its
    // receipt would be lost.
    void the_store_loses_its_answers()
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

    // Nobody listens at the service's address, so no byte of the order has
    // reached it: the caller may believe "not-run", also through another router
    // and later.
    void an_unreachable_service_has_not_run_it()
    {
        site here{2};
        here.stop_service();
        for (std::size_t i = 0; i < 2; ++i)
        {
            auto const told =
                order(here.router_address(i), here.key(), "unreachable");
            CPPUNIT_ASSERT_EQUAL(503, told.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, told.outcome);
        }
    }

    // A designer's client retries a review with the same key. She reads the
    // same review, and her agency pays for one.
    void a_keyed_chat_is_billed_once()
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

    // A caller leaves a keyed chat half way and asks for it again. What was
    // generated is billed, and the whole answer costs as much as if she had
    // stayed.
    void a_keyed_chat_that_was_left_costs_no_more_in_all()
    {
        auto engine = site::fast_engine();
        engine.token_time = {5};
        site here{2, engine};
        std::string const prompt = "review it all [tokens=200]";
        call_options options{.headers = {{"Idempotency-Key", "left"}},
                             .stream = true,
                             .leave_after = 8};
        chat(here.router_address(0), here.key(), prompt, options);
        CPPUNIT_ASSERT(here.wait_for_bills(1));
        options.leave_after = -1;
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
