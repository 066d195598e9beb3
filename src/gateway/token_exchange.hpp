#ifndef CAPERPATH_SRC_GATEWAY_TOKEN_EXCHANGE_HPP
#define CAPERPATH_SRC_GATEWAY_TOKEN_EXCHANGE_HPP

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

/// This router's share of one budget, as its token exchange sees it.
struct share_view
{
    token_count free{};      ///< beyond what callers that wait here need
    token_count lacking{};   ///< what callers that wait here need beyond it
    token_count spent{};     ///< by requests of this router
    token_count paid{};      ///< 0: the budget is not known
    token_count ungranted{}; ///< in the budget row; all while it is not known
    double mean_request{};
};

/// What a token exchange asks of the shares.
struct share_access
{
    std::function<share_view(budget_id const&)> view;

    /// The budgets that this router holds tokens of or has requests for.
    std::function<std::vector<budget_id>()> in_use;

    /// All budgets that are known.
    std::function<std::vector<budget_id>()> known;

    /// Takes tokens out of the share for good, for another router; `done` tells
    /// whether they were taken, at once or within `wait`.
    std::function<void(budget_id const&, token_count, duration wait,
                       std::function<void(bool)> done)>
        take;

    /// Tokens of another router are this one's now.
    std::function<void(budget_id const&, token_count)> put;

    /// Callers that wait for more than is free get their refusal.
    std::function<void(budget_id const&, duration retry_after)> refuse;

    /// A coordinator holds so many tokens free.
    std::function<void(budget_id const&, token_count)> hold;

    /// No coordinator answers: this router may draw by itself for a while.
    std::function<void(budget_id const&)> draw_alone;
};

/// Moves tokens between the shares of a large fleet's routers by datagrams.
///
/// Each budget has a coordinator, the first of its VMs by a hash. It draws from
/// the budget row, spreads most of the budget over the routers before they ask,
/// and gives to those that run out or asks others to. It is no authority: any
/// router can draw and give, and what a budget's tokens are worth rests on the
/// share and spend rows alone. So a coordinator that dies, or two that take
/// themselves for the only one, refuse some callers and overspend nothing.
///
/// Loop thread only; outlives its calls, and `log` outlives it.
class token_exchange
{
public:
    /// `address` is the own "IP:port" as the heartbeat row has it.
    token_exchange(
        std::string address, incarnation_id self, share_access shares,
        caperpath::clock time,
        std::function<void(std::string const& to, std::string const& bytes)>
            send,
        decision_log& log);

    /// The routers that are alive, by address, this one included or not.
    void note_routers(std::map<std::string, incarnation_id> const& live,
                      instant now);

    /// A request of this budget came.
    void note_request(budget_id const& budget, instant now);

    /// Callers wait for more than is free.
    void want(budget_id const& budget, instant now);

    /// Time passes: sends again, reports, distributes.
    void tick(instant now);

    void receive(std::string const& from, std::string const& bytes,
                 instant now);

    /// True when this router looks after the budget.
    bool is_coordinator(budget_id const& budget);

    /// True when a coordinator may answer, by what is known of them.
    bool may_be_answered(budget_id const& budget, instant now);

    /// Requests of the budget that came here of late.
    double requests(budget_id const& budget, instant now) const;

private:
    struct peer
    {
        incarnation_id incarnation;
        double all_requests{}; ///< for all budgets, of late
        instant heard_at{};
        instant silent_until{}; ///< an ask was not answered
    };
    /// An ask without an answer.
    struct open_ask
    {
        token_count tokens{};
        std::size_t rank{}; ///< of the coordinator that was asked
        instant sent_at{};
        int sends{};
    };
    struct heard_stock
    {
        token_count free{};
        token_count spent{};
        budget::request_count requests;
    };
    /// The latest ask of a router; a process that is new there counts anew.
    struct served_ask
    {
        incarnation_id asker;
        std::uint64_t number{};
    };
    struct denial
    {
        token_count tokens{};
        duration retry_after{};
        instant until{};
    };
    struct trade
    {
        std::vector<vm_id> coordinators;
        budget::request_count requests;
        std::uint64_t asks{};
        std::optional<open_ask> asked;
        std::optional<denial> denied;
        stock_report reported;
        instant reported_at{};
        std::map<vm_id, heard_stock> routers; ///< as their coordinator
        std::map<vm_id, served_ask> served;
    };

    trade& trade_of(budget_id const& budget);
    peer_packet& packet_to(vm_id const& to);
    void flush();
    void hear(vm_id const& from, peer_packet const& packet, instant now);
    void take_transfers(vm_id const& from, peer_packet const& packet);
    void take_report(vm_id const& from, stock_report const& report,
                     instant now);
    void serve(vm_id const& from, token_ask const& ask, instant now);
    void serve_recall(vm_id const& from, token_recall const& recall);
    void take_denial(vm_id const& from, token_denial const& denial,
                     instant now);
    void give(vm_id const& to, budget_id const& budget, token_count tokens,
              duration wait, std::function<void()> failed);
    void give_rest(vm_id const& to, budget_id const& budget, token_count free);
    void gather(budget_id const& budget, token_count missing, instant now);
    void serve_self(budget_id const& budget, trade& of, instant now);
    budget::budget_stock stock_of(budget_id const& budget, trade const& of,
                                  instant now);
    bool is_used_up(budget::budget_stock const& stock, share_view const& view,
                    token_count tokens) const;
    void ask(budget_id const& budget, trade& of, instant now);
    void ask_next(budget_id const& budget, trade& of, instant now);
    bool is_silent(vm_id const& router, instant now) const;
    bool is_reachable(vm_id const& router, instant now) const;
    void report(instant now);
    void distribute(instant now);
    void distribute(budget_id const& budget, trade& of, instant now);
    void send_transfers(instant now);

    vm_id self;
    incarnation_id incarnation;
    share_access shares;
    caperpath::clock time;
    std::function<void(std::string const&, std::string const&)> send;
    decision_log& log;
    std::map<vm_id, peer> peers; ///< without this router
    std::map<budget_id, trade> trades;
    budget::request_count all_requests;
    budget::outbox sent;
    budget::inbox taken;
    std::map<vm_id, peer_packet> packets;
    instant known_since{}; ///< the first routers
    instant reported_at{};
    instant reported_all_at{};
    instant distributed_at{};
};

} // namespace caperpath::gateway

#endif
