#include "gateway/requests/session.hpp"

#include "gateway/requests/exchange.hpp"
#include "gateway/requests/parse_rejection.hpp"
#include "gateway/requests/read_result.hpp"
#include "gateway/run_after.hpp"
#include "gateway/run_part.hpp"

#include <caperpath/base/http_status.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// A caller that acknowledges nothing for this long is treated as disconnected.
constexpr std::chrono::milliseconds caller_silence_timeout{5'000};
/// Timeout of the first request after the caller has connected. It normally
/// arrives within a round trip.
constexpr duration first_request_timeout{1'000};
/// How often a stopping process checks whether a connection may be closed.
constexpr duration stop_check_interval{250};
/// Input of more than this size may have come in several packets.
constexpr std::size_t least_packet_bytes = 1'400;
constexpr char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";
/// A caller that accepts no bytes of its response for this long after its
/// deadline is treated as disconnected.
constexpr duration output_timeout{500};
constexpr int max_idle_checks = 2;
constexpr duration output_check_interval{output_timeout.ms / max_idle_checks};
/// Limits how long a slow caller can delay the end of its connection.
constexpr duration max_drain_time{30'000};
constexpr unsigned http_11 = 11;

class caller_session
{
public:
    caller_session(core& shared, tcp::socket socket)
        : shared{shared}, wakeup{std::make_shared<waker>(shared.loop)},
          caller{std::make_shared<connection>(std::move(socket),
                                              caller_silence_timeout)},
          began{shared.now.now()}
    {
        this->caller->set_waker(this->wakeup);
        this->caller->start();
    }

    asio::awaitable<void> run()
    {
        this->shared.sessions.insert(this->wakeup.get());
        this->shared.callers.insert(this->caller.get());
        std::exception_ptr thrown;
        try
        {
            co_await this->serve_requests();
            co_await this->end();
        }
        catch (...)
        {
            thrown = std::current_exception();
        }
        // A destructor would also run when the event loop is destroyed, after
        // the sets.
        this->shared.idle_callers.erase(this->caller.get());
        this->shared.sessions.erase(this->wakeup.get());
        this->shared.callers.erase(this->caller.get());
        this->caller->set_waker(nullptr);
        this->caller->close(this->cut_off);
        if (thrown)
        {
            std::rethrow_exception(thrown);
        }
    }

private:
    asio::awaitable<void> serve_requests()
    {
        auto keep_open = true;
        while (keep_open)
        {
            this->shared.idle_callers.insert(this->caller.get());
            auto const more = co_await this->wait_for_request();
            this->shared.idle_callers.erase(this->caller.get());
            if (!more)
            {
                break;
            }
            auto result = co_await this->read();
            if (result.end == read_end::closed)
            {
                break;
            }
            keep_open = co_await this->handle_request(std::move(result));
        }
    }

    instant now() const
    {
        return this->shared.now.now();
    }

    asio::awaitable<bool> wait(instant until)
    {
        auto const point = std::chrono::steady_clock::now() +
                           std::chrono::milliseconds{(until - this->now()).ms};
        co_return co_await this->wakeup->wait(point);
    }

    fleet::caller_limits limits() const
    {
        return this->shared.site ? this->shared.site->limits()
                                 : fleet::caller_limits{};
    }

    /// Waits for the first byte of a request. Returns false if none will be
    /// read: the caller has disconnected or was idle for too long, or this
    /// process ends.
    asio::awaitable<bool> wait_for_request()
    {
        auto const until = this->now() + this->limits().idle_timeout;
        auto const over = [&]
        {
            return this->now() >= until || this->may_close();
        };
        while (this->caller->input().size() == 0)
        {
            if (this->caller->end() != peer_end::open ||
                (over() && co_await this->has_no_input() && over()))
            {
                co_return false;
            }
            auto const interval =
                this->shared.stop ? stop_check_interval : until - this->now();
            static_cast<void>(co_await this->wait(this->now() + interval));
        }
        co_return true;
    }

    /// After a late turn of the loop, a timer may run before input that has
    /// arrived is handled; closing would reset the connection of a request.
    asio::awaitable<bool> has_no_input()
    {
        // Reads that have ended already are handled first.
        co_await asio::post(this->shared.loop, asio::use_awaitable);
        co_return !this->caller->has_input() &&
            !this->caller->has_unread_input();
    }

    /// A stopping process closes idle connections, but not new ones: their
    /// first request may be in flight, and its caller could not know whether it
    /// ran.
    bool may_close() const
    {
        auto const& stop = this->shared.stop;
        return stop && this->now() >= stop->out_of_rotation &&
               this->caller->unsent() == 0 &&
               this->now() - this->began >= first_request_timeout;
    }

    /// How long the first bytes of the next request have waited.
    duration unread_time()
    {
        auto const since_read =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - this->caller->input_since());
        unread_input input{duration{since_read.count()},
                           this->caller->since_last_packet(),
                           this->caller->input().size() > least_packet_bytes};
        if (!this->shared.packet_times_known)
        {
            input.since_packet.reset();
        }
        return caperpath::unread_time(
            input, longest_wait(this->shared.delay, this->now()));
    }

    asio::awaitable<read_result> read()
    {
        read_result result;
        auto const began = this->now();
        result.unread = this->unread_time();
        result.arrived = began - result.unread;
        auto const bounds = this->limits();
        body_parser parser;
        parser.header_limit(static_cast<std::uint32_t>(bounds.header_bytes));
        parser.body_limit(bounds.body_bytes);
        parser.eager(true);
        auto until = began + bounds.header_timeout;
        auto continued = false;
        while (true)
        {
            boost::system::error_code fault;
            auto& input = this->caller->input();
            if (input.size() > 0)
            {
                input.consume(parser.put(input.data(), fault));
                this->caller->resume();
            }
            if (parser.is_done() && !fault)
            {
                break;
            }
            if (fault && fault != http::error::need_more)
            {
                result.end = read_end::rejected;
                result.why = parse_rejection(parser, fault);
                co_return result;
            }
            if (parser.is_header_done() && !continued)
            {
                continued = true;
                until = this->now() + bounds.idle_timeout;
                this->send_continue(parser.get());
            }
            if (this->caller->end() != peer_end::open)
            {
                co_return result;
            }
            auto const& stop = this->shared.stop;
            if (stop && (this->now() >= stop->responses_due ||
                         this->shared.closing_connections))
            {
                result.end = read_end::rejected;
                result.why = {http_unavailable, "stopping",
                              stopping_retry_after};
                co_return result;
            }
            if (this->now() >= until)
            {
                result.end = read_end::rejected;
                result.why = {http_request_timeout, "slow_request"};
                co_return result;
            }
            static_cast<void>(co_await this->wait(
                stop ? std::min(until, stop->responses_due) : until));
        }
        result.end = read_end::whole;
        result.request = parser.release();
        co_return result;
    }

    void send_continue(caller_request const& head)
    {
        auto const expects = head[http::field::expect];
        if (head.version() == http_11 &&
            boost::beast::iequals(expects, "100-continue"))
        {
            this->caller->send(continue_line);
        }
    }

    /// Returns whether another request may follow on this connection.
    asio::awaitable<bool> handle_request(read_result result)
    {
        exchange current{this->shared, this->caller, this->wakeup,
                         std::move(result.request)};
        current.arrived = result.arrived;
        current.unread = result.unread;
        this->shared.metrics.unread(result.unread.ms);
        auto const read = this->shared.adapter.read_request;
        if (!run_part(this->shared.log, "read request",
                      [&] { current.facts = read(current.request); }))
        {
            result.end = read_end::rejected;
            result.why = {http_unavailable, "internal_error"};
        }
        if (result.end == read_end::whole && current.facts.is_ambiguous)
        {
            result.end = read_end::rejected;
            result.why = {http_bad_request, "repeated_field"};
        }
        current.keep_connection = current.request.keep_alive() &&
                                  current.request.version() == http_11 &&
                                  result.end == read_end::whole;
        if (result.end == read_end::rejected)
        {
            this->rejected_early = true;
            send_rejection(current, result.why);
            this->shared.metrics.request_ended(current.reason, current.status);
            this->shared.log.write(
                log_weight::notable, "request",
                {{"reason", std::string{current.reason}},
                 {"status", std::to_string(current.status)}});
            co_return false;
        }
        if (this->output_begins == instant{} ||
            this->caller->unacknowledged() == 0)
        {
            this->output_begins = current.arrived;
        }
        this->caller->set_silence_timeout(longest_silence);
        co_await serve(current);
        this->cut_off =
            current.ends_with_connection && !current.response_complete;
        this->deadline = current.deadline;
        // The kernel counts from the first byte without acknowledgement.
        this->caller->set_silence_timeout(
            std::max(caller_silence_timeout,
                     to_chrono(this->deadline - this->output_begins)));
        co_return current.keep_connection;
    }

    asio::awaitable<void> end()
    {
        co_await this->drain_output();
        if (this->rejected_early)
        {
            co_await this->discard_input(this->now() + output_timeout);
        }
    }

    /// Until then the caller of the latest response may pause.
    instant output_due() const
    {
        auto const& stop = this->shared.stop;
        return stop ? std::min(this->deadline, stop->responses_due)
                    : this->deadline;
    }

    /// Waits until the caller has taken all output, after its deadline only as
    /// long as it makes progress.
    asio::awaitable<void> drain_output()
    {
        // If the loop is behind, the timer can fire before writes that
        // completed earlier are handled, so a single check without progress
        // proves nothing.
        auto const until = this->now() + max_drain_time;
        auto idle_checks = 0;
        while (this->caller->unsent() > 0 && idle_checks < max_idle_checks &&
               this->caller->end() == peer_end::open && this->now() < until)
        {
            auto const before = this->caller->unsent();
            auto const raised =
                co_await this->wait(this->now() + output_check_interval);
            auto const idle = !raised && this->caller->unsent() == before &&
                              this->now() >= this->output_due();
            idle_checks = idle ? idle_checks + 1 : 0;
        }
    }

    /// Discards input until the caller disconnects or until `until`. Closing
    /// with unread bytes would reset the connection, and the response could be
    /// lost.
    asio::awaitable<void> discard_input(instant until)
    {
        this->caller->shutdown_output();
        while (this->caller->end() == peer_end::open && this->now() < until)
        {
            auto& input = this->caller->input();
            input.consume(input.size());
            this->caller->resume();
            static_cast<void>(co_await this->wait(until));
        }
    }

    core& shared;
    waker_ptr wakeup;
    connection_ptr caller;
    instant began;
    instant deadline{};      ///< of the latest request
    instant output_begins{}; ///< earlier output is acknowledged
    /// Input that was not read may follow the rejection that was sent.
    bool rejected_early{false};
    /// A part is missing of a response that ends with its connection.
    bool cut_off{false};
};

} // namespace

asio::awaitable<void> serve_caller(core& shared, tcp::socket socket)
{
    caller_session session{shared, std::move(socket)};
    co_await session.run();
}

} // namespace caperpath::gateway
