#include "budget/audit.hpp"

#include <caperpath/budget/recovery.hpp>
#include <caperpath/budget/settlement.hpp>
#include <caperpath/request/claim_store.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::budget;

namespace
{

budget_id const name{"talleres"};
incarnation_id const dead{"vm-1-a"};
constexpr token_count drawn = 400;

bill const kept_bill{{"k-1"}, {"taller"}, name, 30, 10, 20, 1, true};

// A holder with a share of 400 of 1,000 tokens that has stored one response.
struct scenario
{
    scenario()
    {
        top_up(this->port, name, "first", 1'000).value();
        this->holder =
            bind_holder(this->port, dead, "10.0.0.1:900", {"sala"}).value();
        auto const at = this->table->read({budget_key(name)}).at(0);
        auto row = decode_budget(at.value).value();
        row.granted = drawn;
        row.holders = 1;
        this->port.commit(
            {{{at.key, at.version}},
             {{at.key, encode(row)},
              {share_key(name, dead), encode(share_row{drawn, 0})}}});
    }

    // Writes the bill as the end of a claim does; rejected once the holder is
    // fenced.
    store::commit_outcome store_response()
    {
        return this->port
            .commit({{{holder_key(dead), this->holder.version}},
                     {{kept_bill_key(dead, kept_bill),
                       encode(std::vector{kept_bill})}}})
            .outcome;
    }

    void settle()
    {
        settlement_state state;
        state = queue_bill(state, kept_bill,
                           config::budget_policy::overspend_first, {}, {});
        auto const step = next_batch(state, this->holder, {}, {}, true);
        this->port.commit(*step.txn);
    }

    audit recovered()
    {
        death_proof const proof{dead, proof_kind::address_rebound};
        CPPUNIT_ASSERT(recover(this->port, proof));
        return audit_of(*this->table, name);
    }

    std::shared_ptr<store::memory_table> table{
        std::make_shared<store::memory_table>()};
    store::port port{store::make_memory_port(this->table)};
    holder_view holder;
};

void check_billed_once(audit const& found)
{
    CPPUNIT_ASSERT_EQUAL(kept_bill.tokens, found.billed);
    CPPUNIT_ASSERT_EQUAL(kept_bill.tokens, found.spent);
    CPPUNIT_ASSERT_EQUAL(kept_bill.tokens, found.row.granted);
    CPPUNIT_ASSERT_EQUAL(1, found.bills.at(kept_bill.request));
}

} // namespace

class kept_bill_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(kept_bill_test);
    CPPUNIT_TEST(a_crash_before_the_settlement_loses_no_bill);
    CPPUNIT_TEST(a_settled_bill_is_not_written_again);
    CPPUNIT_TEST(a_claim_written_after_its_bill_adds_no_bill);
    CPPUNIT_TEST(a_late_writer_adds_no_bill);
    CPPUNIT_TEST_SUITE_END();

    // A router stores a response and dies before it settles the bill. Guards
    // against losing the bill: retries get the stored response, and the
    // customer would not have paid for it.
    void a_crash_before_the_settlement_loses_no_bill()
    {
        scenario here;
        here.store_response();
        check_billed_once(here.recovered());
        check_billed_once(here.recovered());
    }

    // A router settles a bill and dies. Guards against a recovery that bills
    // the customer again.
    void a_settled_bill_is_not_written_again()
    {
        scenario here;
        here.store_response();
        here.settle();
        CPPUNIT_ASSERT(
            here.table->read({kept_bill_key(dead, kept_bill)}).empty());
        check_billed_once(here.recovered());
    }

    // The store loses the end of a claim, which is retried after its bill has
    // been settled. Guards against billing the late row again.
    void a_claim_written_after_its_bill_adds_no_bill()
    {
        scenario here;
        here.settle();
        here.store_response();
        check_billed_once(here.recovered());
        CPPUNIT_ASSERT(
            here.table->read({kept_bill_key(dead, kept_bill)}).empty());
    }

    // A paused router resumes after its share was recovered and goes on
    // writing. Guards against accepting these writes: they would spend tokens
    // that other routers hold.
    void a_late_writer_adds_no_bill()
    {
        scenario here;
        here.recovered();
        CPPUNIT_ASSERT(here.store_response() ==
                       store::commit_outcome::rejected);
        here.settle();
        auto const found = audit_of(*here.table, name);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, found.billed);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, found.row.granted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(kept_bill_test);
