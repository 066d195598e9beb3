#include "capacity/probe.hpp"
#include "capacity/site.hpp"
#include "capacity/stream_client.hpp"

#include <caperpath/observe/stopwatch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace caperpath::bench
{

namespace
{

constexpr std::size_t sizes[] = {1, 10, 100, 360, 1'000};
constexpr std::size_t compared[] = {1, 100, 360};
constexpr int passes = 3;
constexpr std::int64_t tokens = 150;
/// The model engine's time a token, as `scripts/measure_capacity` sets it.
constexpr std::chrono::milliseconds token_time{41};
/// 360 streams start within a second: ten times their rate in a steady fleet.
constexpr std::size_t starts_a_second = 360;
constexpr std::chrono::milliseconds margin{400};
constexpr double late = 0.95;
constexpr double us_per_second = 1e6;

/// Of one size, of all passes.
struct samples
{
    std::vector<double> tokens_a_second;
    std::vector<double> router_us_a_second;
    std::vector<double> first_token;
    std::vector<double> first_token_late;
    std::vector<double> gap;
    std::vector<double> gap_late;
    std::size_t failed{};
};

std::chrono::milliseconds ramp_of(std::size_t streams)
{
    return std::chrono::milliseconds{1'000 * streams / starts_a_second};
}

void keep_times(samples& into, stream_times const& seen)
{
    into.failed += seen.failed;
    if (seen.first_token.empty())
    {
        return;
    }
    into.first_token.push_back(median(seen.first_token));
    into.first_token_late.push_back(quantile(seen.first_token, late));
    into.gap.push_back(median(seen.gaps));
    into.gap_late.push_back(quantile(seen.gaps, late));
}

/// Returns the router's resident memory while all streams are open.
double run_through_router(site const& where, std::size_t streams, samples& into)
{
    auto const ramp = ramp_of(streams);
    stream_callers callers{
        {where.router, customer_key(0), streams, tokens, ramp}};
    std::this_thread::sleep_for(ramp + margin);
    auto const cpu = process_us(where.router_process);
    auto const before = callers.tokens();
    observe::stopwatch const watch;
    // All streams are open from the last start to the first end.
    std::this_thread::sleep_for(tokens * token_time - ramp - 2 * margin);
    auto const spent = process_us(where.router_process) - cpu;
    auto const arrived = static_cast<double>(callers.tokens() - before);
    auto const seconds =
        static_cast<double>(watch.elapsed_us()) / us_per_second;
    auto const memory = resident_bytes(where.router_process);
    keep_times(into, callers.join());
    into.tokens_a_second.push_back(arrived / seconds);
    into.router_us_a_second.push_back(spent / seconds);
    return memory;
}

void run_directly(site const& where, std::size_t streams, samples& into)
{
    stream_callers callers{
        {where.engine, "", streams, tokens, ramp_of(streams)}};
    keep_times(into, callers.join());
}

void report_added(report& out, std::size_t streams, samples const& routed,
                  samples const& direct)
{
    auto const at = " at " + std::to_string(streams) + " streams";
    auto const add = [&](std::string const& name, std::vector<double> const& a,
                         std::vector<double> const& b)
    {
        out.figures.push_back(
            {"streams", name + at, "us", median(a) - median(b)});
    };
    add("added to the first token, median,", routed.first_token,
        direct.first_token);
    add("added to the first token, 95%,", routed.first_token_late,
        direct.first_token_late);
    add("added between tokens, median,", routed.gap, direct.gap);
    add("added between tokens, 95%,", routed.gap_late, direct.gap_late);
}

} // namespace

void measure_streams(site const& where, report& out)
{
    series memory{"streams", "resident memory", "open streams", "bytes", {}};
    series work{
        "streams", "processor time", "tokens a second", "us a second", {}};
    std::map<std::size_t, samples> routed;
    std::map<std::size_t, samples> direct;
    for (int pass = 0; pass < passes; ++pass)
    {
        for (auto const streams : sizes)
        {
            auto const found =
                run_through_router(where, streams, routed[streams]);
            // Threads and their stacks are kept, so only the first pass, which
            // grows, shows the memory of a size.
            if (pass == 0)
            {
                memory.points.push_back({static_cast<double>(streams), found});
            }
            if (std::find(std::begin(compared), std::end(compared), streams) !=
                std::end(compared))
            {
                run_directly(where, streams, direct[streams]);
            }
        }
    }
    for (auto const streams : sizes)
    {
        work.points.push_back({median(routed[streams].tokens_a_second),
                               median(routed[streams].router_us_a_second)});
    }
    for (auto const& [streams, one] : routed)
    {
        out.figures.push_back(
            {"streams", "failed at " + std::to_string(streams),
             "streams of all passes", static_cast<double>(one.failed)});
    }
    out.lines.push_back(std::move(memory));
    out.lines.push_back(std::move(work));
    for (auto const streams : compared)
    {
        report_added(out, streams, routed[streams], direct[streams]);
    }
}

} // namespace caperpath::bench
