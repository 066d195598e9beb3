#include "gateway/session.hpp"

#include "gateway/exchange.hpp"

#include <caperpath/base/http_status.hpp>

#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// A caller that acknowledges nothing for so long has left.
constexpr std::chrono::milliseconds caller_silence{5'000};
/// A caller's first request follows its connection within a round trip.
constexpr duration first_request_time{1'000};
/// How often a stopping process looks whether a connection may be closed.
constexpr duration stop_look{250};
constexpr char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr int request_timeout = 408;
constexpr int header_too_large = 431;
/// A caller that takes nothing of its answer for so long has left.
constexpr duration linger{500};
constexpr int most_idle_looks = 2;
constexpr duration linger_look{linger.ms / most_idle_looks};
/// However slowly a caller reads, its connection ends.
constexpr duration longest_rest{30'000};
constexpr unsigned http_11 = 11;

using request_parser = http::request_parser<http::string_body>;

enum class read_end
{
    whole,   ///< a request was read
    refused, ///< what came is no request that may be served
    closed   ///< the caller left, or was idle for too long
};

/// One request read off a connection.
struct reading
{
    read_end end{read_end::closed};
    refusal why{};
    caller_request request;
    instant arrived{};
};

refusal parse_refusal(boost::system::error_code fault)
{
    if (fault == http::error::header_limit)
    {
        return {header_too_large, "header_too_large"};
    }
    if (fault == http::error::body_limit)
    {
        return {http_payload_too_large, "body_too_large"};
    }
    return {http_bad_request, "no_request"};
}

class caller_session
{
public:
    caller_session(core& shared, tcp::socket socket)
        : shared{shared}, sleeper{std::make_shared<waker>(shared.loop)},
          caller{
              std::make_shared<connection>(std::move(socket), caller_silence)},
          began{shared.now.now()}
    {
        this->caller->notify(this->sleeper);
        this->caller->start();
    }

    asio::awaitable<void> run()
    {
        this->shared.sessions.insert(this->sleeper.get());
        auto going_on = true;
        while (going_on)
        {
            this->shared.idle_callers.insert(this->caller.get());
            auto const more = co_await this->wait_for_request();
            this->shared.idle_callers.erase(this->caller.get());
            if (!more)
            {
                break;
            }
            auto got = co_await this->read();
            if (got.end == read_end::closed)
            {
                break;
            }
            going_on = co_await this->answer(std::move(got));
        }
        co_await this->end();
        this->shared.sessions.erase(this->sleeper.get());
    }

private:
    instant now() const
    {
        return this->shared.now.now();
    }

    asio::awaitable<bool> wait(instant until)
    {
        auto const point = std::chrono::steady_clock::now() +
                           std::chrono::milliseconds{(until - this->now()).ms};
        co_return co_await this->sleeper->wait(point);
    }

    fleet::caller_limits limits() const
    {
        return this->shared.site ? this->shared.site->limits()
                                 : fleet::caller_limits{};
    }

    /// Waits for the first byte. False if there will be none: the caller has
    /// left or was idle for too long, or this process ends.
    asio::awaitable<bool> wait_for_request()
    {
        auto const until = this->now() + this->limits().idle_timeout;
        while (this->caller->input().size() == 0)
        {
            auto const over = this->now() >= until || this->may_close();
            if (this->caller->end() != peer_end::open || over)
            {
                co_return false;
            }
            auto const look =
                this->shared.stop ? stop_look : until - this->now();
            static_cast<void>(co_await this->wait(this->now() + look));
        }
        co_return true;
    }

    /// A process that ends closes idle connections. One that was just made is
    /// about to bring a request: closed without a word, its caller would not
    /// know whether it ran.
    bool may_close() const
    {
        auto const& stop = this->shared.stop;
        return stop && this->now() >= stop->out_of_rotation &&
               this->caller->unsent() == 0 &&
               this->now() - this->began >= first_request_time;
    }

    asio::awaitable<reading> read()
    {
        reading got;
        got.arrived = this->now();
        auto const bounds = this->limits();
        request_parser parser;
        parser.header_limit(static_cast<std::uint32_t>(bounds.header_bytes));
        parser.body_limit(bounds.body_bytes);
        parser.eager(true);
        auto until = got.arrived + bounds.header_timeout;
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
                got.end = read_end::refused;
                got.why = parse_refusal(fault);
                co_return got;
            }
            if (parser.is_header_done() && !continued)
            {
                continued = true;
                until = this->now() + bounds.idle_timeout;
                this->invite_body(parser.get());
            }
            if (this->caller->end() != peer_end::open)
            {
                co_return got;
            }
            auto const& stop = this->shared.stop;
            if (stop && this->now() >= stop->answers_due)
            {
                got.end = read_end::refused;
                got.why = {http_unavailable, "stopping", elsewhere_retry};
                co_return got;
            }
            if (this->now() >= until)
            {
                got.end = read_end::refused;
                got.why = {request_timeout, "slow_request"};
                co_return got;
            }
            static_cast<void>(co_await this->wait(
                stop ? std::min(until, stop->answers_due) : until));
        }
        got.end = read_end::whole;
        got.request = parser.release();
        co_return got;
    }

    void invite_body(caller_request const& head)
    {
        auto const expects = head[http::field::expect];
        if (boost::beast::iequals(expects, "100-continue"))
        {
            this->caller->send(continue_line);
        }
    }

    /// Returns whether another request may follow on this connection.
    asio::awaitable<bool> answer(reading got)
    {
        exchange of{this->shared, this->caller, this->sleeper,
                    std::move(got.request)};
        of.arrived = got.arrived;
        of.facts = this->shared.names.read_request(of.request);
        of.keep_connection = of.request.keep_alive() &&
                             of.request.version() == http_11 &&
                             got.end == read_end::whole;
        if (got.end == read_end::refused)
        {
            this->refused_in_part = true;
            send_refusal(of, got.why);
            this->shared.metrics.request_ended(of.reason, of.status);
            this->shared.log.write(log_weight::notable, "request",
                                   {{"reason", std::string{of.reason}},
                                    {"status", std::to_string(of.status)}});
            co_return false;
        }
        co_await serve(of);
        co_return of.keep_connection;
    }

    asio::awaitable<void> end()
    {
        co_await this->send_rest();
        if (this->refused_in_part)
        {
            co_await this->discard_rest(this->now() + linger);
        }
        this->caller->notify(nullptr);
        this->caller->close();
    }

    /// Waits as long as the caller takes what it is owed.
    asio::awaitable<void> send_rest()
    {
        // After a loop that was behind the timer can come before what was
        // written meanwhile, so one look without progress proves nothing.
        auto const until = this->now() + longest_rest;
        auto idle_looks = 0;
        while (this->caller->unsent() > 0 && idle_looks < most_idle_looks &&
               this->caller->end() == peer_end::open && this->now() < until)
        {
            auto const before = this->caller->unsent();
            auto const raised = co_await this->wait(this->now() + linger_look);
            auto const idle = !raised && this->caller->unsent() == before;
            idle_looks = idle ? idle_looks + 1 : 0;
        }
    }

    /// Closed with bytes unread, the connection would be reset and the answer
    /// could be lost on its way.
    asio::awaitable<void> discard_rest(instant until)
    {
        this->caller->finish_sending();
        while (this->caller->end() == peer_end::open && this->now() < until)
        {
            auto& input = this->caller->input();
            input.consume(input.size());
            this->caller->resume();
            static_cast<void>(co_await this->wait(until));
        }
    }

    core& shared;
    waker_ptr sleeper;
    connection_ptr caller;
    instant began;
    bool refused_in_part{
        false}; ///< an answer went out before the whole request
};

} // namespace

asio::awaitable<void> serve_caller(core& shared, tcp::socket socket)
{
    caller_session session{shared, std::move(socket)};
    co_await session.run();
}

} // namespace caperpath::gateway
