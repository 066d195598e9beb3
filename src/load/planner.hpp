#ifndef CAPERPATH_SRC_LOAD_PLANNER_HPP
#define CAPERPATH_SRC_LOAD_PLANNER_HPP

#include "load/scenario.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace caperpath::load
{

/// One request to send. Immutable value.
struct planned_request
{
    std::int64_t index{};
    std::int64_t start_us{};    ///< intended start, from the run's start
    std::size_t customer{};     ///< index into the scenario's customers
    std::string key;            ///< idempotency key
    std::string prompt;         ///< empty for an order
    std::int64_t max_tokens{};  ///< upper bound of the response
    std::size_t first_router{}; ///< index of the router to try first

    friend bool operator==(planned_request const&,
                           planned_request const&) = default;
};

/// Generates the arrivals of a run: open loop, exponential gaps. The same
/// scenario and run name produce the same requests. Not thread safe.
class planner
{
public:
    /// `run` is part of every key and prompt, so that a second run against the
    /// same fleet sends new requests. @pre `plan` is valid and outlives the
    /// planner.
    planner(scenario const& plan, std::string run);

    /// Returns the next request by start, or nothing after the scenario's
    /// length.
    std::optional<planned_request> next();

private:
    std::string make_prompt(std::string const& key, std::int64_t tokens);

    scenario const& plan;
    std::string run;
    std::mt19937_64 engine;
    std::exponential_distribution<double> gap_us;
    std::discrete_distribution<std::size_t> customer;
    std::discrete_distribution<std::size_t> family;
    double at_us{0};
    std::int64_t index{0};
};

} // namespace caperpath::load

#endif
