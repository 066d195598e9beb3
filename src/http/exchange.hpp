#ifndef CAPERPATH_SRC_HTTP_EXCHANGE_HPP
#define CAPERPATH_SRC_HTTP_EXCHANGE_HPP

#include "http/worker_pool.hpp"

#include <caperpath/base/clock.hpp>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace httplib
{
class Client;
}

namespace caperpath::http
{

/// Headers with lower-case names; a repeated name keeps its last value.
using headers = std::map<std::string, std::string>;

/// One request to a backend server. Immutable value.
struct exchange_request
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string content_type;
    /// A reused connection may be closed by the peer at any moment, and then
    /// nobody knows whether the request arrived. A call that may not be
    /// repeated asks for a fresh one, where only a failed connect is "unsent".
    bool fresh_connection{false};

    friend bool operator==(exchange_request const&,
                           exchange_request const&) = default;
};

struct exchange_event
{
    enum class kind
    {
        head,  ///< status and headers came
        data,  ///< a piece of the body
        end,   ///< the whole body came
        failed ///< the connection broke; see `sent`
    };

    kind what{kind::failed};
    int status{};
    http::headers headers;
    std::string data;
    bool sent{true}; ///< false: provably no byte reached the peer
    std::string detail;

    friend bool operator==(exchange_event const&,
                           exchange_event const&) = default;
};

/// Keeps idle connections by address. A connection comes back only when its
/// exchange ended cleanly: the rest of an answer that was given up on would
/// otherwise be read as the start of somebody else's. Thread safe.
class connection_pool
{
public:
    explicit connection_pool(duration connect_timeout);
    ~connection_pool();

    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    std::unique_ptr<httplib::Client> take(std::string const& address,
                                          bool fresh);
    void give_back(std::string const& address,
                   std::unique_ptr<httplib::Client> client);

private:
    duration connect_timeout;
    std::mutex mutex;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle;
};

/// One request and the events of its answer. The request runs on a thread of
/// the pool, so that the one who waits can give up on a silent connection at
/// any moment. `wait` and `cancel` are for one thread; the pools outlive it.
class exchange
{
public:
    static std::shared_ptr<exchange> start(worker_pool& workers,
                                           connection_pool& connections,
                                           std::string address,
                                           exchange_request request);

    /// The next event, or nothing after `bound` without one. After `end` or
    /// `failed` nothing comes any more.
    std::optional<exchange_event> wait(duration bound);

    /// Closes the connection; no event is given any more. Idempotent.
    void cancel();

private:
    exchange() = default;
    void run(connection_pool& connections, std::string const& address,
             exchange_request const& request);
    bool push(exchange_event event);

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<exchange_event> events;
    std::size_t queued_bytes{0};
    bool cancelled{false};
    httplib::Client* running{nullptr}; ///< under `mutex`, for `cancel`
};

/// Thread safe. The header's value or empty.
std::string header_value(headers const& all, std::string const& name);

} // namespace caperpath::http

#endif
