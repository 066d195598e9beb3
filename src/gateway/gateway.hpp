#ifndef CAPERPATH_SRC_GATEWAY_GATEWAY_HPP
#define CAPERPATH_SRC_GATEWAY_GATEWAY_HPP

#include "gateway/core.hpp"
#include "gateway/followers/table_follower.hpp"
#include "gateway/settings.hpp"
#include "gateway/worker.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace caperpath::gateway
{

/// How a configuration was read; for the log.
struct configuration_read
{
    std::size_t rows{}; ///< of the response
    store::read_cost cost{};
    duration build_time{}; ///< from its text to a value, off the event loop
                           ///< if the text is long
    /// An older configuration was in force until then.
    instant since{};
    instant read_at{}; ///< from the store
};

/// The router, which is the process `caperpath-gateway`. It serves callers,
/// backend servers and the store on one event loop and thread, so that a
/// request needs no locks and no thread switches. Only large documents are
/// parsed on another thread. Not thread safe.
class gateway_server
{
public:
    gateway_server(asio::io_context& loop, settings const& settings,
                   protocol_adapter adapter, store::async_port const& store,
                   incarnation_id incarnation, int log_descriptor,
                   std::shared_ptr<worker> background);
    ~gateway_server();

    gateway_server(gateway_server const&) = delete;
    gateway_server& operator=(gateway_server const&) = delete;

    /// Binds the listening sockets and starts to serve. Fails with
    /// `unavailable` if an address cannot be bound.
    result<void> start();

    /// Calls `run_loop`, which runs the event loop, until it returns. An
    /// exception that a handler throws is logged and ends that handler only:
    /// the requests that are open have nothing to do with it.
    void run(std::function<void()> const& run_loop);

    /// Starts a planned stop: reports not ready at once, serves requests while
    /// the balancer still sends them, then ends. Idempotent.
    void stop();

    /// Logs that the settings file has changed. The file is read at the next
    /// start only.
    void reload();

    /// Ends all requests and connections: rejects what is still open, and what
    /// lies unread in connections or has not been accepted, and closes all
    /// connections of callers and all listening sockets. Input that arrives
    /// while the process ends would be reset without a line in the log. Call
    /// after the loop has ended; runs it for a short time. @pre `stopped()`.
    void close_connections();

    /// Writes the rest of the log. Call after the loop has ended.
    void flush_log();

    /// True if a planned stop has ended: nothing is left to do, or its
    /// `exit_due` has passed. Requests may then still be open.
    bool stopped() const;

    /// The bound ports, for settings that give port 0. @pre `start` succeeded.
    std::uint16_t callers_port() const;
    std::uint16_t readiness_port() const;

private:
    result<void> listen(tcp::acceptor& acceptor, std::string const& address);
    void accept_callers();
    void accept_relayed();
    /// Accepts what is queued, then stops listening.
    void close_listeners();
    /// True if a caller waits for a response or has sent input.
    bool callers_wait() const;
    /// Listens for other routers. A router that cannot still serves callers.
    void listen_to_routers();
    /// Accepts clients of the readiness check and of the metrics.
    void accept_status_clients(tcp::acceptor& acceptor);
    /// Passes each connection that arrives at `acceptor` to `serve`.
    void accept(tcp::acceptor& acceptor,
                std::function<void(tcp::socket)> serve);
    /// Passes on up to `most` connections that wait at `acceptor`.
    boost::system::error_code
    accept_queued(tcp::acceptor& acceptor,
                  std::function<void(tcp::socket)> const& serve, int most);
    std::function<void(tcp::socket)> serve_callers();
    std::function<void(tcp::socket)> serve_routers();
    void begin_session(std::function<void(tcp::socket)> const& serve,
                       tcp::socket socket);
    void accept_after(boost::system::error_code fault,
                      std::function<void()> accept);
    asio::awaitable<void> serve_status(tcp::socket socket);
    void follow_store();
    void apply_operators_page(store::feed_page const& page, bool whole);
    void apply_evacuations(store::feed_page const& page, bool whole);
    void set_evacuated(std::set<failure_domain_id> const& evacuated,
                       instant now);
    void apply_configuration(store::feed_page const& page);
    void use_configuration(std::shared_ptr<fleet::site const> site,
                           configuration_read const& read);
    std::optional<fleet::server_entry> read_entry(store::feed_row const& row);
    void handle_listed(fleet::server_entry const& entry, bool is_new);
    void receive_datagram(std::string const& from, std::string const& bytes);
    void unlist_server(backend_server_id const& id);
    void apply_server(store::feed_row const& row);
    void replace_servers(store::feed_page const& page);
    void record_store_call(bool reachable, error const& why);
    void tick();
    void note_routers();
    void note_turn_after_events();
    /// Logs a timer run that was `late` by more than usual.
    void report_stall(duration late);
    /// Logs when the event loop falls behind, and when it has caught up.
    void report_delay();
    /// Logs services whose servers become reachable or unreachable.
    void report_reach();
    void note_versions();
    void count_cold_servers(instant now);
    /// Logs how this router uses its part of the retry limit.
    void report_retries();
    bool ready() const;
    void wake_sessions();
    void log_stop(std::string_view step);

    asio::io_context& loop;
    core shared;
    std::shared_ptr<worker> background;
    tcp::acceptor callers;
    tcp::acceptor readiness;
    tcp::acceptor metrics;
    tcp::acceptor routers;
    asio::steady_timer timer;
    std::unique_ptr<table_follower> configuration_follower;
    std::unique_ptr<table_follower> server_follower;
    instant configuration_known_at{};
    /// When the store last showed whether there is a newer one.
    instant configuration_confirmed_at{};
    int reading_configurations{}; ///< by the worker
    instant retries_reported_at{};
    instant versions_noted_at{};
    instant reach_reported_at{};
    /// Services without a direct path, with the time since then.
    std::map<service_id, instant> cut_off_since;
    std::int64_t reported_sharers{};
    std::uint64_t membership_reads{}; ///< reads that were handled
    bool was_reachable{true};
    bool was_ready{false};
    bool was_behind{false};
    bool had_cold_servers{false};
    instant last_tick{};
    instant tick_before_last{};
    /// How late the loop has run at most since just before the stop.
    duration stop_delay{};
};

} // namespace caperpath::gateway

#endif
