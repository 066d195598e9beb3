#include "http/server_client.hpp"

#include "http/socket_stream.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace caperpath::http
{

namespace
{

duration to_duration(time_t seconds, time_t microseconds)
{
    constexpr std::int64_t thousand = 1'000;
    return {seconds * thousand + microseconds / thousand};
}

/// True if the peer has ended the connection and does not have all that was
/// sent. @pre the end of the input was read.
bool was_cut(socket_t socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    int unacknowledged = 0;
    bool const was_reset =
        getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
        info.tcpi_state == TCP_CLOSE;
    return was_reset || (ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 &&
                         unacknowledged > 0);
}

/// A connection whose input breaks off once it exceeds the limits.
class limited_stream : public socket_stream
{
public:
    limited_stream(socket_t socket, duration read_timeout,
                   duration write_timeout, response_limits const& limits,
                   bool const& in_head)
        : socket_stream{socket, read_timeout, write_timeout}, limits{limits},
          in_head{in_head}, began{this->time.now()}
    {
    }

    ssize_t read(char* data, std::size_t size) override
    {
        if (this->exceeds_limits())
        {
            return -1;
        }
        auto const got = socket_stream::read(data, size);
        if (got == 0 && was_cut(this->socket()))
        {
            return -1;
        }
        if (got > 0)
        {
            this->total += static_cast<std::size_t>(got);
            // The library reads lines, and only them, byte by byte.
            bool const in_line = size == 1 && *data != '\n';
            this->line = in_line ? this->line + 1 : 0;
        }
        return got;
    }

private:
    bool exceeds_limits() const
    {
        return this->total >= this->limits.total_bytes ||
               this->line >= this->limits.line_bytes ||
               (this->in_head && this->total >= this->limits.head_bytes) ||
               (this->limits.time &&
                this->time.now() - this->began >= *this->limits.time);
    }

    response_limits limits;
    bool const& in_head;
    clock time{clock::monotonic()};
    instant began;
    std::size_t total{0};
    std::size_t line{0}; ///< bytes read of the current line
};

} // namespace

server_client::server_client(endpoint const& where,
                             response_limits const& limits)
    : ClientImpl{where.host, where.port}, limits{limits}
{
    // A small response could unpack to one of any size.
    this->set_decompress(false);
}

void server_client::end_head()
{
    this->in_head = false;
}

bool server_client::on_used_connection() const
{
    return this->requests > 1;
}

bool server_client::is_reusable() const
{
    return this->is_socket_open() != 0 && !this->has_unread &&
           !wait_readable(this->socket(), duration{0});
}

bool server_client::create_and_connect_socket(Socket& socket,
                                              httplib::Error& error)
{
    this->requests = 0;
    return ClientImpl::create_and_connect_socket(socket, error);
}

bool server_client::process_socket(
    Socket const& socket, std::function<bool(httplib::Stream&)> callback)
{
    this->requests += 1;
    this->in_head = true;
    limited_stream stream{
        socket.sock,
        to_duration(this->read_timeout_sec_, this->read_timeout_usec_),
        to_duration(this->write_timeout_sec_, this->write_timeout_usec_),
        this->limits, this->in_head};
    bool const done = callback(stream);
    this->has_unread = stream.has_buffered();
    return done;
}

} // namespace caperpath::http
