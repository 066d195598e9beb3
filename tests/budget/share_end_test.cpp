#include <caperpath/budget/share.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::budget;

/// Who holds the rest of a budget, and how requests end when nothing is left.
class share_end_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(share_end_test);
    CPPUNIT_TEST(a_holder_with_all_the_traffic_takes_most_of_the_rest);
    CPPUNIT_TEST(a_holder_with_little_of_the_traffic_takes_little);
    CPPUNIT_TEST(few_holders_keep_half_if_another_requests_tokens);
    CPPUNIT_TEST(a_tiny_return_is_not_written);
    CPPUNIT_TEST(after_an_unmet_wait_the_next_is_rejected_at_once);
    CPPUNIT_TEST(an_unchanged_row_ends_the_waits);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100'000};
    static constexpr auto policy = config::budget_policy::false_refusals_first;
    inline static budget_id const taller{"taller"};
    inline static holder_view const holder{{"a-1"}, 1};

    static sizing by_traffic()
    {
        sizing sizes;
        sizes.horizon = duration{10'000};
        sizes.part_by_traffic = 2;
        sizes.half_kept_at = 9;
        sizes.min_return_divisor = 2;
        sizes.reject_at_once_for = duration{12};
        sizes.requests_in_draw = 0;
        return sizes;
    }

    /// A holder of `held` tokens that has just read the budget row.
    static share_state with_row(budget_row const& row, token_count held)
    {
        auto state = make_share(taller, policy, by_traffic());
        state.share = {held, 0};
        state.share_version = 3;
        state.seen = seen_budget{row, 7, start};
        state.last_amount = 1'000;
        return state;
    }

    static budget_row row_of(token_count paid, token_count granted,
                             std::int64_t holders, token_count wanted = 0)
    {
        budget_row row;
        row.paid = paid;
        row.granted = granted;
        row.holders = holders;
        row.wanted = wanted;
        return row;
    }

    /// Returns by how much the next write changes the share; 0 if there is
    /// none.
    static token_count moved(share_state const& state)
    {
        auto const step = next_step(state, holder, start);
        return step.kind == step_kind::write && step.state.planned->share
                   ? step.state.planned->share->granted - state.share.granted
                   : 0;
    }

    // All callers of a customer are connected to one router of nine. Guards
    // against limiting it to an even part: in an outage of 8 s its share ran
    // out after 2 s while half of the budget was in no share, and 582 callers
    // were rejected.
    void a_holder_with_all_the_traffic_takes_most_of_the_rest()
    {
        auto state = with_row(row_of(8'000'000, 6'400'000, 9), 100'000);
        state.rate.per_second = 280'000;
        state.rate.since = start;
        CPPUNIT_ASSERT(moved(state) >= 1'500'000);
    }

    // Guards against a router with little traffic that takes the tokens which
    // the others need.
    void a_holder_with_little_of_the_traffic_takes_little()
    {
        auto state = with_row(row_of(8'000'000, 6'400'000, 9), 20'000);
        state.rate.per_second = 28'000;
        state.rate.since = start;
        state.others.per_second = 252'000;
        auto const most = 2 * 1'600'000 / 10;
        CPPUNIT_ASSERT(moved(state) > 0);
        CPPUNIT_ASSERT(moved(state) <= most);
    }

    // Two routers have traffic at the end of a budget. Guards against each
    // returning all its tokens whenever the other waits: both would draw them
    // again at once.
    void few_holders_keep_half_if_another_requests_tokens()
    {
        auto const few = with_row(row_of(1'000, 1'000, 9, 300), 400);
        CPPUNIT_ASSERT_EQUAL(token_count{-200}, moved(few));
        // With 81 routers, a part left at each would be too small for any
        // request.
        auto const many = with_row(row_of(1'000, 1'000, 81, 300), 400);
        CPPUNIT_ASSERT_EQUAL(token_count{-360}, moved(many));
    }

    // A request for 20,000 tokens waits. Guards against nine routers that each
    // return 12 tokens for it several times a second.
    void a_tiny_return_is_not_written()
    {
        auto const state = with_row(row_of(90'000, 90'000, 9, 20'000), 24);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, moved(state));
    }

    // All but a few tokens of a budget are spent. Guards against each request
    // waiting a quarter of a second and reading the row several times before it
    // is rejected.
    void after_an_unmet_wait_the_next_is_rejected_at_once()
    {
        auto state = with_row(row_of(90'000, 90'000, 9), 24);
        reserve_request request{{"r-1"}, taller, policy, 5'000, duration{250}};
        auto waiting = reserve(state, request, start);
        CPPUNIT_ASSERT(!waiting.reply);
        auto const later = start + duration{250};
        waiting.state.seen->at = later;
        auto ended = decide_waiting(waiting.state, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.decisions.size());
        request.request = {"r-2"};
        auto const next = reserve(ended.state, request, later + duration{50});
        CPPUNIT_ASSERT(next.reply);
        CPPUNIT_ASSERT(next.reply->verdict == reserve_verdict::exhausted);
        // A smaller request may still fit, and later ones read the row again.
        request.request = {"r-3"};
        request.amount = 2'000;
        CPPUNIT_ASSERT(
            !reserve(ended.state, request, later + duration{50}).reply);
        request.amount = 5'000;
        CPPUNIT_ASSERT(
            !reserve(ended.state, request, later + duration{450}).reply);
        // A second unmet wait is remembered as well.
        request.amount = 2'000;
        waiting = reserve(ended.state, request, later);
        auto const last = later + duration{250};
        waiting.state.seen->at = last;
        ended = decide_waiting(waiting.state, last);
        request.request = {"r-4"};
        CPPUNIT_ASSERT(
            reserve(ended.state, request, last + duration{50}).reply);
    }

    /// Runs a request that waits from `at` on without success, with the row
    /// unchanged.
    static share_state after_unmet_wait(share_state state,
                                        std::string const& id, instant at)
    {
        reserve_request const request{
            {id}, taller, policy, 5'000, duration{250}};
        auto waiting = reserve(std::move(state), request, at);
        CPPUNIT_ASSERT(!waiting.reply);
        auto const end = at + duration{250};
        waiting.state.seen->at = end;
        auto ended = decide_waiting(std::move(waiting.state), end);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.decisions.size());
        return ended.state;
    }

    // No router returns tokens to a used up budget. Guards against counting
    // each unmet wait as the first one: every caller would wait a quarter of a
    // second.
    void an_unchanged_row_ends_the_waits()
    {
        auto state = with_row(row_of(90'000, 90'000, 9), 24);
        state = after_unmet_wait(std::move(state), "r-1", start);
        state =
            after_unmet_wait(std::move(state), "r-2", start + duration{4'700});
        auto const later = start + duration{5'700};
        state.seen->at = later;
        reserve_request const request{
            {"r-3"}, taller, policy, 5'000, duration{250}};
        CPPUNIT_ASSERT(reserve(std::move(state), request, later).reply);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_end_test);
