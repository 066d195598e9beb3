#include "budget/audit.hpp"

#include <caperpath/budget/recovery.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::budget;

namespace
{

budget_id const name{"talleres"};
incarnation_id const dead{"vm-1-a"};
constexpr duration lag{1'000};

// A budget of 1,000 tokens of which `dead` has drawn 400 and spent none.
struct scenario
{
    scenario()
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

    sweep_report run_sweep(death_watch const& watch, std::int64_t at)
    {
        return sweep(this->port, watch, lag, {at}).value();
    }

    token_count granted() const
    {
        return audit_of(*this->table, name).row.granted;
    }

    std::shared_ptr<store::memory_table> table{
        std::make_shared<store::memory_table>()};
    store::port port{store::make_memory_port(this->table)};
};

store::listed_vm const listed_dead{"vm-1", dead.value, "10.0.0.1:900",
                                   "sala-norte", "live"};

} // namespace

class sweep_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sweep_test);
    CPPUNIT_TEST(a_share_of_a_vm_that_left_the_list_is_recovered);
    CPPUNIT_TEST(a_vm_that_was_never_listed_keeps_its_share);
    CPPUNIT_TEST(an_inconsistent_list_recovers_nothing);
    CPPUNIT_TEST(a_restarted_process_recovers_its_predecessor);
    CPPUNIT_TEST_SUITE_END();

    // A VM is destroyed with an unspent share. Guards against tokens that no
    // router can spend: customers would be rejected although they paid for
    // them.
    void a_share_of_a_vm_that_left_the_list_is_recovered()
    {
        scenario here;
        here.table->set_vms({listed_dead});
        auto watch = here.run_sweep({}, 0).watch;
        here.table->set_vms({});
        watch = here.run_sweep(watch, 100).watch;
        CPPUNIT_ASSERT_EQUAL(token_count{400}, here.granted());
        auto const last = here.run_sweep(watch, 100 + lag.ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last.recovered.size());
        CPPUNIT_ASSERT_EQUAL(token_count{0}, here.granted());
    }

    // A router has just started and the lagging list does not contain it yet.
    // Guards against taking it for dead: its share would be spent twice.
    void a_vm_that_was_never_listed_keeps_its_share()
    {
        scenario here;
        death_watch watch;
        for (std::int64_t at = 0; at < 100 * lag.ms; at += lag.ms)
        {
            auto const report = here.run_sweep(watch, at);
            CPPUNIT_ASSERT(report.recovered.empty());
            watch = report.watch;
        }
        CPPUNIT_ASSERT_EQUAL(token_count{400}, here.granted());
    }

    // One replica of the list lags and omits a live VM, the next one contains
    // it. Guards against recovering the share of a live router.
    void an_inconsistent_list_recovers_nothing()
    {
        scenario here;
        death_watch watch;
        for (int i = 0; i < 20; ++i)
        {
            bool const shown = i % 2 == 0;
            here.table->set_vms(shown ? std::vector{listed_dead}
                                      : std::vector<store::listed_vm>{});
            auto const report = here.run_sweep(watch, i * lag.ms * 3 / 4);
            CPPUNIT_ASSERT(report.recovered.empty());
            watch = report.watch;
        }
        CPPUNIT_ASSERT_EQUAL(token_count{400}, here.granted());
    }

    // A router process crashes and restarts on the same VM and port. Only one
    // process can hold the port, so its predecessor is dead. Guards against a
    // share that stays with the dead process.
    void a_restarted_process_recovers_its_predecessor()
    {
        scenario here;
        auto const proofs =
            prove_by_binding(here.port, {"vm-1-b"}, "10.0.0.1:900").value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proofs.size());
        CPPUNIT_ASSERT(recover(here.port, proofs.at(0)));
        CPPUNIT_ASSERT_EQUAL(token_count{0}, here.granted());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sweep_test);
