#include <caperpath/budget/share.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::budget;

/// Who holds what is left of a budget, and how requests end when nothing is.
class share_end_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(share_end_test);
    CPPUNIT_TEST(a_holder_with_all_the_traffic_takes_most_of_the_rest);
    CPPUNIT_TEST(a_holder_with_little_of_the_traffic_takes_little);
    CPPUNIT_TEST(few_holders_keep_half_of_what_another_wants);
    CPPUNIT_TEST(a_tiny_return_is_not_written);
    CPPUNIT_TEST(after_a_wait_in_vain_the_next_is_refused_at_once);
    CPPUNIT_TEST(a_row_that_stays_unchanged_ends_the_waits);
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
        sizes.least_return_part = 2;
        sizes.refuse_at_once = duration{12};
        sizes.requests_in_draw = 0;
        return sizes;
    }

    /// A holder of `held` tokens that has seen the budget row just now.
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

    /// What the next write changes in the share; 0 if there is none.
    static token_count moved(share_state const& state)
    {
        auto const step = next_step(state, holder, start);
        return step.kind == step_kind::write && step.state.planned->share
                   ? step.state.planned->share->granted - state.share.granted
                   : 0;
    }

    // All callers of a customer are connected to one router of nine. Held to an
    // even part, it ran out 2 s into an outage of 8 s while half of the budget
    // was in nobody's share, and 582 of its callers were refused.
    void a_holder_with_all_the_traffic_takes_most_of_the_rest()
    {
        auto state = with_row(row_of(8'000'000, 6'400'000, 9), 100'000);
        state.rate.per_second = 280'000;
        state.rate.since = start;
        CPPUNIT_ASSERT(moved(state) >= 1'500'000);
    }

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

    // Two routers have traffic at the end of a budget. Were each to give all
    // back whenever the other one waits, both would draw it again at once.
    void few_holders_keep_half_of_what_another_wants()
    {
        auto const few = with_row(row_of(1'000, 1'000, 9, 300), 400);
        CPPUNIT_ASSERT_EQUAL(token_count{-200}, moved(few));
        // A part at each of 81 routers would be of no use to anybody.
        auto const many = with_row(row_of(1'000, 1'000, 81, 300), 400);
        CPPUNIT_ASSERT_EQUAL(token_count{-360}, moved(many));
    }

    // Some request of 20,000 tokens waits. Each of nine routers wrote a return
    // of 12 tokens for it, several times a second.
    void a_tiny_return_is_not_written()
    {
        auto const state = with_row(row_of(90'000, 90'000, 9, 20'000), 24);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, moved(state));
    }

    // A budget is used up to some tokens. Each request waited a quarter of a
    // second and looked at the row several times before it was refused.
    void after_a_wait_in_vain_the_next_is_refused_at_once()
    {
        auto state = with_row(row_of(90'000, 90'000, 9), 24);
        reserve_request request{{"r-1"}, taller, policy, 5'000, duration{250}};
        auto waiting = reserve(state, request, start);
        CPPUNIT_ASSERT(!waiting.reply);
        auto const later = start + duration{250};
        waiting.state.seen->at = later;
        auto ended = answer_waiting(waiting.state, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.answers.size());
        request.request = {"r-2"};
        auto const next = reserve(ended.state, request, later + duration{50});
        CPPUNIT_ASSERT(next.reply);
        CPPUNIT_ASSERT(next.reply->verdict == reserve_verdict::exhausted);
        // A smaller one may still fit, and later ones look again.
        request.request = {"r-3"};
        request.amount = 2'000;
        CPPUNIT_ASSERT(
            !reserve(ended.state, request, later + duration{50}).reply);
        request.amount = 5'000;
        CPPUNIT_ASSERT(
            !reserve(ended.state, request, later + duration{450}).reply);
        // One that waited in vain too is remembered as well.
        request.amount = 2'000;
        waiting = reserve(ended.state, request, later);
        auto const last = later + duration{250};
        waiting.state.seen->at = last;
        ended = answer_waiting(waiting.state, last);
        request.request = {"r-4"};
        CPPUNIT_ASSERT(
            reserve(ended.state, request, last + duration{50}).reply);
    }

    /// A request that waits from `at` on, in vain, with the row unchanged.
    static share_state waited(share_state state, std::string const& id,
                              instant at)
    {
        reserve_request const request{
            {id}, taller, policy, 5'000, duration{250}};
        auto waiting = reserve(std::move(state), request, at);
        CPPUNIT_ASSERT(!waiting.reply);
        auto const end = at + duration{250};
        waiting.state.seen->at = end;
        auto ended = answer_waiting(std::move(waiting.state), end);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.answers.size());
        return ended.state;
    }

    // Nobody gives tokens back to a used up budget. When each wait in vain
    // counted as the first one, every caller was kept waiting for a quarter of
    // a second for the rest of the day.
    void a_row_that_stays_unchanged_ends_the_waits()
    {
        auto state = with_row(row_of(90'000, 90'000, 9), 24);
        state = waited(std::move(state), "r-1", start);
        state = waited(std::move(state), "r-2", start + duration{4'700});
        auto const later = start + duration{5'700};
        state.seen->at = later;
        reserve_request const request{
            {"r-3"}, taller, policy, 5'000, duration{250}};
        CPPUNIT_ASSERT(reserve(std::move(state), request, later).reply);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_end_test);
