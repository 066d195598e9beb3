#include "gateway/relays/relay_session.hpp"

#include "gateway/relays/relay_message.hpp"
#include "gateway/requests/exchange.hpp"
#include "gateway/run_after.hpp"
#include "gateway/servers/silence_watch.hpp"

#include <caperpath/fleet/server_path.hpp>

#include <boost/beast/core/buffers_to_string.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <optional>
#include <string>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr std::chrono::milliseconds router_silence_timeout{1'500};
/// The request normally arrives within a round trip.
constexpr duration request_timeout{500};
/// Bounds the memory, descriptors and processor time spent for others.
constexpr std::int64_t most_relayed = 256;
/// Reading from one side pauses while the other has more unsent bytes.
constexpr std::size_t max_unsent = 65'536;

/// No request lasts for longer.
std::chrono::milliseconds longest_request(core const& shared)
{
    if (!shared.site)
    {
        return longest_silence;
    }
    auto longest = longest_usual_silence;
    for (auto const& each : shared.site->routes())
    {
        longest = std::max(longest, each.timeout);
    }
    return to_chrono(longest);
}

/// Moves received bytes on, unless the receiver is behind.
void move_bytes(connection& from, connection& to)
{
    auto& input = from.input();
    if (input.size() == 0 || to.unsent() > max_unsent)
    {
        return;
    }
    to.send(boost::beast::buffers_to_string(input.data()));
    input.consume(input.size());
    from.resume();
}

class relay_session
{
public:
    relay_session(core& shared, tcp::socket socket)
        : shared{shared}, open_sessions{shared.relayed},
          wakeup{std::make_shared<waker>(shared.loop)},
          router{std::make_shared<connection>(std::move(socket),
                                              router_silence_timeout)}
    {
        *this->open_sessions += 1;
        this->router->set_waker(this->wakeup);
        this->router->start();
    }

    ~relay_session()
    {
        *this->open_sessions -= 1;
    }

    relay_session(relay_session const&) = delete;
    relay_session& operator=(relay_session const&) = delete;

    asio::awaitable<void> run()
    {
        std::exception_ptr thrown;
        try
        {
            co_await this->serve();
        }
        catch (...)
        {
            thrown = std::current_exception();
            this->close_both();
        }
        if (thrown)
        {
            std::rethrow_exception(thrown);
        }
    }

private:
    void close_both()
    {
        this->router->close(true);
        if (this->server)
        {
            this->server->close(true);
        }
    }

    asio::awaitable<void> serve()
    {
        auto const request = co_await this->read_request();
        if (!request)
        {
            this->router->close(true);
            co_return;
        }
        auto const reply = co_await this->open(*request);
        this->log_reply(*request, reply);
        this->router->send(encode(reply));
        if (this->server && !request->probe_only)
        {
            co_await this->forward(request->outlasts_silence);
            co_return;
        }
        co_await this->finish();
    }

    asio::awaitable<void> wait(duration span)
    {
        static_cast<void>(co_await this->wakeup->wait(
            std::chrono::steady_clock::now() + to_chrono(span)));
    }

    asio::awaitable<std::optional<relay_request>> read_request()
    {
        auto const until = this->shared.now.now() + request_timeout;
        while (true)
        {
            auto const taken = value_or_error(
                [this] { return take_relay_request(this->router->input()); });
            if (auto const* fault = std::get_if<error>(&taken))
            {
                this->shared.log.write_error(*fault);
                co_return std::nullopt;
            }
            auto const& request = std::get<std::optional<relay_request>>(taken);
            auto const left = until - this->shared.now.now();
            if (request || left <= duration{0} ||
                this->router->end() != peer_end::open)
            {
                co_return request;
            }
            co_await this->wait(left);
        }
    }

    asio::awaitable<relay_reply> open(relay_request const& request)
    {
        auto const now = this->shared.now.now();
        if (this->shared.stop)
        {
            co_return relay_reply{relay_outcome::stopping};
        }
        if (*this->open_sessions > most_relayed)
        {
            co_return relay_reply{relay_outcome::busy};
        }
        auto const& servers = this->shared.servers;
        auto const found = servers.servers.find(request.server);
        // The other router may not know yet that the server takes no requests.
        // The part of a cold server's bound is not known here.
        if (found == servers.servers.end() ||
            fleet::is_closed(found->second, now) ||
            fleet::is_cold(found->second, now))
        {
            co_return relay_reply{relay_outcome::unknown_server};
        }
        auto const reach =
            fleet::reach_of(servers, found->second.entry.service, now);
        if (fleet::is_cut_off(reach))
        {
            co_return relay_reply{relay_outcome::cut_off};
        }
        auto const known = found->second.path;
        if (known.direct_failed)
        {
            co_return co_await this->failure(
                request, now,
                known.direct_silent ? fleet::connect_outcome::silent
                                    : fleet::connect_outcome::refused);
        }
        auto const result = co_await this->shared.connector.connect_directly(
            request.server, connect_timeout);
        this->server = result.link;
        if (this->server)
        {
            this->server_id = request.server;
            this->server->set_waker(this->wakeup);
            co_return relay_reply{relay_outcome::connected, true};
        }
        co_return co_await this->failure(request, now, result.outcome);
    }

    asio::awaitable<relay_reply> failure(relay_request const& request,
                                         instant since,
                                         fleet::connect_outcome outcome)
    {
        auto const proven = !request.probe_only &&
                            co_await this->shared.connector.reaches_others(
                                request.server, since);
        co_return relay_reply{outcome == fleet::connect_outcome::refused
                                  ? relay_outcome::refused
                                  : relay_outcome::silent,
                              proven};
    }

    asio::awaitable<void> forward(bool outlasts_silence)
    {
        // A relay that fails must not look like a server that has finished.
        this->router->reset_unless_shut_down();
        silence_watch silence{this->shared, this->server_id, this->wakeup};
        if (outlasts_silence)
        {
            auto const timeout = longest_request(this->shared);
            this->router->set_silence_timeout(timeout);
            this->server->set_silence_timeout(timeout);
            silence.begin();
        }
        while (true)
        {
            // Bytes of a request must not follow the end of its router.
            auto const is_open = this->router->has_input()
                                     ? this->router->current_end()
                                     : this->router->end();
            if (this->must_stop_before_request())
            {
                break;
            }
            if (is_open == peer_end::open)
            {
                this->forwarded = this->forwarded || this->router->has_input();
                move_bytes(*this->router, *this->server);
                move_bytes(*this->server, *this->router);
            }
            if (this->router->end() != peer_end::open)
            {
                // The other router has given up: the server must not go on.
                this->server->close(true);
                this->router->close();
                co_return;
            }
            if (this->server->end() == peer_end::broken ||
                this->server->was_reset() || silence.shows_end())
            {
                break;
            }
            auto const has_finished = this->server->end() == peer_end::finished;
            auto const all_sent = this->server->input().size() == 0 &&
                                  this->router->unsent() == 0;
            if (has_finished && all_sent && this->server->unacknowledged() == 0)
            {
                co_await this->finish_forwarding();
                co_return;
            }
            co_await this->wait(outlasts_silence || has_finished
                                    ? silence_check_interval
                                    : longest_wait);
            if (outlasts_silence)
            {
                silence.note(silence.is_silent(*this->server));
            }
        }
        this->router->close(true);
        this->server->close();
    }

    /// True if the server has been closed to requests since the connect and
    /// the request comes only now.
    bool must_stop_before_request() const
    {
        auto const& servers = this->shared.servers.servers;
        auto const found = servers.find(this->server_id);
        auto const now = this->shared.now.now();
        return !this->forwarded && this->router->has_input() &&
               (found == servers.end() ||
                fleet::is_closed(found->second, now) ||
                fleet::is_cold(found->second, now));
    }

    /// Passes on the orderly end of the server, and a reset that follows it.
    /// The other router closes its connection once it has read the whole
    /// response.
    asio::awaitable<void> finish_forwarding()
    {
        this->router->shutdown_output();
        auto const until = this->shared.now.now() + longest_wait;
        while (this->shared.now.now() < until &&
               this->router->end() == peer_end::open &&
               this->server->end() != peer_end::broken &&
               !this->server->was_reset())
        {
            move_bytes(*this->router, *this->server);
            co_await this->wait(silence_check_interval);
        }
        this->server->close();
        this->router->close();
    }

    /// Closes the connection once the reply was sent.
    asio::awaitable<void> finish()
    {
        while (this->router->unsent() > 0 &&
               this->router->end() == peer_end::open)
        {
            co_await this->wait(request_timeout);
        }
        this->router->close();
        if (this->server)
        {
            this->server->close();
        }
    }

    void log_reply(relay_request const& request, relay_reply const& reply)
    {
        this->shared.log.write(
            log_weight::routine, "relay",
            {{"server", request.server.value},
             {"outcome", std::string{to_text(reply.outcome)}},
             {"proven", reply.proven ? "yes" : "no"},
             {"probe", request.probe_only ? "yes" : "no"},
             {"open", std::to_string(*this->open_sessions)}});
    }

    /// Only a bound: the ends of both connections wake the session.
    static constexpr duration longest_wait{10'000};

    core& shared;
    std::shared_ptr<std::int64_t> open_sessions;
    waker_ptr wakeup;
    connection_ptr router;
    connection_ptr server;
    backend_server_id server_id;
    bool forwarded{false}; ///< bytes of the request have gone to the server
};

} // namespace

asio::awaitable<void> serve_relay(core& shared, tcp::socket socket)
{
    relay_session session{shared, std::move(socket)};
    co_await session.run();
}

} // namespace caperpath::gateway
