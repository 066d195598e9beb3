#include "soak/soak_site.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

namespace caperpath::soak
{

namespace
{

/// Streams that have used up more of their time than this are not counted.
constexpr std::int64_t counted_percent = 70;
constexpr std::int64_t whole_percent = 100;
constexpr int ok = 200;
constexpr int first_server_error = 500;
constexpr int unavailable = 503;
/// A router may still take a path for silent this long after.
constexpr std::int64_t notice_ms = 4'000;
/// It is ready this long after its start.
constexpr std::int64_t start_ms = 4'000;
/// Ends that a report shows.
constexpr std::size_t most_reported = 5;
std::string const cut{"cut"};
std::string const not_served{"not served"};

/// The value of a field in a log line; "-" if it has none.
std::string field(std::string const& line, std::string const& name)
{
    auto const key = " " + name + "=";
    auto const at = line.find(key);
    if (at == std::string::npos)
    {
        return "-";
    }
    auto const begin = at + key.size();
    if (line[begin] == '"')
    {
        return line.substr(begin, line.find('"', begin + 1) + 1 - begin);
    }
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// The lines of requests in the log of a router, by the request's id.
std::map<std::string, std::string> request_lines(soak_site const& site,
                                                 int router)
{
    std::map<std::string, std::string> lines;
    std::ifstream log{site.options.folder /
                      ("router-" + std::to_string(router) + ".log")};
    for (std::string line; std::getline(log, line);)
    {
        if (line.find(" step=request ") != std::string::npos)
        {
            lines[field(line, "request")] += "  " + line + "\n";
        }
    }
    return lines;
}

/// Who ended a request, as its router says.
std::string cause_in(std::string const& lines, stream_end const& end)
{
    if (lines.empty())
    {
        // A router that is killed loses the lines of its last 50 ms.
        return "no line of " + end.id + " at router " +
               std::to_string(end.router) + ", " +
               std::to_string(end.ended_ms) + " ms";
    }
    std::string cause = "reason=" + field(lines, "reason");
    for (auto const* const name : {"server_end", "caller_end"})
    {
        cause += std::string{" "} + name + "=" + field(lines, name);
    }
    return cause;
}

/// What became of a stream that did not end with its last event.
std::string kind_of(stream_end const& end, std::string const& lines)
{
    if (end.beside_kill && field(lines, "relay") != "-")
    {
        return "relayed beside a kill";
    }
    if (end.status == 0 || end.status == ok)
    {
        return cut;
    }
    auto const reason = field(lines, "reason");
    // A budget that is nearly used up, of which other routers hold parts.
    auto const is_out_of_budget =
        reason == "budget_unknown" && field(lines, "customer") == "small";
    auto const may_reject =
        end.may_reject || reason == "servers_full" || is_out_of_budget;
    return end.status == unavailable && may_reject ? "rejected" : not_served;
}

} // namespace

void note_stream_end(soak_site& site, std::string const& id,
                     request_outcome const& how, int router,
                     std::int64_t began_ms, int timeout_ms)
{
    auto const used = site.record.now_ms() - began_ms;
    auto const late = used * whole_percent >= timeout_ms * counted_percent;
    auto const is_error = how.status >= first_server_error;
    auto const complete =
        how.whole && !is_error && (how.right || how.status != ok);
    auto const& process = *site.routers[static_cast<std::size_t>(router)];
    if (!site.options.configurations || complete)
    {
        return;
    }
    if (late || process.stopping)
    {
        site.record.count(
            std::string{how.whole ? "streams rejected " : "streams cut "} +
            (late ? "near their time limit" : "at stops"));
        return;
    }
    site.record.note(id, "its stream ended early");
    auto const ran_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::steady_clock::now() - process.started)
                            .count();
    site.stream_ends.push_back(
        {id, router, how.status, site.record.now_ms(),
         how.whole ? "status " + std::to_string(how.status) : how.fault,
         site.last_kill_ms >= began_ms,
         ran_ms - used < start_ms ||
             was_silent(site, router, began_ms - notice_ms)});
}

void check_streams(soak_site& site)
{
    std::map<int, std::map<std::string, std::string>> logs;
    std::ostringstream report;
    std::size_t broken = 0;
    for (auto const& end : site.stream_ends)
    {
        auto const [log, is_new] = logs.try_emplace(end.router);
        if (is_new)
        {
            log->second = request_lines(site, end.router);
        }
        auto const lines = log->second[end.id];
        auto const kind = kind_of(end, lines);
        site.record.count("streams " + kind + ", " + end.seen + ", " +
                          cause_in(lines, end));
        if (kind != cut && kind != not_served)
        {
            continue;
        }
        site.record.count("streams " + kind);
        broken += 1;
        if (broken <= most_reported)
        {
            report << site.record.history(end.id) << lines;
        }
    }
    if (broken > 0)
    {
        site.record.report_violation(
            "a stream of a reliable server ends with its last event",
            report.str());
    }
}

} // namespace caperpath::soak
