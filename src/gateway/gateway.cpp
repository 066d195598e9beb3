#include "gateway/gateway.hpp"

#include "gateway/http_call.hpp"
#include "gateway/session.hpp"

#include <caperpath/base/http_status.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr std::chrono::milliseconds tick_time{100};
/// The balancer asks once a second and takes a router out after two misses.
constexpr duration balancer_notices{3'000};
/// Giving shares back takes two round trips for each budget, all at once.
constexpr duration longest_return{1'500};
/// What is left of the grace time for the process to end by itself.
constexpr duration exit_margin{800};
/// A router without a first share of some budget serves the other customers.
constexpr duration longest_wait_for_shares{1'500};
constexpr std::chrono::seconds page_timeout{5};
constexpr int backlog = 1'024;

std::string peer_address(settings const& from)
{
    auto const ip = from.callers.substr(0, from.callers.rfind(':'));
    return ip + ":" + std::to_string(from.first_peer_port);
}

} // namespace

gateway_server::gateway_server(asio::io_context& loop, settings const& settings,
                               dialect names, store::async_port const& store,
                               incarnation_id incarnation, int log_descriptor)
    : loop{loop}, shared{loop.get_executor(),    settings,
                         std::move(names),       store,
                         std::move(incarnation), log_descriptor},
      callers{loop}, readiness{loop}, metrics{loop}, timer{loop},
      roster{loop.get_executor(), store, std::move(incarnation),
             peer_address(settings), this->shared.log}
{
    this->follow_store(store);
}

gateway_server::~gateway_server() = default;

result<void> gateway_server::listen(tcp::acceptor& acceptor,
                                    std::string const& address)
{
    boost::system::error_code fault;
    auto const local = endpoint_of(address);
    acceptor.open(local.protocol(), fault);
    acceptor.set_option(tcp::acceptor::reuse_address{true}, fault);
    acceptor.bind(local, fault);
    if (!fault)
    {
        acceptor.listen(backlog, fault);
    }
    if (fault)
    {
        return fail(
            {error_kind::unavailable, "listen", address, fault.message()});
    }
    return {};
}

result<void> gateway_server::start()
{
    auto const& settings = this->shared.settings;
    BOOST_LEAF_CHECK(this->listen(this->callers, settings.callers));
    BOOST_LEAF_CHECK(this->listen(this->readiness, settings.readiness));
    BOOST_LEAF_CHECK(this->listen(this->metrics, settings.metrics));
    this->shared.log.write(
        log_weight::notable, "start",
        {{"callers", settings.callers}, {"store", settings.store_address}});
    this->accept_callers();
    this->accept_pages(this->readiness);
    this->accept_pages(this->metrics);
    this->shared.budgets.start();
    this->sites->start();
    this->servers->start();
    this->roster.start();
    this->tick();
    return {};
}

std::uint16_t gateway_server::callers_port() const
{
    return this->callers.local_endpoint().port();
}

std::uint16_t gateway_server::readiness_port() const
{
    return this->readiness.local_endpoint().port();
}

void gateway_server::accept_callers()
{
    this->callers.async_accept(
        [this](boost::system::error_code fault, tcp::socket socket)
        {
            if (fault == asio::error::operation_aborted)
            {
                return;
            }
            if (!fault)
            {
                asio::co_spawn(this->loop,
                               serve_caller(this->shared, std::move(socket)),
                               asio::detached);
            }
            this->accept_after(fault, [this] { this->accept_callers(); });
        });
}

/// Without a pause a process out of descriptors would try to accept in a loop
/// that leaves no time for the requests whose end would free some.
void gateway_server::accept_after(boost::system::error_code fault,
                                  std::function<void()> accept)
{
    if (!fault)
    {
        accept();
        return;
    }
    this->shared.log.fault({error_kind::unavailable, "accept",
                            this->shared.settings.callers, fault.message()});
    auto const pause = std::make_shared<asio::steady_timer>(this->loop);
    pause->expires_after(tick_time);
    pause->async_wait(
        [pause, accept = std::move(accept)](boost::system::error_code stopped)
        {
            if (!stopped)
            {
                accept();
            }
        });
}

void gateway_server::accept_pages(tcp::acceptor& acceptor)
{
    acceptor.async_accept(
        [this, &acceptor](boost::system::error_code fault, tcp::socket socket)
        {
            if (fault == asio::error::operation_aborted)
            {
                return;
            }
            if (!fault)
            {
                asio::co_spawn(this->loop, this->serve_page(std::move(socket)),
                               asio::detached);
            }
            this->accept_after(fault, [this, &acceptor]
                               { this->accept_pages(acceptor); });
        });
}

/// The balancer's question whether to send callers here, and the metrics.
asio::awaitable<void> gateway_server::serve_page(tcp::socket socket)
{
    auto const is_metrics =
        socket.local_endpoint().port() == this->metrics.local_endpoint().port();
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer;
    boost::system::error_code fault;
    auto going_on = true;
    while (going_on)
    {
        http::request<http::string_body> request;
        stream.expires_after(page_timeout);
        co_await http::async_read(
            stream, buffer, request,
            asio::redirect_error(asio::use_awaitable, fault));
        if (fault)
        {
            co_return;
        }
        auto const status = is_metrics || this->ready()
                                ? http::status::ok
                                : http::status::service_unavailable;
        http::response<http::string_body> answer{status, request.version()};
        answer.set(http::field::content_type, "text/plain");
        if (is_metrics)
        {
            answer.body() = this->shared.metrics.render();
        }
        answer.keep_alive(request.keep_alive());
        answer.prepare_payload();
        co_await http::async_write(
            stream, answer, asio::redirect_error(asio::use_awaitable, fault));
        going_on = !fault && answer.keep_alive();
    }
}

void gateway_server::follow_store(store::async_port const& store)
{
    auto const& names = this->shared.names;
    auto const reached = [this](bool reachable, error const& why)
    {
        this->note_store(reachable, why);
    };
    auto const on_site = [this](store::feed_page const& page)
    {
        this->apply_site(page);
    };
    this->sites = std::make_unique<table_follower>(
        this->loop.get_executor(), store, names.site_table,
        table_listener{on_site, on_site, reached});
    auto const on_servers = [this](store::feed_page const& page)
    {
        for (auto const& row : page.rows)
        {
            this->apply_server(row);
        }
    };
    this->servers = std::make_unique<table_follower>(
        this->loop.get_executor(), store, names.server_table,
        table_listener{[this](store::feed_page const& page)
                       { this->replace_servers(page); },
                       on_servers, reached});
}

/// A configuration never goes back in one life of the process: an older one
/// could bring back a key that was revoked.
void gateway_server::apply_site(store::feed_page const& page)
{
    for (auto const& row : page.rows)
    {
        if (row.key != this->shared.names.site_key || row.deleted)
        {
            continue;
        }
        auto read = this->shared.names.read_site(row.value);
        if (auto const* fault = std::get_if<error>(&read))
        {
            this->shared.log.fault(*fault);
            continue;
        }
        auto& parts = std::get<fleet::site_parts>(read);
        auto const known = this->shared.site ? this->shared.site->version() : 0;
        if (this->shared.site && parts.version <= known)
        {
            continue;
        }
        if (!this->shared.site)
        {
            this->site_known_at = this->shared.now.now();
        }
        this->shared.site =
            std::make_shared<fleet::site const>(std::move(parts));
        this->shared.budgets.apply(*this->shared.site);
        this->shared.metrics.site_version(this->shared.site->version());
        this->shared.log.write(
            log_weight::notable, "configuration",
            {{"version", std::to_string(this->shared.site->version())},
             {"before", std::to_string(known)}});
    }
}

/// The entry in a row, or nothing if it cannot be read: then nothing is known
/// of that server any more, and it is not used.
std::optional<fleet::server_entry>
gateway_server::read_entry(store::feed_row const& row)
{
    auto const read = this->shared.names.read_server(row.key, row.value);
    if (auto const* fault = std::get_if<error>(&read))
    {
        this->shared.log.fault(*fault);
        return std::nullopt;
    }
    return std::get<fleet::server_entry>(read);
}

void gateway_server::note_listed(fleet::server_entry const& entry, bool is_new)
{
    if (is_new)
    {
        this->shared.pool.forget(entry.id);
        this->shared.prompts.forget(entry.id);
    }
    if (is_new || entry.leaving)
    {
        this->shared.log.write(log_weight::notable, "server",
                               {{"server", entry.id.value},
                                {"state", entry.leaving ? "leaving" : "listed"},
                                {"service", entry.service.value}});
    }
}

void gateway_server::apply_server(store::feed_row const& row)
{
    auto const now = this->shared.now.now();
    auto const entry = row.deleted ? std::nullopt : this->read_entry(row);
    if (!entry)
    {
        fleet::unlist_server(this->shared.servers, {row.key}, now);
        this->shared.log.write(log_weight::notable, "server",
                               {{"server", row.key}, {"state", "unlisted"}});
        return;
    }
    this->note_listed(*entry,
                      fleet::list_server(this->shared.servers, *entry, now));
}

void gateway_server::replace_servers(store::feed_page const& page)
{
    std::vector<fleet::server_entry> entries;
    for (auto const& row : page.rows)
    {
        if (auto entry = this->read_entry(row))
        {
            entries.push_back(std::move(*entry));
        }
    }
    auto const added = fleet::replace_servers(this->shared.servers, entries,
                                              this->shared.now.now());
    for (auto const& id : added)
    {
        this->note_listed(this->shared.servers.servers.at(id).entry, true);
    }
    this->shared.servers_listed = true;
    this->shared.metrics.servers_listed(entries.size());
}

void gateway_server::note_store(bool reachable, error const& why)
{
    fleet::note_store(this->shared.servers, reachable, this->shared.now.now());
    this->shared.metrics.store_call(reachable);
    if (reachable != this->was_reachable)
    {
        this->was_reachable = reachable;
        this->shared.log.write(log_weight::notable, "store",
                               {{"state", reachable ? "regained" : "lost"},
                                {"peer", why.peer},
                                {"detail", why.detail}});
    }
}

bool gateway_server::ready() const
{
    if (this->shared.stopping || !this->shared.site ||
        !this->shared.servers_listed)
    {
        return false;
    }
    auto const since = this->shared.now.now() - this->site_known_at;
    return this->shared.budgets.ready() || since >= longest_wait_for_shares;
}

void gateway_server::stop()
{
    if (this->shared.stopping)
    {
        return;
    }
    this->shared.stopping = true;
    this->stop_began = this->shared.now.now();
    this->shared.log.write(
        log_weight::notable, "stop",
        {{"open_requests", std::to_string(this->shared.open_requests)}});
}

void gateway_server::reload()
{
    this->shared.log.write(log_weight::notable, "reload",
                           {{"outcome", "settings count from the next start"}});
}

void gateway_server::flush_log()
{
    this->shared.log.write(
        log_weight::notable, "end",
        {{"open_requests", std::to_string(this->shared.open_requests)}});
    this->shared.log.flush();
}

bool gateway_server::stopped() const
{
    if (!this->shared.stopping)
    {
        return false;
    }
    auto const since = this->shared.now.now() - this->stop_began;
    auto const done = this->shared.open_requests == 0 &&
                      this->shared.connections == 0 &&
                      since >= balancer_notices &&
                      (this->shared.budgets.closed() ||
                       since >= balancer_notices + longest_return);
    return done || since >= this->shared.settings.grace - exit_margin;
}

void gateway_server::tick()
{
    auto const now = this->shared.now.now();
    this->shared.pool.sweep();
    for (auto const& id : fleet::sweep_servers(this->shared.servers, now))
    {
        this->shared.pool.forget(id);
        this->shared.prompts.forget(id);
    }
    this->shared.routers = this->roster.alive();
    this->shared.metrics.lines_dropped(this->shared.log.dropped());
    if (this->ready() != this->was_ready)
    {
        this->was_ready = this->ready();
        this->shared.log.write(log_weight::notable, "readiness",
                               {{"ready", this->was_ready ? "yes" : "no"}});
    }
    if (this->shared.stopping && !this->shared.closing_idle &&
        now - this->stop_began >= balancer_notices)
    {
        this->shared.closing_idle = true;
        for (auto* const sleeper : this->shared.idle_callers)
        {
            sleeper->raise();
        }
        this->shared.budgets.close();
        this->roster.leave();
    }
    this->timer.expires_after(tick_time);
    this->timer.async_wait(
        [this](boost::system::error_code fault)
        {
            if (!fault)
            {
                this->tick();
            }
        });
}

} // namespace caperpath::gateway
