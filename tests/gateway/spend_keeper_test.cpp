#include "gateway/spend_keeper.hpp"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

class spend_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(spend_keeper_test);
    CPPUNIT_TEST(a_store_that_refuses_at_once_is_not_asked_without_pause);
    CPPUNIT_TEST(what_the_line_will_cover_is_known_ahead);
    CPPUNIT_TEST_SUITE_END();

    using answer = std::function<void(store::commit_result)>;
    inline static budget_id const taller{"taller"};

    /// A keeper whose writes wait for the test to answer them.
    struct world
    {
        boost::asio::io_context loop;
        int null{open("/dev/null", O_WRONLY | O_CLOEXEC)};
        decision_log log{loop.get_executor(), null, "vm-1"};
        std::vector<answer> writes;
        spend_keeper keeper{loop.get_executor(),
                            port(),
                            "vm-1",
                            "10.0.0.1:80",
                            {"vm-1-1"},
                            {[] {
                                 return std::map<budget_id, budget::spend_line>{
                                     {taller, {300, 1'000}}};
                             },
                             [] { return std::optional<store::row_write>{}; },
                             [] { return duration{300}; }, [] {},
                             [](auto const&, auto const&) {
                             }},
                            log};

        world()
        {
            this->keeper.start();
            this->answer_last(store::commit_outcome::applied);
            this->answer_last(store::commit_outcome::applied);
        }
        ~world()
        {
            close(this->null);
        }

        store::async_port port()
        {
            store::async_port made;
            made.read =
                [](std::string const& key, store::reply<store::row> const& done)
            {
                done(store::row{key, 0, ""});
            };
            made.commit = [this](store::transaction const&, answer const& done)
            {
                this->writes.push_back(done);
            };
            return made;
        }

        void answer_last(store::commit_outcome outcome)
        {
            auto const done = this->writes.back();
            store::commit_result result;
            result.outcome = outcome;
            result.version = this->writes.size();
            result.store_ms = 5'000;
            done(result);
        }
    };

    // The store refuses every write at once while callers wait for a higher
    // line. Each of them asked for another write, 25 in a second at one router,
    // which kept the store busy for all.
    void a_store_that_refuses_at_once_is_not_asked_without_pause()
    {
        world here;
        here.keeper.hurry();
        auto const before = here.writes.size();
        here.answer_last(store::commit_outcome::refused);
        for (int i = 0; i < 25; ++i)
        {
            here.keeper.hurry();
        }
        // The pause ends on the loop, which does not run here.
        CPPUNIT_ASSERT_EQUAL(before, here.writes.size());
    }

    // The store is cut off. A request that the share covers and its line will
    // not reach in the longest wait was held for all of it and refused then.
    void what_the_line_will_cover_is_known_ahead()
    {
        world here;
        auto const now = caperpath::clock::monotonic().now();
        auto const later = now + budget::flat_for + duration{300};
        auto const most = here.keeper.limit(taller, {90'000, 0}, later);
        CPPUNIT_ASSERT(most >= 300);
        CPPUNIT_ASSERT(most < 90'000);
        CPPUNIT_ASSERT_EQUAL(
            token_count{90'000},
            here.keeper.limit(taller, {90'000, 0}, now + duration{100'000}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(spend_keeper_test);
