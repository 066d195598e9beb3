#include "budget/token_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <memory>
#include <random>

using namespace caperpath;
using namespace caperpath::budget;

class token_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(token_fleet_test);
    CPPUNIT_TEST(received_tokens_can_be_spent_at_once);
    CPPUNIT_TEST(a_successor_takes_over_received_tokens);
    CPPUNIT_TEST(a_stopped_coordinator_returns_what_it_drew);
    CPPUNIT_TEST(no_sequence_spends_more_than_was_paid);
    CPPUNIT_TEST(each_injected_bug_is_found);
    CPPUNIT_TEST_SUITE_END();

    static constexpr token_count paid = 100'000;
    static constexpr std::size_t count = 4;

    /// Returns a fleet whose first router has drawn the whole budget and stored
    /// a spend limit.
    static std::unique_ptr<token_fleet> drawn()
    {
        auto fleet =
            std::make_unique<token_fleet>(count, paid, injected_bug::none);
        for (int i = 0; i < 4; ++i)
        {
            fleet->advance_time(duration{1'000}, std::nullopt);
            fleet->draw(0, paid, write_outcome::acknowledged);
        }
        fleet->write_row(0, 50'000, 0, write_outcome::acknowledged);
        return fleet;
    }

    /// Runs random actions, many of them with faults, and checks after each.
    /// Returns true if more than the paid tokens could be spent.
    static bool overspends(injected_bug bug, std::uint32_t seed, int steps)
    {
        std::mt19937 random{seed};
        auto const random_below = [&](int limit)
        {
            return static_cast<int>(random() %
                                    static_cast<std::uint32_t>(limit));
        };
        auto const random_router = [&]
        {
            return static_cast<std::size_t>(
                random_below(static_cast<int>(count)));
        };
        auto const random_outcome = [&]
        {
            auto const drawn = random_below(6);
            return drawn == 0   ? write_outcome::lost
                   : drawn == 1 ? write_outcome::response_lost
                                : write_outcome::acknowledged;
        };
        token_fleet fleet{count, paid, bug};
        for (int i = 0; i < steps; ++i)
        {
            fleet.advance_time(duration{random_below(700)},
                               random_below(8) == 0
                                   ? std::optional{random_router()}
                                   : std::nullopt);
            auto const router = random_router();
            switch (random_below(12))
            {
            case 0:
            case 1:
                fleet.draw(router, random_below(60'000), random_outcome());
                break;
            case 2:
            case 3:
                fleet.write_row(router, random_below(20'000),
                                random_below(8'000), random_outcome());
                break;
            case 4:
            case 5:
                fleet.give(router, random_router(), 1 + random_below(12'000));
                break;
            case 6:
                fleet.send_due(router);
                break;
            case 7:
            case 8:
                if (fleet.datagrams() > 0)
                {
                    auto const last = static_cast<int>(fleet.datagrams());
                    fleet.deliver(static_cast<std::size_t>(random_below(last)),
                                  random_below(4) == 0);
                }
                break;
            case 9:
            case 10:
                fleet.spend(router, 1 + random_below(9'000));
                break;
            default:
                if (random_below(3) == 0)
                {
                    fleet.stop(router);
                }
                else
                {
                    fleet.replace(router, duration{random_below(4'000)});
                }
                break;
            }
            auto const row = fleet.row();
            if (fleet.obtainable() > paid || row.granted > paid ||
                row.retired < 0)
            {
                return true;
            }
        }
        return false;
    }

    // Guards against a caller that is rejected although the tokens it waited
    // for have arrived.
    void received_tokens_can_be_spent_at_once()
    {
        auto fleet = drawn();
        CPPUNIT_ASSERT(!fleet->spend(1, 8'000));
        fleet->give(0, 1, 8'000);
        fleet->deliver(0, false);
        CPPUNIT_ASSERT(fleet->spend(1, 8'000));
        CPPUNIT_ASSERT(!fleet->spend(1, 1));
    }

    // Received tokens are in no share row. Guards against losing them with each
    // crash.
    void a_successor_takes_over_received_tokens()
    {
        auto fleet = drawn();
        fleet->give(0, 1, 8'000);
        fleet->deliver(0, false);
        CPPUNIT_ASSERT(fleet->spend(1, 1'000));
        fleet->write_row(1, 500, 0, write_outcome::acknowledged);
        fleet->replace(1, duration{600});
        fleet->write_row(1, 6'500, 0, write_outcome::acknowledged);
        CPPUNIT_ASSERT(!fleet->spend(1, 6'501));
        CPPUNIT_ASSERT(fleet->spend(1, 6'500));
    }

    // Guards against a budget row that counts tokens which other routers hold
    // as returned, or a negative number of tokens as spent.
    void a_stopped_coordinator_returns_what_it_drew()
    {
        auto fleet = drawn();
        fleet->give(0, 1, 8'000);
        fleet->deliver(0, false);
        CPPUNIT_ASSERT(fleet->spend(0, 2'000));
        fleet->stop(0);
        CPPUNIT_ASSERT_EQUAL(token_count{10'000}, fleet->row().granted);
        CPPUNIT_ASSERT_EQUAL(token_count{10'000}, fleet->row().retired);
    }

    // Guards against overspending after any sequence of faults.
    void no_sequence_spends_more_than_was_paid()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const seed = *rc::gen::arbitrary<std::uint32_t>();
                RC_ASSERT(!overspends(injected_bug::none, seed, 400));
            }));
    }

    // Guards against a simulation whose faults are too rare to find a bug.
    void each_injected_bug_is_found()
    {
        for (auto const bug : {injected_bug::accepts_duplicates,
                               injected_bug::gives_above_its_limit,
                               injected_bug::credits_received_before_spent})
        {
            auto found = false;
            for (std::uint32_t seed = 0; seed < 400 && !found; ++seed)
            {
                found = overspends(bug, seed, 400);
            }
            CPPUNIT_ASSERT_MESSAGE(
                "injected bug " + std::to_string(static_cast<int>(bug)), found);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_fleet_test);
