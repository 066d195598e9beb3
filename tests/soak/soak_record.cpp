#include "soak/soak_record.hpp"

#include <sstream>
#include <utility>

namespace caperpath::soak
{

namespace
{

/// A request sent less than this before its connection ended may have crossed
/// the close.
constexpr std::int64_t crossing_ms = 200;

} // namespace

soak_record::soak_record(std::function<void()> on_broken)
    : on_broken{std::move(on_broken)}, began{std::chrono::steady_clock::now()}
{
}

std::int64_t soak_record::now_ms() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - this->began)
        .count();
}

void soak_record::begin(std::string const& id, request_kind kind)
{
    this->requests[id].kind = kind;
    this->count("requests");
}

void soak_record::note(std::string const& id, std::string const& what)
{
    auto& history = this->requests[id].history;
    history += "  " + std::to_string(this->now_ms()) + " ms: " + what + "\n";
}

void soak_record::server_saw(std::string const& id)
{
    auto& of = this->requests[id];
    of.runs += 1;
    this->note(id, "a server runs it");
    if (of.kind == request_kind::order && of.runs > 1)
    {
        this->broken("an order runs at most once", of.history);
    }
    if (of.refused)
    {
        this->broken("what was refused as not run does not run", of.history);
    }
}

void soak_record::end(std::string const& id, ending const& how)
{
    auto& of = this->requests[id];
    std::ostringstream text;
    text << "ended with status " << how.status
         << (how.whole ? ", whole" : ", not whole")
         << (how.sent ? "" : ", request not sent to its end")
         << (how.closed ? ", connection closed: " + how.fault : "");
    this->note(id, text.str());
    this->count("status " + std::to_string(how.status) +
                (how.whole ? "" : " cut"));
    of.refused = how.whole && (how.status == 503 || how.status == 429);
    this->judge(id, of, how);
}

void soak_record::judge(std::string const& id, request const& of,
                        ending const& how)
{
    if (how.status == 0)
    {
        this->judge_silence(id, of, how);
        return;
    }
    if (!how.whole)
    {
        if (of.kind != request_kind::stream)
        {
            this->broken("an answer comes whole", of.history);
        }
        return;
    }
    switch (how.status)
    {
    case 200:
        if (!how.right)
        {
            this->broken("what looks whole is whole", of.history);
        }
        this->served.insert(of.kind);
        break;
    case 402:
    case 429:
    case 503:
        if (of.runs > 0)
        {
            this->broken("what is refused as not run has not run", of.history);
        }
        break;
    case 502:
    case 504:
        break;
    default:
        this->broken("callers that make no mistake are told of none",
                     of.history);
    }
}

void soak_record::judge_silence(std::string const& id, request const& of,
                                ending const& how)
{
    if (!how.closed)
    {
        this->broken("a request ends while its connection is open", of.history);
        return;
    }
    if (of.runs > 0)
    {
        this->broken("a request that was begun is answered", of.history);
        return;
    }
    auto const age = this->now_ms() - how.sent_ms;
    if (how.sent && age > crossing_ms && this->stalled_ms < how.sent_ms)
    {
        this->broken("a request that was read is answered", of.history);
        return;
    }
    this->count("crossed a close: " + how.fault);
    this->note(id, "it crossed the close");
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
        this->broken("a customer spends what was paid at most",
                     this->requests[id].history);
    }
}

void soak_record::count(std::string const& what)
{
    this->counts[what] += 1;
}

void soak_record::check_reach()
{
    constexpr std::size_t kinds = 3;
    if (this->served.size() < kinds)
    {
        this->broken("requests of every kind are served", "");
    }
}

void soak_record::note_stall()
{
    this->stalled_ms = this->now_ms();
    this->count("stalls of the driver");
}

void soak_record::broken(std::string const& promise, std::string const& history)
{
    if (this->first.empty())
    {
        this->first = promise + "\n" + history;
        this->on_broken();
    }
}

std::string const& soak_record::first_broken() const
{
    return this->first;
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
