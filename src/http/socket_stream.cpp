#include "http/socket_stream.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace caperpath::http
{

namespace
{

bool wait_for(socket_t socket, short event, duration bound)
{
    pollfd entry{socket, event, 0};
    int ready = 0;
    do
    {
        ready = poll(&entry, 1, static_cast<int>(bound.ms));
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

void describe(sockaddr_in const& address, std::string& ip, int& port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

socket_stream::socket_stream(socket_t socket, duration read_timeout,
                             duration write_timeout)
    : handle{socket}, read_timeout{read_timeout}, write_timeout{write_timeout}
{
}

bool socket_stream::has_buffered() const
{
    return this->begin < this->end;
}

void socket_stream::record_message(bool on)
{
    this->recording = on;
    this->recorded.clear();
}

std::string const& socket_stream::message() const
{
    return this->recorded;
}

bool socket_stream::is_readable() const
{
    return this->has_buffered() ||
           wait_for(this->handle, POLLIN, this->read_timeout);
}

bool socket_stream::is_writable() const
{
    return wait_for(this->handle, POLLOUT, this->write_timeout);
}

ssize_t socket_stream::read(char* data, std::size_t size)
{
    if (!this->has_buffered())
    {
        if (!this->is_readable())
        {
            return -1;
        }
        auto const got =
            recv(this->handle, this->buffer.data(), this->buffer.size(), 0);
        if (got <= 0)
        {
            return got;
        }
        this->begin = 0;
        this->end = static_cast<std::size_t>(got);
    }
    auto const count = std::min(size, this->end - this->begin);
    std::memcpy(data, this->buffer.data() + this->begin, count);
    this->begin += count;
    if (this->recording)
    {
        this->recorded.append(data, count);
    }
    return static_cast<ssize_t>(count);
}

ssize_t socket_stream::write(char const* data, std::size_t size)
{
    if (!this->is_writable())
    {
        return -1;
    }
    return send(this->handle, data, size, MSG_NOSIGNAL);
}

void socket_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getpeername(this->handle, reinterpret_cast<sockaddr*>(&address), &length);
    describe(address, ip, port);
}

void socket_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(this->handle, reinterpret_cast<sockaddr*>(&address), &length);
    describe(address, ip, port);
}

socket_t socket_stream::socket() const
{
    return this->handle;
}

bool wait_readable(socket_t socket, duration bound)
{
    return wait_for(socket, POLLIN, bound);
}

} // namespace caperpath::http
