#include "gateway/budgets/budget_share_manager.hpp"
#include "gateway/fake_store.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <optional>

using namespace caperpath;
using namespace caperpath::gateway;

namespace
{

constexpr int new_customers = 280;
constexpr token_count paid = 100'000;

budget_id budget_of(int customer)
{
    return {"customer-" + std::to_string(customer)};
}

/// The budgets of one router, with a count of the reads of budget rows.
struct budgets_at_store
{
    budgets_at_store()
    {
        this->manager.start();
    }

    ~budgets_at_store()
    {
        ::close(this->null_device);
    }

    store::async_port counting_port()
    {
        auto port = this->store.port();
        port.read =
            [this, read = port.read](std::string const& key,
                                     store::result_callback<store::row> done)
        {
            this->reads_in_turn += 1;
            this->reads.push_back(key);
            read(key, std::move(done));
        };
        return port;
    }

    /// Runs one handler of the loop at a time until `done` returns true.
    template <class Done>
    bool run_until(Done const& done)
    {
        constexpr int max_turns = 100'000;
        for (int i = 0; i < max_turns && !done(); ++i)
        {
            this->end_turn();
            this->loop.run_one_for(std::chrono::seconds{1});
        }
        this->end_turn();
        return done();
    }

    void end_turn()
    {
        this->most_reads = std::max(this->most_reads, this->reads_in_turn);
        this->reads_in_turn = 0;
    }

    void add_customers()
    {
        fleet::site_parts parts;
        for (int i = 0; i < new_customers; ++i)
        {
            fleet::customer one;
            one.id = {budget_of(i).value};
            one.paid = paid;
            parts.customers.push_back(one);
        }
        this->manager.apply(fleet::site{parts});
    }

    boost::asio::io_context loop;
    fake_store store{loop};
    int null_device{::open("/dev/null", O_WRONLY | O_CLOEXEC)};
    decision_log log{loop.get_executor(), null_device, "vm-1"};
    std::vector<std::string> reads; ///< keys, in order
    int reads_in_turn{};
    int most_reads{};
    budget_share_manager manager{loop.get_executor(),
                                 counting_port(),
                                 "vm-1",
                                 "127.0.0.1:80",
                                 {"vm-1-1"},
                                 "127.0.0.1:81",
                                 [](std::string const&, std::string const&) {},
                                 log};
};

} // namespace

/// Many new customers in one version of the configuration.
class new_budgets_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(new_budgets_test);
    CPPUNIT_TEST(no_turn_of_the_loop_reads_all_new_budgets);
    CPPUNIT_TEST(budgets_of_the_first_configuration_are_read_in_turns);
    CPPUNIT_TEST(a_request_does_not_wait_for_the_other_new_budgets);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int most_reads_per_turn = 10;

    static void run_until_started(budgets_at_store& site)
    {
        // The spend row is written, and shares may be drawn.
        CPPUNIT_ASSERT(site.run_until(
            [&] { return site.store.count_router_rows("spend/") > 0; }));
        constexpr int handlers_after = 20;
        auto left = handlers_after;
        CPPUNIT_ASSERT(site.run_until([&left] { return left-- <= 0; }));
        site.reads.clear();
        site.most_reads = 0;
    }

    static bool all_read(budgets_at_store const& site)
    {
        return site.reads.size() >= new_customers;
    }

    // Guards against streams that stand still while the rows of all new
    // customers are read.
    void no_turn_of_the_loop_reads_all_new_budgets()
    {
        budgets_at_store site;
        run_until_started(site);
        site.add_customers();
        CPPUNIT_ASSERT(site.run_until([&] { return all_read(site); }));
        CPPUNIT_ASSERT(site.most_reads <= most_reads_per_turn);
        std::sort(site.reads.begin(), site.reads.end());
        for (int i = 0; i < new_customers; ++i)
        {
            auto const key = budget::budget_key(budget_of(i));
            CPPUNIT_ASSERT(
                std::binary_search(site.reads.begin(), site.reads.end(), key));
        }
    }

    // Guards against the same at the start: the configuration comes before the
    // own spend row is written.
    void budgets_of_the_first_configuration_are_read_in_turns()
    {
        budgets_at_store site;
        site.add_customers();
        CPPUNIT_ASSERT(site.run_until([&] { return all_read(site); }));
        CPPUNIT_ASSERT(site.most_reads <= most_reads_per_turn);
    }

    // Guards against a new customer whose first request is rejected, or waits,
    // because of the other new customers.
    void a_request_does_not_wait_for_the_other_new_budgets()
    {
        budgets_at_store site;
        run_until_started(site);
        site.add_customers();
        std::optional<budget::reserve_reply> reply;
        auto const last = budget_of(new_customers - 1);
        site.manager.reserve({"r-1"}, last, 100, duration{5'000},
                             [&reply](budget::reserve_reply const& got)
                             { reply = got; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.reads.size());
        CPPUNIT_ASSERT_EQUAL(budget::budget_key(last), site.reads.front());
        CPPUNIT_ASSERT(site.run_until([&] { return reply.has_value(); }));
        CPPUNIT_ASSERT(reply->verdict == budget::reserve_verdict::admitted);
        CPPUNIT_ASSERT(site.run_until([&] { return all_read(site); }));
        CPPUNIT_ASSERT(std::count(site.reads.begin(), site.reads.end(),
                                  budget::budget_key(last)) >= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(new_budgets_test);
