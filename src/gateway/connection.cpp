#include "gateway/connection.hpp"

#include <boost/asio/buffer.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Above this, reading pauses and TCP flow control slows down the sender.
constexpr std::size_t max_unread = 262'144;
/// An empty buffer above this is freed: idle connections are many.
constexpr std::size_t max_kept_capacity = 16'384;
constexpr int probe_count = 2;

/// Connections can go silent without a reset, for example when a firewall drops
/// their state or a machine freezes; a request would then wait for its whole
/// timeout. Keep-alive probes detect an idle silent peer, the user timeout one
/// that no longer acknowledges.
void set_options(tcp::socket& socket, std::chrono::milliseconds silence_timeout)
{
    auto const handle = socket.native_handle();
    auto const set = [handle](int level, int name, int value)
    {
        // If an option cannot be set, the longer default of the kernel applies.
        static_cast<void>(
            setsockopt(handle, level, name, &value, sizeof value));
    };
    auto const seconds = std::max<int>(
        1, static_cast<int>(
               std::chrono::duration_cast<std::chrono::seconds>(silence_timeout)
                   .count()));
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set(IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    set(IPPROTO_TCP, TCP_NODELAY, 1);
}

/// True if a read without waiting failed for a reason that passes.
bool is_transient(int fault)
{
    return fault == EAGAIN || fault == EWOULDBLOCK || fault == EINTR;
}

} // namespace

connection::connection(tcp::socket socket,
                       std::chrono::milliseconds silence_timeout)
    : socket{std::move(socket)}, last_used{std::chrono::steady_clock::now()}
{
    set_options(this->socket, silence_timeout);
    this->set_silence_timeout(silence_timeout);
}

void connection::set_silence_timeout(std::chrono::milliseconds timeout)
{
    auto const value = static_cast<int>(timeout.count());
    // If it cannot be set, the timeout before applies.
    static_cast<void>(setsockopt(this->socket.native_handle(), IPPROTO_TCP,
                                 TCP_USER_TIMEOUT, &value, sizeof value));
}

bool connection::is_silent(duration least)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    auto const failed = getsockopt(this->socket.native_handle(), IPPROTO_TCP,
                                   TCP_INFO, &info, &size) != 0;
    return !failed && info.tcpi_probes + info.tcpi_retransmits >= probe_count &&
           info.tcpi_last_ack_recv >= least.ms;
}

bool connection::is_acknowledged()
{
    int size{};
    return ioctl(this->socket.native_handle(), SIOCOUTQ, &size) == 0 &&
           size == 0;
}

std::size_t connection::unacknowledged()
{
    int size{};
    auto const failed =
        ioctl(this->socket.native_handle(), SIOCOUTQ, &size) != 0;
    return this->unsent() + (failed ? 0 : static_cast<std::size_t>(size));
}

void connection::start()
{
    this->read_available();
    this->resume();
}

void connection::set_waker(waker_ptr wakeup)
{
    this->wakeup = std::move(wakeup);
}

boost::beast::flat_buffer& connection::input()
{
    return this->input_buffer;
}

void connection::shutdown_output()
{
    boost::system::error_code ignored; // fails if the peer has disconnected
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->output_is_shut = true;
}

void connection::reset_unless_shut_down()
{
    // Asio's own option would be taken back when the socket is destroyed.
    linger const immediate{1, 0};
    // If it cannot be set, the peer sees an orderly end as before.
    static_cast<void>(setsockopt(this->socket.native_handle(), SOL_SOCKET,
                                 SO_LINGER, &immediate, sizeof immediate));
}

bool connection::has_input() const
{
    return this->input_buffer.size() > 0;
}

bool connection::has_received() const
{
    return this->received;
}

bool connection::has_unread_input()
{
    char next{};
    return this->socket.is_open() &&
           recv(this->socket.native_handle(), &next, sizeof next,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

time_point connection::input_since() const
{
    return this->input_read_at;
}

std::optional<duration> connection::since_last_packet()
{
    tcp_info info{};
    socklen_t size = sizeof info;
    auto const failed = getsockopt(this->socket.native_handle(), IPPROTO_TCP,
                                   TCP_INFO, &info, &size) != 0;
    if (failed || size < offsetof(tcp_info, tcpi_last_ack_recv))
    {
        return std::nullopt;
    }
    return duration{info.tcpi_last_data_recv};
}

void connection::resume()
{
    if (this->input_buffer.size() == 0 &&
        this->input_buffer.capacity() > max_kept_capacity)
    {
        this->input_buffer.shrink_to_fit();
    }
    if (!this->reading && this->state == peer_end::open)
    {
        this->start_read();
    }
}

void connection::start_read()
{
    if (this->input_buffer.size() >= max_unread)
    {
        return;
    }
    this->reading = true;
    this->socket.async_read_some(
        asio::buffer(this->read_target),
        [self = this->shared_from_this()](boost::system::error_code fault,
                                          std::size_t size)
        {
            self->reading = false;
            if (fault == asio::error::eof)
            {
                self->handle_end_of_input();
                return;
            }
            if (fault)
            {
                self->set_end(peer_end::broken, fault);
                return;
            }
            self->append_input(size);
            self->last_used = std::chrono::steady_clock::now();
            if (size == read_size)
            {
                self->read_available();
            }
            self->resume();
            if (self->wakeup)
            {
                self->wakeup->raise();
            }
        });
}

/// Reads without waiting, so that a long request takes one turn of the event
/// loop. @pre No read is pending: it may hold earlier bytes.
void connection::read_available()
{
    auto size = static_cast<ssize_t>(read_size);
    while (size == static_cast<ssize_t>(read_size) &&
           this->input_buffer.size() < max_unread)
    {
        size = recv(this->socket.native_handle(), this->read_target.data(),
                    read_size, MSG_DONTWAIT);
        if (size > 0)
        {
            this->append_input(static_cast<std::size_t>(size));
        }
        else if (size == 0)
        {
            this->handle_end_of_input();
        }
        else if (!is_transient(errno))
        {
            this->set_end(peer_end::broken,
                          {errno, boost::system::system_category()});
        }
    }
}

/// The kernel reports a reset to one call only. If that was a write whose
/// handler has not run yet, a read finds an end that looks orderly.
void connection::handle_end_of_input()
{
    if (this->was_reset())
    {
        this->set_end(peer_end::broken, asio::error::connection_reset);
        return;
    }
    this->set_end(peer_end::finished, asio::error::eof);
}

/// Copies the received bytes from `read_target`. A pending read needs a fixed
/// target, and `input_buffer` may move its content when bytes are consumed.
void connection::append_input(std::size_t size)
{
    if (this->input_buffer.size() == 0)
    {
        this->input_read_at = std::chrono::steady_clock::now();
    }
    auto const space = this->input_buffer.prepare(size);
    asio::buffer_copy(space, asio::buffer(this->read_target), size);
    this->input_buffer.commit(size);
    this->received = true;
}

void connection::send(std::string bytes)
{
    if (this->queued.empty())
    {
        this->queued = std::move(bytes);
    }
    else
    {
        this->queued += bytes;
    }
    if (!this->writing)
    {
        this->start_write();
    }
}

void connection::start_write()
{
    if (this->queued.empty() || this->state == peer_end::broken)
    {
        return;
    }
    this->writing = true;
    this->outgoing = std::exchange(this->queued, {});
    this->written = 0;
    this->write_rest();
}

void connection::write_rest()
{
    this->socket.async_write_some(
        asio::buffer(this->outgoing) + this->written,
        [self = this->shared_from_this()](boost::system::error_code fault,
                                          std::size_t size)
        { self->handle_written(fault, size); });
}

void connection::handle_written(boost::system::error_code fault,
                                std::size_t size)
{
    this->last_used = std::chrono::steady_clock::now();
    this->written += size;
    if (!fault && this->written < this->outgoing.size())
    {
        this->write_rest();
        return;
    }
    this->writing = false;
    std::string{}.swap(this->outgoing); // frees it, unlike `clear`
    this->written = 0;
    if (fault)
    {
        this->set_end(peer_end::broken, fault);
        return;
    }
    this->start_write();
    if (!this->writing && this->wakeup)
    {
        this->wakeup->raise();
    }
}

std::size_t connection::unsent() const
{
    return this->outgoing.size() - this->written + this->queued.size();
}

peer_end connection::end() const
{
    return this->state;
}

peer_end connection::current_end()
{
    if (this->state == peer_end::open && this->ended_in_kernel())
    {
        this->set_end(peer_end::finished, asio::error::eof);
    }
    return this->state;
}

bool connection::ended_in_kernel()
{
    auto const handle = this->socket.native_handle();
    pollfd events{handle, POLLIN | POLLRDHUP, 0};
    if (poll(&events, 1, 0) <= 0)
    {
        return false;
    }
    if ((events.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0)
    {
        return true;
    }
    char next{};
    auto const size = recv(handle, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && !is_transient(errno));
}

bool connection::was_reset()
{
    if (!this->socket.is_open() || this->output_is_shut)
    {
        return false;
    }
    tcp_info info{};
    socklen_t size = sizeof info;
    // An end in order leaves our side open.
    return getsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_INFO,
                      &info, &size) == 0 &&
           info.tcpi_state == TCP_CLOSE;
}

std::string connection::end_detail() const
{
    switch (this->state)
    {
    case peer_end::open:
        return "open";
    case peer_end::finished:
        return "eof";
    case peer_end::broken:
        break;
    }
    return this->end_cause ? this->end_cause.message() : "closed";
}

void connection::set_end(peer_end how, boost::system::error_code why)
{
    auto const was_reset_since =
        this->state == peer_end::finished && how == peer_end::broken;
    if (this->state == peer_end::open || was_reset_since)
    {
        this->state = how;
        this->end_cause = why;
    }
    if (this->wakeup)
    {
        this->wakeup->raise();
    }
}

void connection::close(bool reset)
{
    if (!this->socket.is_open())
    {
        return;
    }
    boost::system::error_code ignored; // the socket is closed in any case
    if (reset)
    {
        this->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    }
    this->socket.close(ignored);
    this->state = peer_end::broken;
}

time_point connection::last_use() const
{
    return this->last_used;
}

} // namespace caperpath::gateway
