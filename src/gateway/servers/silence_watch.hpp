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

    /// Records the result of a check. Probes a server that is silent.
    void note(bool silent);

    /// What a probe of the silent server found; empty if there is no result.
    std::optional<server_presence> presence() const;

    /// True if the server is silent, and a probe or the list of servers shows
    /// that its process has ended.
    bool shows_end() const;

private:
    core& shared;
    backend_server_id server;
    waker_ptr wakeup;
    instant began{};
    std::int64_t born_ms{};                   ///< 0: unknown
    std::shared_ptr<presence_result> current; ///< null: not silent
};

} // namespace caperpath::gateway

#endif
