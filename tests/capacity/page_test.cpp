#include "router/settings.hpp"

#include <caperpath/budget/rows.hpp>
#include <caperpath/budget/settlement.hpp>
#include <caperpath/budget/sizing.hpp>
#include <caperpath/controllers/budget_controller.hpp>
#include <caperpath/controllers/config_controller.hpp>
#include <caperpath/store/wire.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

using namespace caperpath;

namespace
{

using figures = std::map<std::string, std::int64_t>;

constexpr std::int64_t ms_per_second = 1'000;

/// Fleet size in two years, as in the page's tables.
constexpr std::int64_t nodes = 390;
constexpr std::int64_t engines = 2'100;

/// Reads the lines "| `name` | number | ... |" between two headings.
figures read_table(std::string const& heading)
{
    std::ifstream page{std::string{CAPERPATH_SOURCE_DIR} + "/docs/CAPACITY.md"};
    figures found;
    bool inside = false;
    for (std::string text; std::getline(page, text);)
    {
        inside = text.starts_with("## ") ? text == "## " + heading : inside;
        if (!inside || !text.starts_with("| `"))
        {
            continue;
        }
        auto const name_end = text.find('`', 3);
        std::istringstream rest{text.substr(text.find('|', name_end) + 1)};
        std::int64_t value = 0;
        rest >> value;
        found[text.substr(3, name_end - 3)] = value;
    }
    return found;
}

budget::bill sample_bill()
{
    return {{"7f3c9a52-0b1d-4e6f-9a77-c0ffee000001"},
            {"agency-hangang"},
            {"agency-hangang-2026"},
            1'234,
            512,
            236,
            4'711};
}

std::int64_t size(std::string const& text)
{
    return static_cast<std::int64_t>(text.size());
}

/// Encoded sizes for a budget that is spread over the fleet, with numbers of
/// typical length.
figures encoded_sizes()
{
    budget::budget_row const budget{1'000'000'000, 500'000'000, 100'000'000, 0,
                                    390};
    budget::share_row const share{1'000'000, 1'000'000};
    budget::holder_row const holder{
        budget::holder_state::active, "10.11.12.13:8080", {"sala-norte"}};
    auto const one = size(budget::encode(std::vector{sample_bill()}));
    auto const two =
        size(budget::encode(std::vector{sample_bill(), sample_bill()}));
    return {{"bytes of a budget row", size(budget::encode(budget))},
            {"bytes of a share row", size(budget::encode(share))},
            {"bytes of a holder row", size(budget::encode(holder))},
            {"bytes of one more bill in a ledger row", two - one}};
}

figures periods()
{
    router::settings const router;
    budget::settle_options const settle;
    controllers::config_controller_options const config;
    using config::budget_policy;
    auto const durable = budget::sizing_for(budget_policy::overspend_first);
    auto const deferred =
        budget::sizing_for(budget_policy::false_refusals_first);
    return {
        {"router::settings::config_poll", router.config_poll.ms},
        {"router::settings::load_poll", router.load_poll.ms},
        {"router::settings::settle_interval", router.settle_interval.ms},
        {"router::settings::deferred_settle_interval",
         router.deferred_settle_interval.ms},
        {"config_controller_options::poll_interval", config.poll_interval.ms},
        {"settle_options::durable_interval", settle.durable_interval.ms},
        {"settle_options::deferred_interval", settle.deferred_interval.ms},
        {"budget_options::tick", controllers::budget_options{}.tick.ms},
        {"sizing::horizon, overspend_first", durable.horizon.ms},
        {"sizing::horizon, false_refusals_first", deferred.horizon.ms},
        {"sizing::look_interval", durable.look_interval.ms},
        {"sizing::near_end_look", durable.near_end_look.ms},
        {"sizing::waiting_look", durable.waiting_look.ms},
        {"sizing::store_down_after", durable.store_down_after.ms}};
}

figures counts()
{
    router::settings const router;
    return {{"settle_options::batch",
             static_cast<std::int64_t>(budget::settle_options{}.batch)},
            {"router::settings::max_connections",
             static_cast<std::int64_t>(router.max_connections)},
            {"budget_options::workers",
             static_cast<std::int64_t>(controllers::budget_options{}.workers)},
            {"wire::max_read_keys",
             static_cast<std::int64_t>(store::wire::max_read_keys)},
            {"wire::max_scan_rows",
             static_cast<std::int64_t>(store::wire::max_scan_rows)}};
}

/// Shortest and longest pause that `backoff` returns.
figures pauses()
{
    constexpr int failures = 40;
    constexpr std::size_t salts = 2'000;
    auto least = budget::backoff(1, 0).ms;
    auto most = least;
    for (int failed = 1; failed <= failures; ++failed)
    {
        for (std::size_t salt = 0; salt < salts; ++salt)
        {
            auto const pause = budget::backoff(failed, salt).ms;
            least = std::min(least, pause);
            most = std::max(most, pause);
        }
    }
    return {{"budget::backoff, shortest", least},
            {"budget::backoff, longest", most}};
}

figures constants()
{
    auto all = encoded_sizes();
    all.merge(periods());
    all.merge(counts());
    all.merge(pauses());
    return all;
}

/// Request rates of the whole fleet that follow from the constants above.
figures fleet_rates()
{
    router::settings const router;
    auto const a_second = [](duration period)
    {
        return ms_per_second / period.ms;
    };
    auto const batch =
        static_cast<std::int64_t>(budget::settle_options{}.batch);
    return {
        {"fleet reads of the version", nodes * a_second(router.config_poll)},
        {"fleet polls of load", nodes * engines * a_second(router.load_poll)},
        {"fleet ledger writes, at most",
         nodes * a_second(router.settle_interval)},
        {"bills that one node can settle",
         batch * a_second(router.settle_interval)}};
}

std::string to_table_rows(figures const& all)
{
    std::ostringstream out;
    for (auto const& [name, value] : all)
    {
        out << "| `" << name << "` | " << value << " |\n";
    }
    return out.str();
}

} // namespace

/// Guards against a capacity page that still has the old figure after a period
/// or row has changed in the code. A fleet planned by such a page overloads the
/// table service.
class page_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(page_test);
    CPPUNIT_TEST(constants_are_those_of_the_code);
    CPPUNIT_TEST(rates_follow_from_the_constants);
    CPPUNIT_TEST_SUITE_END();

    void constants_are_those_of_the_code()
    {
        CPPUNIT_ASSERT_EQUAL(to_table_rows(constants()),
                             to_table_rows(read_table("Constants")));
    }

    void rates_follow_from_the_constants()
    {
        CPPUNIT_ASSERT_EQUAL(to_table_rows(fleet_rates()),
                             to_table_rows(read_table("Rates of the fleet")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(page_test);
