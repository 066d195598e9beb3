#include "budget/token_fleet.hpp"

#include <caperpath/budget/rows.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::budget
{

namespace
{

constexpr auto policy = config::budget_policy::false_refusals_first;
inline budget_id const taller{"taller"};

} // namespace

token_fleet::token_fleet(std::size_t count, token_count paid, injected_bug bug)
    : paid{paid}, bug{bug}, routers(count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        this->routers[i].address = "10.0.0." + std::to_string(i) + ":80";
        this->begin(i, std::nullopt, 0);
    }
}

token_count token_fleet::admitted() const
{
    return this->spent;
}

budget_row token_fleet::row() const
{
    auto const found = this->table.read({budget_key(taller)});
    return found.empty() ? budget_row{}
                         : decode_budget(found.front().value).value();
}

token_count token_fleet::obtainable() const
{
    auto const found = this->row();
    auto all = this->spent + this->paid - found.granted;
    for (auto const& one : this->routers)
    {
        all += free_tokens(one.share);
    }
    return all;
}

std::size_t token_fleet::datagrams() const
{
    return this->in_flight.size();
}

void token_fleet::advance_time(duration span, std::optional<std::size_t> frozen)
{
    this->store_ms += span.ms;
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        if (i != frozen)
        {
            this->routers[i].now = this->routers[i].now + span;
        }
    }
}

void token_fleet::begin(std::size_t at, std::optional<spend_row> const& before,
                        std::int64_t dead_ms)
{
    auto const& last = this->routers[at];
    router next;
    next.starts = last.starts + 1;
    next.address = last.address;
    next.id = {"vm-" + std::to_string(at) + "-" + std::to_string(next.starts)};
    next.now = instant{10'000};
    next.share = make_share(taller, policy, sizing_for(policy));
    next.share.sizes.exposure = duration{0};
    next.share.has_peers = true;
    next.share.last_amount = 1;
    next.journal.written.router = next.id;
    next.journal.written.address = next.address;
    auto const found = this->table.read({spend_key(next.address)});
    next.journal.version = found.empty() ? 0 : found.front().version;
    this->routers[at] = std::move(next);
    auto& of = this->routers[at];
    this->commit_row(of, next_row(of.journal, {}, of.now),
                     write_outcome::acknowledged);
    auto const left =
        before ? max_spent_by_dead(*before, of.address, dead_ms) : std::nullopt;
    if (left && left->contains(taller))
    {
        auto const& line = left->at(taller);
        of.inheritance =
            inherited_tokens{before->router, line.spent, line.received};
        this->write_row(at, 0, 0, write_outcome::acknowledged);
        this->take_over(of);
    }
}

void token_fleet::take_over(router& of)
{
    auto const dead = share_key(taller, of.inheritance->dead);
    auto const own = share_key(taller, of.id);
    auto const found = this->table.read({dead});
    share_row row;
    std::uint64_t version = 0;
    if (!found.empty())
    {
        store::transaction txn;
        txn.conditions = {{dead, found.front().version}, {own, 0}};
        txn.writes = {{own, found.front().value}, {dead, std::nullopt}};
        auto const result = this->table.commit(txn);
        version = store::written_version(result, 0);
        row = decode_share(found.front().value).value();
    }
    auto const all = row.granted + of.inheritance->received;
    auto const inherits_all =
        this->bug == injected_bug::credits_received_before_spent;
    auto const used = inherits_all
                          ? std::min(of.inheritance->spent, row.granted)
                          : std::min(of.inheritance->spent, all);
    of.share = add_received(std::move(of.share), of.inheritance->received);
    of.share = inherit(std::move(of.share), row.granted, used, version);
    of.share.given = used;
    of.inheritance.reset();
}

void token_fleet::set_limit(router& of) const
{
    held_tokens const held{of.share.share.granted, of.share.received};
    of.share.spend_limit = spend_limit(of.journal, taller, held, of.now);
}

bool token_fleet::spend(std::size_t at, token_count amount)
{
    auto& of = this->routers[at];
    this->set_limit(of);
    of.requests += 1;
    request_id const id{std::to_string(of.requests)};
    auto step =
        reserve(std::move(of.share),
                {id, taller, policy, amount, duration{0}, false}, of.now);
    of.share = std::move(step.state);
    if (!step.reply || step.reply->verdict != reserve_verdict::admitted)
    {
        of.share = cancel(std::move(of.share), id);
        return false;
    }
    this->spent += amount;
    bill cost;
    cost.request = id;
    cost.budget = taller;
    cost.tokens = amount;
    auto ended = finish(std::move(of.share), {cost, policy, 0}, of.now);
    of.share = settled(std::move(ended.state), ended.cost.tokens);
    return true;
}

void token_fleet::give(std::size_t from, std::size_t to, token_count amount)
{
    auto& of = this->routers[from];
    this->set_limit(of);
    if (this->bug == injected_bug::gives_above_its_limit)
    {
        of.share.spend_limit.reset();
    }
    of.requests += 1;
    request_id const id{"transfer/" + std::to_string(of.requests)};
    auto step =
        reserve(std::move(of.share),
                {id, taller, policy, amount, duration{0}, true}, of.now);
    of.share = std::move(step.state);
    if (!step.reply || step.reply->verdict != reserve_verdict::admitted)
    {
        of.share = cancel(std::move(of.share), id);
        return;
    }
    of.share = spend_transfer(std::move(of.share), id);
    auto posted =
        post(std::move(of.sent), this->routers[to].id, taller, amount, of.now);
    of.sent = std::move(posted.sent);
    this->in_flight.push_back(
        {to, of.id, this->routers[to].id, posted.what, from});
}

void token_fleet::send_due(std::size_t from)
{
    auto& of = this->routers[from];
    auto step = take_due(std::move(of.sent), of.now);
    of.sent = std::move(step.sent);
    for (auto const& [receiver, transfers] : step.due)
    {
        for (std::size_t to = 0; to < this->routers.size(); ++to)
        {
            if (this->routers[to].id != receiver)
            {
                continue;
            }
            for (auto const& one : transfers)
            {
                this->in_flight.push_back({to, of.id, receiver, one, from});
            }
        }
    }
}

void token_fleet::deliver(std::size_t which, bool again)
{
    auto const got = this->in_flight[which];
    if (!again)
    {
        this->in_flight.erase(this->in_flight.begin() +
                              static_cast<std::ptrdiff_t>(which));
    }
    auto& to = this->routers[got.to];
    if (to.id != got.receiver)
    {
        return;
    }
    auto step = take(std::move(to.taken), got.sender, got.what.number);
    to.taken = std::move(step.taken);
    if (step.is_new || this->bug == injected_bug::accepts_duplicates)
    {
        to.share = add_received(std::move(to.share), got.what.tokens);
    }
    auto& from = this->routers[got.from];
    if (from.id == got.sender)
    {
        from.sent = confirmed(std::move(from.sent), to.id, {got.what.number});
    }
}

spend_limit_curve token_fleet::limit_of(router const& of, token_count above,
                                        token_count rise) const
{
    auto const& share = of.share;
    spend_limit_curve line{used_tokens(share) + above, rise, share.received,
                           true};
    if (of.inheritance)
    {
        line.spent = of.inheritance->spent + used_tokens(share);
        line.received += of.inheritance->received;
        line.per_second = 0;
    }
    return line;
}

bool token_fleet::commit_row(router& of, spend_row const& row,
                             write_outcome outcome)
{
    of.journal = sent(std::move(of.journal), row);
    if (outcome == write_outcome::lost)
    {
        return false;
    }
    auto const key = spend_key(of.address);
    store::transaction txn;
    txn.conditions.push_back({key, of.journal.version});
    txn.writes.push_back({key, encode(row)});
    auto const result = this->table.commit(txn);
    if (outcome == write_outcome::response_lost)
    {
        return false;
    }
    if (result.outcome == store::commit_outcome::applied)
    {
        auto const version = store::written_version(result, of.journal.version);
        of.journal = acknowledged(std::move(of.journal), version,
                                  this->store_ms, of.now);
        return true;
    }
    // Only this router writes the row, so an earlier write was applied.
    auto const& found = result.failed.front();
    of.journal = found_own(std::move(of.journal),
                           decode_spend(found.value).value(), found.version);
    return false;
}

void token_fleet::write_row(std::size_t at, token_count above, token_count rise,
                            write_outcome outcome)
{
    auto& of = this->routers[at];
    auto const line = this->limit_of(of, above, rise);
    this->commit_row(of, next_row(of.journal, {{taller, line}}, of.now),
                     outcome);
}

std::vector<store::row> token_fleet::rows_of(router const& of) const
{
    auto rows =
        this->table.read({budget_key(taller), share_key(taller, of.id)});
    rows.push_back({holder_key(of.id), 1, ""});
    return rows;
}

void token_fleet::draw(std::size_t at, token_count target,
                       write_outcome outcome)
{
    auto& of = this->routers[at];
    holder_view const holder{of.id, 1};
    of.share.current_allocation = allocation{target, 0, 0};
    of.share.must_return = false;
    auto next = next_step(std::move(of.share), holder, of.now);
    of.share = std::move(next.state);
    if (next.kind == step_kind::read)
    {
        of.share =
            after_read(std::move(of.share), holder, this->rows_of(of), of.now);
        of.share.seen->row.paid = std::max(of.share.seen->row.paid, this->paid);
        next = next_step(std::move(of.share), holder, of.now);
        of.share = std::move(next.state);
    }
    if (next.kind != step_kind::write)
    {
        return;
    }
    std::erase_if(next.txn.conditions, [&](store::condition const& one)
                  { return one.key == holder_key(of.id); });
    store::commit_result result;
    if (outcome != write_outcome::lost)
    {
        result = this->table.commit(next.txn);
    }
    if (outcome != write_outcome::acknowledged)
    {
        result = {};
    }
    of.share = after_write(std::move(of.share), holder, result, of.now);
    if (of.share.seen)
    {
        of.share.seen->row.paid = std::max(of.share.seen->row.paid, this->paid);
    }
}

void token_fleet::replace(std::size_t at, duration pause)
{
    auto const address = this->routers[at].address;
    this->advance_time(pause, std::nullopt);
    auto const found = this->table.read({spend_key(address)});
    std::optional<spend_row> before;
    if (!found.empty())
    {
        before = decode_spend(found.front().value).value();
    }
    this->begin(at, before, this->store_ms);
}

void token_fleet::stop(std::size_t at)
{
    auto& of = this->routers[at];
    of.share = close(std::move(of.share));
    for (int i = 0; i < 4; ++i)
    {
        this->advance_time(duration{200}, std::nullopt);
        this->draw(at, 0, write_outcome::acknowledged);
    }
    this->write_row(at, 0, 0, write_outcome::acknowledged);
    this->replace(at, duration{300});
}

} // namespace caperpath::budget
