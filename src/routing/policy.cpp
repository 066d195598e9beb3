#include <caperpath/routing/policy.hpp>

#include <algorithm>
#include <array>
#include <tuple>

namespace caperpath::routing
{

namespace
{

struct named_policy
{
    std::string_view name;
    policy choose;
};

constexpr std::array<named_policy, 4> policies{{
    {"random", random_choice},
    {"round_robin", round_robin},
    {"least_outstanding", least_outstanding},
    {"power_of_two", power_of_two},
}};

std::int64_t estimated_load(backend_view const& backend)
{
    // Requests sent after the last report are only in `outstanding`, earlier
    // ones are in both counts: the maximum does not count them twice.
    return std::max(backend.outstanding,
                    backend.reported_running + backend.reported_queued);
}

} // namespace

std::size_t random_choice(std::span<backend_view const* const> usable,
                          choice_input const& input)
{
    return input.random % usable.size();
}

std::size_t round_robin(std::span<backend_view const* const> usable,
                        choice_input const& input)
{
    return input.sequence % usable.size();
}

std::size_t least_outstanding(std::span<backend_view const* const> usable,
                              choice_input const& input)
{
    auto const rank = [&](std::size_t i)
    {
        auto const& backend = *usable[i];
        bool const remote = backend.failure_domain != input.own_failure_domain;
        auto const rotation =
            (i + usable.size() - input.sequence % usable.size()) %
            usable.size();
        return std::tuple{backend.outstanding, remote, rotation};
    };
    std::size_t best = 0;
    for (std::size_t i = 1; i < usable.size(); ++i)
    {
        if (rank(i) < rank(best))
        {
            best = i;
        }
    }
    return best;
}

std::size_t power_of_two(std::span<backend_view const* const> usable,
                         choice_input const& input)
{
    constexpr int bits_per_draw = 32;
    std::size_t const first = input.random % usable.size();
    std::size_t const second = (input.random >> bits_per_draw) % usable.size();
    return estimated_load(*usable[first]) <= estimated_load(*usable[second])
               ? first
               : second;
}

std::optional<policy> find_policy(std::string_view name)
{
    for (auto const& known : policies)
    {
        if (known.name == name)
        {
            return known.choose;
        }
    }
    return std::nullopt;
}

std::vector<std::string> policy_names()
{
    std::vector<std::string> names;
    names.reserve(policies.size());
    for (auto const& known : policies)
    {
        names.emplace_back(known.name);
    }
    return names;
}

} // namespace caperpath::routing
