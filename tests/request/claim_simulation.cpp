#include "request/claim_simulation.hpp"

#include <caperpath/budget/recovery.hpp>

#include <algorithm>

namespace caperpath::tests
{

namespace
{

using store::commit_outcome;

constexpr char other_body[] = "two batteries";
constexpr int other_body_percent = 10;
constexpr int event_percent = 10;

} // namespace

claim_simulation::claim_simulation(simulation_settings const& given)
    : given{given}, random{given.seed},
      table{std::make_shared<store::memory_table>()},
      direct{store::make_memory_port(this->table)}
{
    for (int i = 0; i < given.routers; ++i)
    {
        auto const name = "r" + std::to_string(i);
        auto const holder = budget::bind_holder(this->direct, {name},
                                                "10.0.0." + name, {"sala-sur"});
        this->routers.push_back({{{name}, holder.value().version, ""}});
    }
    for (int i = 0; i < given.keys; ++i)
    {
        this->by_key["key" + std::to_string(i)].idempotent = i % 2 == 1;
    }
}

std::map<std::string, key_record> const& claim_simulation::records() const
{
    return this->by_key;
}

int claim_simulation::crashes() const
{
    return this->crash_count;
}

bool claim_simulation::chance(int percent)
{
    return !this->faults_ended && this->random_below(100) < percent;
}

int claim_simulation::random_below(int limit)
{
    return static_cast<int>(this->random() % static_cast<unsigned>(limit));
}

std::string claim_simulation::run()
{
    for (int i = 0; i < this->given.calls; ++i)
    {
        auto const router = this->random_below(this->given.routers);
        auto const key =
            "key" + std::to_string(this->random_below(this->given.keys));
        std::string const body = this->random_below(100) < other_body_percent
                                     ? other_body
                                     : claim_simulation::first_body;
        this->gate.add([this, router, key, body]
                       { this->call(router, key, body); });
    }
    for (auto ids = this->gate.waiting(); !ids.empty();
         ids = this->gate.waiting())
    {
        this->inject_events();
        auto const pick = this->random_below(static_cast<int>(ids.size()));
        this->gate.step(ids[static_cast<std::size_t>(pick)]);
        ++this->time;
        for (auto const& [key, record] : this->by_key)
        {
            if (!record.idempotent && record.executions > 1)
            {
                return key + " ran twice";
            }
        }
    }
    this->stabilize();
    return this->check();
}

// Applies a delayed write or fences a crashed router between two steps.
void claim_simulation::inject_events()
{
    if (!this->delayed_writes.empty() &&
        this->random_below(100) < event_percent)
    {
        this->direct.commit(this->delayed_writes.front());
        this->delayed_writes.pop_front();
    }
    for (auto& one : this->routers)
    {
        if (one.crashed && !one.fenced &&
            this->random_below(100) < event_percent)
        {
            this->fence(one);
        }
    }
}

void claim_simulation::fence(router& dead)
{
    auto const key = budget::holder_key(dead.self.incarnation);
    budget::holder_row const row{
        budget::holder_state::fenced, "10.0.0.9:1", {"sala-sur"}};
    this->direct.commit(
        {{{key, dead.self.holder_version}}, {{key, budget::encode(row)}}});
    dead.fenced = true;
}

// Serves one call, which ends early if the router crashes.
void claim_simulation::call(int router, std::string const& key,
                            std::string const& body)
{
    try
    {
        this->serve(router, key, body);
    }
    catch (crashed_in_step const&)
    {
    }
}

request::claim_request claim_simulation::asked(std::string const& key,
                                               std::string const& body) const
{
    return {{key}, body, this->by_key.at(key).idempotent, {200}};
}

void claim_simulation::serve(int router, std::string const& key,
                             std::string const& body)
{
    auto self = this->routers[static_cast<std::size_t>(router)].self;
    self.ticket =
        self.incarnation.value + "-" + std::to_string(++this->ticket_count);
    this->pass(router);
    auto const begun = request::begin_claim(this->store_of(router),
                                            this->asked(key, body), self);
    auto& record = this->by_key[key];
    switch (begun.reply.verdict)
    {
    case request::claim_verdict::run:
        this->run_claimed(router, begun, key);
        break;
    case request::claim_verdict::replay:
        record.responses.push_back(begun.reply.response.body);
        break;
    case request::claim_verdict::unknown:
        record.executions_at_unknown = record.executions;
        break;
    default:
        break;
    }
    if (begun.uncertain)
    {
        this->withdraw(router, *begun.uncertain);
    }
}

void claim_simulation::run_claimed(int router,
                                   request::begin_result const& begun,
                                   std::string const& key)
{
    auto& record = this->by_key[key];
    request::claim_finish finish{{key},
                                 begun.reply.epoch,
                                 request::claim_result::not_run,
                                 record.idempotent,
                                 0,
                                 {}};
    bool const reached = !this->chance(this->given.lost_response_percent);
    this->pass(router);
    if (reached)
    {
        ++record.executions;
        finish.result = request::claim_result::completed;
        finish.response = {
            200, "text/plain",
            "run " + std::to_string(record.executions) +
                std::string(record.executions % 2 == 0 ? 0 : 5'000, 'x')};
        finish.billed = price - begun.reply.billed;
        this->pass(router);
        if (this->chance(this->given.lost_response_percent))
        {
            finish.result = request::claim_result::unknown;
            finish.billed = 0;
        }
        else if (record.idempotent &&
                 this->chance(this->given.caller_disconnect_percent))
        {
            finish.result = request::claim_result::unknown;
            finish.billed = std::min<std::int64_t>(10, finish.billed);
        }
    }
    auto const store = this->store_of(router);
    std::uint64_t version = 0;
    auto end = request::finish_result::pending;
    while (end == request::finish_result::pending)
    {
        end = request::finish_claim(store, *begun.held, finish, version);
        this->pass(router);
    }
    if (end == request::finish_result::superseded)
    {
        return;
    }
    bool const completed = finish.result == request::claim_result::completed;
    // A crash here loses the bill; only the claim's row still records it.
    this->pass(router);
    record.billed += finish.billed;
    if (completed)
    {
        record.responses.push_back(finish.response.body);
    }
}

void claim_simulation::withdraw(int router, request::held_claim const& doubtful)
{
    auto const store = this->store_of(router);
    while (!request::withdraw_claim(store, doubtful))
    {
        this->pass(router);
    }
}

void claim_simulation::pass(int router)
{
    this->gate.pass();
    auto& self = this->routers[static_cast<std::size_t>(router)];
    if (!self.crashed && this->chance(this->given.crash_percent))
    {
        self.crashed = true;
        ++this->crash_count;
    }
    if (self.crashed)
    {
        throw crashed_in_step{};
    }
}

store::commit_result claim_simulation::commit(int router,
                                              store::transaction const& txn)
{
    this->pass(router);
    store::commit_result refused{
        commit_outcome::rejected,
        {},
        {error_kind::unavailable, "commit", "table", "injected"}};
    store::commit_result unknown{
        commit_outcome::unknown,
        {},
        {error_kind::timeout, "commit", "table", "injected"}};
    if (!this->chance(this->given.store_fault_percent))
    {
        auto outcome = this->direct.commit(txn);
        this->pass(router);
        return outcome;
    }
    switch (this->random_below(4))
    {
    case 0:
        return refused;
    case 1:
        return unknown;
    case 2:
        this->delayed_writes.push_back(txn);
        return unknown;
    default:
        this->direct.commit(txn);
        return unknown;
    }
}

request::claim_store claim_simulation::store_of(int router)
{
    auto port = this->direct;
    port.commit = [this, router](store::transaction const& txn)
    {
        return this->commit(router, txn);
    };
    port.read = [this, router](std::vector<std::string> const& keys)
        -> result<std::vector<store::row>>
    {
        this->pass(router);
        if (this->chance(this->given.store_fault_percent))
        {
            return fail({error_kind::unavailable, "read", "table", "injected"});
        }
        return this->direct.read(keys);
    };
    port.put_object =
        [this, router](std::string const& name, std::string const& content)
    {
        this->pass(router);
        if (this->chance(this->given.store_fault_percent))
        {
            return store::commit_result{};
        }
        return this->direct.put_object(name, content);
    };
    auto const now = [this]
    {
        return instant{this->time};
    };
    return {std::move(port),
            {},
            clock{now},
            clock{now},
            [this, router](duration span)
            {
                this->time += span.ms;
                this->pass(router);
            },
            [this]
            {
                return this->random();
            }};
}

} // namespace caperpath::tests
