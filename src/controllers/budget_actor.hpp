#ifndef CAPERPATH_CONTROLLERS_BUDGET_ACTOR_HPP
#define CAPERPATH_CONTROLLERS_BUDGET_ACTOR_HPP

#include "budget_messages.hpp"

#include <caperpath/budget/settlement.hpp>
#include <caperpath/budget/share.hpp>

#include <caf/all.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace caperpath::controllers
{

/// A caller of `finish` that waits for its bill to become durable.
struct finish_waiter
{
    caf::response_promise promise;
    instant until{};
};

/// The state of the actor and the steps that move it. Every decision is made by
/// the pure functions of `budget`; this carries events in and effects out. Runs
/// on the actor's thread only.
class budget_actor
{
public:
    budget_actor(caf::event_based_actor* self, budget_options options);

    caf::behavior behavior();

private:
    using promise = caf::response_promise;

    promise reserve(budget::reserve_request const& request);
    promise finish(budget::finish_request const& request);
    void cancel(cancel_request const& request);
    promise stop(stop_request const& request);

    void bound(bind_result const& result);
    void looked(look_result const& result);
    void wrote(write_result const& result);
    void settled(batch_result const& result);
    void closed(close_result const& result);
    void swept(sweep_result const& result);

    void tick();
    void pump();
    void pump_budgets();
    void pump_settlement();
    void pump_close();
    void answer(budget::share_state& share);
    void release_expired(instant now);
    void release_all_waiters();
    void note_store(bool reached);
    void bind();
    void pump_sweep();
    void look(std::vector<budget_id> budgets);
    void run(std::function<void()> job);
    void end();

    budget::share_state& share_of(budget_id const& budget,
                                  config::budget_policy policy);
    budget_report report() const;

    caf::event_based_actor* self;
    budget_options options;
    std::vector<caf::actor> workers;
    std::size_t next_worker{};
    budget::holder_view holder;
    bool binding{false};
    instant bind_at{};
    int bind_failures{};
    std::unordered_map<budget_id, budget::share_state> shares;
    budget::settlement_state settlement;
    std::unordered_map<request_id, promise> reserving;
    /// Bills that are not durable, and who waits for each.
    std::unordered_map<request_id, std::vector<finish_waiter>> unsettled;
    budget::death_watch watch;
    bool sweeping{false};
    std::optional<instant> sweep_at;
    std::optional<promise> stopping;
    instant stop_until{};
    bool close_sent{false};
};

} // namespace caperpath::controllers

#endif
