#include "gateway/crash_keeper.hpp"
#include "gateway/crash_rows.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

class crash_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_keeper_test);
    CPPUNIT_TEST(an_idle_site_costs_few_calls);
    CPPUNIT_TEST(a_lost_call_shortens_the_next_ones);
    CPPUNIT_TEST(a_held_call_that_is_lost_hides_no_crash);
    CPPUNIT_TEST(lost_calls_elsewhere_do_not_add_up);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t salt = 7;

    static fleet::fingerprint fatal()
    {
        return fleet::fingerprint_of(
            {"taller", "GET", "site.example", "/read/fatal", ""});
    }

    /// A store that counts calls and adds up what it would have held them for.
    struct world
    {
        using follow_reply = store::reply<store::feed_page>;

        store::async_port port()
        {
            store::async_port made;
            made.list =
                [this](std::string const&, duration, follow_reply const& done)
            {
                this->calls += 1;
                boost::asio::post(this->loop,
                                  [done] {
                                      done(store::feed_page{{}, 1});
                                  });
            };
            made.scan = [this](std::string const&, std::string const&,
                               store::reply<std::vector<store::row>> const& to)
            {
                this->calls += 1;
                boost::asio::post(this->loop,
                                  [to] { to(std::vector<store::row>{}); });
            };
            made.follow = [this](std::string const&, std::uint64_t,
                                 duration wait, duration answer_within,
                                 follow_reply const& done)
            {
                this->calls += 1;
                this->waits.push_back(wait);
                this->limits.push_back(answer_within);
                this->on_follow(done);
            };
            made.commit = [](store::transaction const&,
                             std::function<void(store::commit_result)> const&) {
            };
            return made;
        }

        void answer(follow_reply const& done, store::feed_page const& page)
        {
            boost::asio::post(this->loop, [done, page] { done(page); });
        }

        bool run_until(std::function<bool()> const& done)
        {
            constexpr int most_slices = 2'000;
            for (int i = 0; i < most_slices && !done(); ++i)
            {
                this->loop.run_for(std::chrono::milliseconds{5});
                this->loop.restart();
            }
            return done();
        }

        duration held() const
        {
            duration sum{};
            for (auto const& one : this->waits)
            {
                sum = sum + one;
            }
            return sum;
        }

        boost::asio::io_context loop;
        int calls{};
        std::vector<duration> waits;
        std::vector<duration> limits;
        std::function<void(follow_reply const&)> on_follow;
        decision_log log{loop.get_executor(), -1, "vm-1"};
        crash_keeper keeper{loop.get_executor(), port(), salt, log};
    };

    // Guards against a fleet whose calls to the store are mostly for rows that
    // hardly ever change.
    void an_idle_site_costs_few_calls()
    {
        static constexpr duration counted{600'000};
        constexpr int most_calls = 60;
        world idle;
        idle.on_follow = [&idle](world::follow_reply const& done)
        {
            if (idle.held() < counted)
            {
                idle.answer(done, {{}, 1});
            }
        };
        idle.keeper.start();
        CPPUNIT_ASSERT(idle.run_until([&] { return idle.held() >= counted; }));
        CPPUNIT_ASSERT(idle.calls <= most_calls);
    }

    // Guards against a long wait that begins while the store still loses calls.
    void a_lost_call_shortens_the_next_ones()
    {
        constexpr duration longest{2'000};
        constexpr std::size_t calm_calls = 20;
        world site;
        site.on_follow = [&site](world::follow_reply const& done)
        {
            if (site.waits.size() == calm_calls)
            {
                error const lost{error_kind::timeout, "follow", "store", ""};
                boost::asio::post(site.loop, [done, lost] { done(lost); });
            }
            else if (site.waits.size() < calm_calls + 3)
            {
                site.answer(done, {{}, 1});
            }
        };
        site.keeper.start();
        CPPUNIT_ASSERT(site.run_until(
            [&] { return site.waits.size() == calm_calls + 3; }));
        CPPUNIT_ASSERT(site.waits[calm_calls - 1] > longest);
        CPPUNIT_ASSERT(site.waits[calm_calls] <= longest);
        CPPUNIT_ASSERT(site.waits[calm_calls + 1] <= longest);
    }

    // Guards against a router that sends a request which crashed servers since
    // a held call was lost and nobody noticed.
    void a_held_call_that_is_lost_hides_no_crash()
    {
        world site;
        site.on_follow = [&site](world::follow_reply const& done)
        {
            if (site.waits.size() == 2)
            {
                site.answer(done, {{{crash_key(fatal()),
                                     encode_evidence({0, 3}), false, 2}},
                                   2});
            }
        };
        site.keeper.start();
        CPPUNIT_ASSERT(site.run_until([&] { return site.waits.size() == 1; }));
        site.keeper.store_call_missed();
        CPPUNIT_ASSERT(site.run_until([&] { return site.keeper.knows_any(); }));
        CPPUNIT_ASSERT(fleet::judge(site.keeper.evidence(fatal())) ==
                       fleet::crash_verdict::quarantined);
        // Asked for what is known already, not for what comes.
        CPPUNIT_ASSERT(site.waits[1] + site.limits[1] <= duration{1'000});
    }

    // Guards against an outage in which each lost call begins another one.
    void lost_calls_elsewhere_do_not_add_up()
    {
        constexpr int lost = 100;
        world site;
        site.on_follow = [](world::follow_reply const&) {
        };
        site.keeper.start();
        CPPUNIT_ASSERT(site.run_until([&] { return site.waits.size() == 1; }));
        for (int i = 0; i < lost; ++i)
        {
            site.keeper.store_call_missed();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, site.waits.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_keeper_test);
