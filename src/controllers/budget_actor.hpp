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

/// A pending call of `finish` that waits for its bill to become durable.
struct finish_waiter
{
    caf::response_promise promise;
    instant expires_at{};
};

/// The state and message handlers of the actor. The pure functions of `budget`
/// decide; this class passes them events and runs the resulting calls. Runs on
/// the actor's thread only.
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

    void on_bind(bind_result const& result);
    void on_refresh(refresh_result const& result);
    void on_write(write_result const& result);
    void on_settle(batch_result const& result);
    void on_close(close_result const& result);
    void on_sweep(sweep_result const& result);

    void tick();
    void pump();
    void pump_budgets();
    void pump_settlement();
    void pump_close();
    void deliver_replies(budget::share_state& share);
    void release_expired(instant now);
    void release_all_waiters();
    void record_store_result(bool reached);
    void bind();
    void pump_sweep();
    void refresh(std::vector<budget_id> budgets);
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
    std::unordered_map<request_id, promise> pending_reservations;
    /// Bills that are not yet durable, each with its pending `finish` calls.
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
