#ifndef CAPERPATH_STAND_IN_ENGINE_SETTINGS_HPP
#define CAPERPATH_STAND_IN_ENGINE_SETTINGS_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/config/json_reader.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace caperpath::stand_in
{

/// Settings of `caperpath-engine`. Immutable value.
///
/// Service-time model: a request waits for one of `slots`. Its first token
/// follows after `first_token` plus `prefill_per_1000_tokens` for each 1,000
/// prompt tokens not in the prefix cache; each further token follows
/// `token_time * (1 + batch_slope_percent / 100 * (running - 1) / slots)`
/// after the previous one.
struct engine_settings
{
    std::string listen{"127.0.0.1:0"};
    std::string name{"engine"};
    std::string model{"asistente"};
    std::int64_t slots{64};
    std::int64_t max_queue{256};
    duration prefill_per_1000_tokens{120};
    duration first_token{30};
    duration token_time{41};
    std::int64_t batch_slope_percent{50};
    std::int64_t cache_capacity{100'000}; ///< tokens
    duration load_lag{500};
    duration event_lag{300};
    std::int64_t event_gap_percent{2};
    bool checks_fencing{true};

    friend bool operator==(engine_settings const&,
                           engine_settings const&) = default;
};

/// Reads and checks a settings document; adds every error to `faults`.
/// Thread safe.
engine_settings parse_engine_settings(nlohmann::json const& document,
                                      std::vector<config::fault>& faults);

/// Reads "IP:port", where port 0 means any free one. Adds a fault if malformed.
std::string read_listen(config::json_reader& reader);

} // namespace caperpath::stand_in

#endif
