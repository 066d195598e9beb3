#ifndef CAPERPATH_BENCH_CAPACITY_SITE_HPP
#define CAPERPATH_BENCH_CAPACITY_SITE_HPP

#include "capacity/series.hpp"

#include <nlohmann/json_fwd.hpp>

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>

/// The processes that `scripts/measure_capacity` has started, and the parts
/// that measure a router process from outside.
namespace caperpath::bench
{

/// Addresses are "IP:port".
struct site
{
    std::string platform;
    std::string router;
    pid_t router_process{};
    std::string engine;
};

/// Requests that the platform has received since its start.
struct store_counts
{
    std::int64_t reads{};
    std::int64_t writes{};
};

/// Resources that a router used over a time span.
struct usage
{
    double seconds{};
    double router_us{}; ///< processor time
    double reads{};
    double writes{};
};

/// Writes the first configuration, one model engine and `customers` customers
/// with a paid budget each, and waits until the router is ready. Throws
/// std::runtime_error if a step fails.
void prepare(site const& where, std::size_t customers);

/// Applies a merge patch to the configuration in force. Throws as `prepare`.
void patch(site const& where, nlohmann::json const& change);

/// The key of one of the customers that `prepare` made.
std::string customer_key(std::size_t index);

/// Measures for `span`.
usage observe_for(site const& where, std::chrono::milliseconds span);

/// Open streams: memory, processor time and latency against the model engine
/// called directly.
void measure_streams(site const& where, report& out);

/// An idle router, one-token responses, and budgets held.
void measure_requests(site const& where, report& out);

/// The cost of polling every model engine for its load.
void measure_polling(site const& where, report& out);

} // namespace caperpath::bench

#endif
