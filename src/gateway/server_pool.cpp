#include "gateway/server_pool.hpp"

#include "gateway/http_client.hpp"
#include "gateway/run_after.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Servers in the same region acknowledge within a few ms; one or two lost
/// packets add some hundred ms.
constexpr std::chrono::milliseconds server_silence_timeout{1'500};
constexpr std::size_t max_idle_per_server = 32;

bool is_reusable(connection& link)
{
    return link.end() == peer_end::open && link.input().size() == 0;
}

} // namespace

server_pool::server_pool(asio::any_io_executor executor,
                         std::function<void(bool answered)> on_result)
    : executor{std::move(executor)}, on_result{std::move(on_result)}
{
}

connection_ptr server_pool::acquire_idle(backend_server_id const& server,
                                         duration max_idle)
{
    auto const found = this->idle.find(server);
    auto const now = std::chrono::steady_clock::now();
    while (found != this->idle.end() && !found->second.empty())
    {
        auto const last = std::move(found->second.back());
        found->second.pop_back();
        // The newest is checked first: if it is too old, so are the others.
        auto const fresh = now < last.until &&
                           now - last.link->last_use() < to_chrono(max_idle);
        if (fresh && is_reusable(*last.link))
        {
            return last.link;
        }
        last.link->close();
    }
    return nullptr;
}

asio::awaitable<connect_result>
server_pool::acquire(backend_server_id const& server,
                     std::string const& address, duration max_idle,
                     duration longest)
{
    if (auto idle_connection = this->acquire_idle(server, max_idle))
    {
        co_return connect_result{idle_connection,
                                 fleet::connect_outcome::reached, false};
    }
    // Shared with the timer, whose handler may run after this function has
    // returned.
    auto const socket = std::make_shared<tcp::socket>(this->executor);
    asio::steady_timer limit{this->executor};
    limit.expires_after(to_chrono(std::min(longest, connect_timeout)));
    limit.async_wait(
        [socket](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                boost::system::error_code ignored; // the pending connect fails
                socket->close(ignored);
            }
        });
    boost::system::error_code fault;
    co_await socket->async_connect(
        endpoint_of(address), asio::redirect_error(asio::use_awaitable, fault));
    limit.cancel();
    // A refused connection also shows that the server is reachable.
    auto const timed_out = !socket->is_open();
    if (!timed_out || longest >= connect_timeout)
    {
        this->on_result(!timed_out);
    }
    if (fault || timed_out)
    {
        co_return connect_result{nullptr,
                                 timed_out ? fleet::connect_outcome::silent
                                           : fleet::connect_outcome::refused,
                                 true};
    }
    this->connections_made += 1;
    auto link = std::make_shared<connection>(std::move(*socket),
                                             server_silence_timeout);
    link->start();
    co_return connect_result{link, fleet::connect_outcome::reached, true};
}

void server_pool::release(backend_server_id const& server, connection_ptr link,
                          duration idle_timeout)
{
    link->set_waker(nullptr);
    this->on_result(true);
    auto& all = this->idle[server];
    if (all.size() >= max_idle_per_server || !is_reusable(*link))
    {
        link->close();
        return;
    }
    auto const until =
        std::chrono::steady_clock::now() + to_chrono(idle_timeout);
    all.push_back({std::move(link), until});
}

void server_pool::drop(backend_server_id const& server)
{
    auto const found = this->idle.find(server);
    if (found == this->idle.end())
    {
        return;
    }
    for (auto const& each : found->second)
    {
        each.link->close();
    }
    this->idle.erase(found);
}

void server_pool::sweep()
{
    auto const now = std::chrono::steady_clock::now();
    for (auto& [server, all] : this->idle)
    {
        std::erase_if(all,
                      [now](idle_connection const& each)
                      {
                          auto const over =
                              now >= each.until || !is_reusable(*each.link);
                          if (over)
                          {
                              each.link->close();
                          }
                          return over;
                      });
    }
}

std::uint64_t server_pool::created() const
{
    return this->connections_made;
}

} // namespace caperpath::gateway
