#include "gateway/crashes/crash_check.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// The requests that a crash ends lose their connections within this time; a
/// server takes longer to restart.
constexpr duration result_lifetime{500};

} // namespace

crash_check::crash_check(boost::asio::any_io_executor executor,
                         server_connector& connector)
    : executor{std::move(executor)}, connector{connector}
{
}

crash_check::probe_ptr
crash_check::recent_probe(backend_server_id const& server)
{
    auto const at = this->now.now();
    std::erase_if(this->probes,
                  [at](auto const& entry)
                  {
                      return entry.second->result &&
                             at - entry.second->started_at >= result_lifetime;
                  });
    auto const found = this->probes.find(server);
    return found == this->probes.end() ? nullptr : found->second;
}

asio::awaitable<server_presence>
crash_check::check(backend_server_id const& server, instant since)
{
    while (auto const existing = this->recent_probe(server))
    {
        boost::system::error_code cancelled;
        while (!existing->result)
        {
            co_await existing->finished.async_wait(
                asio::redirect_error(asio::use_awaitable, cancelled));
        }
        auto const still_valid = existing->started_at >= since ||
                                 *existing->result == server_presence::gone;
        if (still_valid)
        {
            co_return *existing->result;
        }
        if (this->recent_probe(server) == existing)
        {
            break;
        }
    }
    co_return co_await this->start_probe(server);
}

asio::awaitable<server_presence>
crash_check::start_probe(backend_server_id const& server)
{
    auto const new_probe = std::make_shared<probe>(this->executor);
    new_probe->finished.expires_at(asio::steady_timer::time_point::max());
    new_probe->started_at = this->now.now();
    this->probes[server] = new_probe;
    auto presence = server_presence::unknown;
    std::exception_ptr thrown;
    try
    {
        presence = co_await this->connector.find_out(server);
    }
    catch (...)
    {
        thrown = std::current_exception();
    }
    new_probe->result = presence;
    new_probe->finished.cancel(); // others may wait for it
    if (thrown)
    {
        std::rethrow_exception(thrown);
    }
    co_return presence;
}

} // namespace caperpath::gateway
