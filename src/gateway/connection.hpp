#ifndef CAPERPATH_SRC_GATEWAY_CONNECTION_HPP
#define CAPERPATH_SRC_GATEWAY_CONNECTION_HPP

#include "gateway/waker.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

namespace caperpath::gateway
{

using tcp = boost::asio::ip::tcp;

/// How a connection's other side ended it.
enum class peer_end
{
    open,
    finished, ///< it closed its side in order
    broken    ///< reset, timed out, or closed by us
};

/// A TCP connection that always reads: what arrives is put into `input`, and an
/// end is noticed when it comes, also while nothing is expected. Without that a
/// caller that has left is noticed only when an answer is written to it, and
/// its request keeps a place at a server. Loop thread only; it keeps itself
/// alive while operations are open.
class connection : public std::enable_shared_from_this<connection>
{
public:
    /// Sets the socket options; `silence` bounds how long sent bytes may stay
    /// without an acknowledgement, and how long a silent peer is believed in.
    connection(tcp::socket socket, std::chrono::milliseconds silence);

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// Begins to read. Call once.
    void start();

    /// Who is woken by input, by an end and when `unsent` reaches 0.
    void notify(waker_ptr sleeper);

    /// Bytes that have arrived; consume what was used, then call `resume`.
    boost::beast::flat_buffer& input();

    /// Tells the other side that no more comes; it may still send. What is
    /// unsent is lost.
    void finish_sending();

    /// True when something of the input is left.
    bool has_input() const;

    /// Reads on if it had stopped because much was left unread.
    void resume();

    /// Sends `bytes` after those that were sent before.
    void send(std::string bytes);

    /// Bytes that the kernel has not taken yet.
    std::size_t unsent() const;

    peer_end end() const;

    /// Closes it now; open operations end. With `reset` the other side sees
    /// that the exchange was broken off and not that it ended. Idempotent.
    void close(bool reset = false);

    /// When the last byte came or went.
    time_point last_use() const;

private:
    /// An event of a stream has some hundred bytes, a request some thousand.
    static constexpr std::size_t read_size = 4'096;

    void read_on();
    void write_on();
    void write_rest();
    void wrote(boost::system::error_code fault, std::size_t size);
    void take_arrived(std::size_t size);
    void ended(peer_end how);

    tcp::socket socket;
    boost::beast::flat_buffer arrived;
    std::array<char, read_size> scratch; ///< where the kernel puts bytes
    waker_ptr sleeper;
    std::string outgoing;  ///< handed to the kernel now
    std::size_t written{}; ///< of `outgoing`
    std::string queued;    ///< to be handed over next
    peer_end state{peer_end::open};
    bool reading{false};
    bool writing{false};
    time_point used;
};

using connection_ptr = std::shared_ptr<connection>;

} // namespace caperpath::gateway

#endif
