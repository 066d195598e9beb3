#ifndef CAPERPATH_STORE_HTTP_PORT_HPP
#define CAPERPATH_STORE_HTTP_PORT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/store/table.hpp>

#include <cstddef>
#include <string>

namespace caperpath::store
{

/// How to reach the platform. Immutable value.
struct http_port_options
{
    std::string address; ///< "IP:port" with a numeric IPv4 address
    duration connect_timeout{1'000};
    duration read_timeout{5'000}; ///< bounds a whole exchange once connected
    std::size_t max_idle_connections{8};
    /// A connection that was idle for longer is closed instead of used: the
    /// platform may be about to close it, or something on the way may have
    /// forgotten it.
    duration max_idle{2'000};

    friend bool operator==(http_port_options const&,
                           http_port_options const&) = default;
};

/// A port that talks HTTP to the platform (see wire.hpp). Its functions are
/// thread safe and may outlive each other; concurrent calls use a connection
/// each. A call is sent at most once and never repeated: a write that could not
/// be connected, or that the platform itself answered as without effect, is
/// `refused`; one that may have arrived and got no whole answer is `unknown`.
/// Ignores SIGPIPE for the whole process. @pre `is_address(options.address)`.
port make_http_port(http_port_options const& options);

} // namespace caperpath::store

#endif
