#ifndef CAPERPATH_SRC_HTTP_SERVER_CLIENT_HPP
#define CAPERPATH_SRC_HTTP_SERVER_CLIENT_HPP

#include "http/server.hpp"

#include <caperpath/base/clock.hpp>

#include <httplib.h>

#include <cstddef>
#include <functional>
#include <limits>
#include <optional>

namespace caperpath::http
{

/// What one response may cost. Immutable value.
struct response_limits
{
    std::size_t head_bytes{64 * 1024}; ///< with interim responses
    std::size_t line_bytes{16 * 1024}; ///< in the body, such as a chunk's size
    std::size_t total_bytes{std::numeric_limits<std::size_t>::max()};
    std::optional<duration> time; ///< from the start of the request

    friend bool operator==(response_limits const&,
                           response_limits const&) = default;
};

/// cpp-httplib's client for servers that may be faulty. The library reads
/// heads and lines of any length, takes a reset behind the end of the input
/// for an orderly end, and reuses connections with unread bytes. Not thread
/// safe, except `stop`.
class server_client : public httplib::ClientImpl
{
public:
    /// @pre the limits are above zero.
    server_client(endpoint const& where, response_limits const& limits);

    /// The head of the final response was read: `head_bytes` does not limit
    /// what follows. @pre called while a request is sent, on its thread.
    void end_head();

    /// True if the connection has carried another request before the last one.
    bool on_used_connection() const;

    /// True if the open connection can carry another request: there is nothing
    /// to read from it. @pre no request is being sent.
    bool is_reusable() const;

private:
    bool
    process_socket(Socket const& socket,
                   std::function<bool(httplib::Stream&)> callback) override;
    bool create_and_connect_socket(Socket& socket,
                                   httplib::Error& error) override;

    response_limits limits;
    std::size_t requests{0}; ///< on the open connection
    bool in_head{true};
    bool has_unread{false};
};

} // namespace caperpath::http

#endif
