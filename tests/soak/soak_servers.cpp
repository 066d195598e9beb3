#include "soak/soak_servers.hpp"

#include "soak/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <sstream>
#include <string_view>
#include <utility>

namespace caperpath::soak
{

namespace
{

constexpr int silent_percent = 1;
constexpr int slow_percent = 5;
/// Of the streams: without a length or chunks; and of those, closed in order
/// within an event.
constexpr int unframed_percent = 40;
constexpr int truncated_percent = 20;
/// Of reliable servers' streams.
constexpr int padded_percent = 50;

int number_in(std::string_view text)
{
    int number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::uint64_t seed_of(std::string_view id)
{
    std::uint64_t seed = 1;
    for (unsigned char const c : id)
    {
        seed = seed * 1'099'511'628'211U + c;
    }
    return seed;
}

asio::awaitable<bool> send(boost::beast::tcp_stream& stream,
                           std::string const& bytes)
{
    boost::system::error_code fault;
    co_await asio::async_write(
        stream, asio::buffer(bytes),
        asio::redirect_error(asio::use_awaitable, fault));
    co_return !fault;
}

/// How long ago the latest bytes of a connection arrived. This process serves
/// callers and servers on one thread, and may read them late.
std::int64_t waited_ms(int handle)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    auto const failed =
        getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0;
    return failed ? 0 : std::int64_t{info.tcpi_last_data_recv};
}

/// Sends no response and waits until the router closes the connection.
asio::awaitable<void> send_no_response(boost::beast::tcp_stream& stream)
{
    boost::system::error_code fault;
    char byte{};
    co_await stream.async_read_some(
        asio::buffer(&byte, 1),
        asio::redirect_error(asio::use_awaitable, fault));
}

} // namespace

int events_of(http::request<http::string_body> const& got)
{
    auto const tokens = got["Token-Count"];
    std::string_view const text{tokens.data(), tokens.size()};
    return number_in(text.substr(std::min(text.find(',') + 1, text.size())));
}

bool has_fatal_part(http::request<http::string_body> const& got)
{
    return got["Prefix-Hash"].find("bad:") != std::string_view::npos;
}

std::string body_of(std::string const& id)
{
    return "done " + id;
}

soak_server::soak_server(asio::io_context& loop, soak_record& record)
    : record{record}, loop{loop}, reserved{loop, tcp::v4()}, acceptor{loop}
{
    this->reserved.set_option(tcp::acceptor::reuse_address{true});
    this->reserved.bind({asio::ip::make_address("127.0.0.1"), 0});
    this->start();
}

soak_server::~soak_server() = default;

std::string soak_server::address() const
{
    return "127.0.0.1:" +
           std::to_string(this->reserved.local_endpoint().port());
}

int soak_server::running() const
{
    return *this->runs;
}

std::string soak_server::head_of(std::string const& id,
                                 std::string const& more) const
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nUpstream-Signature: s1\r\n" + this->notices + more + "\r\n\r\n";
}

void soak_server::start()
{
    this->acceptor = tcp::acceptor{this->loop, this->reserved.local_endpoint()};
    asio::co_spawn(this->loop, this->accept(), asio::detached);
}

void soak_server::kill()
{
    boost::system::error_code ignored; // the acceptor is closed in any case
    this->acceptor.close(ignored);
    for (auto* const stream : *this->open)
    {
        stream->close();
    }
}

asio::awaitable<void> soak_server::accept()
{
    while (true)
    {
        boost::system::error_code fault;
        auto socket = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, fault));
        if (fault)
        {
            co_return;
        }
        asio::co_spawn(this->loop, this->serve(std::move(socket)),
                       asio::detached);
    }
}

asio::awaitable<void> soak_server::serve(tcp::socket socket)
{
    boost::beast::tcp_stream stream{std::move(socket)};
    this->open->insert(&stream);
    std::shared_ptr<void> const registered{nullptr,
                                           [all = this->open, &stream](void*)
                                           {
                                               all->erase(&stream);
                                           }};
    boost::beast::flat_buffer buffer;
    while (true)
    {
        boost::system::error_code fault;
        request got;
        co_await http::async_read(
            stream, buffer, got,
            asio::redirect_error(asio::use_awaitable, fault));
        if (fault || !co_await this->answer(stream, got))
        {
            co_return;
        }
    }
}

asio::awaitable<bool> soak_server::answer(boost::beast::tcp_stream& stream,
                                          request const& got)
{
    std::string const id{got["Request-Id"]};
    auto const deadline = got["Deadline-Ms"];
    auto const waited = waited_ms(stream.socket().native_handle());
    auto const rejected =
        this->on_request ? this->on_request(got, waited) : std::string{};
    if (!rejected.empty())
    {
        // Fits in the socket's buffer. A server that falls over has closed it.
        boost::system::error_code fault;
        asio::write(stream, asio::buffer(rejected), fault);
        co_return !fault;
    }
    this->record.note_execution(
        id, number_in({deadline.data(), deadline.size()}), waited);
    *this->runs += 1;
    std::shared_ptr<void> const running{nullptr, [all = this->runs](void*)
                                        {
                                            *all -= 1;
                                        }};
    dice draw{seed_of(id)};
    if (has_fatal_part(got))
    {
        co_await pause(this->loop.get_executor(), draw.ms(20, 300));
        // The same crash may have ended this connection already.
        if (stream.socket().is_open())
        {
            this->on_fatal_part();
        }
        co_return false;
    }
    if (!this->reliable && draw.chance(silent_percent))
    {
        co_await send_no_response(stream);
        co_return false;
    }
    if (events_of(got) > 0)
    {
        co_return co_await this->send_events(stream, got);
    }
    auto const slow = draw.chance(slow_percent);
    co_await pause(this->loop.get_executor(),
                   slow ? draw.ms(500, 2'500) : draw.ms(2, 60));
    auto const body = body_of(id);
    auto const size = "Content-Length: " + std::to_string(body.size());
    co_return co_await send(stream, head_of(id, size) + body);
}

asio::awaitable<bool> soak_server::send_events(boost::beast::tcp_stream& stream,
                                               request const& got)
{
    std::string const id{got["Request-Id"]};
    std::string const last{got["Last-Event-Id"]};
    dice draw{seed_of(id + "/" + last)};
    auto const events = events_of(got);
    auto const gap = draw.ms(5, 80);
    auto const unframed = draw.chance(unframed_percent);
    auto const truncated =
        unframed && !this->reliable && draw.chance(truncated_percent);
    auto next = number_in(last) + 1;
    auto const end = truncated ? draw.between(next, events) : events;
    auto const padding = this->reliable && draw.chance(padded_percent)
                             ? draw.between(200, 1'500)
                             : 0;
    std::string const data(static_cast<std::size_t>(padding) + 1, 't');
    std::string const framing =
        unframed ? "" : "\r\nTransfer-Encoding: chunked";
    auto const head = head_of(id, "Content-Type: text/event-stream" + framing);
    auto open = co_await send(stream, head);
    for (; open && next <= end; ++next)
    {
        co_await pause(this->loop.get_executor(), gap);
        auto event = "id: " + std::to_string(next) + "\ndata: " + data + "\n\n";
        if (truncated && next == end)
        {
            event.resize(static_cast<std::size_t>(
                draw.between(1, static_cast<int>(event.size()) - 1)));
        }
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        auto const bytes = unframed ? event : chunk.str();
        open = co_await send(stream, bytes);
    }
    if (!open)
    {
        this->record.note(id, "its router closes the server's connection");
    }
    if (unframed)
    {
        co_return false;
    }
    co_return open&& co_await send(stream, "0\r\n\r\n");
}

} // namespace caperpath::soak
