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
/// stream treats a caller that closed only its sending side as disconnected:
/// the work is done and billed, and the response is discarded. Here a caller
/// counts as disconnected when a write fails. Not thread safe.
class socket_stream : public httplib::Stream
{
public:
    /// @pre `socket` is open and outlives the stream.
    socket_stream(socket_t socket, duration read_timeout,
                  duration write_timeout);

    /// Returns true if bytes read from the socket have not been consumed: the
    /// start of a request that arrived together with the previous one.
    bool has_buffered() const;

    /// Begins to record the bytes that are consumed, or stops it and forgets
    /// them.
    void record_message(bool on);

    /// The bytes consumed since the recording began.
    std::string const& message() const;

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
    std::size_t begin{0}; ///< start of the unconsumed bytes
    std::size_t end{0};
    bool recording{false};
    std::string recorded;
};

/// Returns true once `socket` is readable or at its end; false after `bound`.
/// Thread safe.
bool wait_readable(socket_t socket, duration bound);

} // namespace caperpath::http

#endif
