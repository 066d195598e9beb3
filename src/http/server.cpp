#include "http/server.hpp"

#include "http/message_framing.hpp"
#include "http/socket_stream.hpp"
#include "http/worker_pool.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/observe/log.hpp>

#include <array>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace caperpath::http
{

namespace
{

// cpp-httplib listens with a short backlog. If many callers connect at once,
// the kernel drops the excess, and those callers retry after a second: their
// first token is a second late.
constexpr int listen_backlog = 1'024;

class connection_queue : public httplib::TaskQueue
{
public:
    explicit connection_queue(std::size_t max_threads) : workers{max_threads}
    {
    }

    void enqueue(std::function<void()> task) override
    {
        this->workers.enqueue(std::move(task));
    }

    void shutdown() override
    {
        this->workers.shutdown();
    }

private:
    worker_pool workers;
};

// Returns the number of established connections not yet accepted; 0 if unknown.
unsigned waiting_connections(int listener)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    bool const known =
        getsockopt(listener, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    // For a listening socket, this is the length of its accept queue.
    return known ? info.tcpi_unacked : 0;
}

/// True if the library gave up within the body of the current request of this
/// thread: the rest of it is unread.
thread_local bool left_within_body = false;

/// After a fault within the chunks of a body the library would take the rest
/// for the next request.
void note_unread_body(httplib::Request const& request,
                      httplib::Response& response)
{
    if (request.has_header("Transfer-Encoding") &&
        (response.status == http_bad_request ||
         response.status == http_payload_too_large))
    {
        left_within_body = true;
        response.set_header("Connection", "close");
    }
}

/// Makes the library reject `request` with 400 without reading its body: no
/// handler has its method.
void reject(httplib::Request& request, std::string_view why)
{
    observe::log_warning({"read_request", {}, request.remote_addr},
                         "rejected: " + std::string{why});
    request.method = "-";
    request.headers.erase("Expect");
    request.headers.erase("Connection");
    request.set_header("Connection", "close");
}

/// Discards input until the sender disconnects or for a bounded time. Closing
/// with unread bytes would reset the connection, and the response could be
/// lost.
void discard_input(socket_t socket)
{
    constexpr duration max_time{500};
    auto const now = clock::monotonic();
    auto const until = now.now() + max_time;
    std::array<char, 4'096> discarded{};
    ::shutdown(socket, SHUT_WR);
    for (auto left = max_time; left > duration{0}; left = until - now.now())
    {
        if (!wait_readable(socket, left) ||
            recv(socket, discarded.data(), discarded.size(), 0) <= 0)
        {
            return;
        }
    }
}

std::chrono::milliseconds to_chrono(duration span)
{
    return std::chrono::milliseconds{span.ms};
}

} // namespace

server::server(server_options options) : options{options}
{
    auto const max_threads = options.max_threads;
    this->new_task_queue = [max_threads]
    {
        return new connection_queue(max_threads);
    };
    // cpp-httplib sets SO_REUSEPORT by default, so two processes could listen
    // on one port unnoticed, each receiving some of the callers. A router that
    // has bound its address relies on this as proof that the previous process
    // is dead, and takes over that process's shares of the budgets.
    this->set_socket_options(
        [](socket_t socket)
        {
            int const on = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        });
    this->set_payload_max_length(options.max_body_bytes);
    this->set_read_timeout(to_chrono(options.read_timeout));
    this->set_write_timeout(to_chrono(options.write_timeout));
    this->set_tcp_nodelay(true);
    this->set_post_routing_handler(note_unread_body);
}

server::~server()
{
    this->finish();
}

int server::bind(std::string const& address)
{
    auto const where = parse_endpoint(address);
    int port = where.port;
    if (port == 0)
    {
        port = this->bind_to_any_port(where.host);
    }
    else if (!this->bind_to_port(where.host, port))
    {
        port = -1;
    }
    if (port < 0)
    {
        return -1;
    }
    ::listen(this->svr_sock_, listen_backlog);
    return port;
}

void server::serve()
{
    this->acceptor = std::thread{[this]
                                 {
                                     this->listen_after_bind();
                                 }};
}

int server::start(std::string const& address)
{
    int const port = this->bind(address);
    if (port >= 0)
    {
        this->serve();
    }
    return port;
}

void server::finish()
{
    if (!this->acceptor.joinable())
    {
        return;
    }
    this->finishing = true;
    // cpp-httplib's `stop` also omits every body that has not been started.
    // Ending only the accept loop lets open requests receive theirs.
    this->end_accepting();
    this->acceptor.join();
}

// Closing a listening socket resets connections that are established but not
// accepted, so those are accepted first.
void server::end_accepting() const
{
    constexpr int max_polls = 500;
    constexpr std::chrono::milliseconds poll_pause{1};
    for (int polls = 0;
         polls < max_polls && waiting_connections(this->svr_sock_) > 0; ++polls)
    {
        std::this_thread::sleep_for(poll_pause);
    }
    ::shutdown(this->svr_sock_, SHUT_RDWR);
}

// Waits for the next request on a kept connection. Polls the stop flag, so that
// a stop does not wait for the whole keep-alive time.
bool server::next_request(socket_t socket) const
{
    constexpr duration poll_interval{100};
    for (duration waited; waited < this->options.keep_alive;
         waited = waited + poll_interval)
    {
        if (wait_readable(socket, poll_interval))
        {
            return true;
        }
        if (this->finishing)
        {
            // A request may have arrived since the last poll.
            return wait_readable(socket, {});
        }
    }
    return false;
}

bool server::process_and_close_socket(socket_t socket)
{
    bool served = true;
    bool closed = false;
    bool rejected = false;
    left_within_body = false;
    socket_stream stream{socket, this->options.read_timeout,
                         this->options.write_timeout};
    auto const check_framing = [&rejected, &stream](httplib::Request& request)
    {
        if (auto const why = find_request_fault(stream.message()))
        {
            rejected = true;
            reject(request, *why);
        }
        stream.record_message(false);
    };
    while (served && !closed &&
           (stream.has_buffered() || this->next_request(socket)))
    {
        bool const last = this->finishing;
        stream.record_message(true);
        served = this->process_request(stream, last, closed, check_framing) &&
                 !rejected && !left_within_body;
    }
    if (rejected || left_within_body)
    {
        discard_input(socket);
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return served;
}

void set_body(httplib::Response& response, std::string body,
              std::string const& content_type)
{
    if (body.empty())
    {
        response.set_content("", content_type);
        return;
    }
    auto const kept = std::make_shared<std::string const>(std::move(body));
    response.set_content_provider(
        kept->size(), content_type,
        [kept](std::size_t offset, std::size_t length, httplib::DataSink& sink)
        { return sink.write(kept->data() + offset, length); });
}

endpoint parse_endpoint(std::string const& address)
{
    auto const colon = address.rfind(':');
    return {address.substr(0, colon), std::stoi(address.substr(colon + 1))};
}

} // namespace caperpath::http
