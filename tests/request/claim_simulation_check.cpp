#include "request/claim_simulation.hpp"

#include <caperpath/budget/recovery.hpp>

namespace caperpath::tests
{

// Ends the faults, applies the delayed writes and fences the crashed routers.
void claim_simulation::stabilize()
{
    this->faults_ended = true;
    while (!this->delayed_writes.empty())
    {
        this->direct.commit(this->delayed_writes.front());
        this->delayed_writes.pop_front();
    }
    for (auto& one : this->routers)
    {
        if (one.crashed && !one.fenced)
        {
            this->fence(one);
        }
    }
}

std::string claim_simulation::check()
{
    for (auto& [key, record] : this->by_key)
    {
        auto const rows =
            this->direct.read({request::claim_key({key})}).value();
        if (!rows.empty())
        {
            auto const row = request::decode_claim(rows[0].value).value();
            record.owed = row.billed;
            record.response_stored = row.state == request::claim_state::done;
        }
        auto fault = this->check_key(key, record);
        if (!fault.empty())
        {
            return fault.insert(0, key + ": ");
        }
    }
    return "";
}

std::string claim_simulation::check_key(std::string const& key,
                                        key_record const& record)
{
    if (!record.idempotent && record.executions > 1)
    {
        return "ran twice";
    }
    for (auto const& answer : record.responses)
    {
        if (answer != record.responses.front())
        {
            return "two callers got different responses";
        }
    }
    if (record.owed > price || record.billed > record.owed)
    {
        return "billed more than once";
    }
    if (record.billed != record.owed && this->crash_count == 0)
    {
        return "a bill was lost although no router crashed";
    }
    bool const responded = !record.responses.empty();
    if (responded && !record.response_stored)
    {
        return "response sent but not stored";
    }
    if (record.response_stored && record.owed != price)
    {
        return "response stored but not billed";
    }
    bool const ran_after = record.executions_at_unknown >= 0 &&
                           record.executions != record.executions_at_unknown;
    if (!record.idempotent && ran_after)
    {
        return "ran after its outcome was reported as unknown";
    }
    return this->check_retry(key, record);
}

// A retry never waits for a router that is dead, and finds a stored response.
std::string claim_simulation::check_retry(std::string const& key,
                                          key_record const& record)
{
    auto const holder =
        budget::bind_holder(this->direct, {"last"}, "10.0.0.8:1", {"mapo"});
    request::claimant const self{
        {"last"}, holder.value().version, "last-" + key};
    auto const now = [this]
    {
        return instant{this->time};
    };
    request::claim_store const store{this->direct,
                                     {},
                                     clock{now},
                                     clock{now},
                                     [this](duration span)
                                     { this->time += span.ms; },
                                     []
                                     {
                                         return 0U;
                                     }};
    auto const row = this->direct.read({request::claim_key({key})}).value();
    auto const body =
        row.empty()
            ? std::string{claim_simulation::first_body}
            : request::decode_claim(row.front().value).value().body_hash;
    auto const last =
        request::begin_claim(store, this->asked(key, body), self).reply;
    if (last.verdict == request::claim_verdict::in_progress ||
        last.verdict == request::claim_verdict::undecidable)
    {
        return "a retry waits for a router that is dead";
    }
    if (record.response_stored !=
        (last.verdict == request::claim_verdict::replay))
    {
        return "a retry is replayed without a stored response, or not replayed "
               "with one";
    }
    if (!record.responses.empty() &&
        last.response.body != record.responses.front())
    {
        return "a retry gets a different response";
    }
    bool const runs_again = last.verdict == request::claim_verdict::run;
    if (runs_again && !record.idempotent && record.executions > 0)
    {
        return "would run a second time";
    }
    return "";
}

} // namespace caperpath::tests
