#include <caperpath/budget/share.hpp>
#include <caperpath/budget/spend_journal.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace caperpath;
using namespace caperpath::budget;

class spend_journal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(spend_journal_test);
    CPPUNIT_TEST(a_row_is_decoded_as_it_was_encoded);
    CPPUNIT_TEST(a_malformed_row_is_rejected);
    CPPUNIT_TEST(no_more_is_spent_than_the_stored_limit);
    CPPUNIT_TEST(the_limit_rises_during_a_store_outage);
    CPPUNIT_TEST(an_unconfirmed_write_applies_once_it_is_sent);
    CPPUNIT_TEST(an_unconfirmed_write_is_retried_unchanged);
    CPPUNIT_TEST(a_late_successor_takes_over_tokens_above_the_limit);
    CPPUNIT_TEST(tokens_received_after_the_row_are_spent_at_once);
    CPPUNIT_TEST(a_row_states_the_received_tokens);
    CPPUNIT_TEST(a_fenced_router_spends_nothing);
    CPPUNIT_TEST(a_successor_never_takes_over_spent_tokens);
    CPPUNIT_TEST(an_inherited_share_obeys_its_spend_limit);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100'000};
    inline static budget_id const taller{"taller"};

    static spend_journal acknowledged_at(instant now, std::int64_t store_ms,
                                         spend_limit_curve line)
    {
        // The first row yields the store's time, the second contains the limit.
        auto journal = sent({}, next_row({}, {}, now));
        journal = acknowledged(std::move(journal), 1, store_ms, now);
        auto const row = next_row(journal, {{taller, line}}, now);
        journal = sent(std::move(journal), row);
        return acknowledged(std::move(journal), 2, store_ms, now);
    }

    // Guards against a limit that changes on its way through the store.
    void a_row_is_decoded_as_it_was_encoded()
    {
        spend_row const row{{"a-1"}, "10.0.0.1:80", 42, {{taller, {7, 3}}}};
        auto const back =
            value_or_error([&] { return decode_spend(encode(row)); });
        CPPUNIT_ASSERT(row == std::get<spend_row>(back));
    }

    // Guards against a malformed row that is taken for a limit.
    void a_malformed_row_is_rejected()
    {
        for (auto const* text :
             {"", "[]", R"({"router":"a"})",
              R"({"router":"a","address":"1.2.3.4:5","at_ms":1,)"
              R"("lines":{"b":[1,"many"]}})"})
        {
            auto const back =
                value_or_error([&] { return decode_spend(text); });
            CPPUNIT_ASSERT(std::holds_alternative<error>(back));
        }
    }

    // Guards against spending above the limit in the store: a successor would
    // take these tokens over as unspent.
    void no_more_is_spent_than_the_stored_limit()
    {
        CPPUNIT_ASSERT_EQUAL(token_count{0},
                             spend_limit({}, taller, {900, 0}, start));
        auto const journal = acknowledged_at(start, 5'000, {300, 0});
        CPPUNIT_ASSERT_EQUAL(token_count{300},
                             spend_limit(journal, taller, {900, 0}, start));
        CPPUNIT_ASSERT_EQUAL(token_count{200},
                             spend_limit(journal, taller, {200, 0}, start));
        CPPUNIT_ASSERT_EQUAL(token_count{0},
                             spend_limit(journal, {"other"}, {900, 0}, start));
    }

    // The store is cut off. Guards against a fixed limit: callers would be
    // rejected for 0.5 to 0.9 s, until the outage is certain, with most of the
    // share free.
    void the_limit_rises_during_a_store_outage()
    {
        auto const journal = acknowledged_at(start, 5'000, {300, 100});
        CPPUNIT_ASSERT_EQUAL(
            token_count{300},
            spend_limit(journal, taller, {900, 0}, start + flat_period));
        CPPUNIT_ASSERT_EQUAL(
            token_count{550},
            spend_limit(journal, taller, {900, 0},
                        start + flat_period + duration{2'500}));
        CPPUNIT_ASSERT_EQUAL(
            token_count{900},
            spend_limit(journal, taller, {900, 0},
                        start + flat_period + duration{8'000}));
    }

    // A write without a response may be in the store, with a lower limit than
    // its predecessor. Guards against spending by the old limit, while a
    // successor goes by the new one.
    void an_unconfirmed_write_applies_once_it_is_sent()
    {
        auto journal = acknowledged_at(start, 5'000, {300, 100});
        auto const later = start + flat_period + duration{1'000};
        CPPUNIT_ASSERT_EQUAL(token_count{400},
                             spend_limit(journal, taller, {900, 0}, later));
        auto const row = next_row(journal, {{taller, {320, 10}}}, later);
        journal = sent(std::move(journal), row);
        CPPUNIT_ASSERT_EQUAL(token_count{320},
                             spend_limit(journal, taller, {900, 0}, later));
        auto const rising = later + flat_period + duration{1'000};
        CPPUNIT_ASSERT_EQUAL(token_count{330},
                             spend_limit(journal, taller, {900, 0}, rising));
        // The limit counts from the store's time now: 1 s since the row.
        journal = acknowledged(std::move(journal), 3, 7'900, rising);
        CPPUNIT_ASSERT_EQUAL(token_count{321},
                             spend_limit(journal, taller, {900, 0}, rising));
    }

    // Guards against retries with different rows: any of them could be in the
    // store, and the lowest of all their limits would have to apply.
    void an_unconfirmed_write_is_retried_unchanged()
    {
        auto journal = acknowledged_at(start, 5'000, {300, 100});
        auto const row = next_row(journal, {{taller, {320, 10}}}, start);
        journal = sent(std::move(journal), row);
        auto const retried =
            next_row(journal, {{taller, {700, 90}}}, start + duration{400});
        CPPUNIT_ASSERT(row == retried);
        journal = found_own(std::move(journal), row, 7);
        CPPUNIT_ASSERT(!journal.pending);
        auto const fresh =
            next_row(journal, {{taller, {700, 90}}}, start + duration{400});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'400}, fresh.at_ms);
    }

    // A machine is down for four seconds. Guards against losing its whole
    // share: customers near the end of their budgets would be rejected with
    // tokens unspent.
    void a_late_successor_takes_over_tokens_above_the_limit()
    {
        spend_row const row{
            {"a-1"}, "10.0.0.1:80", 5'000, {{taller, {300, 100}}}};
        auto const spent = max_spent_by_dead(row, "10.0.0.1:80", 10'100);
        CPPUNIT_ASSERT(spent);
        // 300, and 100 a second for 5.1 s, 0.061 s of margin, less 0.9 s.
        CPPUNIT_ASSERT_EQUAL(token_count{726}, spent->at(taller).spent);
        CPPUNIT_ASSERT(!max_spent_by_dead(row, "10.0.0.2:80", 9'200));
        spend_row const first{{"a-1"}, "10.0.0.1:80", 0, {}};
        CPPUNIT_ASSERT(!max_spent_by_dead(first, "10.0.0.1:80", 9'200));
    }

    // Guards against a router that received tokens for a waiting caller and
    // rejects it until the next row is written.
    void tokens_received_after_the_row_are_spent_at_once()
    {
        auto const journal = acknowledged_at(start, 5'000, {300, 0, 100, true});
        CPPUNIT_ASSERT_EQUAL(token_count{300},
                             spend_limit(journal, taller, {900, 100}, start));
        CPPUNIT_ASSERT_EQUAL(token_count{800},
                             spend_limit(journal, taller, {900, 600}, start));
        // No row names this budget yet, so no successor takes these tokens
        // over.
        CPPUNIT_ASSERT_EQUAL(token_count{50},
                             spend_limit(journal, {"other"}, {0, 50}, start));
    }

    // Received tokens are in no share row. Guards against a successor that does
    // not read them from the spend row, which would lose them.
    void a_row_states_the_received_tokens()
    {
        spend_row const row{{"a-1"},
                            "10.0.0.1:80",
                            42,
                            {{taller, {7, 3, 500, false, 4}}, {{"b"}, {1, 2}}}};
        auto const back =
            value_or_error([&] { return decode_spend(encode(row)); });
        CPPUNIT_ASSERT(row == std::get<spend_row>(back));
    }

    // Another process has the address and took over the unspent tokens. Guards
    // against both spending the same tokens.
    void a_fenced_router_spends_nothing()
    {
        auto journal = acknowledged_at(start, 5'000, {300, 100});
        journal.address_lost = true;
        CPPUNIT_ASSERT_EQUAL(
            token_count{0},
            spend_limit(journal, taller, {900, 0}, start + duration{3'000}));
    }

    // A router dies at any time, with its last rows confirmed late, lost, or
    // written without a response, and its successor reads the row at any time.
    // Guards against taking over tokens that the dead router had spent: the
    // customer would get more than was paid.
    void a_successor_never_takes_over_spent_tokens()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                // The store's clock runs with the router's, 70,000 ms behind.
                constexpr std::int64_t offset = 70'000;
                held_tokens held{1'000'000, 0};
                spend_journal journal;
                spend_row in_store;
                std::uint64_t version = 0;
                token_count used = 0;
                auto now = start;
                auto store_now = now;
                auto const steps = *rc::gen::inRange(1, 30);
                for (int i = 0; i < steps; ++i)
                {
                    auto const pause = duration{*rc::gen::inRange(0, 2'500)};
                    store_now = store_now + pause;
                    // The clock of a suspended router stands still.
                    now = now +
                          (*rc::gen::inRange(0, 5) == 0 ? duration{0} : pause);
                    auto const limit = spend_limit(journal, taller, held, now);
                    used += std::min<token_count>(
                        std::max<token_count>(0, limit - used),
                        *rc::gen::inRange(0, 20'000));
                    spend_limit_curve const line{
                        used + *rc::gen::inRange(0, 15'000),
                        *rc::gen::inRange(0, 9'000), held.received, true};
                    auto const row = next_row(journal, {{taller, line}}, now);
                    held.received += *rc::gen::inRange(0, 3) == 0
                                         ? *rc::gen::inRange(0, 300'000)
                                         : 0;
                    journal = sent(std::move(journal), row);
                    auto const write_fault = *rc::gen::inRange(0, 4);
                    if (write_fault == 0)
                    {
                        continue; // the write is lost
                    }
                    if (journal.version != version)
                    {
                        // An earlier try was applied, as the rejection shows.
                        journal =
                            found_own(std::move(journal), in_store, version);
                        continue;
                    }
                    in_store = row;
                    version += 1;
                    auto const written_ms = store_now.ms - offset;
                    auto const delay = duration{*rc::gen::inRange(0, 800)};
                    store_now = store_now + delay;
                    now = now + delay;
                    if (write_fault == 1)
                    {
                        continue; // applied, and the response is lost
                    }
                    journal = acknowledged(std::move(journal), version,
                                           written_ms, now);
                }
                auto const read_ms =
                    store_now.ms - offset + *rc::gen::inRange(0, 6'000);
                auto const spent =
                    max_spent_by_dead(in_store, in_store.address, read_ms);
                if (spent)
                {
                    auto const found = spent->find(taller);
                    auto const line = found == spent->end()
                                          ? spend_limit_curve{}
                                          : found->second;
                    auto const taken_over = std::max<token_count>(
                        0, held.granted + line.received - line.spent);
                    RC_ASSERT(used + taken_over <=
                              held.granted + held.received);
                }
            }));
    }

    // Guards against a successor that spends inherited tokens above its limit.
    void an_inherited_share_obeys_its_spend_limit()
    {
        auto state =
            make_share(taller, config::budget_policy::false_refusals_first, {});
        state = inherit(std::move(state), 1'000, 300, 9);
        CPPUNIT_ASSERT_EQUAL(token_count{700}, free_tokens(state));
        state.spend_limit = 500;
        reserve_request request{{"r"}, taller, state.policy, 250, duration{10}};
        auto const waiting = reserve(state, request, start);
        CPPUNIT_ASSERT(!waiting.reply);
        request.amount = 200;
        auto const admitted = reserve(state, request, start);
        CPPUNIT_ASSERT(admitted.reply->verdict == reserve_verdict::admitted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(spend_journal_test);
