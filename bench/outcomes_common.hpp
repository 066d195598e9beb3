#ifndef CAPERPATH_BENCH_OUTCOMES_COMMON_HPP
#define CAPERPATH_BENCH_OUTCOMES_COMMON_HPP

#include "router/caller.hpp"
#include "router/site.hpp"

#include <caperpath/budget/recovery.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

/// Helpers shared by the measurements of `bench/outcomes`.
namespace caperpath::bench
{

using namespace caperpath::tests;
using nlohmann::json;

struct options
{
    std::uint64_t seed{1};
    std::string fault{"none"};
    std::int64_t orders{300};
    std::int64_t seconds{120}; ///< of an engine outage
    bool as_json{false};
};

constexpr token_count prepaid = 100'000'000;

inline clock const& time_source()
{
    static auto const source = clock::monotonic();
    return source;
}

inline void sleep(duration span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{span.ms});
}

inline std::int64_t percentile(std::vector<std::int64_t> values,
                               std::size_t percent)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[(values.size() - 1) * percent / 100];
}

inline double ratio(std::int64_t part, std::int64_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

inline std::vector<std::int64_t> gaps_of(reply const& got)
{
    std::vector<std::int64_t> gaps;
    for (std::size_t i = 1; i < got.token_times.size(); ++i)
    {
        gaps.push_back((got.token_times[i] - got.token_times[i - 1]).ms);
    }
    return gaps;
}

inline stand_in::engine_settings usual_engine()
{
    stand_in::engine_settings engine;
    engine.load_lag = {500};
    return engine;
}

inline void prepay(site& here)
{
    for (auto const* const budget : {"agency", "technicians"})
    {
        budget::top_up(here.store(), {budget}, "bench", prepaid).value();
    }
}

} // namespace caperpath::bench

#endif
