#include "budget/audit.hpp"

#include <caperpath/budget/recovery_round.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::budget;

namespace
{

budget_id const name{"talleres"};
incarnation_id const dead{"vm-1-a"};
constexpr duration lag{1'000};

// A budget of 1,000 tokens of which `dead` has drawn 400 and spent none.
struct world
{
    world()
    {
        top_up(this->port, name, "first", 1'000).value();
        auto const holder =
            bind_holder(this->port, dead, "10.0.0.1:900", {"sala-norte"});
        static_cast<void>(holder.value());
        auto const row = this->table->read({budget_key(name)}).at(0);
        auto drawn = decode_budget(row.value).value();
        drawn.granted = 400;
        drawn.holders = 1;
        this->port.commit(
            {{{row.key, row.version}},
             {{row.key, encode(drawn)},
              {share_key(name, dead), encode(share_row{400, 0})}}});
    }

    recovery_round round(recovery_memory memory, std::int64_t at)
    {
        return run_recovery_round(this->port, this->options, std::move(memory),
                                  {at});
    }

    token_count granted() const
    {
        return audit_of(*this->table, name).row.granted;
    }

    std::shared_ptr<platform::memory_table> table{
        std::make_shared<platform::memory_table>()};
    platform::port port{platform::make_memory_port(this->table)};
    recovery_options options{{"vm-2-b"}, "10.0.0.2:900", lag};
};

platform::listed_vm const listed_dead{"vm-1", dead.value, "10.0.0.1:900",
                                      "sala-norte", "live"};

} // namespace

class recovery_round_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(recovery_round_test);
    CPPUNIT_TEST(a_vm_that_vanished_from_the_list_gives_its_share_back);
    CPPUNIT_TEST(a_vm_that_was_never_listed_keeps_its_share);
    CPPUNIT_TEST(a_flickering_list_takes_nothing);
    CPPUNIT_TEST(a_restarted_process_takes_back_its_own);
    CPPUNIT_TEST_SUITE_END();

    // A VM is destroyed with an unspent share. Without recovery its customers
    // are refused for tokens that they paid for and nobody can spend.
    void a_vm_that_vanished_from_the_list_gives_its_share_back()
    {
        world here;
        here.table->set_vms({listed_dead});
        auto memory = here.round({}, 0).memory;
        here.table->set_vms({});
        memory = here.round(memory, 100).memory;
        CPPUNIT_ASSERT_EQUAL(token_count{400}, here.granted());
        auto const last = here.round(memory, 100 + lag.ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last.recovered.size());
        CPPUNIT_ASSERT_EQUAL(token_count{0}, here.granted());
    }

    // A router has just started and the lagging list does not show it yet. If
    // that were taken for death, its share would be spent twice.
    void a_vm_that_was_never_listed_keeps_its_share()
    {
        world here;
        recovery_memory memory;
        for (std::int64_t at = 0; at < 100 * lag.ms; at += lag.ms)
        {
            auto const round = here.round(memory, at);
            CPPUNIT_ASSERT(round.recovered.empty());
            memory = round.memory;
        }
        CPPUNIT_ASSERT_EQUAL(token_count{400}, here.granted());
    }

    // One replica of the list lags and does not show a VM that is alive, the
    // next one does. The share of a living router must stay.
    void a_flickering_list_takes_nothing()
    {
        world here;
        recovery_memory memory;
        for (int i = 0; i < 20; ++i)
        {
            bool const shown = i % 2 == 0;
            here.table->set_vms(shown ? std::vector{listed_dead}
                                      : std::vector<platform::listed_vm>{});
            auto const round = here.round(memory, i * lag.ms * 3 / 4);
            CPPUNIT_ASSERT(round.recovered.empty());
            memory = round.memory;
        }
        CPPUNIT_ASSERT_EQUAL(token_count{400}, here.granted());
    }

    // A router process crashes and is started again on the same VM and port.
    // Nobody else may hold that port, so the old process is dead for certain.
    void a_restarted_process_takes_back_its_own()
    {
        world here;
        here.options.address = "10.0.0.1:900";
        auto const round = here.round({}, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, round.recovered.size());
        CPPUNIT_ASSERT_EQUAL(token_count{0}, here.granted());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(recovery_round_test);
