#include "gateway/crashes/crash_handling.hpp"
#include "gateway/gateway.hpp"
#include "gateway/requests/exchange.hpp"
#include "gateway/run_part.hpp"

#include <algorithm>
#include <exception>
#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

/// Keeps the configuration and the list of servers up to date from the store.
namespace caperpath::gateway
{

namespace
{

struct built_site
{
    std::shared_ptr<fleet::site const> site; ///< null if `fault` says why
    error fault;
    duration time{};
};

using site_reader =
    std::variant<fleet::site_parts, error> (*)(std::string const& text);

built_site build_site(site_reader read_site, std::string const& text)
{
    built_site built;
    auto read = read_site(text);
    if (auto* fault = std::get_if<error>(&read))
    {
        built.fault = std::move(*fault);
    }
    else
    {
        built.site = std::make_shared<fleet::site const>(
            std::move(std::get<fleet::site_parts>(read)));
    }
    return built;
}

/// One that throws is a fault of this configuration only; a page may hold a
/// newer one.
built_site try_build_site(site_reader read_site, std::string const& text)
{
    auto const time = caperpath::clock::monotonic();
    auto const began = time.now();
    built_site built;
    try
    {
        built = build_site(read_site, text);
    }
    catch (std::exception const& thrown)
    {
        built.fault = {error_kind::internal, "read configuration", "store",
                       thrown.what()};
    }
    built.time = time.now() - began;
    return built;
}

} // namespace

void gateway_server::follow_store()
{
    auto const& port = this->shared.store_port;
    auto const& adapter = this->shared.adapter;
    auto const on_reachability = [this](bool reachable, error const& why)
    {
        this->record_store_call(reachable, why);
    };
    auto const salt = fleet::stable_hash(this->shared.settings.vm);
    auto const on_call_lost = [this](error const& why)
    {
        this->shared.log.write_error(why);
        // The pending call for the crash table may be lost too.
        this->shared.crashes.note_lost_store_call();
    };
    this->configuration_follower = std::make_unique<table_follower>(
        this->loop.get_executor(), port, adapter.site_table,
        table_listener{[this](store::feed_page const& page)
                       { this->apply_operators_page(page, true); },
                       [this](store::feed_page const& page)
                       { this->apply_operators_page(page, false); },
                       on_reachability, on_call_lost},
        salt, this->shared.log);
    auto const on_servers = [this](store::feed_page const& page)
    {
        for (auto const& row : page.rows)
        {
            run_part(this->shared.log, row.key,
                     [&] { this->apply_server(row); });
        }
    };
    this->server_follower = std::make_unique<table_follower>(
        this->loop.get_executor(), port, adapter.server_table,
        table_listener{[this](store::feed_page const& page)
                       { this->replace_servers(page); },
                       on_servers, on_reachability, on_call_lost},
        salt, this->shared.log);
}

/// Evacuations come first: a router takes callers once it has a configuration,
/// and must know by then where it may not send them.
void gateway_server::apply_operators_page(store::feed_page const& page,
                                          bool whole)
{
    this->shared.uplink =
        fleet::note_configuration_confirmed(this->shared.uplink);
    this->apply_evacuations(page, whole);
    this->apply_configuration(page);
}

/// Ignores pages older than the latest: they could end an evacuation early.
void gateway_server::apply_evacuations(store::feed_page const& page, bool whole)
{
    if (page.version < this->shared.evacuations_version)
    {
        return;
    }
    this->shared.evacuations_version = page.version;
    auto const& prefix = this->shared.adapter.evacuation_prefix;
    auto& servers = this->shared.servers;
    auto const now = this->shared.now.now();
    auto evacuated = whole ? std::set<failure_domain_id>{} : servers.evacuated;
    for (auto const& row : page.rows)
    {
        if (!row.key.starts_with(prefix))
        {
            continue;
        }
        failure_domain_id const domain{row.key.substr(prefix.size())};
        evacuated.insert(domain);
        if (row.deleted)
        {
            // One that begins and ends within a page leaves cold servers, too.
            this->set_evacuated(evacuated, now);
            evacuated.erase(domain);
        }
    }
    this->set_evacuated(evacuated, now);
}

void gateway_server::set_evacuated(std::set<failure_domain_id> const& evacuated,
                                   instant now)
{
    auto const before = this->shared.servers.evacuated;
    if (evacuated == before)
    {
        return;
    }
    fleet::set_evacuated(this->shared.servers, evacuated, now);
    auto const log =
        [this](failure_domain_id const& domain, std::string_view state)
    {
        this->shared.log.write(
            log_weight::notable, "evacuation",
            {{"failure_domain", domain.value}, {"state", std::string{state}}});
    };
    for (auto const& domain : evacuated)
    {
        if (!before.contains(domain))
        {
            log(domain, "begun");
        }
    }
    for (auto const& domain : before)
    {
        if (!evacuated.contains(domain))
        {
            log(domain, "ended");
        }
    }
    this->shared.metrics.evacuated(evacuated.size());
}

/// Reading and building a large configuration takes long enough to delay the
/// events of open streams, so it is left to the worker, which keeps the order.
void gateway_server::apply_configuration(store::feed_page const& page)
{
    // No other version was in force up to here.
    auto const since = this->configuration_confirmed_at;
    auto const read_at = page.cost.first_byte_at == instant{}
                             ? this->shared.now.now()
                             : page.cost.first_byte_at;
    auto const has_version =
        std::any_of(page.rows.begin(), page.rows.end(),
                    [this](store::feed_row const& row)
                    { return row.key == this->shared.adapter.site_key; });
    if (!has_version)
    {
        this->configuration_confirmed_at =
            this->reading_configurations == 0 ? read_at : since;
    }
    for (auto const& row : page.rows)
    {
        if (row.key != this->shared.adapter.site_key || row.deleted)
        {
            continue;
        }
        auto const use = [this, since, read_at, rows = page.rows.size(),
                          cost = page.cost](built_site const& built)
        {
            if (!built.site)
            {
                this->shared.log.write_error(built.fault);
                return;
            }
            this->use_configuration(built.site,
                                    {rows, cost, built.time, since, read_at});
        };
        auto const read_site = this->shared.adapter.read_site;
        if (row.value.size() <= longest_inline_text)
        {
            use(try_build_site(read_site, row.value));
            continue;
        }
        this->reading_configurations += 1;
        this->background->run<built_site>(
            worker_lane::configuration, "read configuration",
            [read_site, text = row.value]
            { return try_build_site(read_site, text); },
            [this, use](std::variant<built_site, error> const& result)
            {
                this->reading_configurations -= 1;
                if (auto const* fault = std::get_if<error>(&result))
                {
                    this->shared.log.write_error(*fault);
                    return;
                }
                use(std::get<built_site>(result));
            });
    }
}

/// Ignores configurations older than the one in use: they could restore a
/// revoked key.
void gateway_server::use_configuration(std::shared_ptr<fleet::site const> site,
                                       configuration_read const& read)
{
    auto& shared = this->shared;
    auto const known = shared.site ? shared.site->version() : 0;
    if (shared.site && site->version() <= known)
    {
        return;
    }
    auto const began = shared.now.now();
    if (!shared.site)
    {
        this->configuration_known_at = began;
    }
    shared.budgets.apply(*site);
    adopt_longer_timeouts(shared, *site, read.since);
    shared.site = std::move(site);
    this->configuration_confirmed_at = read.read_at;
    fleet::set_warm_ups(shared.servers, shared.site->warm_ups());
    shared.metrics.site_version(shared.site->version());
    shared.log.write(
        log_weight::notable, "configuration",
        {{"version", std::to_string(shared.site->version())},
         {"before", std::to_string(known)},
         {"routes", std::to_string(shared.site->routes().size())},
         {"rows", std::to_string(read.rows)},
         {"bytes", std::to_string(read.cost.bytes)},
         {"answered_ms", std::to_string(read.cost.time_to_first_byte.ms)},
         {"read_ms", std::to_string(read.cost.total_time.ms)},
         {"parse_ms", std::to_string(read.cost.parse_time.ms)},
         {"build_ms", std::to_string(read.build_time.ms)},
         {"apply_ms", std::to_string((shared.now.now() - began).ms)}});
}

/// Parses the entry in a row. Returns nothing if it is invalid: the state of
/// that server is then unknown, and the server is not used.
std::optional<fleet::server_entry>
gateway_server::read_entry(store::feed_row const& row)
{
    std::optional<fleet::server_entry> entry;
    run_part(this->shared.log, row.key,
             [&]
             {
                 auto read =
                     this->shared.adapter.read_server(row.key, row.value);
                 if (auto const* fault = std::get_if<error>(&read))
                 {
                     this->shared.log.write_error(*fault);
                     return;
                 }
                 entry = std::get<fleet::server_entry>(std::move(read));
             });
    return entry;
}

void gateway_server::handle_listed(fleet::server_entry const& entry,
                                   bool is_new)
{
    if (is_new)
    {
        confirm_crashes(this->shared, entry.id, entry.born_ms);
        invalidate_streams_at(this->shared, entry);
        this->shared.streams.note_server(entry);
        this->shared.pool.drop(entry.id);
        this->shared.prompts.forget(entry.id);
    }
    if (is_new || entry.draining)
    {
        this->shared.log.write(
            log_weight::notable, "server",
            {{"server", entry.id.value},
             {"state", entry.draining ? "leaving" : "listed"},
             {"service", entry.service.value},
             {"version", entry.version}});
    }
}

void gateway_server::apply_server(store::feed_row const& row)
{
    auto const now = this->shared.now.now();
    auto const entry = row.deleted ? std::nullopt : this->read_entry(row);
    if (!entry)
    {
        this->unlist_server({row.key});
        this->shared.log.write(log_weight::notable, "server",
                               {{"server", row.key}, {"state", "unlisted"}});
        return;
    }
    auto const is_new = fleet::list_server(this->shared.servers, *entry, now);
    this->handle_listed(*entry, is_new);
    if (is_new)
    {
        this->shared.streams.note_servers(this->shared.servers);
    }
}

/// An entry that lapses in an outage of the store may return.
void gateway_server::unlist_server(backend_server_id const& id)
{
    auto const now = this->shared.now.now();
    auto& table = this->shared.servers;
    auto const found = table.servers.find(id);
    auto const ran =
        found != table.servers.end() && !fleet::is_draining(found->second, now);
    fleet::unlist_server(table, id, now);
    if (ran && fleet::is_draining(found->second, now))
    {
        confirm_crashes(this->shared, id, std::nullopt);
    }
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
    this->shared.servers_listed = true;
    for (auto const& id : added)
    {
        run_part(this->shared.log, id.value,
                 [&] {
                     this->handle_listed(
                         this->shared.servers.servers.at(id).entry, true);
                 });
    }
    this->shared.streams.note_servers(this->shared.servers);
    this->shared.metrics.servers_listed(entries.size());
}

void gateway_server::record_store_call(bool reachable, error const& why)
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

} // namespace caperpath::gateway
