#include <caperpath/budget/holdings.hpp>
#include <caperpath/budget/share.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::budget;

/// How much of a budget each router should hold, by what the routers report.
class holdings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(holdings_test);
    CPPUNIT_TEST(rare_large_requests_need_more_than_their_mean);
    CPPUNIT_TEST(a_whole_budget_is_allocated_before_an_outage);
    CPPUNIT_TEST(shares_follow_the_traffic);
    CPPUNIT_TEST(a_router_without_callers_keeps_a_little);
    CPPUNIT_TEST(a_router_without_reports_leaves_parts_for_the_others);
    CPPUNIT_TEST(a_silent_router_gets_no_allocation);
    CPPUNIT_TEST(one_holder_returns_requested_tokens);
    CPPUNIT_TEST(tokens_for_a_waiting_reservation_stay);
    CPPUNIT_TEST(a_used_up_budget_is_rejected_for_good);
    CPPUNIT_TEST(a_router_that_was_cut_off_rejects_nothing_for_good);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant now{100'000};
    inline static budget_id const taller{"taller"};
    inline static vm_id const self{"vm-1"};
    inline static holder_view const holder{{"vm-1-1"}, 1};

    static budget_row row_of(token_count paid, token_count granted)
    {
        budget_row row;
        row.paid = paid;
        row.granted = granted;
        row.holders = 6;
        return row;
    }

    /// Five other routers that all report the same.
    static holdings five_others(holding const& each, instant at = now)
    {
        holdings all;
        for (auto const* const name : {"vm-2", "vm-3", "vm-4", "vm-5", "vm-6"})
        {
            all[vm_id{name}] = {each, at};
        }
        return all;
    }

    /// A holder of `held` unused tokens that has just read `row`.
    static share_state holding_state(budget_row const& row, token_count held)
    {
        sizing sizes;
        sizes.horizon = duration{10'000};
        sizes.max_row_age = duration{1'000};
        auto state = make_share(
            taller, config::budget_policy::false_refusals_first, sizes);
        state.share = {held, 0};
        state.share_version = 3;
        state.seen = seen_budget{row, 7, now, now};
        state.last_amount = 1'000;
        return state;
    }

    static token_count moved(share_state const& state, instant at = now)
    {
        auto const step = next_step(state, holder, at);
        return step.kind == step_kind::write && step.state.planned->share
                   ? step.state.planned->share->granted - state.share.granted
                   : 0;
    }

    // A router gets a request of 10,000 tokens every two seconds on average.
    // Guards against sizing its share by the mean: it would run out in every
    // second outage of 8 s.
    void rare_large_requests_need_more_than_their_mean()
    {
        auto const need = need_ahead(5'000, duration{8'000}, 10'000);
        CPPUNIT_ASSERT(need >= 80'000);
        CPPUNIT_ASSERT(need <= 100'000);
        // With requests of a hundredth of the size, the mean is nearly enough.
        auto const small = need_ahead(5'000, duration{8'000}, 100);
        CPPUNIT_ASSERT(small < 45'000);
        CPPUNIT_ASSERT_EQUAL(token_count{10'000},
                             need_ahead(0, duration{8'000}, 10'000));
    }

    // All routers are cut off from the store for 8 s. Guards against rejecting
    // callers because most of what the customers paid is still in the store.
    void a_whole_budget_is_allocated_before_an_outage()
    {
        auto const row = row_of(600'000, 60'000);
        holding const each{10'000, 0, 0, 0};
        auto const found =
            allocation_for(five_others(each), self, each, row, 6, now);
        CPPUNIT_ASSERT_EQUAL(token_count{100'000}, found.target);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, found.others_shortage);
        auto state = holding_state(row, 10'000);
        state.current_allocation = found;
        CPPUNIT_ASSERT_EQUAL(token_count{90'000}, moved(state));
    }

    // A zone with one router has a third of all callers. Guards against shares
    // of equal size for all routers.
    void shares_follow_the_traffic()
    {
        auto const row = row_of(600'000, 600'000);
        holding const busy{100'000, 60'000, 0, 50'000};
        holding const light{100'000, 10'000, 0, 10'000};
        auto const mine =
            allocation_for(five_others(light), self, busy, row, 6, now);
        // 490,000 tokens are free; half of the need is here.
        CPPUNIT_ASSERT(mine.target > 200'000);
        auto others = five_others(light);
        others[vm_id{"vm-2"}] = {busy, now};
        auto const theirs = allocation_for(others, self, light, row, 6, now);
        CPPUNIT_ASSERT(theirs.target < 60'000);
        CPPUNIT_ASSERT(theirs.others_shortage > 0);
        auto state = holding_state(row, 100'000);
        state.settled = 10'000;
        state.current_allocation = theirs;
        CPPUNIT_ASSERT_EQUAL(theirs.target - 90'000, moved(state));
    }

    // A router fails and its callers move to a router that had none of the
    // customer's callers. Guards against rejecting all of them until the next
    // allocation, which does not happen during an outage.
    void a_router_without_callers_keeps_a_little()
    {
        auto const row = row_of(600'000, 600'000);
        holding const busy{100'000, 0, 0, 50'000};
        holding const idle{100'000, 0, 0, 0};
        auto const found =
            allocation_for(five_others(busy), self, idle, row, 6, now);
        CPPUNIT_ASSERT_EQUAL(token_count{10'000}, found.target);
    }

    // The first router to start sees a budget with nothing granted and no other
    // router. Guards against taking all of it, which would leave the others
    // none at their start.
    void a_router_without_reports_leaves_parts_for_the_others()
    {
        auto const row = row_of(600'000, 0);
        auto const found =
            allocation_for({}, self, {0, 0, 0, 5'000}, row, 6, now);
        CPPUNIT_ASSERT_EQUAL(token_count{100'000}, found.target);
    }

    // A router is lost for good. Guards against reserving a part of the budget
    // for it, and against counting its last reported tokens as free.
    void a_silent_router_gets_no_allocation()
    {
        auto const row = row_of(500'000, 100'000);
        holding const each{10'000, 0, 0, 5'000};
        auto const long_ago = now - holding_lifetime(5) - duration{1};
        auto others = five_others(each);
        others[vm_id{"vm-2"}].at = long_ago;
        auto const found = allocation_for(others, self, each, row, 5, now);
        CPPUNIT_ASSERT_EQUAL(token_count{450'000 / 5}, found.target);
    }

    // A caller waits for 3,000 tokens. Guards against five holders that each
    // write a return, of which four are rejected because the row has changed,
    // and are retried.
    void one_holder_returns_requested_tokens()
    {
        auto row = row_of(60'000, 60'000);
        row.wanted = 3'000;
        auto others = five_others({8'000, 0, 0, 5'000});
        CPPUNIT_ASSERT(!must_return(others, self, 7'000, 3'000, 6, now));
        CPPUNIT_ASSERT(must_return(others, self, 9'000, 3'000, 6, now));
        // The holders before this one have less than is wanted.
        CPPUNIT_ASSERT(must_return(others, self, 7'000, 50'000, 6, now));

        auto state = holding_state(row, 9'000);
        state.current_allocation = allocation{9'000, 0, 0};
        CPPUNIT_ASSERT_EQUAL(token_count{-4'500}, moved(state));
        state.must_return = false;
        CPPUNIT_ASSERT_EQUAL(token_count{0}, moved(state));
    }

    // A covered reservation waits for its router's spend limit while another
    // router requests tokens. Guards against returning the covered tokens,
    // which are then drawn again: two routers would pass them back and forth 80
    // times a second.
    void tokens_for_a_waiting_reservation_stay()
    {
        auto row = row_of(60'000, 60'000);
        row.wanted = 3'000;
        auto state = holding_state(row, 9'000);
        state.current_allocation = allocation{9'000, 0, 0};
        state.spend_limit = 0;
        state.waiting.push_back({{"r-1"}, 8'000, now, now + duration{250}});
        CPPUNIT_ASSERT_EQUAL(token_count{-1'000}, moved(state));
    }

    // A customer has used up its budget. Guards against telling its callers to
    // retry as long as other routers might return shares, only to reject them
    // again.
    void a_used_up_budget_is_rejected_for_good()
    {
        auto state = holding_state(row_of(60'000, 60'000), 100);
        state.current_allocation = allocation{100, 0, 58'000};
        reserve_request const small{
            {"r-1"}, taller, state.policy, 1'500, duration{250}};
        CPPUNIT_ASSERT(!reserve(state, small, now).reply);
        reserve_request const large{
            {"r-2"}, taller, state.policy, 2'500, duration{250}};
        auto const reply = reserve(state, large, now).reply;
        CPPUNIT_ASSERT(reply);
        CPPUNIT_ASSERT(reply->verdict == reserve_verdict::exhausted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, reply->retry_after.ms);
    }

    // A top-up was accepted while this router was cut off from the store.
    // Guards against reporting the budget as used up for good: the caller would
    // not retry.
    void a_router_that_was_cut_off_rejects_nothing_for_good()
    {
        auto state = holding_state(row_of(60'000, 60'000), 100);
        state.current_allocation = allocation{100, 0, 58'000};
        state.seen->at = now - duration{3'000};
        reserve_request const large{
            {"r-1"}, taller, state.policy, 2'500, duration{250}};
        CPPUNIT_ASSERT(!reserve(state, large, now).reply);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(holdings_test);
