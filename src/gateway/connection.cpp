#include "gateway/connection.hpp"

#include <boost/asio/buffer.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// A sender that is faster than the other side is held back by TCP from here.
constexpr std::size_t most_unread = 262'144;
constexpr int probe_count = 2;

/// Open connections can go silent for good without a reset: a firewall or a
/// frozen machine in between forgets them. Without a bound a request on one
/// waits for its whole timeout. The kernel's probes find an idle silent peer,
/// the user timeout one that no longer acknowledges.
void bound_silence(tcp::socket& socket, std::chrono::milliseconds silence)
{
    auto const handle = socket.native_handle();
    auto const set = [handle](int level, int name, int value)
    {
        // An option that cannot be set leaves the kernel's longer default.
        static_cast<void>(
            setsockopt(handle, level, name, &value, sizeof value));
    };
    auto const seconds = std::max<int>(
        1,
        static_cast<int>(
            std::chrono::duration_cast<std::chrono::seconds>(silence).count()));
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set(IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(silence.count()));
    set(IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace

connection::connection(tcp::socket socket, std::chrono::milliseconds silence)
    : socket{std::move(socket)}, used{std::chrono::steady_clock::now()}
{
    bound_silence(this->socket, silence);
}

void connection::start()
{
    this->read_on();
}

void connection::notify(waker_ptr sleeper)
{
    this->sleeper = std::move(sleeper);
}

boost::beast::flat_buffer& connection::input()
{
    return this->arrived;
}

void connection::finish_sending()
{
    boost::system::error_code ignored; // the other side has gone then
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

bool connection::has_input() const
{
    return this->arrived.size() > 0;
}

void connection::resume()
{
    if (!this->reading && this->state == peer_end::open)
    {
        this->read_on();
    }
}

void connection::read_on()
{
    if (this->arrived.size() >= most_unread)
    {
        return;
    }
    this->reading = true;
    this->socket.async_read_some(
        asio::buffer(this->scratch),
        [self = this->shared_from_this()](boost::system::error_code fault,
                                          std::size_t size)
        {
            self->reading = false;
            if (fault)
            {
                self->ended(fault == asio::error::eof ? peer_end::finished
                                                      : peer_end::broken);
                return;
            }
            self->take_arrived(size);
            self->used = std::chrono::steady_clock::now();
            if (self->state == peer_end::open)
            {
                self->read_on();
            }
            if (self->sleeper)
            {
                self->sleeper->raise();
            }
        });
}

/// The buffer moves its bytes when some are consumed, so the kernel must not
/// write into it while a read is open.
void connection::take_arrived(std::size_t size)
{
    auto const space = this->arrived.prepare(size);
    asio::buffer_copy(space, asio::buffer(this->scratch), size);
    this->arrived.commit(size);
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
        this->write_on();
    }
}

void connection::write_on()
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
        { self->wrote(fault, size); });
}

void connection::wrote(boost::system::error_code fault, std::size_t size)
{
    this->used = std::chrono::steady_clock::now();
    this->written += size;
    if (!fault && this->written < this->outgoing.size())
    {
        this->write_rest();
        return;
    }
    this->writing = false;
    this->outgoing.clear();
    this->written = 0;
    if (fault)
    {
        this->ended(peer_end::broken);
        return;
    }
    this->write_on();
    if (!this->writing && this->sleeper)
    {
        this->sleeper->raise();
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

void connection::ended(peer_end how)
{
    if (this->state == peer_end::open)
    {
        this->state = how;
    }
    if (this->sleeper)
    {
        this->sleeper->raise();
    }
}

void connection::close(bool reset)
{
    if (!this->socket.is_open())
    {
        return;
    }
    boost::system::error_code ignored; // it is closed either way
    if (reset)
    {
        this->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    }
    this->socket.close(ignored);
    this->state = peer_end::broken;
}

time_point connection::last_use() const
{
    return this->used;
}

} // namespace caperpath::gateway
