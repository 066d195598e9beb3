#ifndef CAPERPATH_SRC_STORE_EXCHANGE_HPP
#define CAPERPATH_SRC_STORE_EXCHANGE_HPP

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
    unsent,  ///< no connection was made, so nothing can have arrived
    lost,    ///< sent in part or whole, and no whole answer came back
    answered ///< `status` and `body` are whole
};

/// What came of one HTTP request. Immutable value.
struct exchange
{
    exchange_state state{exchange_state::unsent};
    int status{};
    std::string body;
    std::string detail; ///< why there is no answer

    friend bool operator==(exchange const&, exchange const&) = default;
};

/// Connections to one peer: as many as there are exchanges at once, and the
/// last used idle ones are kept. Thread safe.
class connection_pool
{
public:
    explicit connection_pool(http_port_options options);

    /// Sends `request` at most once and waits for its answer. Never throws for
    /// a fault of the network. @pre `request.path` starts with "/".
    exchange send(httplib::Request request);

    /// "IP:port" of the other side.
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
