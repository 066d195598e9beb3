#ifndef CAPERPATH_BENCH_OUTCOMES_STREAMS_HPP
#define CAPERPATH_BENCH_OUTCOMES_STREAMS_HPP

#include "outcomes_common.hpp"

#include <atomic>
#include <functional>
#include <future>

/// Measurements of open streams: silence, a draining engine, a planned stop.
namespace caperpath::bench
{

// Streams of eight callers; some of those on engine 0 go silent for good. A
// retry is allowed to a tenth of the traffic, so that few are.
inline json silence(options const&)
{
    constexpr int callers = 8;
    constexpr int streams_each = 16;
    constexpr int silent_streams = 12;
    std::string const prompt = "tell [tokens=40]";
    site here{1, usual_engine()};
    prepay(here);
    site::post_fault(
        here.engine_address(0),
        {{"kind", "silent"}, {"count", silent_streams}, {"after_tokens", 20}});
    std::vector<std::future<std::vector<reply>>> running;
    for (int i = 0; i < callers; ++i)
    {
        running.push_back(std::async(
            std::launch::async,
            [&]
            {
                std::vector<reply> got;
                for (int n = 0; n < streams_each; ++n)
                {
                    got.push_back(chat(here.router_address(0), here.other_key(),
                                       prompt,
                                       {.stream = true, .max_tokens = 40}));
                }
                return got;
            }));
    }
    std::vector<std::int64_t> all_gaps;
    std::vector<std::int64_t> longest;
    int whole = 0;
    for (auto& caller : running)
    {
        for (auto const& got : caller.get())
        {
            whole += got.done && got.text == expected_text(prompt) ? 1 : 0;
            auto const gaps = gaps_of(got);
            all_gaps.insert(all_gaps.end(), gaps.begin(), gaps.end());
            longest.push_back(percentile(gaps, 100));
        }
    }
    std::sort(longest.begin(), longest.end(), std::greater<>{});
    longest.resize(silent_streams);
    auto const p99 = percentile(all_gaps, 99);
    return {{"streams", callers * streams_each},
            {"whole", whole},
            {"silent", silent_streams},
            {"usual_gap_p50_ms", percentile(all_gaps, 50)},
            {"usual_gap_p99_ms", p99},
            {"silence_p50_ms", percentile(longest, 50)},
            {"silence_most_ms", longest.front()},
            {"silence_p50_over_p99_gap", ratio(percentile(longest, 50), p99)},
            {"silence_most_over_p99_gap", ratio(longest.front(), p99)}};
}

// New chats arrive continuously while engine 0 is draining.
inline json leaving(options const&)
{
    constexpr duration watched{4'000};
    auto engine = usual_engine();
    site here{2, engine};
    prepay(here);
    std::atomic<bool> stop{false};
    std::vector<std::future<std::int64_t>> callers;
    for (std::size_t i = 0; i < 8; ++i)
    {
        callers.push_back(std::async(
            std::launch::async,
            [&, i]
            {
                std::int64_t cut = 0;
                while (!stop)
                {
                    auto const got =
                        chat(here.router_address(i % 2), here.other_key(),
                             "go [tokens=5]", {.stream = true});
                    cut += got.done ? 0 : 1;
                }
                return cut;
            }));
    }
    sleep({1'000});
    auto const ordered = time_source().now();
    here.command_engine(0, "leave");
    auto last = ordered;
    auto runs = here.engine_stats(0)["runs"].size();
    while (time_source().now() < ordered + watched)
    {
        auto const now = here.engine_stats(0)["runs"].size();
        last = now == runs ? last : time_source().now();
        runs = now;
        sleep({10});
    }
    stop = true;
    std::int64_t cut = 0;
    for (auto& caller : callers)
    {
        cut += caller.get();
    }
    return {{"last_new_work_after_ms", (last - ordered).ms},
            {"cut_streams", cut}};
}

inline json planned_stop(options const&)
{
    constexpr std::size_t streams = 40;
    site here{2, usual_engine()};
    prepay(here);
    std::vector<std::future<reply>> open;
    for (std::size_t i = 0; i < streams; ++i)
    {
        open.push_back(
            std::async(std::launch::async,
                       [&here]
                       {
                           return chat(here.router_address(0), here.other_key(),
                                       "plan [tokens=120]", {.stream = true});
                       }));
    }
    sleep({1'500});
    auto const began = time_source().now();
    auto const report = here.stop_router(0);
    auto const took = time_source().now() - began;
    std::int64_t refused = 0;
    std::int64_t cut = 0;
    for (auto& one : open)
    {
        auto const got = one.get();
        bool const whole =
            got.done && got.text == expected_text("plan [tokens=120]");
        refused += got.status == 200 ? 0 : 1;
        cut += got.status == 200 && !whole ? 1 : 0;
    }
    return {{"streams", streams},
            {"refused", refused},
            {"cut_streams", cut},
            {"stop_ms", took.ms},
            {"clean", report.clean},
            {"unsettled_bills", report.unsettled_bills},
            {"unended_claims", report.unfinished_claims}};
}

} // namespace caperpath::bench

#endif
