#ifndef CAPERPATH_SRC_GATEWAY_CRASH_CHECK_HPP
#define CAPERPATH_SRC_GATEWAY_CRASH_CHECK_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace caperpath::gateway
{

/// Tells a server that crashed from one that only lost a connection: at the
/// address of a process that is gone a connection is refused. All requests that
/// the server had ask at the same moment; one connection answers them. Loop
/// thread only; outlives its calls.
class crash_check
{
public:
    explicit crash_check(boost::asio::any_io_executor executor);

    /// Whether nobody listens at `address`, the address of `server`. False also
    /// when that cannot be told within a short time. Both arguments outlive the
    /// call. @pre `address` is "IP:port".
    boost::asio::awaitable<bool> is_gone(backend_server_id const& server,
                                         std::string const& address);

private:
    /// One question; asked anew after a short time, since a server may come
    /// back under the same id.
    struct question
    {
        explicit question(boost::asio::any_io_executor const& executor)
            : answered{executor}
        {
        }

        /// Never expires; cancelled by the answer.
        boost::asio::steady_timer answered;
        std::optional<bool> gone;
        instant asked_at{};
    };
    using question_ptr = std::shared_ptr<question>;

    boost::asio::awaitable<bool> is_refused(std::string const& address);
    question_ptr recent(backend_server_id const& server);

    boost::asio::any_io_executor executor;
    std::map<backend_server_id, question_ptr> questions;
    caperpath::clock now{caperpath::clock::monotonic()};
};

} // namespace caperpath::gateway

#endif
