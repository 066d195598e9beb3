#include <caperpath/fleet/own_link.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::fleet;

class own_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(own_link_test);
    CPPUNIT_TEST(a_link_that_carries_nothing_sheds_callers);
    CPPUNIT_TEST(silent_servers_alone_shed_nobody);
    CPPUNIT_TEST(a_silent_store_alone_sheds_nobody);
    CPPUNIT_TEST(a_few_silent_servers_shed_nobody);
    CPPUNIT_TEST(callers_come_back_after_a_rest);
    CPPUNIT_TEST(failures_of_long_ago_do_not_count);
    CPPUNIT_TEST(a_process_that_did_not_run_sheds_nobody);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration step{50};

    struct pattern
    {
        bool store{false};
        int answered{0}; ///< servers, in each step
        int silent{0};
    };

    struct world
    {
        own_link link;
        instant now{10'000};
        bool shed{false}; ///< at any time in the latest run

        world()
        {
            this->link = confirmed(this->link);
        }

        void run(duration span, pattern const& what)
        {
            this->shed = false;
            auto const end = this->now + span;
            while (this->now < end)
            {
                this->now = this->now + step;
                this->step_on(what);
                this->shed = this->shed || sheds_callers(this->link, this->now);
            }
        }

        void step_on(pattern const& what)
        {
            if (what.store)
            {
                this->link = confirmed(this->link);
            }
            for (int i = 0; i < what.answered; ++i)
            {
                this->link = server_tried(this->link, true, this->now);
            }
            for (int i = 0; i < what.silent; ++i)
            {
                this->link = server_tried(this->link, false, this->now);
            }
            this->link = looked_at(this->link, this->now);
        }
    };

    // Guards against a router that keeps taking callers while neither its
    // configuration nor its servers come through.
    void a_link_that_carries_nothing_sheds_callers()
    {
        world here;
        here.run(duration{2'000}, {false, 1, 3});
        CPPUNIT_ASSERT(sheds_callers(here.link, here.now));
    }

    // Guards against taking servers that are down for a full link.
    void silent_servers_alone_shed_nobody()
    {
        world here;
        here.run(duration{10'000}, {true, 0, 5});
        CPPUNIT_ASSERT(!here.shed);
    }

    // Guards against a fleet that leaves the rotation when the store is down.
    void a_silent_store_alone_sheds_nobody()
    {
        world here;
        here.run(duration{60'000}, {false, 3, 2});
        CPPUNIT_ASSERT(!here.shed);
    }

    // Guards against a router that leaves because one server is down while the
    // store is.
    void a_few_silent_servers_shed_nobody()
    {
        world here;
        for (int i = 0; i < 20; ++i)
        {
            here.run(step, {false, 0, 1});
            CPPUNIT_ASSERT(!here.shed);
            here.run(duration{450}, {});
            CPPUNIT_ASSERT(!here.shed);
        }
    }

    // Guards against a router that never comes back, and against one that comes
    // back in the moment in which its link is free.
    void callers_come_back_after_a_rest()
    {
        world here;
        here.run(duration{2'000}, {false, 0, 5});
        CPPUNIT_ASSERT(sheds_callers(here.link, here.now));
        here.run(link_rest - duration{100}, {true, 0, 0});
        CPPUNIT_ASSERT(sheds_callers(here.link, here.now));
        here.run(duration{100}, {true, 0, 0});
        CPPUNIT_ASSERT(!sheds_callers(here.link, here.now));
    }

    // Guards against counting connects of before a pause.
    void failures_of_long_ago_do_not_count()
    {
        world here;
        here.run(duration{1'000}, {false, 0, 5});
        CPPUNIT_ASSERT(!here.shed);
        here.now = here.now + duration{5'000};
        here.run(step, {false, 0, 1});
        CPPUNIT_ASSERT(!here.shed);
    }

    // Guards against taking the pause of a frozen process for a full link.
    void a_process_that_did_not_run_sheds_nobody()
    {
        world here;
        here.now = here.now + duration{5'000};
        here.run(duration{500}, {false, 0, 10});
        CPPUNIT_ASSERT(!here.shed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(own_link_test);
