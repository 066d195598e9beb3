#ifndef CAPERPATH_SRC_GATEWAY_GATEWAY_HPP
#define CAPERPATH_SRC_GATEWAY_GATEWAY_HPP

#include "gateway/core.hpp"
#include "gateway/settings.hpp"
#include "gateway/table_follower.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace caperpath::gateway
{

/// The router on one event loop: callers, backend servers, the store, all on
/// one thread, so that a request crosses no thread and takes no lock. Not
/// thread safe.
class gateway_server
{
public:
    gateway_server(asio::io_context& loop, settings const& settings,
                   dialect names, store::async_port const& store,
                   incarnation_id incarnation, int log_descriptor);
    ~gateway_server();

    gateway_server(gateway_server const&) = delete;
    gateway_server& operator=(gateway_server const&) = delete;

    /// Binds and begins to serve. Error `unavailable` if an address cannot be
    /// bound.
    result<void> start();

    /// Begins a planned stop: reports itself as not ready at once, serves on
    /// while the balancer still sends, then ends. Idempotent.
    void stop();

    /// The settings file has changed. What it holds (addresses, limits) counts
    /// from the next start on; requests under way are not touched.
    void reload();

    /// Answers the requests that are open although their time is over: a loop
    /// that is behind may come to the process's end before their timers. Call
    /// when the loop has ended; runs it for a moment. @pre `stopped()`.
    void answer_overdue();

    /// Writes what is left of the log. Call when the loop has ended.
    void flush_log();

    /// True when a planned stop has ended and nothing is open.
    bool stopped() const;

    /// The bound ports, for settings with port 0. @pre `start` succeeded.
    std::uint16_t callers_port() const;
    std::uint16_t readiness_port() const;

private:
    result<void> listen(tcp::acceptor& acceptor, std::string const& address);
    void accept_callers();
    void accept_pages(tcp::acceptor& acceptor);
    void accept_after(boost::system::error_code fault,
                      std::function<void()> accept);
    asio::awaitable<void> serve_page(tcp::socket socket);
    void follow_store(store::async_port const& store);
    void apply_site(store::feed_page const& page);
    std::optional<fleet::server_entry> read_entry(store::feed_row const& row);
    void note_listed(fleet::server_entry const& entry, bool is_new);
    void apply_server(store::feed_row const& row);
    void replace_servers(store::feed_page const& page);
    void note_store(bool reachable, error const& why);
    void tick();
    /// Logs how this router uses its part of the limit on repeats.
    void tell_repeats();
    bool ready() const;
    void wake_sessions();
    void log_stop(std::string_view step);

    asio::io_context& loop;
    core shared;
    tcp::acceptor callers;
    tcp::acceptor readiness;
    tcp::acceptor metrics;
    asio::steady_timer timer;
    std::unique_ptr<table_follower> sites;
    std::unique_ptr<table_follower> servers;
    instant site_known_at{};
    instant repeats_told_at{};
    std::int64_t told_sharers{};
    std::uint64_t peers_read{}; ///< reads of the heartbeat rows so far
    bool was_reachable{true};
    bool was_ready{false};
    instant last_tick{};
    instant tick_before_last{};
};

} // namespace caperpath::gateway

#endif
