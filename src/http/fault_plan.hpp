#ifndef CAPERPATH_SRC_HTTP_FAULT_PLAN_HPP
#define CAPERPATH_SRC_HTTP_FAULT_PLAN_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/config/json_reader.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace caperpath::http
{

/// What goes wrong with one call. Immutable value.
struct planned_fault
{
    std::string kind; ///< one of the plan's kinds, "outage" for example
    duration span{};  ///< of a delay, an outage or a lag

    friend bool operator==(planned_fault const&,
                           planned_fault const&) = default;
};

/// What a stand-in's `POST /faults` may ask for. Immutable value.
struct fault_vocabulary
{
    std::vector<std::string> steps; ///< "any" is always allowed too
    std::vector<std::string> kinds;

    friend bool operator==(fault_vocabulary const&,
                           fault_vocabulary const&) = default;
};

/// The faults that a stand-in was asked to show, in the order they came. An
/// "outage" strikes every call for `ms` from when it was planned; any other
/// fault strikes `count` calls. With a probability below 100 %, the seed
/// decides which calls it strikes, the same ones in every run. Thread safe.
class fault_plan
{
public:
    explicit fault_plan(fault_vocabulary known);

    /// Adds `{"step","kind","count","ms","probability_percent","seed"}`, or
    /// returns what is wrong with it and adds nothing.
    std::vector<config::fault> add(nlohmann::json const& wanted, instant now);

    /// The first fault that strikes a call of `step`, which uses it up by one.
    std::optional<planned_fault> take(std::string const& step, instant now);

    void clear();

private:
    struct rule
    {
        std::string step;
        planned_fault effect;
        std::int64_t left{};
        std::int64_t percent{};
        std::mt19937_64 random;
        std::optional<instant> until;
    };

    bool strikes(rule& candidate, std::string const& step, instant now) const;

    fault_vocabulary const known;
    std::mutex mutex;
    std::vector<rule> rules;
};

} // namespace caperpath::http

#endif
