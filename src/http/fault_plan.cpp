#include "http/fault_plan.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace caperpath::http
{

namespace
{

constexpr std::int64_t max_count = 1'000'000;
constexpr std::int64_t max_ms = 3'600'000;
constexpr std::int64_t whole_percent = 100;
constexpr char any_step[] = "any";

std::string choice(config::json_reader& reader, char const* key,
                   std::vector<std::string> const& known)
{
    auto word = reader.text(key);
    if (!word.empty() &&
        std::find(known.begin(), known.end(), word) == known.end())
    {
        std::string names;
        for (auto const& name : known)
        {
            names += (names.empty() ? "" : ", ") + name;
        }
        reader.reject(key, "expected one of " + names);
    }
    return word;
}

constexpr char outage[] = "outage";

bool needs_span(std::string const& kind)
{
    return kind == outage || kind == "delay" || kind == "lag";
}

} // namespace

fault_plan::fault_plan(fault_vocabulary known) : known{std::move(known)}
{
}

std::vector<config::fault> fault_plan::add(nlohmann::json const& description,
                                           instant now)
{
    std::vector<config::fault> faults;
    config::json_reader reader{description, "", faults};
    auto steps = this->known.steps;
    steps.emplace_back(any_step);
    rule made;
    made.step = choice(reader, "step", steps);
    made.effect.kind = choice(reader, "kind", this->known.kinds);
    made.left = reader.integer_or("count", "calls", 1, max_count, 1);
    made.effect.span.ms =
        needs_span(made.effect.kind)
            ? reader.integer("ms", "milliseconds", 1, max_ms)
            : reader.integer_or("ms", "milliseconds", 0, 0, 0);
    made.percent = reader.integer_or("probability_percent", "percent", 1,
                                     whole_percent, whole_percent);
    made.random.seed(static_cast<std::uint64_t>(
        reader.integer_or("seed", "the random sequence", 0,
                          std::numeric_limits<std::int64_t>::max(), 1)));
    if (made.effect.kind == outage)
    {
        made.until = now + made.effect.span;
    }
    if (made.until && reader.has("count"))
    {
        reader.reject("count", "an outage strikes every call for \"ms\"");
    }
    reader.finish();
    if (faults.empty())
    {
        std::lock_guard const lock{this->mutex};
        this->rules.push_back(std::move(made));
    }
    return faults;
}

bool fault_plan::applies(rule& candidate, std::string const& step,
                         instant now) const
{
    if (candidate.step != any_step && candidate.step != step)
    {
        return false;
    }
    bool const is_over =
        candidate.until ? now >= *candidate.until : candidate.left == 0;
    if (is_over)
    {
        return false;
    }
    auto const roll =
        static_cast<std::int64_t>(candidate.random() % whole_percent);
    return roll < candidate.percent;
}

std::optional<planned_fault> fault_plan::take(std::string const& step,
                                              instant now)
{
    std::lock_guard const lock{this->mutex};
    for (auto& candidate : this->rules)
    {
        if (this->applies(candidate, step, now))
        {
            --candidate.left;
            return candidate.effect;
        }
    }
    return std::nullopt;
}

void fault_plan::clear()
{
    std::lock_guard const lock{this->mutex};
    this->rules.clear();
}

} // namespace caperpath::http
