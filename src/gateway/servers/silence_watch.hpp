#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_SILENCE_WATCH_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_SILENCE_WATCH_HPP

#include "gateway/core.hpp"
#include "gateway/servers/timed_connect.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace caperpath::gateway
{

/// The result of a probe whether a server runs.
struct presence_result
{
    std::optional<server_presence> presence; ///< empty until it is known
    waker_ptr wakeup;
};

/// Probes `server` and raises the waker of `result`.
asio::awaitable<void> find_presence(core& shared, backend_server_id server,
                                    std::shared_ptr<presence_result> result);

/// How often a connection is checked for silence.
inline constexpr duration silence_check_interval{250};
inline constexpr duration longest_usual_silence{peer_silence_timeout.count()};

/// Finds out whether a server that acknowledges nothing has ended. Loop thread
/// only; `shared` must outlive it.
class silence_watch
{
public:
    /// `wakeup` is raised when a probe has a result.
    silence_watch(core& shared, backend_server_id server, waker_ptr wakeup);

    /// Call right before a request is sent to the server.
    void begin();

    /// True if the server has been silent on `link` for longer than usual since
    /// the request was sent.
    bool is_silent(connection& link) const;

    /// Records the result of a check. Probes a server that is silent, and again
    /// after some time.
    void note(bool silent);

    /// What the latest probe of the silent server found; empty if it has no
    /// result yet.
    std::optional<server_presence> presence() const;

    /// True if the server is silent, and a probe or the list of servers shows
    /// that its process has ended. One that is unlisted has not as long as
    /// probes reach it.
    bool shows_end() const;

private:
    bool may_have_changed() const;

    core& shared;
    backend_server_id server;
    waker_ptr wakeup;
    instant began{};
    std::int64_t born_ms{}; ///< 0: unknown
    instant next_probe{};
    std::shared_ptr<presence_result> current; ///< null: not silent
};

} // namespace caperpath::gateway

#endif
