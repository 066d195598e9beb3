#ifndef CAPERPATH_SRC_GATEWAY_REQUESTS_STREAM_VERSION_EXCHANGE_HPP
#define CAPERPATH_SRC_GATEWAY_REQUESTS_STREAM_VERSION_EXCHANGE_HPP

#include "gateway/decision_log.hpp"
#include "gateway/requests/stream_packet.hpp"
#include "gateway/requests/stream_rows.hpp"
#include "gateway/waker.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/server_table.hpp>
#include <caperpath/fleet/stream_version.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// Keeps the versions of recent streams at several routers and in the store, so
/// that a caller can resume a stream at any router, also after all of them were
/// killed. While a service has had only one version, nothing is sent or
/// written. Loop thread only; must outlive its calls, and `log` must outlive
/// it.
class stream_version_exchange
{
public:
    using sender =
        std::function<void(std::string const& to, std::string const& bytes)>;

    stream_version_exchange(boost::asio::any_io_executor const& executor,
                            sender send, store::async_port port, std::string vm,
                            std::int64_t writes_per_s, decision_log& log,
                            caperpath::clock now = clock::monotonic());

    /// Reads what the store knows; call once.
    void start();

    /// True if that was read.
    bool has_read_rows() const;

    /// The addresses of the other routers.
    void set_routers(std::vector<std::string> addresses);

    /// Records the versions of all servers and confirms them; call regularly
    /// and after a server was listed.
    void note_servers(fleet::server_table& table);

    /// Records a server that was listed.
    void note_server(fleet::server_entry const& entry);

    /// Records that a stream of this router began or went on at a server.
    void note_stream(fleet::stream_key stream, service_id const& service,
                     fleet::stream_source const& source);

    /// Records that a request for the stream is sent to a server. Returns true
    /// if it may be sent again only to its version.
    bool note_send(fleet::stream_key stream, service_id const& service,
                   fleet::stream_source const& source, instant deadline);

    /// Takes that back, as the request did not run. Returns false if it may
    /// still be sent only to the same version.
    bool retract(fleet::stream_key stream);

    /// Records that the whole stream was sent to its caller.
    void end(fleet::stream_key stream);

    /// Records that the version of the stream is not certain any more.
    void invalidate(fleet::stream_key stream, instant deadline);

    /// The version at which the stream must go on; empty if neither a router
    /// nor the store knows it. Takes at most `longest`.
    boost::asio::awaitable<std::optional<std::string>>
    find(fleet::stream_key stream, service_id service, duration longest);

    /// Handles a datagram of another router.
    void receive(std::string const& from, std::string const& bytes);

private:
    struct open_query
    {
        waker_ptr wakeup;
        std::vector<fleet::stream_report> reports;
        std::size_t asked{};           ///< other routers
        std::optional<bool> rows_read; ///< empty while they are being read
    };

    fleet::stream_report report_of(fleet::stream_key stream,
                                   service_id const& service) const;
    bool is_certain(fleet::stream_source const& source) const;
    void keep_own_elsewhere();
    void keep_in_store(service_id const& service);
    std::optional<std::string> conclude(open_query const& query,
                                        fleet::stream_key stream,
                                        service_id const& service) const;
    void keep_elsewhere(fleet::stream_key stream,
                        fleet::stream_source const& source);
    void send_notes();

    boost::asio::any_io_executor executor;
    boost::asio::steady_timer timer;
    sender send;
    decision_log& log;
    std::vector<std::string> routers;
    fleet::version_history history;
    fleet::stream_versions known;
    fleet::stream_versions own; ///< streams that this router served
    stream_rows rows;
    /// By router; sent together after a short time.
    std::map<std::string, fleet::streams_by_source> unsent;
    std::map<std::uint64_t, std::shared_ptr<open_query>> queries;
    std::uint64_t last_query{};
    caperpath::clock now;
};

} // namespace caperpath::gateway

#endif
