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
/// This fraction of the remaining tokens is not distributed. The coordinator's
/// pool holds up to `pool_requests` requests of it. The rest stays in the
/// budget row, for routers that run out, and where a crash of all routers in an
/// outage of the store cannot lose it.
constexpr double reserve_part = 0.25;
/// The coordinator's pool covers this many requests of other routers.
constexpr double pool_requests = 8;
/// A router with less than this fraction of its target, or of its need if that
/// is known and smaller, is filled up to the target.
constexpr double short_part = 0.6;
/// A router with more than this many times its target has a surplus: everything
/// above the target.
constexpr double surplus_factor = 1.3;
/// Weight of the prior, in requests: the fraction expected from a router's
/// whole traffic counts as much as this many requests for the budget.
constexpr double prior_weight = 2;
/// Each router counts as if it had this fraction of the mean traffic in
/// addition to its own, since callers may connect to any router.
constexpr double least_traffic_part = 0.3;
/// Tokens below this fraction of a mean request cannot serve any request.
constexpr double least_useful_part = 0.5;
/// A target is at most this many times the need.
constexpr double max_target_by_need = 3;
/// Standard deviations above the expected count that chance does not
/// explain.
constexpr double sticky_deviations = 3;
/// A router's need covers this many standard deviations above the expected
/// count.
constexpr double deviations = 2;
/// Routers that are asked at once for the tokens that one caller lacks.
constexpr std::size_t max_recall_sources = 6;
constexpr std::size_t max_coordinators = 3;

struct target
{
    vm_id router;
    router_stock stock;
    double part{};
    token_count tokens{}; ///< to hold
    token_count need{};   ///< of the next seconds; 0 while unknown
    bool sticky{false};   ///< callers of the customer stay at this router

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

    token_count shortage() const
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

/// Sets what the requests of the next seconds will need, estimated from the
/// recent ones; 0 if there were none. Moves sticky routers to the front.
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
        // More requests than by chance: the callers stay at this router.
        auto const chance_excess =
            sticky_deviations * (std::sqrt(expected) + 1);
        auto const sticky = one.stock.requests > expected + chance_excess;
        auto const coming = sticky ? one.stock.requests : expected;
        auto const upper_bound = coming + deviations * std::sqrt(coming) + 1;
        one.need =
            requests > 0
                ? static_cast<token_count>(upper_bound * stock.mean_request)
                : 0;
        one.sticky = sticky;
    }
    std::stable_sort(routers.begin(), routers.end(),
                     [](auto const& a, auto const& b)
                     { return a.sticky && !b.sticky; });
}

/// Each router gets its part, and at least one request: a budget that is too
/// small for all routers goes to those most likely to need it. None gets
/// more than a multiple of its need: the rest is safer in the budget row.
void set_targets(std::vector<target>& routers, token_count to_spread,
                 double request)
{
    auto left = static_cast<double>(to_spread);
    for (auto& one : routers)
    {
        auto const need = static_cast<double>(one.need);
        auto wanted = std::max(one.part * static_cast<double>(to_spread),
                               one.sticky ? need : request);
        wanted =
            need > 0 ? std::min(wanted, need * max_target_by_need) : wanted;
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

/// Moves the available tokens to the routers that are short, in ascending order
/// of the fraction of their need that they have.
std::vector<token_move> plan_pushes(std::vector<target> routers,
                                    token_count available)
{
    auto const covered_part = [](target const& one)
    {
        return static_cast<double>(one.stock.free) /
               static_cast<double>(std::max<token_count>(1, one.need));
    };
    std::stable_sort(routers.begin(), routers.end(),
                     [&](auto const& a, auto const& b)
                     { return covered_part(a) < covered_part(b); });
    std::vector<token_move> moves;
    for (auto const& one : routers)
    {
        auto const tokens = std::min(one.shortage(), available);
        if (tokens > 0)
        {
            moves.push_back({one.router, tokens});
            available -= tokens;
        }
    }
    return moves;
}

/// Recalls the tokens that the moves need beyond the available ones.
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
        return part * (one.requests + prior_weight) / (expected + prior_weight);
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
    token_count shortage = 0;
    for (auto const& one : routers)
    {
        kept += one.is_coordinator() ? one.tokens : 0;
        shortage += one.shortage();
    }
    auto const pool_limit =
        static_cast<token_count>(pool_requests * stock.mean_request);
    found.pool_target = kept - reserve + std::min(reserve, pool_limit);
    auto const available =
        std::max<token_count>(0, stock.pool + stock.ungranted - kept);
    found.moves = plan_pushes(routers, available);
    add_recalls(found.moves, routers, shortage - available);
    return found;
}

std::vector<token_move> plan_recalls(budget_stock const& stock,
                                     token_count wanted)
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
    found.resize(std::min(found.size(), max_recall_sources));
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
    auto const count = std::min(max_coordinators, ranked.size());
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
