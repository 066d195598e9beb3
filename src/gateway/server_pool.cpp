#include "gateway/server_pool.hpp"

#include "gateway/call_after.hpp"
#include "gateway/http_call.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Bytes to a server in the same region are acknowledged in a few ms; a loss
/// or two on the way take some hundred ms more.
constexpr std::chrono::milliseconds server_silence{1'500};
constexpr std::size_t most_kept = 32;

bool clean(connection& one)
{
    return one.end() == peer_end::open && one.input().size() == 0;
}

} // namespace

server_pool::server_pool(asio::any_io_executor executor,
                         std::function<void(bool answered)> tried)
    : executor{std::move(executor)}, tried{std::move(tried)}
{
}

connection_ptr server_pool::take_kept(backend_server_id const& server,
                                      duration max_idle)
{
    auto const found = this->idle.find(server);
    auto const now = std::chrono::steady_clock::now();
    while (found != this->idle.end() && !found->second.empty())
    {
        auto const last = std::move(found->second.back());
        found->second.pop_back();
        // The newest comes first, so if it is too old all are.
        auto const fresh = now < last.until &&
                           now - last.one->last_use() < to_chrono(max_idle);
        if (fresh && clean(*last.one))
        {
            return last.one;
        }
        last.one->close();
    }
    return nullptr;
}

asio::awaitable<connection_ptr>
server_pool::take(backend_server_id const& server, std::string const& address,
                  duration max_idle, duration longest)
{
    if (auto kept = this->take_kept(server, max_idle))
    {
        co_return kept;
    }
    // Shared with the timer, whose handler may run after this function.
    auto const socket = std::make_shared<tcp::socket>(this->executor);
    asio::steady_timer limit{this->executor};
    limit.expires_after(to_chrono(std::min(longest, connect_timeout)));
    limit.async_wait(
        [socket](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                boost::system::error_code ignored; // the connect fails then
                socket->close(ignored);
            }
        });
    boost::system::error_code fault;
    co_await socket->async_connect(
        endpoint_of(address), asio::redirect_error(asio::use_awaitable, fault));
    limit.cancel();
    // A refused connect is an answer.
    auto const silent = !socket->is_open();
    if (!silent || longest >= connect_timeout)
    {
        this->tried(!silent);
    }
    if (fault || !socket->is_open())
    {
        co_return nullptr;
    }
    this->connections_made += 1;
    auto one = std::make_shared<connection>(std::move(*socket), server_silence);
    one->start();
    co_return one;
}

void server_pool::give_back(backend_server_id const& server, connection_ptr one,
                            duration idle_timeout)
{
    one->notify(nullptr);
    this->tried(true);
    auto& all = this->idle[server];
    if (all.size() >= most_kept || !clean(*one))
    {
        one->close();
        return;
    }
    auto const until =
        std::chrono::steady_clock::now() + to_chrono(idle_timeout);
    all.push_back({std::move(one), until});
}

void server_pool::forget(backend_server_id const& server)
{
    auto const found = this->idle.find(server);
    if (found == this->idle.end())
    {
        return;
    }
    for (auto const& each : found->second)
    {
        each.one->close();
    }
    this->idle.erase(found);
}

void server_pool::sweep()
{
    auto const now = std::chrono::steady_clock::now();
    for (auto& [server, all] : this->idle)
    {
        std::erase_if(all,
                      [now](kept const& each)
                      {
                          auto const over =
                              now >= each.until || !clean(*each.one);
                          if (over)
                          {
                              each.one->close();
                          }
                          return over;
                      });
    }
}

std::uint64_t server_pool::made() const
{
    return this->connections_made;
}

} // namespace caperpath::gateway
