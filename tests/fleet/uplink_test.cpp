#include <caperpath/fleet/uplink.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::fleet;

class uplink_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(uplink_test);
    CPPUNIT_TEST(a_saturated_link_sheds_callers);
    CPPUNIT_TEST(silent_servers_alone_shed_nobody);
    CPPUNIT_TEST(a_silent_store_alone_sheds_nobody);
    CPPUNIT_TEST(a_few_silent_servers_shed_nobody);
    CPPUNIT_TEST(callers_return_after_the_shedding_time);
    CPPUNIT_TEST(old_failures_do_not_count);
    CPPUNIT_TEST(a_frozen_process_sheds_nobody);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration step{50};

    struct pattern
    {
        bool store{false};
        int answered{0}; ///< servers, in each step
        int silent{0};
    };

    struct simulation
    {
        uplink link;
        instant now{10'000};
        bool shed{false}; ///< at any time in the latest run

        simulation()
        {
            this->link = note_configuration_confirmed(this->link);
        }

        void run(duration span, pattern const& what)
        {
            this->shed = false;
            auto const end = this->now + span;
            while (this->now < end)
            {
                this->now = this->now + step;
                this->advance_step(what);
                this->shed = this->shed || sheds_callers(this->link, this->now);
            }
        }

        void advance_step(pattern const& what)
        {
            if (what.store)
            {
                this->link = note_configuration_confirmed(this->link);
            }
            for (int i = 0; i < what.answered; ++i)
            {
                this->link = note_connect_result(this->link, true, this->now);
            }
            for (int i = 0; i < what.silent; ++i)
            {
                this->link = note_connect_result(this->link, false, this->now);
            }
            this->link = advance_time(this->link, this->now);
        }
    };

    // Guards against a router that keeps accepting callers while it reaches
    // neither the store nor its servers.
    void a_saturated_link_sheds_callers()
    {
        simulation sim;
        sim.run(duration{2'000}, {false, 1, 3});
        CPPUNIT_ASSERT(sheds_callers(sim.link, sim.now));
    }

    // Guards against mistaking failed servers for a saturated link.
    void silent_servers_alone_shed_nobody()
    {
        simulation sim;
        sim.run(duration{10'000}, {true, 0, 5});
        CPPUNIT_ASSERT(!sim.shed);
    }

    // Guards against a fleet that leaves the rotation in an outage of the
    // store.
    void a_silent_store_alone_sheds_nobody()
    {
        simulation sim;
        sim.run(duration{60'000}, {false, 3, 2});
        CPPUNIT_ASSERT(!sim.shed);
    }

    // Guards against a router that leaves the rotation because one server fails
    // in an outage of the store.
    void a_few_silent_servers_shed_nobody()
    {
        simulation sim;
        for (int i = 0; i < 20; ++i)
        {
            sim.run(step, {false, 0, 1});
            CPPUNIT_ASSERT(!sim.shed);
            sim.run(duration{450}, {});
            CPPUNIT_ASSERT(!sim.shed);
        }
    }

    // Guards against a router that never returns to the rotation, and against
    // one that returns as soon as its link is free.
    void callers_return_after_the_shedding_time()
    {
        simulation sim;
        sim.run(duration{2'000}, {false, 0, 5});
        CPPUNIT_ASSERT(sheds_callers(sim.link, sim.now));
        sim.run(shedding_time - duration{100}, {true, 0, 0});
        CPPUNIT_ASSERT(sheds_callers(sim.link, sim.now));
        sim.run(duration{100}, {true, 0, 0});
        CPPUNIT_ASSERT(!sheds_callers(sim.link, sim.now));
    }

    // Guards against counting connects from before a pause.
    void old_failures_do_not_count()
    {
        simulation sim;
        sim.run(duration{1'000}, {false, 0, 5});
        CPPUNIT_ASSERT(!sim.shed);
        sim.now = sim.now + duration{5'000};
        sim.run(step, {false, 0, 1});
        CPPUNIT_ASSERT(!sim.shed);
    }

    // Guards against mistaking the pause of a frozen process for a saturated
    // link.
    void a_frozen_process_sheds_nobody()
    {
        simulation sim;
        sim.now = sim.now + duration{5'000};
        sim.run(duration{500}, {false, 0, 10});
        CPPUNIT_ASSERT(!sim.shed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(uplink_test);
