#include "gateway/crash_check.hpp"

#include "gateway/http_client.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Kept short: the end of the connection arrived over the same network path
/// just before.
constexpr std::chrono::milliseconds probe_timeout{150};
/// The requests that a crash ends lose their connections within this time; a
/// server takes longer to restart.
constexpr duration result_lifetime{500};

} // namespace

crash_check::crash_check(boost::asio::any_io_executor executor)
    : executor{std::move(executor)}
{
}

asio::awaitable<bool> crash_check::is_refused(std::string const& address)
{
    boost::beast::tcp_stream stream{this->executor};
    boost::system::error_code fault;
    stream.expires_after(probe_timeout);
    co_await stream.async_connect(
        endpoint_of(address), asio::redirect_error(asio::use_awaitable, fault));
    co_return fault == asio::error::connection_refused ||
        fault == asio::error::connection_reset;
}

crash_check::probe_ptr
crash_check::recent_probe(backend_server_id const& server)
{
    auto const at = this->now.now();
    std::erase_if(this->probes,
                  [at](auto const& entry)
                  {
                      return entry.second->gone &&
                             at - entry.second->started_at >= result_lifetime;
                  });
    auto const found = this->probes.find(server);
    return found == this->probes.end() ? nullptr : found->second;
}

asio::awaitable<bool> crash_check::is_gone(backend_server_id const& server,
                                           std::string const& address)
{
    if (auto const existing = this->recent_probe(server))
    {
        boost::system::error_code cancelled;
        while (!existing->gone)
        {
            co_await existing->finished.async_wait(
                asio::redirect_error(asio::use_awaitable, cancelled));
        }
        co_return *existing->gone;
    }
    auto const new_probe = std::make_shared<probe>(this->executor);
    new_probe->finished.expires_at(asio::steady_timer::time_point::max());
    new_probe->started_at = this->now.now();
    this->probes[server] = new_probe;
    new_probe->gone = co_await this->is_refused(address);
    new_probe->finished.cancel();
    co_return *new_probe->gone;
}

} // namespace caperpath::gateway
