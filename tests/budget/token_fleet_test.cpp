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
    CPPUNIT_TEST(tokens_that_were_given_can_be_spent_at_once);
    CPPUNIT_TEST(a_successor_finds_what_was_received);
    CPPUNIT_TEST(a_stopped_coordinator_returns_what_it_drew);
    CPPUNIT_TEST(no_history_spends_more_than_was_paid);
    CPPUNIT_TEST(each_mistake_is_found);
    CPPUNIT_TEST_SUITE_END();

    static constexpr token_count paid = 100'000;
    static constexpr std::size_t count = 4;

    /// A fleet whose first router holds all of the budget, by its row too.
    static std::unique_ptr<token_fleet> drawn()
    {
        auto fleet =
            std::make_unique<token_fleet>(count, paid, broken::nothing);
        for (int i = 0; i < 4; ++i)
        {
            fleet->pass(duration{1'000}, std::nullopt);
            fleet->draw(0, paid, write_fate::answered);
        }
        fleet->write_row(0, 50'000, 0, write_fate::answered);
        return fleet;
    }

    /// Any order of what may happen, with half of it going wrong. Checks after
    /// each step.
    static bool overspends(broken mistake, std::uint32_t seed, int steps)
    {
        std::mt19937 random{seed};
        auto const upto = [&](int most)
        {
            return static_cast<int>(random() %
                                    static_cast<std::uint32_t>(most));
        };
        auto const any = [&]
        {
            return static_cast<std::size_t>(upto(static_cast<int>(count)));
        };
        auto const fate = [&]
        {
            auto const drawn = upto(6);
            return drawn == 0   ? write_fate::lost
                   : drawn == 1 ? write_fate::answer_lost
                                : write_fate::answered;
        };
        token_fleet fleet{count, paid, mistake};
        for (int i = 0; i < steps; ++i)
        {
            fleet.pass(duration{upto(700)},
                       upto(8) == 0 ? std::optional{any()} : std::nullopt);
            auto const router = any();
            switch (upto(12))
            {
            case 0:
            case 1:
                fleet.draw(router, upto(60'000), fate());
                break;
            case 2:
            case 3:
                fleet.write_row(router, upto(20'000), upto(8'000), fate());
                break;
            case 4:
            case 5:
                fleet.give(router, any(), 1 + upto(12'000));
                break;
            case 6:
                fleet.send_due(router);
                break;
            case 7:
            case 8:
                if (fleet.datagrams() > 0)
                {
                    auto const last = static_cast<int>(fleet.datagrams());
                    fleet.deliver(static_cast<std::size_t>(upto(last)),
                                  upto(4) == 0);
                }
                break;
            case 9:
            case 10:
                fleet.spend(router, 1 + upto(9'000));
                break;
            default:
                if (upto(3) == 0)
                {
                    fleet.stop(router);
                }
                else
                {
                    fleet.replace(router, duration{upto(4'000)});
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

    // Guards against a caller that is refused although the tokens it waited for
    // have come.
    void tokens_that_were_given_can_be_spent_at_once()
    {
        auto fleet = drawn();
        CPPUNIT_ASSERT(!fleet->spend(1, 8'000));
        fleet->give(0, 1, 8'000);
        fleet->deliver(0, false);
        CPPUNIT_ASSERT(fleet->spend(1, 8'000));
        CPPUNIT_ASSERT(!fleet->spend(1, 1));
    }

    // Guards against tokens that are lost to their customer with each crash,
    // since they stand in no share row.
    void a_successor_finds_what_was_received()
    {
        auto fleet = drawn();
        fleet->give(0, 1, 8'000);
        fleet->deliver(0, false);
        CPPUNIT_ASSERT(fleet->spend(1, 1'000));
        fleet->write_row(1, 500, 0, write_fate::answered);
        fleet->replace(1, duration{600});
        fleet->write_row(1, 6'500, 0, write_fate::answered);
        CPPUNIT_ASSERT(!fleet->spend(1, 6'501));
        CPPUNIT_ASSERT(fleet->spend(1, 6'500));
    }

    // Guards against a budget row that counts tokens which others hold as
    // returned, or as spent by fewer than nobody.
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

    void no_history_spends_more_than_was_paid()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const seed = *rc::gen::arbitrary<std::uint32_t>();
                RC_ASSERT(!overspends(broken::nothing, seed, 400));
            }));
    }

    // Guards against a simulation that is too tame to find anything.
    void each_mistake_is_found()
    {
        for (auto const mistake :
             {broken::takes_twice, broken::gives_above_its_line,
              broken::inherits_before_spent})
        {
            auto found = false;
            for (std::uint32_t seed = 0; seed < 400 && !found; ++seed)
            {
                found = overspends(mistake, seed, 400);
            }
            CPPUNIT_ASSERT_MESSAGE(
                "mistake " + std::to_string(static_cast<int>(mistake)), found);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_fleet_test);
