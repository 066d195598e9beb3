#ifndef CAPERPATH_SRC_STORE_CONNECTION_POOL_HPP
#define CAPERPATH_SRC_STORE_CONNECTION_POOL_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/store/http_port.hpp>

#include <httplib.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace caperpath::store
{

/// How far an exchange got.
enum class exchange_state
{
    unsent,  ///< no connection was made, so nothing was sent
    lost,    ///< sent in part or whole, without a complete response
    complete ///< `status` and `body` are complete
};

/// The result of one HTTP request. Immutable value.
struct exchange
{
    exchange_state state{exchange_state::unsent};
    int status{};
    std::string body;
    std::string detail; ///< why there is no response

    friend bool operator==(exchange const&, exchange const&) = default;
};

/// A pool of connections to one peer. Each concurrent exchange uses its own
/// connection; the most recently used idle ones are kept. Thread safe.
class connection_pool
{
public:
    explicit connection_pool(http_port_options options);

    /// Sends `request` at most once and waits for the response. Never throws on
    /// network errors. @pre `request.path` starts with "/".
    exchange send(httplib::Request request);

    /// Returns "IP:port" of the peer.
    std::string const& peer() const;

private:
    struct idle_connection
    {
        std::unique_ptr<httplib::Client> client;
        instant since;
    };

    std::unique_ptr<httplib::Client> take();
    void give_back(std::unique_ptr<httplib::Client> client);
    void drop_idle();
    std::unique_ptr<httplib::Client> make() const;

    http_port_options const options;
    caperpath::clock const now{caperpath::clock::monotonic()};
    std::mutex mutex;
    std::vector<idle_connection> idle;
};

} // namespace caperpath::store

#endif
