#ifndef CAPERPATH_SRC_GATEWAY_PEER_SOCKET_HPP
#define CAPERPATH_SRC_GATEWAY_PEER_SOCKET_HPP

#include "gateway/decision_log.hpp"

#include <caperpath/base/clock.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace caperpath::gateway
{

/// Sends and receives datagrams between routers. Datagrams may be lost,
/// delayed, duplicated or reordered. Loop thread only; outlives its calls, and
/// `log` outlives it.
class peer_socket
{
public:
    /// Called with the sender's "IP:port" and the bytes.
    using receiver =
        std::function<void(std::string const& from, std::string const& bytes)>;

    peer_socket(boost::asio::any_io_executor const& executor,
                std::string const& address, decision_log& log);

    /// Binds the address and starts to receive; call once. Returns false, with
    /// a log line, if the address cannot be bound.
    bool start(receiver handler);

    /// Sends one datagram to "IP:port"; drops it if it cannot be sent.
    void send(std::string const& to, std::string const& bytes);

    /// Returns the bound "IP:port". @pre `start` succeeded.
    std::string address() const;

private:
    void receive();
    void log_unsent(std::string const& to, std::string const& why);

    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint local;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, 65'536> buffer{};
    receiver handler;
    decision_log& log;
    caperpath::clock now{caperpath::clock::monotonic()};
    std::int64_t unsent{};
    instant logged_at{};
};

} // namespace caperpath::gateway

#endif
