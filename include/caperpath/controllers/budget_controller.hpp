#ifndef CAPERPATH_CONTROLLERS_BUDGET_CONTROLLER_HPP
#define CAPERPATH_CONTROLLERS_BUDGET_CONTROLLER_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/budget/bill.hpp>
#include <caperpath/budget/settlement.hpp>
#include <caperpath/store/table.hpp>

#include <caf/actor.hpp>
#include <caf/fwd.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace caperpath::controllers
{

/// Settings of the controller of all budgets at one router. Built by
/// `budget_options_builder`.
struct budget_options
{
    incarnation_id incarnation;
    std::string address; ///< "IP:port" that this process has bound
    failure_domain_id failure_domain;
    store::port platform;
    caperpath::clock clock{caperpath::clock::monotonic()};
    budget::settle_options settle;
    /// Overrides the sizes of the budget's policy if set.
    std::optional<budget::sizing> sizes;
    std::size_t workers{4};          ///< threads that call the platform
    duration tick{10};               ///< interval of timers and retries
    duration sweep_interval{10'000}; ///< between checks for dead holders
    duration list_lag{30'000};       ///< a VM missing for that long is gone
    duration durable_wait{2'000};    ///< longest time that `finish` blocks
};

/// Builds `budget_options`. Not thread safe.
class budget_options_builder
{
public:
    /// @pre `platform` has all its functions set.
    budget_options_builder(incarnation_id incarnation, store::port platform);

    budget_options_builder& with_address(std::string address);
    budget_options_builder& with_failure_domain(failure_domain_id name);
    budget_options_builder& with_clock(caperpath::clock clock);
    budget_options_builder& with_settle(budget::settle_options settle);
    budget_options_builder& with_sizes(budget::sizing sizes);
    /// @pre `count` > 0.
    budget_options_builder& with_workers(std::size_t count);
    budget_options_builder& with_tick(duration tick);
    budget_options_builder& with_durable_wait(duration wait);
    /// @pre `list_lag` exceeds the longest lag of the platform's VM list.
    budget_options_builder& with_sweep(duration interval, duration list_lag);

    budget_options build() const;

private:
    budget_options options;
};

/// One budget at this router, for metrics and operators. Immutable value.
struct budget_status
{
    budget_id budget;
    token_count paid{};      ///< as last read
    token_count ungranted{}; ///< as last read
    token_count granted{};   ///< this router's share
    token_count free{};
    token_count reserved{};
    token_count unsettled{};
    token_count settled{};
    std::size_t waiting{};
    bool fenced{false};
    bool store_down{false};

    friend bool operator==(budget_status const&,
                           budget_status const&) = default;
};

struct budget_report
{
    std::vector<budget_status> budgets;
    std::size_t unsettled_bills{};
    /// True once stopped, with all bills settled and all shares returned.
    bool clean{false};

    friend bool operator==(budget_report const&,
                           budget_report const&) = default;
};

/// Starts the actor that owns the state of all budgets at this router, and its
/// workers. It retries binding the holder row until that succeeds; until then
/// reservations wait. Thread safe.
/// @pre `stop_budgets` is called before `system` ends
caf::actor spawn_budget_controller(caf::actor_system& system,
                                   budget_options options);

/// Returns the port that the request filters call. Thread safe.
/// @pre `system` outlives the port
budget::port make_budget_port(caf::actor_system& system,
                              caf::actor const& controller);

/// Returns the controller's current state; empty if it does not reply within
/// 5 s. Thread safe; blocks.
budget_report report_budgets(caf::actor_system& system,
                             caf::actor const& controller);

/// Stops admitting, settles every bill, returns the shares, closes the holder
/// row and ends the actor; gives up after `bound`. The report shows what was
/// not returned; recovery by another router returns it. An open reservation
/// keeps its budget from closing, so finish reservations first. Thread safe;
/// blocks.
budget_report stop_budgets(caf::actor_system& system,
                           caf::actor const& controller, duration bound);

} // namespace caperpath::controllers

#endif
