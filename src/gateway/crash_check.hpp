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

/// Distinguishes a crashed server from a lost connection: the address of a
/// process that has exited refuses connections. All requests of a server lose
/// their connections at once and share one probe. Loop thread only; must
/// outlive its calls.
class crash_check
{
public:
    explicit crash_check(boost::asio::any_io_executor executor);

    /// True if no process listens at `address`, the address of `server`. False
    /// also if this cannot be determined within a short timeout. Both arguments
    /// must outlive the call. @pre `address` is "IP:port".
    boost::asio::awaitable<bool> is_gone(backend_server_id const& server,
                                         std::string const& address);

private:
    /// One probe. Its result is valid for a short time only, since a server may
    /// restart under the same id.
    struct probe
    {
        explicit probe(boost::asio::any_io_executor const& executor)
            : finished{executor}
        {
        }

        /// Never expires; cancelled when `gone` is set.
        boost::asio::steady_timer finished;
        std::optional<bool> gone;
        instant started_at{};
    };
    using probe_ptr = std::shared_ptr<probe>;

    boost::asio::awaitable<bool> is_refused(std::string const& address);
    probe_ptr recent_probe(backend_server_id const& server);

    boost::asio::any_io_executor executor;
    std::map<backend_server_id, probe_ptr> probes;
    caperpath::clock now{caperpath::clock::monotonic()};
};

} // namespace caperpath::gateway

#endif
