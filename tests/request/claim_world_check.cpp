#include "request/claim_world.hpp"

#include <caperpath/budget/recovery.hpp>

namespace caperpath::tests
{

// The faults end, the late writes land, and the dead are known to be dead.
void claim_world::settle()
{
    this->calm = true;
    while (!this->late.empty())
    {
        this->direct.commit(this->late.front());
        this->late.pop_front();
    }
    for (auto& one : this->routers)
    {
        if (one.crashed && !one.fenced)
        {
            this->fence(one);
        }
    }
}

std::string claim_world::check()
{
    for (auto& [key, record] : this->seen)
    {
        auto const rows =
            this->direct.read({request::claim_key({key})}).value();
        if (!rows.empty())
        {
            auto const row = request::decode_claim(rows[0].value).value();
            record.owed = row.billed;
            record.kept = row.state == request::claim_state::done;
        }
        auto fault = this->check_key(key, record);
        if (!fault.empty())
        {
            return fault.insert(0, key + ": ");
        }
    }
    return "";
}

std::string claim_world::check_key(std::string const& key,
                                   key_record const& record)
{
    if (!record.idempotent && record.executions > 1)
    {
        return "ran twice";
    }
    for (auto const& answer : record.answers)
    {
        if (answer != record.answers.front())
        {
            return "two callers got different answers";
        }
    }
    if (record.owed > price || record.billed > record.owed)
    {
        return "billed more than once";
    }
    if (record.billed != record.owed && this->crash_count == 0)
    {
        return "a bill vanished though no router died";
    }
    bool const answered = !record.answers.empty();
    if (answered && !record.kept)
    {
        return "answered and not kept";
    }
    if (record.kept && record.owed != price)
    {
        return "kept and not billed";
    }
    bool const ran_after = record.executions_at_unknown >= 0 &&
                           record.executions != record.executions_at_unknown;
    if (!record.idempotent && ran_after)
    {
        return "ran after its caller had heard that nobody knows";
    }
    return this->check_repeat(key, record);
}

// Nobody waits for a runner that does not exist, and what was kept is found.
std::string claim_world::check_repeat(std::string const& key,
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
            ? std::string{claim_world::first_body}
            : request::decode_claim(row.front().value).value().body_hash;
    auto const last =
        request::begin_claim(store, this->asked(key, body), self).reply;
    if (last.verdict == request::claim_verdict::in_progress ||
        last.verdict == request::claim_verdict::undecidable)
    {
        return "a repeat waits for a runner that does not exist";
    }
    if (record.kept != (last.verdict == request::claim_verdict::replay))
    {
        return "an answer was kept and is not found again";
    }
    if (!record.answers.empty() && last.answer.body != record.answers.front())
    {
        return "a repeat gets another answer";
    }
    bool const reruns = last.verdict == request::claim_verdict::run;
    if (reruns && !record.idempotent && record.executions > 0)
    {
        return "would run a second time";
    }
    return "";
}

} // namespace caperpath::tests
