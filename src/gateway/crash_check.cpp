#include "gateway/crash_check.hpp"

#include "gateway/http_call.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// The end of the connection came over the same way a moment ago.
constexpr std::chrono::milliseconds longest_check{150};
/// Requests of one crash end within this; a server needs longer to come back.
constexpr duration answer_holds{500};

} // namespace

crash_check::crash_check(boost::asio::any_io_executor executor)
    : executor{std::move(executor)}
{
}

asio::awaitable<bool> crash_check::is_refused(std::string const& address)
{
    boost::beast::tcp_stream stream{this->executor};
    boost::system::error_code fault;
    stream.expires_after(longest_check);
    co_await stream.async_connect(
        endpoint_of(address), asio::redirect_error(asio::use_awaitable, fault));
    co_return fault == asio::error::connection_refused ||
        fault == asio::error::connection_reset;
}

crash_check::question_ptr crash_check::recent(backend_server_id const& server)
{
    auto const at = this->now.now();
    std::erase_if(this->questions,
                  [at](auto const& entry) {
                      return entry.second->gone &&
                             at - entry.second->asked_at >= answer_holds;
                  });
    auto const found = this->questions.find(server);
    return found == this->questions.end() ? nullptr : found->second;
}

asio::awaitable<bool> crash_check::is_gone(backend_server_id const& server,
                                           std::string const& address)
{
    if (auto const asked = this->recent(server))
    {
        boost::system::error_code cancelled;
        while (!asked->gone)
        {
            co_await asked->answered.async_wait(
                asio::redirect_error(asio::use_awaitable, cancelled));
        }
        co_return *asked->gone;
    }
    auto const own = std::make_shared<question>(this->executor);
    own->answered.expires_at(asio::steady_timer::time_point::max());
    own->asked_at = this->now.now();
    this->questions[server] = own;
    own->gone = co_await this->is_refused(address);
    own->answered.cancel();
    co_return *own->gone;
}

} // namespace caperpath::gateway
