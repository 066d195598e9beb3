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
    CPPUNIT_TEST(an_outage_opens_the_whole_share);
    CPPUNIT_TEST(a_fenced_router_spends_nothing);
    CPPUNIT_TEST(a_successor_never_takes_over_what_was_spent);
    CPPUNIT_TEST(an_inherited_share_keeps_what_is_above_the_ceiling);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100'000};
    inline static budget_id const taller{"taller"};

    static spend_journal acknowledged_at(instant now, std::int64_t store_ms,
                                         token_count ceiling)
    {
        auto const row = next_row({}, {{taller, ceiling}});
        return acknowledged({}, row, 1, store_ms, now);
    }

    void a_row_survives_its_text()
    {
        spend_row const row{{"a-1"}, "10.0.0.1:80", 42, {{taller, 7}}};
        auto const back =
            value_or_error([&] { return decode_spend(encode(row)); });
        CPPUNIT_ASSERT(row == std::get<spend_row>(back));
    }

    void a_damaged_row_is_refused()
    {
        for (auto const* text :
             {"", "[]", R"({"router":"a"})",
              R"({"router":"a","address":"1.2.3.4:5","acknowledged_ms":1,)"
              R"("ceilings":{"b":"many"}})"})
        {
            auto const back =
                value_or_error([&] { return decode_spend(text); });
            CPPUNIT_ASSERT(std::holds_alternative<error>(back));
        }
    }

    void no_more_is_spent_than_the_store_knows_of()
    {
        CPPUNIT_ASSERT_EQUAL(token_count{0},
                             spend_limit({}, taller, 900, start));
        auto const journal = acknowledged_at(start, 5'000, 300);
        CPPUNIT_ASSERT_EQUAL(token_count{300},
                             spend_limit(journal, taller, 900, start));
        CPPUNIT_ASSERT_EQUAL(token_count{200},
                             spend_limit(journal, taller, 200, start));
        CPPUNIT_ASSERT_EQUAL(token_count{0},
                             spend_limit(journal, {"other"}, 900, start));
        // A ceiling never goes down: more may be reserved under it already.
        CPPUNIT_ASSERT_EQUAL(
            token_count{300},
            next_row(journal, {{taller, 100}}).ceilings.at(taller));
    }

    // The store is away for many seconds. Callers with budget left would be
    // refused if a router went no further than its last ceiling.
    void an_outage_opens_the_whole_share()
    {
        auto const journal = acknowledged_at(start, 5'000, 300);
        CPPUNIT_ASSERT_EQUAL(token_count{900}, spend_limit(journal, taller, 900,
                                                           start + deep_after));
    }

    // Another process has the address: it took over what this one had not
    // spent. Both would spend the same tokens.
    void a_fenced_router_spends_nothing()
    {
        auto journal = acknowledged_at(start, 5'000, 300);
        journal.fenced = true;
        CPPUNIT_ASSERT_EQUAL(token_count{0}, spend_limit(journal, taller, 900,
                                                         start + deep_after));
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
                constexpr token_count granted = 1'000'000;
                spend_journal journal;
                spend_row in_store;
                token_count used = 0;
                auto now = start;
                auto const steps = *rc::gen::inRange(1, 30);
                for (int i = 0; i < steps; ++i)
                {
                    now = now + duration{*rc::gen::inRange(0, 2'500)};
                    auto const limit =
                        spend_limit(journal, taller, granted, now);
                    used += std::min<token_count>(
                        std::max<token_count>(0, limit - used),
                        *rc::gen::inRange(0, 20'000));
                    auto const row = next_row(
                        journal,
                        {{taller, used + *rc::gen::inRange(0, 15'000)}});
                    auto const fate = *rc::gen::inRange(0, 3);
                    if (fate == 0)
                    {
                        continue; // lost on the way
                    }
                    in_store = row;
                    auto const written_ms = now.ms - offset;
                    now = now + duration{*rc::gen::inRange(0, 800)};
                    if (fate == 1)
                    {
                        continue; // written, and no answer came
                    }
                    journal = acknowledged(journal, row, 1, written_ms, now);
                }
                auto const read_ms =
                    now.ms - offset + *rc::gen::inRange(0, 6'000);
                auto const trusted =
                    trusted_ceilings(in_store, in_store.address, read_ms);
                if (trusted)
                {
                    auto const found = trusted->find(taller);
                    auto const ceiling =
                        found == trusted->end() ? 0 : found->second;
                    RC_ASSERT(used <= ceiling);
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
