#include <caperpath/budget/distribution.hpp>

#include <caperpath/fleet/placement.hpp>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace caperpath::budget
{

namespace
{

constexpr double count_lifetime_ms = 10'000;
/// This part of what is left stays in the budget row: for routers that run out
/// while the store can be asked, and for all when they crash in an outage of
/// the store, after which most of what they held counts as spent.
constexpr double reserve_part = 0.25;
/// So many requests the coordinator has at hand for others.
constexpr double working_requests = 8;
/// A router with less than this part of its target gets the rest.
constexpr double short_part = 0.6;
/// A router with this many times its target can spare what is above it.
constexpr double surplus_factor = 1.3;
/// How many requests of its own a router must have had for its count to weigh
/// as much as what its whole traffic makes expect.
constexpr double prior_requests = 2;
/// Each router counts as if it had this part of a mean router's traffic besides
/// its own: callers may come to any.
constexpr double least_traffic_part = 0.3;
/// A stock below this part of a request is of no use to anybody.
constexpr double least_useful_part = 0.5;
/// A target is at most so many times the need.
constexpr double most_needs = 3;
/// Deviations that are no chance any more.
constexpr double surprise = 3;
/// More requests than expected that a router should be able to serve.
constexpr double deviations = 2;
/// Routers that are asked at once for what one caller lacks.
constexpr std::size_t most_sources = 6;
constexpr std::size_t asked_in_turn = 3;

struct target
{
    vm_id router;
    router_stock stock;
    double part{};
    token_count tokens{}; ///< to hold
    token_count need{};   ///< of the next seconds; 0 while nothing is known
    bool sticky{false};   ///< callers of the customer stay at it

    bool is_coordinator() const
    {
        return this->router.value.empty();
    }

    bool is_short() const
    {
        auto const enough = static_cast<double>(this->tokens) * short_part;
        auto const need = static_cast<double>(this->need);
        return !this->is_coordinator() &&
               static_cast<double>(this->stock.free) <
                   (need > 0 ? std::min(enough, need) : enough);
    }

    token_count lack() const
    {
        return this->is_short() ? this->tokens - this->stock.free : 0;
    }
};

std::vector<target> routers_by_part(budget_stock const& stock)
{
    std::vector<target> all;
    for (auto const& [router, part] : expected_parts(stock))
    {
        auto const found = stock.routers.find(router);
        auto const known =
            found == stock.routers.end() ? stock.own : found->second;
        all.push_back({router, known, part});
    }
    std::stable_sort(all.begin(), all.end(),
                     [](auto const& a, auto const& b)
                     { return a.part > b.part; });
    return all;
}

token_count all_tokens(budget_stock const& stock)
{
    auto all = stock.pool + stock.ungranted;
    for (auto const& [router, one] : stock.routers)
    {
        all += one.free;
    }
    return all;
}

/// What the requests of the next seconds will need, by those of the last ones;
/// nothing where there were none.
void set_needs(std::vector<target>& routers, budget_stock const& stock)
{
    auto requests = stock.own.requests;
    for (auto const& [router, one] : stock.routers)
    {
        requests += one.requests;
    }
    for (auto& one : routers)
    {
        auto const expected = one.part * requests;
        // More than chance brings: callers that stay at this router.
        auto const chance = surprise * (std::sqrt(expected) + 1);
        auto const sticky = one.stock.requests > expected + chance;
        auto const coming = sticky ? one.stock.requests : expected;
        auto const most = coming + deviations * std::sqrt(coming) + 1;
        one.need = requests > 0
                       ? static_cast<token_count>(most * stock.mean_request)
                       : 0;
        one.sticky = sticky;
    }
    std::stable_sort(routers.begin(), routers.end(),
                     [](auto const& a, auto const& b)
                     { return a.sticky && !b.sticky; });
}

/// Each gets its part, and no less than one request: a budget that is too small
/// for all routers lies at those which most likely need it. None gets more than
/// some times its need: the rest is safer in the budget row.
void set_targets(std::vector<target>& routers, token_count to_spread,
                 double request)
{
    auto left = static_cast<double>(to_spread);
    for (auto& one : routers)
    {
        auto const need = static_cast<double>(one.need);
        auto wanted = std::max(one.part * static_cast<double>(to_spread),
                               one.sticky ? need : request);
        wanted = need > 0 ? std::min(wanted, need * most_needs) : wanted;
        wanted = std::min(wanted, left);
        if (wanted >= request * least_useful_part)
        {
            one.tokens = static_cast<token_count>(wanted);
            left -= wanted;
        }
    }
}

token_count surplus_of(target const& one)
{
    auto const kept = static_cast<double>(one.tokens) * surplus_factor;
    return static_cast<double>(one.stock.free) > kept
               ? one.stock.free - one.tokens
               : 0;
}

/// What is at hand, to the routers that are short: those first that have least
/// of what they need.
std::vector<token_move> pushes(std::vector<target> routers, token_count at_hand)
{
    auto const covered = [](target const& one)
    {
        return static_cast<double>(one.stock.free) /
               static_cast<double>(std::max<token_count>(1, one.need));
    };
    std::stable_sort(routers.begin(), routers.end(),
                     [&](auto const& a, auto const& b)
                     { return covered(a) < covered(b); });
    std::vector<token_move> moves;
    for (auto const& one : routers)
    {
        auto const tokens = std::min(one.lack(), at_hand);
        if (tokens > 0)
        {
            moves.push_back({one.router, tokens});
            at_hand -= tokens;
        }
    }
    return moves;
}

/// Asks back what the moves need beyond what is at hand.
void add_recalls(std::vector<token_move>& moves, std::vector<target> routers,
                 token_count missing)
{
    std::stable_sort(routers.begin(), routers.end(),
                     [](auto const& a, auto const& b)
                     { return surplus_of(a) > surplus_of(b); });
    for (auto const& one : routers)
    {
        auto const back = std::min(surplus_of(one), missing);
        if (back <= 0)
        {
            return;
        }
        if (!one.is_coordinator())
        {
            moves.push_back({one.router, -back});
            missing -= back;
        }
    }
}

} // namespace

double value_at(request_count const& count, instant now)
{
    auto const age = static_cast<double>((now - count.at).ms);
    return count.requests * std::exp(-age / count_lifetime_ms);
}

request_count counted(request_count const& count, instant now)
{
    return {value_at(count, now) + 1, now};
}

std::map<vm_id, double> expected_parts(budget_stock const& stock)
{
    auto const routers = static_cast<double>(stock.routers.size() + 1);
    auto traffic = stock.own.all_requests;
    auto requests = stock.own.requests;
    for (auto const& [router, one] : stock.routers)
    {
        traffic += one.all_requests;
        requests += one.requests;
    }
    auto const least = traffic > 0 ? least_traffic_part * traffic / routers : 1;
    auto const whole = traffic + least * routers;
    auto const part_of = [&](router_stock const& one)
    {
        auto const part = (one.all_requests + least) / whole;
        auto const expected = part * requests;
        return part * (one.requests + prior_requests) /
               (expected + prior_requests);
    };
    std::map<vm_id, double> parts{{vm_id{}, part_of(stock.own)}};
    for (auto const& [router, one] : stock.routers)
    {
        parts[router] = part_of(one);
    }
    double sum = 0;
    for (auto const& [router, part] : parts)
    {
        sum += part;
    }
    for (auto& [router, part] : parts)
    {
        part /= sum;
    }
    return parts;
}

distribution distribute(budget_stock const& stock)
{
    auto const all = static_cast<double>(all_tokens(stock));
    auto const reserve = static_cast<token_count>(all * reserve_part);
    auto routers = routers_by_part(stock);
    set_needs(routers, stock);
    set_targets(routers, static_cast<token_count>(all) - reserve,
                stock.mean_request);
    distribution found;
    auto kept = reserve;
    token_count lack = 0;
    for (auto const& one : routers)
    {
        kept += one.is_coordinator() ? one.tokens : 0;
        lack += one.lack();
    }
    auto const working =
        static_cast<token_count>(working_requests * stock.mean_request);
    found.pool_target = kept - reserve + std::min(reserve, working);
    auto const at_hand =
        std::max<token_count>(0, stock.pool + stock.ungranted - kept);
    found.moves = pushes(routers, at_hand);
    add_recalls(found.moves, routers, lack - at_hand);
    return found;
}

std::vector<token_move> gather(budget_stock const& stock, token_count wanted)
{
    std::vector<token_move> found;
    for (auto const& [router, one] : stock.routers)
    {
        if (one.free > 0)
        {
            found.push_back({router, -one.free});
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](auto const& a, auto const& b)
                     { return a.tokens < b.tokens; });
    found.resize(std::min(found.size(), most_sources));
    for (auto& one : found)
    {
        auto const tokens = std::min(-one.tokens, wanted);
        one.tokens = -tokens;
        wanted -= tokens;
    }
    std::erase_if(found, [](auto const& one) { return one.tokens == 0; });
    return found;
}

std::vector<vm_id> coordinators(budget_id const& budget,
                                std::vector<vm_id> const& vms)
{
    std::vector<std::pair<std::uint64_t, vm_id>> ranked;
    ranked.reserve(vms.size());
    for (auto const& vm : vms)
    {
        ranked.emplace_back(fleet::stable_hash(vm.value + "/" + budget.value),
                            vm);
    }
    auto const count = std::min(asked_in_turn, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>{});
    std::vector<vm_id> first;
    for (std::size_t i = 0; i < count; ++i)
    {
        first.push_back(ranked[i].second);
    }
    return first;
}

} // namespace caperpath::budget
