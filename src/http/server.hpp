#ifndef CAPERPATH_SRC_HTTP_SERVER_HPP
#define CAPERPATH_SRC_HTTP_SERVER_HPP

#include <caperpath/base/clock.hpp>

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace caperpath::http
{

/// Limits that keep one sender from blocking the others.
struct server_options
{
    std::size_t max_threads{1'200}; ///< one per connection; further ones wait
    std::size_t max_body_bytes{4 * 1024 * 1024};
    duration read_timeout{10'000}; ///< a slower sender is disconnected
    duration write_timeout{10'000};
    duration keep_alive{5'000};

    friend bool operator==(server_options const&,
                           server_options const&) = default;
};

/// cpp-httplib's server with a listen backlog large enough for a burst of
/// callers and one thread per connection, created on demand. Register handlers
/// before `start`. Handlers are called from many threads concurrently.
class server : public httplib::Server
{
public:
    explicit server(server_options options = {});
    ~server() override;

    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Binds "IP:port" (port 0: any free one). Returns the port, or -1 if the
    /// address cannot be bound. Connections wait in the backlog until `serve`.
    int bind(std::string const& address);

    /// Serves on a separate thread. @pre `bind` returned a port.
    void serve();

    /// Calls `bind`, then `serve` if `bind` returned a port.
    int start(std::string const& address);

    /// Accepts the connections already established but no new ones, waits for
    /// the running handlers and joins the thread. Idempotent.
    void finish();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool next_request(socket_t socket) const;
    void end_accepting() const;

    server_options options;
    std::thread acceptor;
    std::atomic<bool> finishing{false};
};

/// Sets a complete body through a content provider, which cpp-httplib does not
/// compress. It would otherwise compress JSON for any caller that accepts it,
/// while other callers wait. Thread safe.
void set_body(httplib::Response& response, std::string body,
              std::string const& content_type);

/// Host and port of a checked "IP:port".
struct endpoint
{
    std::string host;
    int port{};

    friend bool operator==(endpoint const&, endpoint const&) = default;
};

/// Thread safe. @pre `caperpath::config::is_address(address)`, or port 0.
endpoint parse_endpoint(std::string const& address);

} // namespace caperpath::http

#endif
