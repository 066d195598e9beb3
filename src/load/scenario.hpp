#ifndef CAPERPATH_SRC_LOAD_SCENARIO_HPP
#define CAPERPATH_SRC_LOAD_SCENARIO_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/config/json_reader.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::load
{

enum class request_kind
{
    stream,       ///< a chat completion, streamed
    short_answer, ///< a chat completion in one piece
    order         ///< a call of a plain service that may run once only
};

/// Returns "stream", "short" or "order". Thread safe.
std::string_view to_string(request_kind kind);

/// One customer's share of the traffic. A customer with several kinds of
/// requests has several entries. Immutable value.
struct customer_load
{
    std::string name; ///< results are summed by name
    std::string key;  ///< the bearer key
    std::int64_t weight{1};
    request_kind kind{request_kind::stream};
    std::string model;   ///< of streams and short answers
    std::string service; ///< of orders
    std::string path;    ///< of orders, "/orders"
    std::int64_t least_tokens{1};
    std::int64_t most_tokens{1};

    friend bool operator==(customer_load const&,
                           customer_load const&) = default;
};

/// Prompts with a common prefix, such as a fault log or a guideline.
struct prompt_family
{
    std::string name;
    std::int64_t weight{1};
    std::int64_t shared_bytes{}; ///< common to all prompts of the family
    std::int64_t own_bytes{};    ///< different in each

    friend bool operator==(prompt_family const&,
                           prompt_family const&) = default;
};

/// Retries of callers: same idempotency key, next router.
struct retry_policy
{
    std::int64_t max_attempts{4};
    duration first_wait{100}; ///< doubles with each attempt
    duration max_wait{5'000};

    friend bool operator==(retry_policy const&, retry_policy const&) = default;
};

/// Description of one run of the load tool. Immutable value.
struct scenario
{
    std::vector<std::string> routers; ///< "IP:port"
    duration length{10'000};          ///< time during which requests arrive
    std::uint64_t seed{1};
    std::int64_t arrivals_per_second{10};
    std::int64_t max_open{64}; ///< concurrent requests; more start late
    duration request_timeout{60'000};
    duration progress{10'000}; ///< interval of progress lines, 0: none
    std::vector<customer_load> customers;
    std::vector<prompt_family> prompt_families;
    retry_policy retries;

    friend bool operator==(scenario const&, scenario const&) = default;
};

/// Reads a complete scenario and adds every fault it finds. Thread safe.
scenario read_scenario(nlohmann::json const& value,
                       std::vector<config::fault>& faults);

} // namespace caperpath::load

#endif
