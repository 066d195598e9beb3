#include "soak/soak_record.hpp"

#include <sstream>
#include <utility>

namespace caperpath::soak
{

namespace
{

/// A request sent less than this before its connection closed may have been in
/// flight at the close.
constexpr std::int64_t close_race_ms = 200;
/// A server may get a request for this long after its caller has left, and with
/// so much more time than its caller waits.
constexpr std::int64_t late_ms = 500;
constexpr std::int64_t most_late = 3;
/// Bytes of the histories of such requests to report.
constexpr std::size_t max_history = 1'000;

} // namespace

soak_record::soak_record(std::function<void()> on_violation)
    : on_violation{std::move(on_violation)},
      began{std::chrono::steady_clock::now()}
{
}

std::int64_t soak_record::now_ms() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - this->began)
        .count();
}

void soak_record::begin(std::string const& id, request_kind kind, int router)
{
    auto& of = this->requests[id];
    of.kind = kind;
    of.router = router;
    of.began_ms = this->now_ms();
    this->count("requests");
}

void soak_record::note(std::string const& id, std::string const& what)
{
    auto& history = this->requests[id].history;
    history += "  " + std::to_string(this->now_ms()) + " ms: " + what + "\n";
}

void soak_record::expect_until(std::string const& id, std::int64_t at_ms)
{
    this->requests[id].until_ms = at_ms;
}

void soak_record::leave(std::string const& id)
{
    this->requests[id].left_ms = this->now_ms();
    this->note(id, "its caller leaves");
    this->count("left by callers");
}

void soak_record::check_time(std::string const& id, std::int64_t arrived_ms,
                             std::int64_t time_left_ms)
{
    auto const& of = this->requests[id];
    auto const is_late = of.left_ms >= 0 && arrived_ms - of.left_ms > late_ms;
    auto const too_long =
        of.until_ms >= 0 && arrived_ms + time_left_ms - of.until_ms > late_ms;
    if ((!is_late && !too_long) || this->was_held(of.router, of.began_ms))
    {
        return;
    }
    this->count(is_late ? "sent after callers left"
                        : "sent with too much time");
    if (this->late_work.size() < max_history)
    {
        std::ostringstream text;
        text << "  " << id << ": arrived at " << arrived_ms << " ms with "
             << time_left_ms << " ms left, its caller waits until "
             << of.until_ms << " ms\n";
        this->late_work += of.history + text.str();
    }
}

void soak_record::check_late_work()
{
    for (auto const* const what :
         {"sent after callers left", "sent with too much time"})
    {
        if (this->counted(what) > most_late)
        {
            this->report_violation(std::string{"few requests are "} + what,
                                   this->late_work);
        }
    }
}

void soak_record::note_execution(std::string const& id,
                                 std::int64_t time_left_ms,
                                 std::int64_t waited_ms)
{
    auto& of = this->requests[id];
    of.runs += 1;
    this->note(id, "a server executes it");
    this->check_time(id, this->now_ms() - waited_ms, time_left_ms);
    if (of.kind == request_kind::order && of.runs > 1)
    {
        this->report_violation(
            "a non-idempotent request is executed at most once", of.history);
    }
    if (of.rejected)
    {
        this->report_violation(
            "a request rejected as not executed is not executed later",
            of.history);
    }
}

void soak_record::end(std::string const& id, request_outcome const& how)
{
    auto& of = this->requests[id];
    std::ostringstream text;
    text << "ended with status " << how.status
         << (how.whole ? ", complete" : ", incomplete")
         << (how.sent ? "" : ", request not fully sent")
         << (how.closed ? ", connection closed: " + how.fault : "");
    this->note(id, text.str());
    this->count("status " + std::to_string(how.status) +
                (how.whole ? "" : " cut"));
    of.rejected = how.whole && (how.status == 503 || how.status == 429);
    this->check_outcome(id, of, how);
}

void soak_record::check_outcome(std::string const& id, request const& of,
                                request_outcome const& how)
{
    if (how.status == 0)
    {
        this->check_no_response(id, of, how);
        return;
    }
    if (!how.whole)
    {
        if (of.kind != request_kind::stream)
        {
            this->report_violation("a response is complete", of.history);
        }
        return;
    }
    switch (how.status)
    {
    case 200:
        if (!how.right)
        {
            this->report_violation("a complete response has the expected body",
                                   of.history);
        }
        this->served.insert(of.kind);
        break;
    case 402:
    case 429:
    case 503:
        if (of.runs > 0)
        {
            this->report_violation(
                "a request rejected as not executed has not been executed",
                of.history);
        }
        break;
    case 502:
    case 504:
        break;
    default:
        this->report_violation("a valid request gets no client error",
                               of.history);
    }
}

void soak_record::check_no_response(std::string const& id, request const& of,
                                    request_outcome const& how)
{
    if (!how.closed)
    {
        this->report_violation("a request ends while its connection is open",
                               of.history);
        return;
    }
    if (of.runs > 0)
    {
        this->report_violation("a request that was executed gets a response",
                               of.history);
        return;
    }
    auto const age = this->now_ms() - how.sent_ms;
    if (how.sent && age > close_race_ms && this->stalled_ms < how.sent_ms)
    {
        this->report_violation("a request that was read gets a response",
                               of.history);
        return;
    }
    this->count("crossed a close: " + how.fault);
    this->note(id, "it was in flight at the close");
}

void soak_record::pay(std::string const& customer, std::int64_t tokens)
{
    this->left[customer] += tokens;
}

void soak_record::spend(std::string const& id, std::string const& customer,
                        std::int64_t tokens)
{
    this->left[customer] -= tokens;
    if (this->left[customer] < 0)
    {
        this->report_violation("a customer spends at most what was paid",
                               this->requests[id].history);
    }
}

void soak_record::count(std::string const& what)
{
    this->counts[what] += 1;
}

std::int64_t soak_record::counted(std::string const& what) const
{
    auto const found = this->counts.find(what);
    return found == this->counts.end() ? 0 : found->second;
}

void soak_record::check_coverage()
{
    constexpr std::size_t kinds = 3;
    if (this->served.size() < kinds)
    {
        this->report_violation("requests of every kind are served", "");
    }
}

void soak_record::record_stall()
{
    this->stalled_ms = this->now_ms();
    this->count("stalls of the driver");
}

void soak_record::report_violation(std::string const& promise,
                                   std::string const& history)
{
    if (this->broken.insert(promise).second)
    {
        this->violations += promise + "\n" + history;
        this->on_violation();
    }
}

std::string soak_record::history(std::string const& id) const
{
    auto const found = this->requests.find(id);
    return found == this->requests.end() ? std::string{}
                                         : found->second.history;
}

std::string const& soak_record::all_violations() const
{
    return this->violations;
}

std::string soak_record::summary() const
{
    std::ostringstream text;
    for (auto const& [name, count] : this->counts)
    {
        text << name << ": " << count << "\n";
    }
    return text.str();
}

} // namespace caperpath::soak
