#ifndef CAPERPATH_SRC_LOAD_TALLY_HPP
#define CAPERPATH_SRC_LOAD_TALLY_HPP

#include "load/record.hpp"
#include "load/scenario.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace caperpath::load
{

/// Latency percentiles in milliseconds. Immutable value.
struct percentiles
{
    std::int64_t count{};
    double p50_ms{};
    double p95_ms{};
    double p99_ms{};
    double max_ms{};

    friend bool operator==(percentiles const&, percentiles const&) = default;
};

/// Counts of one customer or of all. Immutable value.
struct totals
{
    std::int64_t requests{};
    std::map<std::string, std::int64_t> endings;
    std::map<std::string, std::int64_t> refusals; ///< by code
    std::map<std::string, std::int64_t> outcomes; ///< as reported
    std::int64_t attempts{};
    std::int64_t cut_attempts{};
    std::int64_t prompt_tokens{};     ///< billed, from `usage`
    std::int64_t completion_tokens{}; ///< billed, from `usage`

    friend bool operator==(totals const&, totals const&) = default;
};

/// Result of one order. Immutable value.
struct order_result
{
    std::string key;
    std::string customer;
    std::string outcome; ///< as reported, empty: none
    int status{};
    std::int64_t attempts{};

    friend bool operator==(order_result const&, order_result const&) = default;
};

/// Results of a run. Immutable value.
struct results
{
    totals all;
    std::map<std::string, totals> customers;
    percentiles first_token;  ///< of streams, from the intended start
    percentiles token_gap;    ///< of streams
    percentiles short_answer; ///< of short answers, from the intended start
    percentiles order;        ///< of orders, from the intended start
    percentiles start_lag;    ///< delay of the tool: large if it is too busy
    std::vector<order_result> orders;

    friend bool operator==(results const&, results const&) = default;
};

/// Sums up records. Thread safe.
class tally
{
public:
    /// @pre `plan` outlives the tally.
    explicit tally(scenario const& plan);
    ~tally();

    tally(tally const&) = delete;
    tally& operator=(tally const&) = delete;

    void add(record const& one);
    results so_far() const;

private:
    struct latencies;

    void add_latencies(record const& one, request_kind kind);

    scenario const& plan;
    mutable std::mutex mutex;
    results sums;
    std::unique_ptr<latencies> watched;
};

} // namespace caperpath::load

#endif
