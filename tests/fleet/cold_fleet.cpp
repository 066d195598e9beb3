#include "fleet/cold_fleet.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::fleet
{

namespace
{

constexpr int domains = 3;
constexpr std::int64_t slots = 16;
constexpr std::int64_t prompts = 1'200;
constexpr int longest_poll_ms = 600;
constexpr int longest_run_ms = 1'600;
constexpr double ms_per_second = 1'000.0;

} // namespace

cold_fleet::cold_fleet(cold_fleet_size const& size, bool bounded,
                       std::uint64_t seed)
    : size{size}, bounded{bounded}, random{seed}, routers(size.routers)
{
    this->engines.id = {"llm"};
    this->engines.batch_slots = slots;
    this->engines.memory_tokens = 444'000;
    if (bounded)
    {
        this->engines.warm_up = limit;
    }
    for (std::size_t i = 0; i < size.routers; ++i)
    {
        this->router_names.push_back("router-" + std::to_string(i));
        this->routers[i].view.warm_up_bounds = tolerance;
        this->routers[i].view.router_salt = i;
        this->routers[i].view.routers = static_cast<std::int64_t>(size.routers);
        if (bounded)
        {
            set_warm_ups(this->routers[i].view, {{{"llm"}, limit}});
        }
    }
    for (int i = 0; i < size.servers; ++i)
    {
        simulated_server one;
        one.entry.id = {"i-" + std::to_string(i) + "-0"};
        one.entry.service = {"llm"};
        one.entry.address = "10.0.0.1:80";
        one.entry.failure_domain = {"z-" + std::to_string(i % domains)};
        one.entry.slots = slots;
        this->current.push_back(one.entry.id.value);
        this->servers[one.entry.id.value] = one;
        for (auto& each : this->routers)
        {
            list_server(each.view, one.entry, this->now);
        }
    }
}

void cold_fleet::publish(server_entry const& entry, bool removed,
                         duration delay)
{
    auto seen = entry;
    seen.warm_up_left = this->bounded ? entry.warm_up_left : duration{0};
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        if (!this->routers[i].cut)
        {
            duration const poll{static_cast<std::int64_t>(
                this->random() % static_cast<std::uint64_t>(longest_poll_ms))};
            this->updates.push({this->now + delay + poll, i, seen, removed});
        }
    }
}

void cold_fleet::turn_cold(int server, duration delay)
{
    auto& target =
        this->servers.at(this->current.at(static_cast<std::size_t>(server)));
    target.cold_until = this->now + limit.lasts;
    target.entry.warm_up_left = limit.lasts - delay;
    this->publish(target.entry, false, delay);
}

void cold_fleet::stop_domain(int domain)
{
    for (auto const& id : this->current)
    {
        auto& target = this->servers.at(id);
        if (target.entry.failure_domain.value == "z-" + std::to_string(domain))
        {
            target.up = false;
            this->publish(target.entry, true, duration{0});
        }
    }
}

void cold_fleet::return_domain_cold(int domain)
{
    this->incarnations += 1;
    for (auto& id : this->current)
    {
        auto one = this->servers.at(id);
        if (one.entry.failure_domain.value != "z-" + std::to_string(domain))
        {
            continue;
        }
        id = id.substr(0, id.rfind('-') + 1) +
             std::to_string(this->incarnations);
        one = {one.entry, 0, this->now + limit.lasts, {}, true};
        one.entry.id = {id};
        one.entry.warm_up_left = limit.lasts;
        this->servers[id] = one;
        this->publish(one.entry, false, duration{0});
    }
}

void cold_fleet::cut_routers(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        this->routers[i].cut = true;
    }
}

void cold_fleet::run(instant until)
{
    for (; this->now < until; this->now = this->now + duration{1})
    {
        for (; !this->updates.empty() && this->updates.top().at <= this->now;
             this->updates.pop())
        {
            auto const& update = this->updates.top();
            auto& view = this->routers[update.router].view;
            if (update.removed)
            {
                unlist_server(view, update.entry.id, this->now);
            }
            else
            {
                list_server(view, update.entry, this->now);
            }
        }
        for (; !this->completions.empty() &&
               this->completions.top().at <= this->now;
             this->completions.pop())
        {
            this->complete(this->completions.top());
        }
        auto const interval =
            ms_per_second / (this->size.requests_per_second * this->burst);
        for (; this->next_request_ms <= static_cast<double>(this->now.ms);
             this->next_request_ms += interval)
        {
            this->send_request();
        }
    }
}

void cold_fleet::update_shares(std::size_t index)
{
    auto& at = this->routers[index];
    if (this->now - at.shares_at >= duration{1'000})
    {
        at.shares_at = this->now;
        assign_cold_shares(at.view, this->router_names,
                           this->router_names[index], this->now);
    }
}

/// The prompt whose first server comes back cold.
void cold_fleet::choose_hot_prompt(int domain)
{
    auto const name = "z-" + std::to_string(domain);
    server_table all;
    for (auto const& id : this->current)
    {
        auto entry = this->servers.at(id).entry;
        entry.warm_up_left = duration{0};
        list_server(all, entry, this->now);
    }
    constexpr std::uint64_t most_tried = 3'000;
    for (; this->hot_part < most_tried; ++this->hot_part)
    {
        auto const where = choose_placement(
            all, this->engines, {{"llm"}, this->hot_part, 2'000, 4'000, 300},
            prefix_history{1}, {}, {}, this->now);
        if (this->servers.at(where->server.value).entry.failure_domain.value ==
            name)
        {
            return;
        }
    }
}

void cold_fleet::send_request()
{
    auto const index = this->random() % this->routers.size();
    auto& from = this->routers[index];
    auto const is_hot =
        static_cast<double>(this->random() % 1'000) < this->hot_share * 1'000;
    auto const part =
        is_hot ? this->hot_part
               : 2 + this->random() % static_cast<std::uint64_t>(prompts);
    placement_request const item{{"llm"}, part, 2'000, 4'000, 300};
    this->update_shares(index);
    std::vector<backend_server_id> tried;
    constexpr std::size_t most_tries = 3;
    while (tried.size() < most_tries)
    {
        auto const where = choose_placement(from.view, this->engines, item,
                                            from.prompts, tried, {}, this->now);
        if (!where)
        {
            break;
        }
        auto& target = this->servers.at(where->server.value);
        auto& known = from.view.servers.at(where->server);
        tried.push_back(where->server);
        // One that has stopped refuses the connection, or another one that has
        // its address says that it is not meant.
        if (!target.up)
        {
            note_failure(known, true, this->now);
            continue;
        }
        if (is_cold(known, this->now))
        {
            known.while_cold = note_cold_send(known.while_cold, this->now);
        }
        if (this->now < target.cold_until)
        {
            target.cold_arrivals.push_back(this->now);
        }
        known.own.open += 1;
        known.own.unread += item.prompt_tokens;
        known.own.in_memory += item.prompt_tokens + item.output_tokens;
        from.prompts.note(where->server, part, this->now);
        target.running += 1;
        duration const takes{static_cast<std::int64_t>(
            40 + this->random() % static_cast<std::uint64_t>(longest_run_ms))};
        this->completions.push({this->now + takes, index, where->server.value});
        this->served += 1;
        return;
    }
    this->rejected += 1;
}

void cold_fleet::complete(completion const& one)
{
    auto& target = this->servers.at(one.server);
    target.running -= 1;
    auto& view = this->routers[one.router].view;
    auto const known = view.servers.find({one.server});
    if (known == view.servers.end())
    {
        return;
    }
    known->second.own.open -= 1;
    known->second.own.unread -= 4'000;
    known->second.own.in_memory -= 4'300;
    known->second.report = {target.running, 0, slots};
    known->second.reported_at = this->now;
}

std::int64_t cold_fleet::busiest_cold_second() const
{
    std::int64_t most = 0;
    for (auto const& [id, target] : this->servers)
    {
        auto const& all = target.cold_arrivals;
        for (auto from = all.begin(); from != all.end(); ++from)
        {
            auto const end =
                std::upper_bound(from, all.end(), *from + duration{1'000});
            most = std::max<std::int64_t>(most, end - from);
        }
    }
    return most;
}

} // namespace caperpath::fleet
