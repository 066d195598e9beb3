#ifndef CAPERPATH_TESTS_STAND_IN_RUNNING_ENGINE_HPP
#define CAPERPATH_TESTS_STAND_IN_RUNNING_ENGINE_HPP

#include "stand_in/engine.hpp"
#include "stand_in/response_text.hpp"

#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace stand_in_test
{

using namespace caperpath;
using namespace caperpath::stand_in;

using offsets = std::vector<std::int64_t>;

// Settings without delays or lags, so that tests do not wait.
inline engine_settings instant_settings()
{
    engine_settings settings;
    settings.prefill_per_1000_tokens = {0};
    settings.first_token = {0};
    settings.token_time = {0};
    settings.load_lag = {0};
    settings.event_lag = {0};
    settings.event_gap_percent = 0;
    return settings;
}

// Settings with which a long response stays open while a test inspects it.
inline engine_settings slow_settings()
{
    auto settings = instant_settings();
    settings.token_time = {1};
    return settings;
}

struct running_engine
{
    explicit running_engine(engine_settings const& settings)
        : fake{settings, clock::monotonic()}, port{fake.start()}
    {
    }

    engine fake;
    int port;
};

inline std::string expected_response(std::string const& content)
{
    auto const prompt = content + "\n";
    return response_text(prompt, 0, response_length(prompt));
}

template <class Holds>
void wait_until(Holds const& holds)
{
    while (!holds())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

} // namespace stand_in_test

#endif
