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

/// The fault to inject into one call. Immutable value.
struct planned_fault
{
    std::string kind; ///< one of the plan's kinds, "outage" for example
    duration span{};  ///< duration of a delay, outage or lag

    friend bool operator==(planned_fault const&,
                           planned_fault const&) = default;
};

/// Steps and kinds that `POST /faults` of an emulator accepts. Immutable
/// value.
struct fault_vocabulary
{
    std::vector<std::string> steps; ///< "any" is always allowed too
    std::vector<std::string> kinds;

    friend bool operator==(fault_vocabulary const&,
                           fault_vocabulary const&) = default;
};

/// The faults that an emulator injects, in the order they were added. An
/// "outage" affects every call for `ms` after it was added; any other fault
/// affects `count` calls. With a probability below 100 %, the seed determines
/// which calls are affected, the same ones in every run. Thread safe.
class fault_plan
{
public:
    explicit fault_plan(fault_vocabulary known);

    /// Adds `{"step","kind","count","ms","probability_percent","seed"}`. If it
    /// is invalid, returns every error and adds nothing.
    std::vector<config::fault> add(nlohmann::json const& description,
                                   instant now);

    /// Returns the first fault that affects a call of `step`, and decrements
    /// its count.
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

    bool applies(rule& candidate, std::string const& step, instant now) const;

    fault_vocabulary const known;
    std::mutex mutex;
    std::vector<rule> rules;
};

} // namespace caperpath::http

#endif
