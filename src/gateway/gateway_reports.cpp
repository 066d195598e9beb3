#include "gateway/gateway.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <string>
#include <utility>

/// Logs and metrics that are not about single requests.
namespace caperpath::gateway
{

namespace
{

constexpr duration retry_report_interval{2'000};
constexpr duration reach_report_interval{500};
/// A single turn of the loop that takes longer delays events noticeably.
constexpr duration longest_usual_stall{100};

} // namespace

void gateway_server::report_retries()
{
    auto const now = this->shared.boot_time.now();
    auto const sharers = this->shared.membership.retry_sharers();
    auto const changed = sharers != this->reported_sharers;
    if (!changed && now - this->retries_reported_at < retry_report_interval)
    {
        return;
    }
    this->retries_reported_at = now;
    if (changed)
    {
        auto const read_age = this->shared.membership.read_age();
        this->shared.log.write(
            log_weight::notable, "repeat_limit",
            {{"sharers", std::to_string(sharers)},
             {"before", std::to_string(this->reported_sharers)},
             {"view_age_ms", std::to_string(read_age.ms)}});
        this->reported_sharers = sharers;
    }
    for (auto const& use : this->shared.retries.report(now))
    {
        this->shared.log.write(log_weight::notable, "repeats",
                               {{"service", use.service.value},
                                {"sharers", std::to_string(sharers)},
                                {"requests", std::to_string(use.requests)},
                                {"repeats", std::to_string(use.retries)},
                                {"denied", std::to_string(use.rejected)}});
    }
}

void gateway_server::count_cold_servers(instant now)
{
    auto const& servers = this->shared.servers.servers;
    auto const count = std::count_if(
        servers.begin(), servers.end(),
        [now](auto const& entry) { return fleet::is_cold(entry.second, now); });
    auto const any_cold = count > 0;
    if (any_cold != std::exchange(this->had_cold_servers, any_cold))
    {
        this->shared.log.write(log_weight::notable, "cold_servers",
                               {{"count", std::to_string(count)}});
    }
    this->shared.metrics.servers_cold(static_cast<std::size_t>(count));
}

void gateway_server::report_stall(duration late)
{
    if (late < longest_usual_stall)
    {
        return;
    }
    auto const& shared = this->shared;
    this->shared.log.write(
        log_weight::notable, "loop_stall",
        {{"ms", std::to_string(late.ms)},
         {"open_requests", std::to_string(shared.open_requests.size())},
         {"config",
          shared.site ? std::to_string(shared.site->version()) : "none"}});
}

void gateway_server::report_delay()
{
    auto const is_behind = lasting_delay(this->shared.delay) > duration{0};
    if (is_behind == this->was_behind)
    {
        return;
    }
    this->was_behind = is_behind;
    this->shared.log.write(
        log_weight::notable, "loop_delay",
        {{"behind", is_behind ? "yes" : "no"},
         {"ms", std::to_string(lasting_delay(this->shared.delay).ms)},
         {"open_requests", std::to_string(this->shared.open_requests.size())},
         {"connections", std::to_string(this->shared.sessions.size())}});
}

/// What is posted runs after the next poll, but before the handlers of the
/// events that this poll found; what that posts runs after them.
void gateway_server::note_turn_after_events()
{
    auto const note = [this]
    {
        auto& delay = this->shared.delay;
        delay = note_turn(delay, this->shared.now.now());
    };
    asio::post(this->loop, [this, note] { asio::post(this->loop, note); });
}

void gateway_server::report_reach()
{
    auto const now = this->shared.now.now();
    if (now - this->reach_reported_at < reach_report_interval)
    {
        return;
    }
    this->reach_reported_at = now;
    for (auto const& [service, reach] :
         fleet::reach_by_service(this->shared.servers, now))
    {
        auto const known = this->cut_off_since.find(service);
        auto const was_cut_off = known != this->cut_off_since.end();
        if (fleet::is_cut_off(reach) == was_cut_off)
        {
            continue;
        }
        auto const since = was_cut_off ? known->second : now;
        this->shared.log.write(
            log_weight::notable, "reach",
            {{"service", service.value},
             {"direct_path", was_cut_off ? "regained" : "lost"},
             {"servers", std::to_string(reach.servers)},
             {"relayed", std::to_string(reach.relayed)},
             {"ms", std::to_string((now - since).ms)}});
        if (was_cut_off)
        {
            this->cut_off_since.erase(known);
        }
        else
        {
            this->cut_off_since[service] = now;
        }
    }
    this->shared.metrics.services_cut_off(this->cut_off_since.size());
}

} // namespace caperpath::gateway
