#ifndef CAPERPATH_BENCH_BUDGET_FLEET_HPP
#define CAPERPATH_BENCH_BUDGET_FLEET_HPP

#include "budget_events.hpp"
#include "budget_traffic.hpp"

#include <caperpath/budget/recovery.hpp>
#include <caperpath/budget/settlement.hpp>
#include <caperpath/budget/share.hpp>
#include <caperpath/store/memory_table.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace caperpath::bench
{

/// Simulated fleet of routers on one table, with the traffic and the faults of
/// the settings. Not thread safe.
class fleet
{
public:
    fleet(settings chosen, config::budget_policy policy,
          std::vector<request> const& traffic, std::vector<token_count> paid);

    figures run();

private:
    struct router
    {
        budget::holder_view holder;
        std::map<budget_id, budget::share_state> shares;
        budget::settlement_state settlement;
        bool dead{false};
        bool unready{false}; ///< the load balancer sends it no requests
    };
    struct open_request
    {
        std::size_t number{};
        int vm{};
        instant since{};
        instant finished{};
    };
    using router_ptr = std::shared_ptr<router>;

    router_ptr make_router(int vm);
    void arrive(std::size_t number);
    void admit(router_ptr const& at, std::size_t number);
    void refuse(router_ptr const& at, std::size_t number,
                budget::reserve_reply const& reply);
    void finish(router_ptr const& at, std::size_t number);
    void end_answer(std::size_t number);
    void pump(router_ptr const& at);
    bool step_budget(router_ptr const& at, budget_id const& budget);
    void pump_budget(router_ptr const& at, budget_id const& budget);
    void pump_settlement(router_ptr const& at);
    void tick(int vm);
    void schedule_faults();
    void die(int vm, bool replace);
    void recover(router_ptr const& dead);
    void call(router_ptr const& at, store::transaction txn,
              std::function<void(store::commit_result)> done);
    void refresh(router_ptr const& at, std::vector<budget_id> const& budgets);
    void apply_refresh(router_ptr const& at, budget_id const& budget,
                       bool failed);
    bool reaches_store(router_ptr const& at) const;
    bool is_paused(router_ptr const& at) const;
    router_ptr pick(int vm) const;
    void count_stranded(token_count change);
    figures sum_up();

    settings chosen;
    config::budget_policy policy;
    fault_plan plan;
    std::vector<request> const& traffic;
    omniscient truth;
    event_loop loop;
    std::mt19937_64 random;
    std::shared_ptr<store::memory_table> table;
    store::port direct;
    std::vector<router_ptr> routers;
    router_ptr first; ///< target of faults of one VM
    std::unordered_map<std::string, open_request> open;
    budget::settle_options settle;
    figures sums;
    int incarnations{};
    token_count stranded_now{};
    instant stranded_since{};
};

} // namespace caperpath::bench

#endif
