#ifndef CAPERPATH_SRC_GATEWAY_BUDGETS_TOKEN_EXCHANGE_HPP
#define CAPERPATH_SRC_GATEWAY_BUDGETS_TOKEN_EXCHANGE_HPP

#include "gateway/decision_log.hpp"
#include "gateway/peer_packet.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/distribution.hpp>
#include <caperpath/budget/transfer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// This router's share of one budget, as the token exchange reads it.
struct share_view
{
    token_count free{};      ///< not needed by callers waiting here
    token_count lacking{};   ///< needed by callers waiting here, but not free
    token_count spent{};     ///< by requests of this router
    token_count paid{};      ///< 0: budget unknown
    token_count ungranted{}; ///< in the budget row; the paid amount if unread
    double mean_request{};
};

/// Callbacks through which a token exchange uses this router's shares.
struct share_access
{
    std::function<share_view(budget_id const&)> view;

    /// Returns the budgets that this router holds tokens of or has requests
    /// for.
    std::function<std::vector<budget_id>()> in_use;

    /// Returns all known budgets.
    std::function<std::vector<budget_id>()> known;

    /// Takes tokens out of the share for good, for another router. `done`
    /// reports whether they were taken, at once or within `wait`.
    std::function<void(budget_id const&, token_count, duration wait,
                       std::function<void(bool)> done)>
        take;

    /// Adds tokens received from another router to the share.
    std::function<void(budget_id const&, token_count)> put;

    /// Rejects the waiting callers whose requests exceed the free tokens.
    std::function<void(budget_id const&, duration retry_after)> reject;

    /// Sets how many tokens this router holds free as coordinator.
    std::function<void(budget_id const&, token_count)> set_pool_target;

    /// Lets this router draw from the budget row for a while, since no
    /// coordinator responds.
    std::function<void(budget_id const&)> draw_alone;
};

/// Moves tokens between the shares of a large fleet's routers by datagrams. A
/// `vm_id` holds a router's datagram address ("IP:port") here.
///
/// Each budget has a coordinator, the first of its VMs by a hash. It draws from
/// the budget row, distributes most of the budget over the routers ahead of
/// demand, and serves the token requests of routers that run out, itself or by
/// recalling tokens from others. It has no authority: any router can draw and
/// give tokens, and only the share and spend rows determine what may be spent.
/// So if a coordinator dies, or two routers both act as coordinator, some
/// callers are rejected but no budget is overspent.
///
/// Loop thread only; outlives its calls, and `log` outlives it.
class token_exchange
{
public:
    /// `address` is this router's "IP:port" as in its heartbeat row.
    token_exchange(
        std::string address, incarnation_id self, share_access shares,
        caperpath::clock time,
        std::function<void(std::string const& to, std::string const& bytes)>
            send,
        decision_log& log);

    /// Sets the live routers by address, with or without this one.
    void set_peers(std::map<std::string, incarnation_id> const& live,
                   instant now);

    /// Counts a caller's request for the budget.
    void count_request(budget_id const& budget, instant now);

    /// Requests tokens from a coordinator if waiting callers need more than the
    /// free tokens.
    void request_tokens(budget_id const& budget, instant now);

    /// Retries, reports and distributes what is due at `now`.
    void tick(instant now);

    void receive(std::string const& from, std::string const& bytes,
                 instant now);

    /// Returns true if this router is the coordinator of the budget.
    bool is_coordinator(budget_id const& budget);

    /// Returns true if another router that coordinates the budget is believed
    /// to respond.
    bool may_get_response(budget_id const& budget, instant now);

    /// Returns the decaying count of recent requests for the budget at this
    /// router.
    double recent_requests(budget_id const& budget, instant now) const;

private:
    struct peer
    {
        incarnation_id incarnation;
        double all_requests{}; ///< recent, for all budgets
        instant received_at{};
        instant silent_until{}; ///< after a request timed out
    };
    /// A token request without a response.
    struct open_request
    {
        token_count tokens{};
        std::size_t rank{}; ///< of the coordinator that received it
        instant sent_at{};
        int sends{};
    };
    struct reported_stock
    {
        token_count free{};
        token_count spent{};
        budget::request_count requests;
    };
    /// The latest token request of a router. A restarted process numbers its
    /// requests from 1 again.
    struct served_request
    {
        incarnation_id requester;
        std::uint64_t number{};
    };
    struct recent_rejection
    {
        token_count tokens{};
        duration retry_after{};
        instant until{};
    };
    struct budget_state
    {
        std::vector<vm_id> coordinators;
        budget::request_count requests;
        std::uint64_t last_request{};
        std::optional<open_request> pending;
        std::optional<recent_rejection> rejected;
        stock_report reported;
        instant reported_at{};                   ///< not used
        std::map<vm_id, reported_stock> routers; ///< as coordinator
        std::map<vm_id, served_request> served;
    };

    budget_state& state_of(budget_id const& budget);
    peer_packet& packet_to(vm_id const& to);
    void flush();
    void handle_packet(vm_id const& from, peer_packet const& packet,
                       instant now);
    void handle_transfers(vm_id const& from, peer_packet const& packet);
    void handle_report(vm_id const& from, stock_report const& report,
                       instant now);
    void serve_request(vm_id const& from, token_request const& request,
                       instant now);
    void serve_recall(vm_id const& from, token_recall const& recall);
    void handle_rejection(vm_id const& from, token_rejection const& rejection,
                          instant now);
    void send_tokens(vm_id const& to, budget_id const& budget,
                     token_count tokens, duration wait,
                     std::function<void()> failed);
    void send_remaining(vm_id const& to, budget_id const& budget,
                        token_count free);
    void recall_missing(budget_id const& budget, token_count missing,
                        instant now);
    void serve_own_callers(budget_id const& budget, budget_state& of,
                           instant now);
    budget::budget_stock stock_of(budget_id const& budget,
                                  budget_state const& of, instant now);
    bool is_used_up(budget::budget_stock const& stock, share_view const& view,
                    token_count tokens) const;
    void send_request(budget_id const& budget, budget_state& of, instant now);
    void retry_request(budget_id const& budget, budget_state& of, instant now);
    bool is_silent(vm_id const& router, instant now) const;
    bool is_reachable(vm_id const& router, instant now) const;
    void send_reports(instant now);
    void distribute(instant now);
    void distribute(budget_id const& budget, budget_state& of, instant now);
    void send_transfers(instant now);

    vm_id self;
    incarnation_id incarnation;
    share_access shares;
    caperpath::clock time;
    std::function<void(std::string const&, std::string const&)> send;
    decision_log& log;
    std::map<vm_id, peer> peers; ///< excludes this router
    std::map<budget_id, budget_state> states;
    budget::request_count all_requests;
    budget::outbox outgoing;
    budget::inbox incoming;
    std::map<vm_id, peer_packet> packets;
    instant peers_known_since{}; ///< when the first peers were known
    instant reported_at{};
    instant reported_all_at{};
    instant distributed_at{};
};

} // namespace caperpath::gateway

#endif
