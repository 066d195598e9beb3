#ifndef CAPERPATH_STORE_HTTP_PORT_HPP
#define CAPERPATH_STORE_HTTP_PORT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/store/table.hpp>

#include <cstddef>
#include <string>

namespace caperpath::store
{

/// How to connect to the platform. Immutable value.
struct http_port_options
{
    std::string address; ///< "IP:port" with a numeric IPv4 address
    duration connect_timeout{1'000};
    duration read_timeout{5'000}; ///< bounds a whole exchange once connected
    std::size_t max_idle_connections{8};
    /// A connection that was idle for longer is closed instead of used: the
    /// platform may be about to close it, or a device on the path may have
    /// dropped its state.
    duration max_idle{2'000};

    friend bool operator==(http_port_options const&,
                           http_port_options const&) = default;
};

/// Returns a port that uses HTTP to the platform (see wire.hpp). Its functions
/// are thread safe and may outlive each other; each concurrent call uses its
/// own connection. A call is sent at most once and never retried. A write is
/// `refused` if no connection was made or if the platform itself responded that
/// it had no effect; it is `unknown` if it may have arrived and no complete
/// response came. Ignores SIGPIPE for the whole process. @pre
/// `is_address(options.address)`.
port make_http_port(http_port_options const& options);

} // namespace caperpath::store

#endif
