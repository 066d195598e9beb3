#include "soak/packet_filter.hpp"
#include "soak/soak_site.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace caperpath::soak
{

namespace
{

using std::chrono::milliseconds;

constexpr int prompt_tokens = 300;
constexpr int short_body = 1'500;
constexpr int long_body = 30'000; ///< read in several pieces
constexpr int fatal_percent = 10;
/// Of the new connections, those that a herd's router gets besides its share.
constexpr int herd_percent = 90;
/// Of the requests, those whose callers leave early.
constexpr int leaving_percent = 30;
constexpr int longest_patience_ms = 900;
/// Of the streams beside configurations, those whose callers fall silent.
constexpr int silent_percent = 20;
/// Less than a stream of large events, so that its window closes.
constexpr int window_bytes = 4'096;
template <int Name>
using keepalive_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, Name>;
constexpr int keepalive_s = 1;
constexpr int most_keepalive_probes = 30; ///< more than in a silence
constexpr int ok = 200;
constexpr int budget_used_up = 402;
constexpr int budget_low = 429;
constexpr milliseconds connect_timeout{2'000};
/// Far longer than the deadline of each request.
constexpr std::chrono::seconds response_timeout{30};

/// A caller's connection to a router.
struct router_connection
{
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    int router{};
};

struct caller_request
{
    std::string id;
    request_kind kind{};
    std::string customer;
    int events{};
    std::string bytes;
    bool fatal{false}; ///< it has a part that crashes engines
    int timeout_ms{};  ///< how long the caller waits
};

caller_request draw_request(std::string const& id, dice& draw,
                            soak_options const& options)
{
    caller_request made{id, request_kind::order, "large", 0, {}};
    auto const kind = draw.between(options.configurations ? 2 : 0, 9);
    std::string path = "/order/1";
    if (kind >= 4)
    {
        made.kind = kind < 7 ? request_kind::read : request_kind::stream;
        path = kind < 7 ? "/read/1" : draw.chance(50) ? "/chat/1" : "/resume/1";
    }
    std::string prompt;
    if (made.kind == request_kind::stream)
    {
        made.customer = draw.chance(30) ? "small" : "large";
        made.events =
            options.configurations ? draw.between(20, 90) : draw.between(5, 60);
        made.fatal = options.fatal_parts && draw.chance(fatal_percent);
        prompt = "Token-Count: " + std::to_string(prompt_tokens) + "," +
                 std::to_string(made.events) + "\r\nPrefix-Hash: a" +
                 std::to_string(draw.between(0, 3)) + ":50," +
                 (made.fatal ? "bad:20," : "") + "c" +
                 std::to_string(draw.between(0, 40)) + ":20,d:1\r\n";
    }
    std::string const body(
        made.kind == request_kind::read
            ? std::size_t{0}
            : static_cast<std::size_t>(draw.between(
                  1, options.slow_routers ? long_body : short_body)),
        'b');
    made.timeout_ms = options.configurations
                          ? options.longest_time_ms
                          : draw.between(500, options.longest_time_ms);
    made.bytes = (made.kind == request_kind::read ? "GET " : "POST ") + path +
                 " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id +
                 "\r\nDeadline-Ms: " + std::to_string(made.timeout_ms) +
                 "\r\nAuthorization: Bearer key-" + made.customer + "\r\n" +
                 prompt + "Content-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body;
    return made;
}

/// Returns true if the router has closed the connection or has sent data
/// without a request.
bool is_closed(router_connection& to)
{
    char byte{};
    auto const got = ::recv(to.stream.socket().native_handle(), &byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

asio::awaitable<bool> connect(soak_site& site, router_connection& to)
{
    boost::system::error_code fault;
    auto& router = *site.routers[to.router];
    if (site.options.configurations)
    {
        auto& socket = to.stream.socket();
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size{window_bytes});
        // So it learns that a router has ended the connection in a silence.
        socket.set_option(asio::socket_base::keep_alive{true});
        socket.set_option(keepalive_option<TCP_KEEPIDLE>{keepalive_s});
        socket.set_option(keepalive_option<TCP_KEEPINTVL>{keepalive_s});
        socket.set_option(keepalive_option<TCP_KEEPCNT>{most_keepalive_probes});
    }
    to.stream.expires_after(connect_timeout);
    co_await to.stream.async_connect(
        tcp::endpoint{asio::ip::make_address("127.0.0.1"), router.port()},
        asio::redirect_error(asio::use_awaitable, fault));
    router.connections += fault ? 0 : 1;
    co_return !fault;
}

/// Takes nothing of a response for a while, as a caller that is busy or has a
/// silent path.
asio::awaitable<void> fall_silent(router_connection& to, dice& draw)
{
    auto const executor = to.stream.get_executor();
    co_await pause(executor, draw.ms(0, 500));
    auto const has_silent_path = draw.chance(50);
    if (has_silent_path)
    {
        drop_packets(to.stream.socket());
    }
    co_await pause(executor, draw.ms(2'000, 6'500));
    take_packets(to.stream.socket());
}

/// Sends the request, sometimes in pieces. Returns false if sending failed.
asio::awaitable<bool> send(router_connection& to, std::string_view bytes,
                           dice& draw)
{
    auto const in_pieces = draw.chance(20);
    while (!bytes.empty())
    {
        auto const size = in_pieces
                              ? static_cast<std::size_t>(draw.between(100, 900))
                              : bytes.size();
        auto const piece = bytes.substr(0, size);
        boost::system::error_code fault;
        co_await asio::async_write(
            to.stream, asio::buffer(piece),
            asio::redirect_error(asio::use_awaitable, fault));
        if (fault)
        {
            co_return false;
        }
        bytes.remove_prefix(piece.size());
        if (!bytes.empty())
        {
            co_await pause(to.stream.get_executor(), draw.ms(1, 150));
        }
    }
    co_return true;
}

/// The whole number at the begin of `text`; 0 if there is none.
int number_in(std::string_view text)
{
    int number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

int events_in(std::string_view body)
{
    int count = 0;
    for (auto at = body.find("\n\n"); at != std::string_view::npos;
         at = body.find("\n\n", at + 2))
    {
        count += 1;
    }
    return count;
}

void count_attempt(soak_site& site, request_kind kind, int router,
                   std::int64_t began_ms, request_outcome const& how)
{
    auto const served = how.status == ok && how.whole;
    // A used-up budget says nothing about paths.
    if (how.status != budget_used_up && how.status != budget_low)
    {
        count_first_attempt(site, router,
                            kind == request_kind::stream ? "llm" : "app",
                            began_ms, served);
    }
    if (how.status != 0 && how.status != budget_used_up)
    {
        count_herd_attempt(site, router, began_ms, served);
    }
}

/// Sends one request and reads its response. Returns true if the connection can
/// be reused.
asio::awaitable<bool> call(soak_site& site, router_connection& to, dice& draw,
                           caller_request const& request)
{
    auto& record = site.record;
    auto const& router = *site.routers[to.router];
    record.begin(request.id, request.kind, to.router);
    note_sent(site, request.id, to.router);
    auto const began_ms = record.now_ms();
    auto const starts = router.starts;
    record.note(request.id, request.bytes.substr(0, request.bytes.find(' ')) +
                                " " + request.id + " to router " +
                                std::to_string(to.router) +
                                (router.stopping ? ", which is stopping" : ""));
    request_outcome how;
    record.expect_until(request.id, began_ms + request.timeout_ms);
    auto const leaves = site.options.herds && draw.chance(leaving_percent);
    to.stream.expires_after(
        leaves ? draw.ms(20, longest_patience_ms)
               : std::chrono::duration_cast<milliseconds>(response_timeout));
    how.sent = co_await send(to, request.bytes, draw);
    how.sent_ms = record.now_ms();
    record.note(request.id, how.sent ? "sent" : "not fully sent");
    auto const silent = site.options.configurations &&
                        request.kind == request_kind::stream &&
                        draw.chance(silent_percent);
    if (silent)
    {
        record.count("silences of callers");
        record.note(request.id, "its caller falls silent");
        co_await fall_silent(to, draw);
    }
    http::response_parser<http::string_body> parser;
    boost::system::error_code fault;
    co_await http::async_read(to.stream, to.buffer, parser,
                              asio::redirect_error(asio::use_awaitable, fault));
    note_received(site, request.id, parser.is_header_done());
    if (leaves && !to.stream.socket().is_open())
    {
        record.leave(request.id);
        co_return false;
    }
    how.whole = !fault && parser.is_done();
    how.closed = fault && fault != boost::beast::error::timeout;
    how.fault = fault.message();
    if (parser.is_header_done())
    {
        how.status = static_cast<int>(parser.get().result_int());
    }
    auto const& body = parser.get().body();
    auto const events = events_in(body);
    how.right = request.kind == request_kind::stream
                    ? events == request.events
                    : body == body_of(request.id);
    if (request.kind == request_kind::stream && how.status == ok)
    {
        record.spend(request.id, request.customer, prompt_tokens + events);
    }
    if (router.killed || router.starts != starts)
    {
        record.count("at killed routers");
        co_return false;
    }
    record.end(request.id, how);
    if (request.kind == request_kind::stream)
    {
        note_stream_end(site, request.id, how, to.router, began_ms,
                        request.timeout_ms);
    }
    check_prompt(site, request.id, request.fatal, how.status,
                 number_in(parser.get()["Retry-After"]));
    count_attempt(site, request.kind, to.router, began_ms, how);
    // In a silence the router may have closed a connection that was idle.
    co_return how.whole && !silent && parser.keep_alive();
}

/// Half of the callers whose connection was closed reconnect to the same router
/// while its process runs, because not every load balancer redirects them.
void choose_router(soak_site& site, router_connection& to, dice& draw)
{
    if (draw.chance(50) || !site.routers[to.router]->runs())
    {
        to.router = draw.between(0, site.options.routers - 1);
    }
    if (site.herd.router >= 0 && draw.chance(herd_percent))
    {
        to.router = site.herd.router;
    }
}

/// Sends requests over one connection until it is closed.
asio::awaitable<void> use_connection(soak_site& site, router_connection& to,
                                     dice& draw, std::string const& name,
                                     int& requests)
{
    auto open = co_await connect(site, to);
    if (!open)
    {
        co_await pause(to.stream.get_executor(), draw.ms(5, 50));
    }
    while (open)
    {
        requests += 1;
        auto const request =
            draw_request(name + std::to_string(requests), draw, site.options);
        open = co_await call(site, to, draw, request);
        auto const stopping = site.routers[to.router]->stopping;
        co_await pause(to.stream.get_executor(),
                       stopping ? draw.ms(0, 20) : draw.ms(0, 200));
        // In a herd callers open new connections more often.
        auto const leaves = site.herd.router >= 0 && draw.chance(30);
        open = open && !leaves && !is_closed(to);
    }
}

} // namespace

asio::awaitable<void> call_routers(soak_site& site, int number)
{
    dice draw{site.options.seed * 1'000'000 +
              static_cast<std::uint64_t>(number)};
    auto const name =
        std::to_string(site.options.seed) + "-" + std::to_string(number) + "-";
    int requests = 0;
    int router = number % site.options.routers;
    while (!site.over())
    {
        router_connection to{boost::beast::tcp_stream{site.loop}, {}, router};
        choose_router(site, to, draw);
        router = to.router;
        co_await use_connection(site, to, draw, name, requests);
    }
    site.callers_left -= 1;
}

} // namespace caperpath::soak
