#include "fleet/crash_fleet.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <string>

/// Measures what a request that crashes servers costs a simulated fleet, and
/// how many requests are rejected although they crash none.
namespace
{

using namespace caperpath;
using namespace caperpath::fleet;

constexpr instant domain_lost_at{10'000};
constexpr instant store_back_at{15'000};

struct trouble
{
    bool domain_lost{false};
    bool store_lost{false};
};

void measure(std::string const& name, crash_fleet_shape shape,
             trouble const& with, std::uint64_t seeds)
{
    crash_fleet_result sum;
    std::int64_t most_crashes = 0;
    std::int64_t most_late = 0;
    for (shape.seed = 1; shape.seed <= seeds; ++shape.seed)
    {
        crash_fleet all{shape};
        if (with.domain_lost)
        {
            all.lose_domain_at(domain_lost_at);
        }
        if (with.store_lost)
        {
            all.lose_store_until(store_back_at);
        }
        auto const got = all.run();
        most_crashes = std::max(most_crashes, got.fatal_crashes);
        most_late = std::max(most_late, got.late_fatal_sends);
        sum.requests += got.requests;
        sum.refused += got.refused;
        sum.failed += got.failed;
        sum.held += got.held;
    }
    std::cout << std::left << std::setw(36) << name << std::right
              << std::setw(10) << most_crashes << std::setw(10) << most_late
              << std::setw(10) << sum.requests << std::setw(10) << sum.refused
              << std::setw(10) << sum.failed << std::setw(8) << sum.held
              << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t seeds = 20;
    CLI::App options{"Measures the cost of requests that crash servers"};
    options.add_option("--seeds", seeds, "Runs of each shape");
    CLI11_PARSE(options, argc, argv);
    std::cout << "shape                                  crashes      late"
                 "  requests   refused    failed    held\n";
    for (std::size_t const batch : {1, 4, 16, 64})
    {
        crash_fleet_shape shape;
        shape.batch = batch;
        measure("batch " + std::to_string(batch), shape, {}, seeds);
    }
    for (double const share : {0.0001, 0.001, 0.01, 0.05})
    {
        crash_fleet_shape shape;
        shape.fatal_per_s = share * shape.requests_per_s;
        measure("fatal share " + std::to_string(share), shape, {}, seeds);
    }
    for (std::uint64_t const popular : {1, 10, 100})
    {
        crash_fleet_shape shape;
        shape.popular = popular;
        measure("popular requests " + std::to_string(popular), shape, {},
                seeds);
    }
    crash_fleet_shape lost;
    lost.fatal_per_s = 0;
    lost.popular = 10;
    measure("domain lost, none fatal", lost, {true, false}, seeds);
    lost.failures_per_s = 2;
    measure("servers end by themselves", lost, {true, false}, seeds);
    crash_fleet_shape dark;
    measure("store lost for 15 s", dark, {false, true}, seeds);
    crash_fleet_shape large;
    large.routers = 295;
    large.servers = 400;
    large.requests_per_s = 4'000;
    measure("295 routers", large, {}, seeds);
}
