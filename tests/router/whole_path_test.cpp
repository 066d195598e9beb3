#include "router/caller.hpp"
#include "router/site.hpp"

#include <caperpath/budget/rows.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::tests;

class whole_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(whole_path_test);
    CPPUNIT_TEST(complete_and_streamed_responses_are_billed_once);
    CPPUNIT_TEST(exhausted_budget_rejects_requests);
    CPPUNIT_TEST(invalid_request_names_its_field_and_costs_nothing);
    CPPUNIT_TEST(planned_stop_returns_shares);
    CPPUNIT_TEST_SUITE_END();

    void complete_and_streamed_responses_are_billed_once()
    {
        site here;
        auto const router = here.router_address(0);
        std::string const prompt = "why does it beep [tokens=20]";
        auto const whole = chat(router, here.key(), prompt);
        CPPUNIT_ASSERT_EQUAL(200, whole.status);
        CPPUNIT_ASSERT_EQUAL(expected_text(prompt), whole.text);
        CPPUNIT_ASSERT_EQUAL(std::string{"completed"}, whole.outcome);
        CPPUNIT_ASSERT_EQUAL(
            20, whole.body["usage"]["completion_tokens"].get<int>());

        auto const streamed =
            chat(router, here.other_key(), prompt, {.stream = true});
        CPPUNIT_ASSERT_EQUAL(200, streamed.status);
        CPPUNIT_ASSERT_EQUAL(expected_text(prompt), streamed.text);
        CPPUNIT_ASSERT(streamed.done);

        auto const truncated =
            chat(router, here.key(), prompt, {.stream = true, .max_tokens = 5});
        CPPUNIT_ASSERT_EQUAL(expected_text(prompt, 5), truncated.text);
        CPPUNIT_ASSERT_EQUAL(std::string{"length"}, truncated.finish_reason);

        CPPUNIT_ASSERT(here.wait_for_bills(3));
        auto const prompt_tokens = stand_in::prompt_tokens(prompt + "\n");
        token_count total = 0;
        for (auto const& bill : here.ledger())
        {
            total += bill.tokens;
        }
        CPPUNIT_ASSERT_EQUAL(3 * prompt_tokens + 3 * (20 + 20 + 5), total);
    }

    void exhausted_budget_rejects_requests()
    {
        site here;
        int completed = 0;
        reply last;
        // Each costs 1,024 * 3 in the worst case and actually 3,000.
        for (int i = 0; i < 8; ++i)
        {
            last = chat(here.router_address(0), here.key(),
                        std::to_string(i) + "[tokens=1000]");
            completed += last.status == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(402, last.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, last.outcome);
        CPPUNIT_ASSERT_EQUAL(std::string{"budget_exhausted"},
                             last.body["error"]["code"].get<std::string>());
        token_count total = 0;
        for (auto const& bill : here.ledger())
        {
            total += bill.tokens;
        }
        CPPUNIT_ASSERT(total <= site::paid);
        // No request that the budget covers was rejected.
        CPPUNIT_ASSERT_EQUAL(6, completed);
    }

    void invalid_request_names_its_field_and_costs_nothing()
    {
        site here;
        struct bad
        {
            std::string body;
            int status;
            std::string param;
        };
        std::string const rest =
            R"("messages":[{"role":"user","content":"x"}]})";
        std::vector<bad> const all{
            {"{", 400, "body"},
            {std::string(100'000, '['), 400, "body"},
            {R"({"model":"nobody",)" + rest, 404, "model"},
            {R"({"model":"asistente"})", 400, "messages"},
            {R"({"model":"asistente","max_tokens":-1,)" + rest, 400,
             "max_tokens"},
            {R"({"model":"asistente","max_tokens":1e30,)" + rest, 400,
             "max_tokens"},
            {R"({"model":"asistente","max_tokens":18446744073709551615,)" +
                 rest,
             400, "max_tokens"},
            {R"({"model":"asistente","stream":"yes",)" + rest, 400, "stream"},
            {R"({"model":"asistente","messages":[{"role":"user"}]})", 400,
             "messages[0].content"}};
        for (auto const& one : all)
        {
            auto const got =
                post_chat(here.router_address(0), here.key(), one.body);
            CPPUNIT_ASSERT_EQUAL(one.status, got.status);
            CPPUNIT_ASSERT_EQUAL(one.param,
                                 got.body["error"]["param"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, got.outcome);
        }
        auto const large = post_chat(here.router_address(0), here.key(),
                                     std::string(5'000'000, 'x'));
        CPPUNIT_ASSERT_EQUAL(413, large.status);
        auto const unauthenticated =
            chat(here.router_address(0), "cp_agency_x", "x");
        CPPUNIT_ASSERT_EQUAL(401, unauthenticated.status);
        auto const unknown = call(here.router_address(0), here.key(), "GET",
                                  "/services/nothing/x");
        CPPUNIT_ASSERT_EQUAL(404, unknown.status);
        CPPUNIT_ASSERT_EQUAL(
            200, chat(here.router_address(0), here.key(), "still here").status);
        CPPUNIT_ASSERT(here.wait_for_bills(1));
    }

    // An operator stops a router permanently. Guards against unspent tokens
    // that it does not return: requests that the customer paid for would be
    // rejected.
    void planned_stop_returns_shares()
    {
        site here{2};
        chat(here.router_address(0), here.other_key(), "[tokens=10]");
        auto const report = here.stop_router(0);
        CPPUNIT_ASSERT(report.clean);
        CPPUNIT_ASSERT(here.wait_for_bills(1));
        auto const rows =
            here.store().read({budget::budget_key({"technicians"})}).value();
        auto const row = budget::decode_budget(rows.at(0).value).value();
        CPPUNIT_ASSERT_EQUAL(here.ledger().at(0).tokens, row.granted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(whole_path_test);
