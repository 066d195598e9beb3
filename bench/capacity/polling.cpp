#include "capacity/load_farm.hpp"
#include "capacity/site.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace caperpath::bench
{

namespace
{

constexpr std::size_t sizes[] = {20, 300, 2'100};
/// The new configuration is in force and its first round of polls is over.
constexpr std::chrono::milliseconds warm_up{4'000};
constexpr std::chrono::milliseconds span{6'000};

nlohmann::json servers_of(load_farm const& farm)
{
    nlohmann::json servers;
    std::size_t index = 0;
    for (auto const& address : farm.addresses())
    {
        servers["polled-" + std::to_string(index)] = {
            {"kind", "engine"},
            {"serves", "polled"},
            {"address", address},
            {"failure_domain", "one"}};
        ++index;
    }
    return servers;
}

nlohmann::json without(nlohmann::json servers)
{
    for (auto& server : servers)
    {
        server = nullptr;
    }
    return servers;
}

} // namespace

void measure_polling(site const& where, report& out)
{
    series work{"polling",
                "processor time of the router",
                "polls a second",
                "us a second",
                {}};
    series rate{"polling", "polls", "engines", "a second", {}};
    series bytes{"polling", "bytes both ways", "engines", "bytes a second", {}};
    std::vector<double> resting;
    for (auto const count : sizes)
    {
        auto const rest = observe_for(where, span);
        load_farm const farm{count};
        auto const servers = servers_of(farm);
        patch(where, {{"backend_servers", servers}});
        std::this_thread::sleep_for(warm_up);
        auto const before = farm.counts();
        auto const found = observe_for(where, span);
        auto const after = farm.counts();
        patch(where, {{"backend_servers", without(servers)}});
        std::this_thread::sleep_for(warm_up);
        auto const size = static_cast<double>(count);
        auto const polls =
            static_cast<double>(after.polls - before.polls) / found.seconds;
        auto const moved = static_cast<double>(
            after.received - before.received + after.sent - before.sent);
        work.points.push_back({polls, found.router_us / found.seconds});
        resting.push_back(rest.router_us / rest.seconds);
        rate.points.push_back({size, polls});
        bytes.points.push_back({size, moved / found.seconds});
    }
    out.figures.push_back({"polling", "processor time without engines",
                           "us a second", median(resting)});
    for (auto* one : {&work, &rate, &bytes})
    {
        out.lines.push_back(std::move(*one));
    }
}

} // namespace caperpath::bench
