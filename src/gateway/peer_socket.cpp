#include "gateway/peer_socket.hpp"

#include "gateway/run_part.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <utility>

namespace caperpath::gateway
{

namespace
{

using boost::asio::ip::udp;

constexpr duration log_interval{1'000};
constexpr int highest_port = 65'535;

/// Returns no endpoint if `text` is not an IP address and port.
std::optional<udp::endpoint> endpoint_of(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    boost::system::error_code fault;
    auto const ip = boost::asio::ip::make_address(text.substr(0, colon), fault);
    auto const port = std::atoi(text.c_str() + colon + 1);
    if (fault || port < 0 || port > highest_port)
    {
        return std::nullopt;
    }
    return udp::endpoint{ip, static_cast<std::uint16_t>(port)};
}

std::string text_of(udp::endpoint const& from)
{
    return from.address().to_string() + ":" + std::to_string(from.port());
}

} // namespace

peer_socket::peer_socket(boost::asio::any_io_executor const& executor,
                         std::string const& address, decision_log& log)
    : socket{executor}, local{endpoint_of(address).value_or(udp::endpoint{})},
      log{log}
{
}

bool peer_socket::start(receiver on_datagram)
{
    this->handler = std::move(on_datagram);
    boost::system::error_code fault;
    this->socket.open(this->local.protocol(), fault);
    if (!fault)
    {
        this->socket.bind(this->local, fault);
    }
    if (!fault)
    {
        this->socket.non_blocking(true, fault);
    }
    if (fault)
    {
        this->log.write_error({error_kind::unavailable, "bind router port",
                               text_of(this->local), fault.message()});
        return false;
    }
    this->receive();
    return true;
}

void peer_socket::send(std::string const& to, std::string const& bytes)
{
    auto const endpoint = endpoint_of(to);
    if (!endpoint)
    {
        return;
    }
    boost::system::error_code fault;
    this->socket.send_to(boost::asio::buffer(bytes), *endpoint, 0, fault);
    if (fault)
    {
        this->log_unsent(to, fault.message());
    }
}

/// Logs failed sends at most once per interval: a full socket or a lost route
/// fails hundreds of sends a second.
void peer_socket::log_unsent(std::string const& to, std::string const& why)
{
    this->unsent += 1;
    auto const at = this->now.now();
    if (at - this->logged_at < log_interval)
    {
        return;
    }
    this->logged_at = at;
    this->log.write_error(
        {error_kind::unavailable, "send to router", to,
         why + ", datagrams lost so far: " + std::to_string(this->unsent)});
}

std::string peer_socket::address() const
{
    return text_of(this->socket.local_endpoint());
}

void peer_socket::receive()
{
    this->socket.async_receive_from(
        boost::asio::buffer(this->buffer), this->sender,
        [this](boost::system::error_code fault, std::size_t size)
        {
            if (fault == boost::asio::error::operation_aborted)
            {
                return;
            }
            // After a send to a closed port, the next receive reports an error.
            if (!fault)
            {
                // One that cannot be handled must not be the last one received.
                run_part(this->log, "datagram",
                         [&]
                         {
                             this->handler(
                                 text_of(this->sender),
                                 std::string{this->buffer.data(), size});
                         });
            }
            this->receive();
        });
}

} // namespace caperpath::gateway
