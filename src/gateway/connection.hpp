#ifndef CAPERPATH_SRC_GATEWAY_CONNECTION_HPP
#define CAPERPATH_SRC_GATEWAY_CONNECTION_HPP

#include "gateway/waker.hpp"

#include <caperpath/base/clock.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace caperpath::gateway
{

using tcp = boost::asio::ip::tcp;

/// The state of a connection: open, or how it ended.
enum class peer_end
{
    open,
    finished, ///< the peer shut down its sending side; it may still receive
    broken    ///< reset, timed out, or closed by us
};

/// A TCP connection that reads all the time: received bytes are appended to
/// `input`, and the end of the connection is noticed at once, also while no
/// input is expected. Otherwise a caller that disconnects would be noticed only
/// when a response is written to it, and its request would keep occupying a
/// server. Loop thread only; keeps itself alive while operations are pending.
class connection : public std::enable_shared_from_this<connection>
{
public:
    /// Sets the socket options. `silence_timeout` bounds how long sent bytes
    /// may stay unacknowledged, and how long an idle peer may be silent before
    /// it is probed.
    connection(tcp::socket socket, std::chrono::milliseconds silence_timeout);

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// Sets how long a peer may leave bytes or probes unacknowledged, or keep
    /// its receive window closed.
    void set_silence_timeout(std::chrono::milliseconds timeout);

    /// True if the peer has left probes or retransmissions unanswered and sent
    /// nothing for `least`. A peer that keeps its receive window closed is not
    /// silent.
    bool is_silent(duration least);

    /// True if the peer has acknowledged all bytes sent.
    bool is_acknowledged();

    /// Bytes that the peer has not acknowledged yet, as far as the kernel
    /// tells, with those that it does not have yet.
    std::size_t unacknowledged();

    /// Reads what has arrived and starts to read on. Call once.
    void start();

    /// Sets the waker to raise on input, on the end of the connection and when
    /// `unsent` reaches 0.
    void set_waker(waker_ptr wakeup);

    /// The received bytes. Call `resume` after consuming some.
    boost::beast::flat_buffer& input();

    /// Shuts down the sending side; the peer may still send. Unsent bytes are
    /// lost.
    void shutdown_output();

    /// Makes any end of the connection a reset, also that of this process,
    /// unless `shutdown_output` was called and the peer has closed it since.
    /// For bytes whose end the peer takes from the connection.
    void reset_unless_shut_down();

    /// True if unconsumed input is left.
    bool has_input() const;

    /// True if any input was ever received.
    bool has_received() const;

    /// True if the kernel holds bytes that were not read yet: closing would
    /// reset the connection.
    bool has_unread_input();

    /// When the oldest unconsumed input was read. @pre `has_input()`.
    time_point input_since() const;

    /// Time since the kernel received the latest packet with data; empty if it
    /// cannot tell.
    std::optional<duration> since_last_packet();

    /// Continues to read if reading was paused because of too much unconsumed
    /// input.
    void resume();

    /// Queues `bytes` behind those sent before.
    void send(std::string bytes);

    /// Number of bytes that were not handed to the kernel yet.
    std::size_t unsent() const;

    /// As of the last completed read or write. A `finished` connection becomes
    /// `broken` if a write fails.
    peer_end end() const;

    /// How the connection ended, for logs: `eof`, `closed` by this process, or
    /// the system's error. "open" if it has not ended.
    std::string end_detail() const;

    /// Asks the kernel, which may know of an end that the event loop has not
    /// handled yet. Does not tell a reset from an orderly end.
    peer_end current_end();

    /// True if the peer has reset the connection, also if it had shut down its
    /// sending side before, or if another call got the kernel's report.
    bool was_reset();

    /// Closes the connection now and ends pending operations. With `reset` the
    /// peer sees an abort instead of an orderly end. Idempotent.
    void close(bool reset = false);

    /// When a byte was last received or sent.
    time_point last_use() const;

private:
    /// Stream events have some hundred bytes, requests some thousand.
    static constexpr std::size_t read_size = 4'096;

    void start_read();
    void read_available();
    bool ended_in_kernel();
    void start_write();
    void write_rest();
    void handle_written(boost::system::error_code fault, std::size_t size);
    void append_input(std::size_t size);
    void handle_end_of_input();
    void set_end(peer_end how, boost::system::error_code why);

    tcp::socket socket;
    boost::beast::flat_buffer input_buffer;
    std::array<char, read_size> read_target; ///< target of the pending read
    waker_ptr wakeup;
    std::string outgoing;  ///< being handed to the kernel
    std::size_t written{}; ///< of `outgoing`
    std::string queued;    ///< to be handed over after `outgoing`
    peer_end state{peer_end::open};
    boost::system::error_code end_cause; ///< if `state` is `broken`
    bool reading{false};
    bool writing{false};
    bool output_is_shut{false};
    bool received{false};
    time_point last_used;
    time_point input_read_at; ///< of the oldest unconsumed input
};

using connection_ptr = std::shared_ptr<connection>;

} // namespace caperpath::gateway

#endif
