#include "gateway/gateway.hpp"

#include "gateway/packet_times.hpp"
#include "gateway/requests/exchange.hpp"
#include "gateway/run_after.hpp"
#include "gateway/servers/server_notice.hpp"
#include "gateway/servers/server_notice_packet.hpp"

#include <caperpath/fleet/readiness.hpp>

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr duration tick_interval{100};
constexpr duration version_interval{1'000};
/// A caller's request takes several turns of the loop; from here on they use up
/// the time in which most callers expect a response.
constexpr duration most_loop_delay{250};
/// Kept short, so that the process is not killed while it writes its log.
constexpr duration max_log_wait{100};

} // namespace

gateway_server::gateway_server(asio::io_context& loop, settings const& settings,
                               protocol_adapter adapter,
                               store::async_port const& store,
                               incarnation_id incarnation, int log_descriptor,
                               std::shared_ptr<worker> background)
    : loop{loop}, shared{loop.get_executor(),    settings,
                         std::move(adapter),     store,
                         std::move(incarnation), log_descriptor},
      background{std::move(background)}, callers{loop}, readiness{loop},
      metrics{loop}, routers{loop}, timer{loop}
{
    this->follow_store();
}

gateway_server::~gateway_server() = default;

result<void> gateway_server::start()
{
    auto const& settings = this->shared.settings;
    BOOST_LEAF_CHECK(this->listen(this->callers, settings.callers));
    BOOST_LEAF_CHECK(this->listen(this->readiness, settings.readiness));
    BOOST_LEAF_CHECK(this->listen(this->metrics, settings.metrics));
    this->shared.log.write(
        log_weight::notable, "start",
        {{"callers", settings.callers}, {"store", settings.store_address}});
    this->shared.peers.start(
        [this](std::string const& from, std::string const& bytes)
        { this->receive_datagram(from, bytes); });
    this->listen_to_routers();
    this->accept_callers();
    this->accept_status_clients(this->readiness);
    this->accept_status_clients(this->metrics);
    this->shared.budgets.start();
    this->configuration_follower->start();
    this->server_follower->start();
    this->shared.membership.start();
    this->shared.crashes.start();
    this->shared.streams.start();
    asio::co_spawn(this->loop, kernel_tells_packet_times(this->shared.loop),
                   [this](std::exception_ptr const& fault, bool known)
                   {
                       this->shared.packet_times_known = !fault && known;
                       this->shared.log.write(
                           log_weight::notable, "packet_times",
                           {{"known", known ? "yes" : "no"}});
                   });
    this->last_tick = this->shared.now.now();
    this->shared.delay = start_loop_delay(tick_interval, this->last_tick);
    this->tick();
    return {};
}

void gateway_server::receive_datagram(std::string const& from,
                                      std::string const& bytes)
{
    auto& shared = this->shared;
    if (is_stream_packet(bytes))
    {
        shared.streams.receive(from, bytes);
    }
    else if (is_send_limit_packet(bytes))
    {
        shared.send_limits.receive(from, bytes);
    }
    else if (is_server_notice_packet(bytes))
    {
        receive_server_notice(shared, from, bytes);
    }
    else if (is_crash_row_packet(bytes))
    {
        shared.crashes.receive(bytes);
    }
    else if (is_rejection_packet(bytes))
    {
        shared.rejections.receive(from, bytes);
    }
    else if (is_probation_packet(bytes))
    {
        shared.probations.receive(from, bytes);
    }
    else
    {
        shared.budgets.receive_datagram(from, bytes);
    }
}

std::uint16_t gateway_server::callers_port() const
{
    return this->callers.local_endpoint().port();
}

std::uint16_t gateway_server::readiness_port() const
{
    return this->readiness.local_endpoint().port();
}

void gateway_server::run(std::function<void()> const& run_loop)
{
    while (true)
    {
        try
        {
            run_loop();
            return;
        }
        catch (...)
        {
            this->shared.log.write_exception("handler",
                                             std::current_exception());
        }
    }
}

bool gateway_server::ready() const
{
    if (this->shared.stop || !this->shared.site || !this->shared.servers_listed)
    {
        return false;
    }
    auto const& shared = this->shared;
    auto const now = shared.now.now();
    return !fleet::sheds_callers(shared.uplink, now) &&
           lasting_delay(shared.delay) < most_loop_delay &&
           fleet::may_take_callers({shared.budgets.has_read_a_budget(),
                                    shared.budgets.ready(),
                                    shared.crashes.has_read_rows() &&
                                        shared.streams.has_read_rows(),
                                    shared.servers.store_reachable,
                                    now - this->configuration_known_at});
}

void gateway_server::stop()
{
    auto& shared = this->shared;
    if (shared.stop)
    {
        return;
    }
    auto const signalled_at = fleet::signal_time(
        this->tick_before_last, shared.now.now(), tick_interval);
    shared.stop = fleet::schedule_shutdown(signalled_at, shared.settings.grace);
    this->stop_delay = longest_recent_delay(shared.delay);
    for (auto* const open : shared.open_requests)
    {
        limit_deadline_to_stop(*open);
    }
    this->wake_sessions();
    this->log_stop("stop");
}

void gateway_server::reload()
{
    this->shared.log.write(log_weight::notable, "reload",
                           {{"outcome", "settings count from the next start"}});
}

void gateway_server::flush_log()
{
    log_open_requests(this->shared);
    this->log_stop("end");
    this->shared.log.finish(max_log_wait);
}

void gateway_server::log_stop(std::string_view step)
{
    auto& shared = this->shared;
    auto const since =
        shared.stop ? shared.now.now() - shared.stop->began : duration{0};
    shared.log.write(
        log_weight::notable, step,
        {{"open_requests", std::to_string(shared.open_requests.size())},
         {"connections", std::to_string(shared.sessions.size())},
         {"idle", std::to_string(shared.idle_callers.size())},
         {"taken", std::to_string(shared.taken_while_stopping)},
         {"ms", std::to_string(since.ms)}});
}

bool gateway_server::stopped() const
{
    auto const& shared = this->shared;
    if (!shared.stop)
    {
        return false;
    }
    auto const idle =
        std::count_if(shared.idle_callers.begin(), shared.idle_callers.end(),
                      [](auto const* caller) {
                          return !caller->has_input() && caller->unsent() == 0;
                      });
    fleet::shutdown_work left;
    left.loop_delay = this->stop_delay;
    left.requests = std::ssize(shared.sessions) > idle || *shared.relayed > 0;
    left.connections = !shared.sessions.empty();
    if (!shared.returning_since || !shared.budgets.closed())
    {
        left.returning_since =
            shared.returning_since.value_or(shared.stop->out_of_rotation);
    }
    return fleet::may_exit(*shared.stop, shared.now.now(), left);
}

void gateway_server::wake_sessions()
{
    for (auto* const wakeup : this->shared.sessions)
    {
        wakeup->raise();
    }
}

void gateway_server::note_versions()
{
    auto const now = this->shared.now.now();
    if (this->shared.servers_listed &&
        now - this->versions_noted_at >= version_interval)
    {
        this->versions_noted_at = now;
        this->shared.streams.note_servers(this->shared.servers);
    }
}

/// Passes the routers on, as they were read last.
void gateway_server::note_routers()
{
    if (this->shared.membership.completed_reads() == this->membership_reads)
    {
        return;
    }
    this->membership_reads = this->shared.membership.completed_reads();
    auto const routers = this->shared.membership.live_routers();
    this->shared.budgets.set_peers(routers);
    std::vector<std::string> addresses;
    addresses.reserve(routers.size());
    for (auto const& [address, incarnation] : routers)
    {
        if (address != this->shared.peer_address)
        {
            addresses.push_back(address);
        }
    }
    this->shared.relays.set_routers(addresses);
    this->shared.send_limits.set_routers(addresses);
    this->shared.rejections.set_routers(addresses);
    this->shared.probations.set_routers(addresses);
    this->shared.streams.set_routers(std::move(addresses));
}

void gateway_server::tick()
{
    auto const now = this->shared.now.now();
    this->tick_before_last = std::exchange(this->last_tick, now);
    auto const late = now - this->shared.delay.due;
    this->shared.delay = note_timer_run(this->shared.delay, now);
    this->shared.metrics.loop_delay(late.ms,
                                    lasting_delay(this->shared.delay).ms);
    this->stop_delay = std::max(this->stop_delay, late);
    this->note_turn_after_events();
    this->report_stall(late);
    this->report_delay();
    this->shared.pool.sweep();
    for (auto const& id : fleet::sweep_servers(this->shared.servers, now))
    {
        this->shared.pool.drop(id);
        this->shared.prompts.forget(id);
        this->shared.send_limits.forget(id);
        this->shared.rejections.forget(id);
    }
    this->shared.connector.probe_paths();
    this->count_cold_servers(now);
    this->report_retries();
    this->report_reach();
    this->note_versions();
    this->shared.uplink = fleet::advance_time(this->shared.uplink, now);
    this->shared.servers.routers = this->shared.membership.alive_vms();
    this->shared.budgets.set_router_count(this->shared.servers.routers);
    this->note_routers();
    this->shared.metrics.lines_dropped(this->shared.log.dropped());
    this->shared.metrics.crash_causes(
        this->shared.crashes.causes().rejected_causes());
    if (this->ready() != this->was_ready)
    {
        this->was_ready = this->ready();
        auto const link_failing =
            fleet::sheds_callers(this->shared.uplink, now);
        this->shared.log.write(log_weight::notable, "readiness",
                               {{"ready", this->was_ready ? "yes" : "no"},
                                {"link_failing", link_failing ? "yes" : "no"}});
    }
    auto const& stop = this->shared.stop;
    if (stop && !this->shared.returning_since && now >= stop->out_of_rotation)
    {
        this->shared.returning_since = now;
        this->wake_sessions();
        this->shared.budgets.close();
        this->shared.membership.remove_own_row();
        this->shared.send_limits.stop();
        this->shared.rejections.stop();
        this->shared.probations.stop();
    }
    run_after(this->timer, tick_interval, [this] { this->tick(); });
}

} // namespace caperpath::gateway
