#ifndef CAPERPATH_SRC_HTTP_SOCKET_STREAM_HPP
#define CAPERPATH_SRC_HTTP_SOCKET_STREAM_HPP

#include <caperpath/base/clock.hpp>

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

namespace caperpath::http
{

/// A caller's connection as cpp-httplib reads and writes it. The library's own
/// takes a caller that has closed only its sending side for one that has left:
/// the work is done and billed, and the answer thrown away. Here a caller has
/// left when a write fails. Used by one thread.
class socket_stream : public httplib::Stream
{
public:
    /// @pre `socket` is open and outlives the stream
    socket_stream(socket_t socket, duration read_timeout,
                  duration write_timeout);

    /// True when bytes have been read from the socket and not taken yet: the
    /// start of a request that came together with the one before it.
    bool has_buffered() const;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* data, std::size_t size) override;
    ssize_t write(char const* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override;

private:
    static constexpr std::size_t buffer_size = 4'096;

    socket_t handle;
    duration read_timeout;
    duration write_timeout;
    std::array<char, buffer_size> buffer{};
    std::size_t begin{0}; ///< of what is buffered
    std::size_t end{0};
};

/// True once `socket` can be read, or its end is there; false after `bound`.
/// Thread safe.
bool wait_readable(socket_t socket, duration bound);

} // namespace caperpath::http

#endif
