#include "load/planner.hpp"

#include <utility>

namespace caperpath::load
{

namespace
{

constexpr double us_per_second = 1'000'000;
constexpr std::int64_t us_per_ms = 1'000;

template <class Item>
std::discrete_distribution<std::size_t>
by_weight(std::vector<Item> const& items)
{
    std::vector<double> weights;
    weights.reserve(items.size());
    for (auto const& one : items)
    {
        weights.push_back(static_cast<double>(one.weight));
    }
    return {weights.begin(), weights.end()};
}

// Returns `words` repeated to exactly `bytes` bytes.
std::string filler(std::string const& words, std::int64_t bytes)
{
    std::string text;
    text.reserve(static_cast<std::size_t>(bytes));
    while (static_cast<std::int64_t>(text.size()) < bytes)
    {
        text += words + ' ';
    }
    text.resize(static_cast<std::size_t>(bytes));
    return text;
}

} // namespace

planner::planner(scenario const& plan, std::string run)
    : plan{plan}, run{std::move(run)}, engine{plan.seed},
      gap_us{static_cast<double>(plan.arrivals_per_second) / us_per_second},
      customer{by_weight(plan.customers)}, family{
                                               by_weight(plan.prompt_families)}
{
}

std::optional<planned_request> planner::next()
{
    this->at_us += this->gap_us(this->engine);
    planned_request made;
    made.start_us = static_cast<std::int64_t>(this->at_us);
    if (made.start_us >= this->plan.length.ms * us_per_ms)
    {
        return std::nullopt;
    }
    made.index = this->index++;
    made.customer = this->customer(this->engine);
    made.key = this->run + "-" + std::to_string(made.index);
    made.first_router = this->engine() % this->plan.routers.size();
    auto const& sender = this->plan.customers[made.customer];
    if (sender.kind != request_kind::order)
    {
        std::uniform_int_distribution<std::int64_t> length{sender.least_tokens,
                                                           sender.most_tokens};
        made.max_tokens = length(this->engine);
        made.prompt = this->make_prompt(made.key, made.max_tokens);
    }
    return made;
}

std::string planner::make_prompt(std::string const& key, std::int64_t tokens)
{
    auto const& chosen = this->plan.prompt_families[this->family(this->engine)];
    return filler(chosen.name, chosen.shared_bytes) + " " + key + " " +
           filler(key, chosen.own_bytes) +
           " [tokens=" + std::to_string(tokens) + "]";
}

} // namespace caperpath::load
