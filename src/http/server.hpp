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

/// Bounds that keep one sender from taking the others down.
struct server_options
{
    std::size_t max_threads{1'200}; ///< one a connection; more connections wait
    std::size_t max_body_bytes{4 * 1024 * 1024};
    duration read_timeout{10'000}; ///< a sender slower than this is dropped
    duration write_timeout{10'000};
    duration keep_alive{5'000};

    friend bool operator==(server_options const&,
                           server_options const&) = default;
};

/// cpp-httplib's server with a listen backlog that a burst of callers fits in
/// and one thread a connection, made when needed. Register handlers first,
/// then `start`. The handlers are called from many threads at once.
class server : public httplib::Server
{
public:
    explicit server(server_options options = {});
    ~server() override;

    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Binds "IP:port" (port 0: any free one). Returns the port, or -1 when
    /// the address cannot be bound. Callers wait until `serve`.
    int bind(std::string const& address);

    /// Serves on a thread of its own. @pre `bind` gave a port
    void serve();

    /// `bind`, then `serve` if that gave a port.
    int start(std::string const& address);

    /// Accepts what is established and no more, waits for the running handlers
    /// and joins. Idempotent.
    void finish();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool next_request(socket_t socket) const;
    void end_accepting() const;

    server_options options;
    std::thread acceptor;
    std::atomic<bool> finishing{false};
};

/// Sets a whole body. cpp-httplib would compress JSON for any caller that
/// accepts it, while the others wait; a body from a provider it leaves
/// alone. Thread safe.
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
