#ifndef CAPERPATH_ROUTING_POLICY_HPP
#define CAPERPATH_ROUTING_POLICY_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/routing/backend_view.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::routing
{

/// What a policy may look at besides the backend servers. Immutable value.
struct choice_input
{
    instant now;
    std::uint64_t random{}; ///< fresh for each choice
    std::uint64_t turn{};   ///< grows by one a choice
    failure_domain_id own_failure_domain;

    friend bool operator==(choice_input const&, choice_input const&) = default;
};

/// Index into `usable` of the server to send to. @pre `usable` is not empty.
using policy = std::size_t (*)(std::span<backend_view const* const> usable,
                               choice_input const& input);

/// Any server, evenly. Thread safe.
std::size_t random_choice(std::span<backend_view const* const> usable,
                          choice_input const& input);

/// Each in turn. Thread safe.
std::size_t round_robin(std::span<backend_view const* const> usable,
                        choice_input const& input);

/// The one with the fewest own open requests; ties go round, and a server in
/// the own failure domain wins a tie. Thread safe.
std::size_t least_outstanding(std::span<backend_view const* const> usable,
                              choice_input const& input);

/// The less loaded of two drawn at random, by own open requests plus the last
/// report. Thread safe.
std::size_t power_of_two(std::span<backend_view const* const> usable,
                         choice_input const& input);

/// The policy with this name in the configuration. Thread safe.
std::optional<policy> find_policy(std::string_view name);

/// Names that `find_policy` knows. Thread safe.
std::vector<std::string> policy_names();

} // namespace caperpath::routing

#endif
