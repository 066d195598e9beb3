#include "gateway/requests/stream_version_exchange.hpp"

#include "gateway/run_after.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Routers that keep the version of a stream besides the one that serves it:
/// the loss of three routers together leaves one.
constexpr std::size_t keepers = 3;
/// Membership differs between routers for some seconds, so more are asked.
constexpr std::size_t most_asked = 12;
/// Collects the streams that begin together; a router that is killed loses
/// those of this time.
constexpr duration note_delay{20};
/// Other routers reply within a round trip.
constexpr duration max_router_wait{60};
/// Callers of streams that began while there was one version may come back for
/// this long; their deadlines are not known any more.
constexpr duration longest_open_stream{15'000};

bool has_record_of_stream(fleet::stream_report const& report)
{
    return report.uncertain || !report.sources.version.empty();
}

} // namespace

stream_version_exchange::stream_version_exchange(
    boost::asio::any_io_executor const& executor, sender send,
    store::async_port port, std::string vm, std::int64_t writes_per_s,
    decision_log& log, caperpath::clock now)
    : executor{executor}, timer{executor}, send{std::move(send)}, log{log},
      rows{executor,
           std::move(port),
           std::move(vm),
           writes_per_s,
           log,
           {[this](fleet::streams_by_source const& streams)
            {
                for (auto const& [source, keys] : streams)
                {
                    for (auto const key : keys)
                    {
                        this->known.note(key, source, this->now.now());
                    }
                }
            },
            [this](service_id const& service)
            {
                this->keep_in_store(service);
            }}},
      now{std::move(now)}
{
}

void stream_version_exchange::start()
{
    this->rows.start();
}

bool stream_version_exchange::has_read_rows() const
{
    return this->rows.has_read();
}

void stream_version_exchange::set_routers(std::vector<std::string> addresses)
{
    this->routers = std::move(addresses);
    this->rows.set_router_count(std::ssize(this->routers) + 1);
}

void stream_version_exchange::note_servers(fleet::server_table& table)
{
    this->history =
        fleet::note_versions(std::move(this->history), table, this->now.now());
    this->rows.note_servers(table, this->history);
}

void stream_version_exchange::note_server(fleet::server_entry const& entry)
{
    auto const at = this->now.now();
    auto const before = fleet::only_version(this->history, entry.service, at);
    this->history = fleet::note_version(std::move(this->history), entry, at);
    if (!before || fleet::only_version(this->history, entry.service, at))
    {
        return;
    }
    this->keep_own_elsewhere();
}

bool stream_version_exchange::is_certain(
    fleet::stream_source const& source) const
{
    return fleet::is_certain(this->history, {source.version, {source.server}},
                             this->now.now());
}

/// Streams that began before the second version may be resumed after it.
void stream_version_exchange::keep_own_elsewhere()
{
    for (auto const& [source, streams] : this->own.all(this->now.now()))
    {
        auto const certain = this->is_certain(source);
        for (auto const stream : streams)
        {
            this->keep_elsewhere(stream,
                                 certain ? source : fleet::stream_source{});
        }
    }
}

void stream_version_exchange::keep_in_store(service_id const& service)
{
    auto const at = this->now.now();
    for (auto const& [source, streams] : this->own.all(at))
    {
        auto const certain = this->is_certain(source);
        for (auto const stream : streams)
        {
            auto const until = at + longest_open_stream;
            if (certain)
            {
                this->rows.records().begin(stream, source, until);
            }
            else
            {
                this->rows.records().invalidate(stream, until);
            }
        }
    }
    this->log.write(log_weight::notable, "stream_records",
                    {{"service", service.value}, {"state", "begun"}});
}

bool stream_version_exchange::note_send(fleet::stream_key stream,
                                        service_id const& service,
                                        fleet::stream_source const& source,
                                        instant deadline)
{
    if (!this->rows.has_several(service))
    {
        return false;
    }
    this->rows.records().begin(stream, source, deadline);
    this->rows.write_soon();
    return true;
}

bool stream_version_exchange::retract(fleet::stream_key stream)
{
    return this->rows.records().retract(stream);
}

void stream_version_exchange::end(fleet::stream_key stream)
{
    this->own.forget(stream);
    this->rows.records().end(stream);
}

void stream_version_exchange::invalidate(fleet::stream_key stream,
                                         instant deadline)
{
    auto const at = this->now.now();
    this->known.note(stream, {}, at);
    this->own.note(stream, {}, at);
    this->keep_elsewhere(stream, {});
    this->rows.records().invalidate(stream, deadline);
    this->rows.write_soon();
}

void stream_version_exchange::note_stream(fleet::stream_key stream,
                                          service_id const& service,
                                          fleet::stream_source const& source)
{
    auto const at = this->now.now();
    this->known.note(stream, source, at);
    this->own.note(stream, source, at);
    if (this->rows.has_several(service))
    {
        this->rows.records().begin(stream, source, at + longest_open_stream);
        this->rows.write_soon();
    }
    if (!fleet::only_version(this->history, service, at))
    {
        this->keep_elsewhere(stream, source);
    }
}

void stream_version_exchange::keep_elsewhere(fleet::stream_key stream,
                                             fleet::stream_source const& source)
{
    auto const is_first = this->unsent.empty();
    for (auto const& keeper : fleet::keepers_of(stream, this->routers, keepers))
    {
        this->unsent[keeper][source].push_back(stream);
    }
    if (is_first && !this->unsent.empty())
    {
        run_after(this->timer, note_delay, [this] { this->send_notes(); });
    }
}

void stream_version_exchange::send_notes()
{
    for (auto const& [keeper, streams] : std::exchange(this->unsent, {}))
    {
        for (auto const& packet : note_packets(streams))
        {
            this->send(keeper, encode(packet));
        }
    }
}

fleet::stream_report
stream_version_exchange::report_of(fleet::stream_key stream,
                                   service_id const& service) const
{
    auto const at = this->now.now();
    fleet::stream_report report{
        this->known.find(stream, at).value_or(fleet::stream_sources{}),
        fleet::only_version(this->history, service, at).value_or(""),
        this->known.is_uncertain(stream, at)};
    report.uncertain = report.uncertain ||
                       !fleet::is_certain(this->history, report.sources, at);
    return report;
}

/// A record of the stream comes first. Without one, the row of the service
/// decides, as it was read after the stream began; what routers have seen
/// counts only if it could not be read, since they may not have seen each
/// version yet, and only if most of them replied: one that is cut off from the
/// others and the store sees no new version.
std::optional<std::string>
stream_version_exchange::conclude(open_query const& query,
                                  fleet::stream_key stream,
                                  service_id const& service) const
{
    auto reports = query.reports;
    reports.push_back(this->report_of(stream, service));
    auto const has_record =
        std::any_of(reports.begin(), reports.end(), has_record_of_stream);
    if (!has_record && query.rows_read.value_or(false))
    {
        return this->rows.only_version(service);
    }
    if (!has_record && !fleet::is_majority(query.reports.size(), query.asked))
    {
        return std::nullopt;
    }
    return fleet::version_to_resume(reports, this->history, this->now.now());
}

boost::asio::awaitable<std::optional<std::string>>
stream_version_exchange::find(fleet::stream_key stream, service_id service,
                              duration longest)
{
    auto const asked_at = this->now.now();
    auto const own_report = this->report_of(stream, service);
    if (has_record_of_stream(own_report))
    {
        co_return fleet::version_to_resume({own_report}, this->history,
                                           asked_at);
    }
    auto const query = std::make_shared<open_query>();
    query->wakeup = std::make_shared<waker>(this->executor);
    auto const number = ++this->last_query;
    this->queries[number] = query;
    auto const asked = fleet::keepers_of(stream, this->routers, most_asked);
    stream_packet packet;
    query->asked = asked.size();
    packet.queries.push_back({number, stream, service});
    auto const bytes = encode(packet);
    for (auto const& router : asked)
    {
        this->send(router, bytes);
    }
    this->rows.read(
        [query](bool whole)
        {
            query->rows_read = whole;
            query->wakeup->raise();
        });
    auto const began = this->now.now();
    auto const routers_until = began + std::min(longest, max_router_wait);
    auto const until = began + longest;
    auto const next_end = [&]
    {
        auto const all_replied = query->reports.size() >= asked.size();
        auto const routers_end = all_replied ? began : routers_until;
        return query->rows_read ? routers_end : until;
    };
    auto const has_record = [&]
    {
        return has_record_of_stream(this->report_of(stream, service)) ||
               std::any_of(query->reports.begin(), query->reports.end(),
                           has_record_of_stream);
    };
    while (!has_record() && this->now.now() < next_end())
    {
        static_cast<void>(co_await query->wakeup->wait(
            std::chrono::steady_clock::now() +
            to_chrono(next_end() - this->now.now())));
    }
    this->queries.erase(number);
    co_return this->conclude(*query, stream, service);
}

void stream_version_exchange::receive(std::string const& from,
                                      std::string const& bytes)
{
    auto const decoded =
        value_or_error([&bytes] { return decode_stream_packet(bytes); });
    if (auto const* fault = std::get_if<error>(&decoded))
    {
        this->log.write_error(*fault);
        return;
    }
    auto const& packet = std::get<stream_packet>(decoded);
    auto const at = this->now.now();
    for (auto const& note : packet.notes)
    {
        for (auto const stream : note.streams)
        {
            this->known.note(stream, note.source, at);
        }
    }
    stream_packet replies;
    for (auto const& query : packet.queries)
    {
        replies.replies.push_back(
            {query.number, this->report_of(query.stream, query.service)});
    }
    if (!replies.replies.empty())
    {
        this->send(from, encode(replies));
    }
    for (auto const& reply : packet.replies)
    {
        auto const found = this->queries.find(reply.number);
        if (found != this->queries.end())
        {
            found->second->reports.push_back(reply.report);
            found->second->wakeup->raise();
        }
    }
}

} // namespace caperpath::gateway
