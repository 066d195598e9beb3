#include "stand_in/fault_registry.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::stand_in
{

namespace
{

constexpr std::int64_t max_ms = 3'600'000;
constexpr std::int64_t max_requests = 1'000'000;
constexpr std::int64_t max_factor = 10'000;

} // namespace

fault_command parse_fault(nlohmann::json const& body,
                          std::vector<std::string> const& known,
                          std::vector<config::fault>& faults)
{
    config::json_reader reader{body, "", faults};
    fault_command fault;
    fault.kind = reader.text("kind");
    if (std::find(known.begin(), known.end(), fault.kind) == known.end())
    {
        auto const nearest = config::nearest_name(fault.kind, known);
        reader.reject("kind", nearest.empty() ? "unknown fault"
                                              : "unknown, did you mean \"" +
                                                    nearest + "\"?");
    }
    fault.span = {reader.integer_or("ms", "milliseconds", 0, max_ms, 0)};
    fault.count = reader.integer_or("count", "requests", 0, max_requests, 0);
    fault.after_tokens =
        reader.integer_or("after_tokens", "tokens", 0, max_requests, 0);
    fault.factor =
        reader.integer_or("factor", "times the token time", 1, max_factor, 1);
    reader.finish();
    return fault;
}

fault_registry::fault_registry(clock time) : time{std::move(time)}
{
}

void fault_registry::add(fault_command fault)
{
    std::lock_guard const lock{this->mutex};
    // The span of a delay is its length, not its active time.
    if (fault.span.ms > 0 && fault.kind != "delay")
    {
        fault.ends = this->time.now() + fault.span;
    }
    this->active.push_back(std::move(fault));
}

void fault_registry::clear()
{
    std::lock_guard const lock{this->mutex};
    this->active.clear();
    ++this->clear_count;
}

std::optional<fault_command> fault_registry::take(std::string_view kind)
{
    return this->find(kind, true);
}

std::optional<fault_command> fault_registry::peek(std::string_view kind)
{
    return this->find(kind, false);
}

std::uint64_t fault_registry::generation() const
{
    std::lock_guard const lock{this->mutex};
    return this->clear_count;
}

std::optional<fault_command> fault_registry::find(std::string_view kind,
                                                  bool consume)
{
    std::lock_guard const lock{this->mutex};
    auto const now = this->time.now();
    std::erase_if(this->active, [now](fault_command const& fault)
                  { return fault.ends && *fault.ends <= now; });
    auto const found = std::find_if(this->active.begin(), this->active.end(),
                                    [kind](fault_command const& fault)
                                    { return fault.kind == kind; });
    if (found == this->active.end())
    {
        return std::nullopt;
    }
    auto fault = *found;
    // Count 0 never runs out; count 1 is the last use.
    if (consume && found->count > 0 && --found->count == 0)
    {
        this->active.erase(found);
    }
    return fault;
}

} // namespace caperpath::stand_in
