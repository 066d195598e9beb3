#include "gateway/budgets/budget_share_manager.hpp"
#include "gateway/store_site.hpp"

#include <caperpath/budget/rows.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <string>
#include <utility>

using namespace caperpath;
using namespace caperpath::gateway;

namespace
{

/// A spend row writer with functions that throw.
struct spend_site : store_site
{
    explicit spend_site(bool with_dead_router = false)
    {
        if (with_dead_router)
        {
            budget::spend_row dead;
            dead.router = {"vm-1-0"};
            dead.address = "10.0.0.1:80";
            dead.at_ms = this->store.now_ms;
            store::transaction txn;
            txn.writes.push_back(
                {budget::spend_key("vm-1"), budget::encode(dead)});
            this->store.port().commit(txn, [](store::commit_result const&) {});
        }
        this->writer.start();
    }

    /// Runs until a row that is sent from now on was written.
    bool writes_again()
    {
        auto const from = caperpath::clock::monotonic().now();
        return this->run_until(
            [&] { return this->writer.has_written_since(from); });
    }

    int required_throws{0};
    int extra_throws{0};
    int interval_throws{0};
    int changed_throws{0};
    int inherit_throws{0};
    int inherit_calls{0};
    spend_row_writer writer{
        loop.get_executor(),
        store.port(),
        "vm-1",
        "10.0.0.1:80",
        {"vm-1-1"},
        {[this]
         {
             throw_times(this->required_throws);
             return std::map<budget_id, budget::spend_limit_curve>{};
         },
         [this]
         {
             throw_times(this->extra_throws);
             return std::optional<store::row_write>{};
         },
         [this]
         {
             throw_times(this->interval_throws);
             return duration{10};
         },
         [this] { throw_times(this->changed_throws); },
         [this](auto const&, auto const&)
         {
             this->inherit_calls += 1;
             throw_times(this->inherit_throws);
         }},
        log};
};

/// The budgets of one router, whose calls to the store throw.
struct budget_site : store_site
{
    store::async_port throwing_port()
    {
        auto port = this->store.port();
        port.read =
            [this, read = port.read](std::string const& key,
                                     store::result_callback<store::row> done)
        {
            if (key.starts_with(this->throwing_reads))
            {
                throw_times(this->read_throws);
            }
            read(key, std::move(done));
        };
        port.commit = [this, commit = port.commit](
                          store::transaction const& txn,
                          std::function<void(store::commit_result)> done)
        {
            for (auto const& write : txn.writes)
            {
                if (write.key.starts_with("share/"))
                {
                    throw_times(this->share_throws);
                }
            }
            commit(txn, std::move(done));
        };
        return port;
    }

    void add_customers(int count)
    {
        fleet::site_parts parts;
        for (int i = 0; i < count; ++i)
        {
            fleet::customer one;
            one.id = {"customer-" + std::to_string(i)};
            one.paid = 100'000;
            parts.customers.push_back(one);
        }
        this->manager.apply(fleet::site{parts});
    }

    std::string throwing_reads{"budget/"};
    int read_throws{0};
    int share_throws{0};
    budget_share_manager manager{loop.get_executor(),
                                 throwing_port(),
                                 "vm-1",
                                 "127.0.0.1:80",
                                 {"vm-1-1"},
                                 "127.0.0.1:81",
                                 [](std::string const&, std::string const&) {},
                                 log};
};

} // namespace

/// Exceptions in calls to the store for budgets and in what follows them.
class budget_exception_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(budget_exception_test);
    CPPUNIT_TEST(spend_rows_are_written_after_an_exception);
    CPPUNIT_TEST(a_dead_router_is_inherited_once);
    CPPUNIT_TEST(a_share_is_drawn_after_an_exception);
    CPPUNIT_TEST(a_reply_that_throws_keeps_no_other_back);
    CPPUNIT_TEST(a_share_is_taken_over_after_an_exception);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a router whose spend limits end for good, so that all
    // requests with a budget are rejected.
    void spend_rows_are_written_after_an_exception()
    {
        for (auto const at :
             {&spend_site::required_throws, &spend_site::extra_throws,
              &spend_site::interval_throws, &spend_site::changed_throws})
        {
            spend_site site;
            CPPUNIT_ASSERT(site.writes_again());
            site.*at = 2;
            CPPUNIT_ASSERT(site.run_until([&] { return site.*at == 0; }));
            CPPUNIT_ASSERT(site.writes_again());
        }
    }

    // Guards against a router that never takes requests, and against tokens
    // that are inherited twice.
    void a_dead_router_is_inherited_once()
    {
        spend_site site{true};
        site.inherit_throws = 1;
        CPPUNIT_ASSERT(site.writes_again());
        CPPUNIT_ASSERT_EQUAL(1, site.inherit_calls);
        CPPUNIT_ASSERT(site.writer.ready());
    }

    // Guards against a share that counts as busy for good, so that its
    // customer's requests are rejected.
    void a_share_is_drawn_after_an_exception()
    {
        budget_site site;
        site.read_throws = 2;
        site.share_throws = 2;
        site.manager.start();
        site.add_customers(3);
        CPPUNIT_ASSERT(site.run_until(
            [&] { return site.store.count_router_rows("share/") == 3; }));
        CPPUNIT_ASSERT_EQUAL(0, site.read_throws + site.share_throws);
    }

    // Guards against requests that wait for their tokens in vain because the
    // reply to another one throws.
    void a_reply_that_throws_keeps_no_other_back()
    {
        budget_site site;
        site.manager.start();
        site.add_customers(1);
        auto replies = 0;
        auto const reserve = [&](std::string const& name, bool throws)
        {
            site.manager.reserve(
                {name}, {"customer-0"}, 10, duration{8'000},
                [&replies, throws](budget::reserve_reply const&)
                {
                    replies += 1;
                    auto times = throws ? 1 : 0;
                    throw_times(times);
                });
        };
        reserve("r-1", true);
        reserve("r-2", true);
        reserve("r-3", false);
        CPPUNIT_ASSERT(site.run_until([&] { return replies == 3; }));
    }

    // Guards against tokens of a customer that no router can use after a crash.
    void a_share_is_taken_over_after_an_exception()
    {
        budget_id const budget{"customer-0"};
        incarnation_id const dead{"vm-1-0"};
        budget_site site;
        budget::spend_row row;
        row.router = dead;
        row.address = "127.0.0.1:80";
        row.at_ms = site.store.now_ms;
        row.limits[budget] = {100, 10};
        store::transaction txn;
        txn.writes = {
            {budget::spend_key("vm-1"), budget::encode(row)},
            {budget::share_key(budget, dead),
             budget::encode(budget::share_row{5'000, 0})},
            {budget::budget_key(budget),
             budget::encode(budget::budget_row{100'000, 5'000, 0, 0, 1})}};
        site.store.port().commit(txn, [](store::commit_result const&) {});
        site.throwing_reads = budget::share_key(budget, dead);
        site.read_throws = 1;
        site.share_throws = 1;
        site.manager.start();
        site.add_customers(1);
        auto const own = budget::share_key(budget, {"vm-1-1"});
        CPPUNIT_ASSERT(site.run_until(
            [&] { return !site.store.router_row(own).empty(); }));
        CPPUNIT_ASSERT(
            site.store.router_row(budget::share_key(budget, dead)).empty());
        CPPUNIT_ASSERT_EQUAL(0, site.read_throws + site.share_throws);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(budget_exception_test);
