#ifndef CAPERPATH_SRC_GATEWAY_RELAYS_RELAY_CLIENT_HPP
#define CAPERPATH_SRC_GATEWAY_RELAYS_RELAY_CLIENT_HPP

#include "gateway/connection.hpp"
#include "gateway/decision_log.hpp"
#include "gateway/relays/relay_message.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/relay_table.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// What the asked routers said of a server.
struct relayed_connection
{
    connection_ptr link; ///< to the server; null if no router reached it
    std::string relay;   ///< address of the router that relays
    /// How a router whose other paths work failed to reach the server.
    std::optional<relay_outcome> server_failure;
    bool any_asked{false};

    /// Keeps the use of the relay counted.
    std::shared_ptr<void> use;
};

/// Asks other routers for connections to backend servers. Loop thread only;
/// outlives its calls, and `log` outlives it.
class relay_client
{
public:
    /// `self` is this router's own address for messages.
    relay_client(asio::any_io_executor const& executor, std::string self,
                 decision_log& log);

    /// Sets the addresses of the live routers; `self` is left out.
    void set_routers(std::vector<std::string> const& addresses);

    /// True if other routers are known, or were recently.
    bool has_relays() const;

    /// Asks one router after the other, until one reaches the server or one
    /// whose other paths work does not, for at most `relay_limit`. All
    /// arguments must outlive the call.
    asio::awaitable<relayed_connection> connect(relay_request const& request,
                                                service_id const& service);

private:
    struct reply
    {
        connection_ptr link;
        std::optional<relay_reply> message;
    };

    asio::awaitable<reply> ask(std::string const& address,
                               relay_request const& request, instant until);
    asio::awaitable<std::optional<relay_reply>> read_reply(connection& link,
                                                           instant until);
    std::shared_ptr<void> count_use(std::string const& address);
    void avoid(std::string const& address, service_id const& service,
               std::optional<relay_reply> const& why);

    asio::any_io_executor executor;
    std::string self;
    decision_log& log;
    /// Shared with the uses, which may outlive this object.
    std::shared_ptr<fleet::relay_table> table{
        std::make_shared<fleet::relay_table>()};
    caperpath::clock now{caperpath::clock::monotonic()};
};

inline constexpr duration relay_limit{700};

} // namespace caperpath::gateway

#endif
