#include <caperpath/budget/share.hpp>
#include <caperpath/budget/spend_journal.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace caperpath;
using namespace caperpath::budget;

class spend_journal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(spend_journal_test);
    CPPUNIT_TEST(a_row_survives_its_text);
    CPPUNIT_TEST(a_damaged_row_is_refused);
    CPPUNIT_TEST(no_more_is_spent_than_the_store_knows_of);
    CPPUNIT_TEST(an_outage_of_the_store_opens_the_share);
    CPPUNIT_TEST(a_lost_write_binds_from_the_moment_it_is_sent);
    CPPUNIT_TEST(a_lost_write_is_sent_again_as_it_was);
    CPPUNIT_TEST(a_late_successor_takes_over_what_the_line_leaves);
    CPPUNIT_TEST(what_came_after_the_row_is_spent_at_once);
    CPPUNIT_TEST(a_row_tells_what_was_received);
    CPPUNIT_TEST(a_fenced_router_spends_nothing);
    CPPUNIT_TEST(a_successor_never_takes_over_what_was_spent);
    CPPUNIT_TEST(an_inherited_share_keeps_what_is_above_the_ceiling);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100'000};
    inline static budget_id const taller{"taller"};

    static spend_journal acknowledged_at(instant now, std::int64_t store_ms,
                                         spend_line line)
    {
        // The first row tells the store's time, the second bears the line.
        auto journal = sent({}, next_row({}, {}, now));
        journal = acknowledged(std::move(journal), 1, store_ms, now);
        auto const row = next_row(journal, {{taller, line}}, now);
        journal = sent(std::move(journal), row);
        return acknowledged(std::move(journal), 2, store_ms, now);
    }

    void a_row_survives_its_text()
    {
        spend_row const row{{"a-1"}, "10.0.0.1:80", 42, {{taller, {7, 3}}}};
        auto const back =
            value_or_error([&] { return decode_spend(encode(row)); });
        CPPUNIT_ASSERT(row == std::get<spend_row>(back));
    }

    void a_damaged_row_is_refused()
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

    void no_more_is_spent_than_the_store_knows_of()
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

    // The store is cut off. With a fixed ceiling some seconds ahead, callers
    // were refused from there until the outage was certain, with most of the
    // share free: 0.5 to 0.9 s in each outage of a calm day.
    void an_outage_of_the_store_opens_the_share()
    {
        auto const journal = acknowledged_at(start, 5'000, {300, 100});
        CPPUNIT_ASSERT_EQUAL(
            token_count{300},
            spend_limit(journal, taller, {900, 0}, start + flat_for));
        CPPUNIT_ASSERT_EQUAL(token_count{550},
                             spend_limit(journal, taller, {900, 0},
                                         start + flat_for + duration{2'500}));
        CPPUNIT_ASSERT_EQUAL(token_count{900},
                             spend_limit(journal, taller, {900, 0},
                                         start + flat_for + duration{8'000}));
    }

    // A write that no answer came to may be in the store, with a lower line
    // than the one before. A successor would go by that.
    void a_lost_write_binds_from_the_moment_it_is_sent()
    {
        auto journal = acknowledged_at(start, 5'000, {300, 100});
        auto const later = start + flat_for + duration{1'000};
        CPPUNIT_ASSERT_EQUAL(token_count{400},
                             spend_limit(journal, taller, {900, 0}, later));
        auto const row = next_row(journal, {{taller, {320, 10}}}, later);
        journal = sent(std::move(journal), row);
        CPPUNIT_ASSERT_EQUAL(token_count{320},
                             spend_limit(journal, taller, {900, 0}, later));
        auto const rising = later + flat_for + duration{1'000};
        CPPUNIT_ASSERT_EQUAL(token_count{330},
                             spend_limit(journal, taller, {900, 0}, rising));
        // Counted from the store's own time now: 1 s since the row.
        journal = acknowledged(std::move(journal), 3, 7'900, rising);
        CPPUNIT_ASSERT_EQUAL(token_count{321},
                             spend_limit(journal, taller, {900, 0}, rising));
    }

    // Were each try another row, any of them could be in the store, and the
    // lowest of many lines would have to bind.
    void a_lost_write_is_sent_again_as_it_was()
    {
        auto journal = acknowledged_at(start, 5'000, {300, 100});
        auto const row = next_row(journal, {{taller, {320, 10}}}, start);
        journal = sent(std::move(journal), row);
        auto const again =
            next_row(journal, {{taller, {700, 90}}}, start + duration{400});
        CPPUNIT_ASSERT(row == again);
        journal = found_own(std::move(journal), row, 7);
        CPPUNIT_ASSERT(!journal.pending);
        auto const fresh =
            next_row(journal, {{taller, {700, 90}}}, start + duration{400});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'400}, fresh.at_ms);
    }

    // A machine is away for four seconds. The share of its router was lost
    // whole, and customers near their end were refused with tokens unspent.
    void a_late_successor_takes_over_what_the_line_leaves()
    {
        spend_row const row{
            {"a-1"}, "10.0.0.1:80", 5'000, {{taller, {300, 100}}}};
        auto const spent = spent_at_most(row, "10.0.0.1:80", 10'100);
        CPPUNIT_ASSERT(spent);
        // 300, and 100 a second for 5.1 s, 0.061 s of margin, less 0.9 s.
        CPPUNIT_ASSERT_EQUAL(token_count{726}, spent->at(taller).spent);
        CPPUNIT_ASSERT(!spent_at_most(row, "10.0.0.2:80", 9'200));
        spend_row const first{{"a-1"}, "10.0.0.1:80", 0, {}};
        CPPUNIT_ASSERT(!spent_at_most(first, "10.0.0.1:80", 9'200));
    }

    // A router that has just been given tokens would refuse the caller that it
    // asked for until its next row is written.
    void what_came_after_the_row_is_spent_at_once()
    {
        auto const journal = acknowledged_at(start, 5'000, {300, 0, 100, true});
        CPPUNIT_ASSERT_EQUAL(token_count{300},
                             spend_limit(journal, taller, {900, 100}, start));
        CPPUNIT_ASSERT_EQUAL(token_count{800},
                             spend_limit(journal, taller, {900, 600}, start));
        // A budget that no row names yet: nobody takes these over.
        CPPUNIT_ASSERT_EQUAL(token_count{50},
                             spend_limit(journal, {"other"}, {0, 50}, start));
    }

    // What was received stands in no share row. A successor that does not read
    // it from the spend row would leave it to nobody.
    void a_row_tells_what_was_received()
    {
        spend_row const row{{"a-1"},
                            "10.0.0.1:80",
                            42,
                            {{taller, {7, 3, 500, false, 4}}, {{"b"}, {1, 2}}}};
        auto const back =
            value_or_error([&] { return decode_spend(encode(row)); });
        CPPUNIT_ASSERT(row == std::get<spend_row>(back));
    }

    // Another process has the address: it took over what this one had not
    // spent. Both would spend the same tokens.
    void a_fenced_router_spends_nothing()
    {
        auto journal = acknowledged_at(start, 5'000, {300, 100});
        journal.fenced = true;
        CPPUNIT_ASSERT_EQUAL(
            token_count{0},
            spend_limit(journal, taller, {900, 0}, start + duration{3'000}));
    }

    // A router dies at any moment, with its last rows acknowledged late, lost,
    // or written without an answer. Its successor may read the row whenever it
    // likes. If it took over tokens that the dead one had spent, the customer
    // would get more than was paid.
    void a_successor_never_takes_over_what_was_spent()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                // Store time runs with the router's clock, 70,000 ms behind.
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
                    // Suspended, the router's clock stands still.
                    now = now +
                          (*rc::gen::inRange(0, 5) == 0 ? duration{0} : pause);
                    auto const limit = spend_limit(journal, taller, held, now);
                    used += std::min<token_count>(
                        std::max<token_count>(0, limit - used),
                        *rc::gen::inRange(0, 20'000));
                    spend_line const line{used + *rc::gen::inRange(0, 15'000),
                                          *rc::gen::inRange(0, 9'000),
                                          held.received, true};
                    auto const row = next_row(journal, {{taller, line}}, now);
                    held.received += *rc::gen::inRange(0, 3) == 0
                                         ? *rc::gen::inRange(0, 300'000)
                                         : 0;
                    journal = sent(std::move(journal), row);
                    auto const fate = *rc::gen::inRange(0, 4);
                    if (fate == 0)
                    {
                        continue; // lost on the way
                    }
                    if (journal.version != version)
                    {
                        // An earlier try is in the store: the refusal says so.
                        journal =
                            found_own(std::move(journal), in_store, version);
                        continue;
                    }
                    in_store = row;
                    version += 1;
                    auto const written_ms = store_now.ms - offset;
                    auto const answer = duration{*rc::gen::inRange(0, 800)};
                    store_now = store_now + answer;
                    now = now + answer;
                    if (fate == 1)
                    {
                        continue; // written, and no answer came
                    }
                    journal = acknowledged(std::move(journal), version,
                                           written_ms, now);
                }
                auto const read_ms =
                    store_now.ms - offset + *rc::gen::inRange(0, 6'000);
                auto const spent =
                    spent_at_most(in_store, in_store.address, read_ms);
                if (spent)
                {
                    auto const found = spent->find(taller);
                    auto const line =
                        found == spent->end() ? spend_line{} : found->second;
                    auto const taken_over = std::max<token_count>(
                        0, held.granted + line.received - line.spent);
                    RC_ASSERT(used + taken_over <=
                              held.granted + held.received);
                }
            }));
    }

    void an_inherited_share_keeps_what_is_above_the_ceiling()
    {
        auto state =
            make_share(taller, config::budget_policy::false_refusals_first, {});
        state = inherit(std::move(state), 1'000, 300, 9);
        CPPUNIT_ASSERT_EQUAL(token_count{700}, free_tokens(state));
        state.spend_limit = 500;
        reserve_request request{{"r"}, taller, state.policy, 250, duration{10}};
        auto const refused = reserve(state, request, start);
        CPPUNIT_ASSERT(!refused.reply);
        request.amount = 200;
        auto const admitted = reserve(state, request, start);
        CPPUNIT_ASSERT(admitted.reply->verdict == reserve_verdict::admitted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(spend_journal_test);
