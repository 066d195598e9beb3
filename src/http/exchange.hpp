#ifndef CAPERPATH_SRC_HTTP_EXCHANGE_HPP
#define CAPERPATH_SRC_HTTP_EXCHANGE_HPP

#include "http/held_bytes.hpp"
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

namespace caperpath::http
{

class server_client;

/// Headers with lower-case names. The values of a repeated name are joined by
/// commas unless they are equal.
using headers = std::map<std::string, std::string>;

/// One request to a backend server. Immutable value.
struct exchange_request
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string content_type;
    /// The peer may close a reused connection at any time, and then it is
    /// unknown whether the request arrived. Set it for a call that must not be
    /// retried: on a new connection, only a failed connect counts as "unsent".
    bool fresh_connection{false};

    friend bool operator==(exchange_request const&,
                           exchange_request const&) = default;
};

struct exchange_event
{
    enum class kind
    {
        head,  ///< status and headers received
        data,  ///< part of the body
        end,   ///< body complete
        failed ///< the connection broke; see `maybe_sent`
    };

    kind type{kind::failed};
    int status{};
    http::headers headers;
    std::string data;
    bool maybe_sent{true}; ///< false: provably no byte reached the peer
    std::string detail;
    /// Of a head: the connection has carried another request before. A server
    /// may respond to that one once more.
    bool on_used_connection{false};

    friend bool operator==(exchange_event const&,
                           exchange_event const&) = default;
};

/// Keeps idle connections by address. Only a connection whose exchange
/// completed may be returned: the rest of an abandoned response would be read
/// as the start of the next one. Thread safe.
class connection_pool
{
public:
    explicit connection_pool(duration connect_timeout);
    ~connection_pool();

    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    std::unique_ptr<server_client> take(std::string const& address, bool fresh);
    void give_back(std::string const& address,
                   std::unique_ptr<server_client> client);

    /// What the responses of all exchanges of this pool hold.
    held_total& held();

private:
    duration connect_timeout;
    held_total total{0};
    std::mutex mutex;
    std::map<std::string, std::vector<std::unique_ptr<server_client>>> idle;
};

/// One request and the events of its response. The request runs on a thread of
/// the pool, so that the waiting thread can abandon a silent connection at any
/// time. Call `wait` and `cancel` from one thread only.
/// @pre the pools outlive the exchange.
class exchange
{
public:
    static std::shared_ptr<exchange> start(worker_pool& workers,
                                           connection_pool& connections,
                                           std::string address,
                                           exchange_request request);

    /// Returns the next event, or nothing if none arrives within `bound`.
    /// `end` or `failed` is the last event.
    std::optional<exchange_event> wait(duration bound);

    /// Closes the connection; no further event is added. Idempotent.
    void cancel();

private:
    explicit exchange(held_total& total);
    void run(connection_pool& connections, std::string const& address,
             exchange_request const& request);
    bool push(exchange_event event);

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<exchange_event> events;
    held_bytes queued; ///< in `events`
    bool cancelled{false};
    server_client* running{nullptr}; ///< under `mutex`, for `cancel`
};

/// Returns the value of the header, or an empty string. Thread safe.
std::string header_value(headers const& all, std::string const& name);

/// True if the response may belong to the request with this id: it names the
/// request, or names none and its connection carried no other request. Thread
/// safe. @pre `head` is of the kind `head`.
bool may_belong_to(exchange_event const& head, std::string const& id);

} // namespace caperpath::http

#endif
