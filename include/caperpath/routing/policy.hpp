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

/// Input of a policy besides the backend servers. Immutable value.
struct choice_input
{
    instant now;
    std::uint64_t random{};   ///< new for each choice
    std::uint64_t sequence{}; ///< increases by one per choice
    failure_domain_id own_failure_domain;

    friend bool operator==(choice_input const&, choice_input const&) = default;
};

/// Returns the index in `usable` of the selected server.
/// @pre `usable` is not empty
using policy = std::size_t (*)(std::span<backend_view const* const> usable,
                               choice_input const& input);

/// Selects a server with uniform probability. Thread safe.
std::size_t random_choice(std::span<backend_view const* const> usable,
                          choice_input const& input);

/// Selects the servers in rotation. Thread safe.
std::size_t round_robin(std::span<backend_view const* const> usable,
                        choice_input const& input);

/// Selects the server with the fewest open requests of this router. Ties go to
/// servers in the router's own failure domain, then rotate. Thread safe.
std::size_t least_outstanding(std::span<backend_view const* const> usable,
                              choice_input const& input);

/// Draws two servers at random and selects the less loaded one. The load is the
/// larger of this router's open requests and the last reported load. Thread
/// safe.
std::size_t power_of_two(std::span<backend_view const* const> usable,
                         choice_input const& input);

/// Returns the policy with this configured name, if any. Thread safe.
std::optional<policy> find_policy(std::string_view name);

/// Returns the names that `find_policy` accepts. Thread safe.
std::vector<std::string> policy_names();

} // namespace caperpath::routing

#endif
