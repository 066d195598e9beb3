#ifndef CAPERPATH_BENCH_BUDGET_TRAFFIC_HPP
#define CAPERPATH_BENCH_BUDGET_TRAFFIC_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Traffic and faults that are applied to every scheme of the benchmark.
namespace caperpath::bench
{

struct settings
{
    std::uint64_t seed{1};
    int vms{9};
    int customers{10};
    double rate{36}; ///< requests a second at each VM
    int seconds{3'600};
    int durable_ms{100};
    int deferred_ms{3'000};
    double paid_part{0.8}; ///< of what the whole traffic would cost
    std::string fault{"none"};
};

struct request
{
    instant at;
    int vm{};
    int customer{};
    token_count worst{};
    token_count cost{};
    duration runs{};
};

/// Time spans in which a VM or the store is faulty, and times of single events.
struct fault_plan
{
    instant dies{};     ///< the first VM, 0: never
    instant replaced{}; ///< first of all VMs one after another, 0: never
    duration replace_step{};
    instant cut_from{}; ///< the first VM does not reach the store
    instant cut_to{};
    instant down_from{}; ///< no VM reaches the store
    instant down_to{};
    instant paused_from{}; ///< the first VM is paused
    instant paused_to{};
    instant topped_up{};
    int lost_percent{}; ///< responses of the store that are lost
};

inline bool within(instant at, instant from, instant to)
{
    return from <= at && at < to;
}

constexpr char const* fault_names =
    "none, dead_router, cut_off, store_outage, paused, lost_answers, "
    "replace_all, top_up_cut_off";

/// Returns a plan without faults for an unknown name; `main` rejects such
/// names.
inline fault_plan plan_of(settings const& chosen)
{
    auto const part = [&chosen](int percent)
    {
        return instant{std::int64_t{chosen.seconds} * 10 * percent};
    };
    fault_plan plan;
    auto const& name = chosen.fault;
    if (name == "dead_router")
    {
        plan.dies = part(40);
    }
    if (name == "cut_off" || name == "top_up_cut_off")
    {
        plan.cut_from = part(30);
        plan.cut_to = part(60);
    }
    if (name == "top_up_cut_off")
    {
        plan.topped_up = part(45);
    }
    if (name == "store_outage")
    {
        plan.down_from = part(30);
        plan.down_to = part(40);
    }
    if (name == "paused")
    {
        plan.paused_from = part(30);
        plan.paused_to = part(60);
    }
    if (name == "lost_answers")
    {
        plan.lost_percent = 5;
    }
    if (name == "replace_all")
    {
        plan.replaced = part(40);
        plan.replace_step = {60'000 / std::max(1, chosen.vms)};
    }
    return plan;
}

/// Returns customer sizes that fall as 1/n, so that a few are large.
inline std::vector<double> weights(int customers)
{
    std::vector<double> all;
    for (int i = 0; i < customers; ++i)
    {
        all.push_back(1.0 / (i + 1));
    }
    return all;
}

/// Poisson arrivals at each VM; a worst case of 400 to 1,600 tokens of which a
/// tenth to six tenths are used; 2 to 18 seconds each.
inline std::vector<request> make_traffic(settings const& chosen)
{
    std::mt19937_64 random{chosen.seed};
    std::exponential_distribution<double> gap{chosen.rate * chosen.vms / 1'000};
    std::uniform_int_distribution<int> vm{0, chosen.vms - 1};
    std::uniform_int_distribution<token_count> worst{400, 1'600};
    std::uniform_real_distribution<double> used{0.1, 0.6};
    std::uniform_int_distribution<std::int64_t> runs{2'000, 18'000};
    auto const sizes = weights(chosen.customers);
    std::discrete_distribution<int> customer(sizes.begin(), sizes.end());
    std::vector<request> all;
    double now = 0;
    for (;;)
    {
        now += gap(random);
        if (now >= chosen.seconds * 1'000.0)
        {
            return all;
        }
        request one;
        one.at = {static_cast<std::int64_t>(now)};
        one.vm = vm(random);
        one.customer = customer(random);
        one.worst = worst(random);
        one.cost = static_cast<token_count>(static_cast<double>(one.worst) *
                                            used(random));
        one.runs = {runs(random)};
        all.push_back(one);
    }
}

/// Returns budgets that cover a part of the traffic.
inline std::vector<token_count> make_budgets(settings const& chosen,
                                             std::vector<request> const& all)
{
    std::vector<token_count> paid(static_cast<std::size_t>(chosen.customers));
    for (auto const& one : all)
    {
        paid[static_cast<std::size_t>(one.customer)] += one.cost;
    }
    for (auto& tokens : paid)
    {
        tokens = static_cast<token_count>(static_cast<double>(tokens) *
                                          chosen.paid_part);
    }
    return paid;
}

/// Results of one scheme.
struct figures
{
    std::string scheme;
    std::int64_t requests{};
    std::int64_t admitted{};
    std::int64_t refused{};
    std::int64_t false_refusals{};
    std::int64_t before_end{};       ///< requests until a budget is 99% spent
    std::int64_t false_before_end{}; ///< false rejections among them
    std::int64_t lost_with_router{};
    token_count overspend{};
    token_count stranded{}; ///< the most at one time
    std::int64_t stranded_ms{};
    token_count held{}; ///< at the end, until an operator releases them
    std::int64_t writes{};
    std::int64_t refused_writes{}; ///< part of `writes`
    std::int64_t rows{};
    std::int64_t reads{};
    std::int64_t waited_ms{};    ///< sum over admissions
    std::int64_t bill_wait_ms{}; ///< sum over responses that wait for the bill
    std::int64_t bill_waits{};
    std::int64_t bill_wait_most_ms{};
    bool ledger_is_sound{true};
};

/// Omniscient ledger, per customer, of the tokens promised to open requests and
/// used by ended ones.
class omniscient
{
public:
    explicit omniscient(std::vector<token_count> paid)
        : paid{std::move(paid)}, open(this->paid.size()),
          consumed(this->paid.size())
    {
    }

    void count_request(figures& sums, int customer) const
    {
        sums.requests += 1;
        sums.before_end += this->is_before_end(customer) ? 1 : 0;
    }

    void admitted(figures& sums, int customer, token_count worst)
    {
        sums.admitted += 1;
        this->open[index(customer)] += worst;
    }

    void refused(figures& sums, int customer, token_count worst) const
    {
        sums.refused += 1;
        auto const wrong = this->covers(customer, worst);
        sums.false_refusals += wrong ? 1 : 0;
        sums.false_before_end += wrong && this->is_before_end(customer) ? 1 : 0;
    }

    void finished(figures& sums, int customer, token_count worst,
                  token_count cost)
    {
        auto const i = index(customer);
        this->open[i] -= worst;
        this->consumed[i] += cost;
        sums.overspend =
            std::max(sums.overspend, this->consumed[i] - this->paid[i]);
    }

    void lost(figures& sums, int customer, token_count worst)
    {
        sums.lost_with_router += 1;
        this->open[index(customer)] -= worst;
    }

    /// The request completed, but its caller did not get the complete response.
    void response_lost(figures& sums, int customer, token_count cost)
    {
        sums.lost_with_router += 1;
        this->consumed[index(customer)] -= cost;
    }

    /// Returns true if this ledger itself would admit the request now.
    bool covers(int customer, token_count worst) const
    {
        auto const i = index(customer);
        return worst <= this->paid[i] - this->open[i] - this->consumed[i];
    }

    void topped_up(int customer, token_count tokens)
    {
        this->paid[index(customer)] += tokens;
    }

    static std::size_t index(int customer)
    {
        return static_cast<std::size_t>(customer);
    }

    std::vector<token_count> paid;

private:
    bool is_before_end(int customer) const
    {
        auto const i = index(customer);
        return this->consumed[i] * 100 < this->paid[i] * 99;
    }

    std::vector<token_count> open;
    std::vector<token_count> consumed;
};

} // namespace caperpath::bench

#endif
