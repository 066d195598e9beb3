#ifndef CAPERPATH_STAND_IN_FAULT_REGISTRY_HPP
#define CAPERPATH_STAND_IN_FAULT_REGISTRY_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/config/json_reader.hpp>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::stand_in
{

/// A fault injected through `POST /faults`. Immutable value.
struct fault_command
{
    std::string kind;
    duration span{};               ///< active time or delay; 0: no end
    std::int64_t count{0};         ///< requests affected; 0: all
    std::int64_t after_tokens{0};  ///< tokens sent on a stream before it
    std::int64_t factor{1};        ///< slowdown of the engine
    std::optional<instant> ends{}; ///< computed from `span`

    friend bool operator==(fault_command const&,
                           fault_command const&) = default;
};

/// Reads and checks the body of `POST /faults`; `known` lists the kinds that
/// this emulator supports. Adds errors in the body to `faults`. Thread safe.
fault_command parse_fault(nlohmann::json const& body,
                          std::vector<std::string> const& known,
                          std::vector<config::fault>& faults);

/// The active faults. Thread safe.
class fault_registry
{
public:
    explicit fault_registry(clock time);

    /// Adds a fault. For every kind but "delay", `span` limits its active time.
    void add(fault_command fault);

    /// Removes all faults.
    void clear();

    /// Returns the first active fault of this kind and decrements its count;
    /// empty if there is none.
    std::optional<fault_command> take(std::string_view kind);

    /// Returns the fault without decrementing its count.
    std::optional<fault_command> peek(std::string_view kind);

    /// Returns the number of `clear` calls, so that a waiter detects one.
    std::uint64_t generation() const;

private:
    std::optional<fault_command> find(std::string_view kind, bool consume);

    clock time;
    mutable std::mutex mutex;
    std::vector<fault_command> active;
    std::uint64_t clear_count{0};
};

} // namespace caperpath::stand_in

#endif
