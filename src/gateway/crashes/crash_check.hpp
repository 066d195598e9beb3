#ifndef CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_CHECK_HPP
#define CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_CHECK_HPP

#include "gateway/servers/server_connector.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>

namespace caperpath::gateway
{

/// Distinguishes a crashed server from a lost connection. All requests of a
/// server lose their connections at once and share one check. Loop thread only;
/// must outlive its calls, and `connector` must outlive it.
class crash_check
{
public:
    crash_check(boost::asio::any_io_executor executor,
                server_connector& connector);

    /// Whether the process of `server`, which must outlive the call, still
    /// listened at `since` or later. A probe from before may have reached a
    /// server that has crashed meanwhile.
    boost::asio::awaitable<server_presence>
    check(backend_server_id const& server, instant since);

private:
    /// One probe. Its result is valid for a short time only, since a server may
    /// restart under the same id.
    struct probe
    {
        explicit probe(boost::asio::any_io_executor const& executor)
            : finished{executor}
        {
        }

        /// Never expires; cancelled when `result` is set.
        boost::asio::steady_timer finished;
        std::optional<server_presence> result;
        instant started_at{};
    };
    using probe_ptr = std::shared_ptr<probe>;

    probe_ptr recent_probe(backend_server_id const& server);
    boost::asio::awaitable<server_presence>
    start_probe(backend_server_id const& server);

    boost::asio::any_io_executor executor;
    server_connector& connector;
    std::map<backend_server_id, probe_ptr> probes;
    caperpath::clock now{caperpath::clock::monotonic()};
};

} // namespace caperpath::gateway

#endif
