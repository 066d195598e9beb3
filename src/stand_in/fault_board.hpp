#ifndef CAPERPATH_STAND_IN_FAULT_BOARD_HPP
#define CAPERPATH_STAND_IN_FAULT_BOARD_HPP

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

/// A fault that a test orders through `POST /faults`. Immutable value.
struct ordered_fault
{
    std::string kind;
    duration span{};              ///< how long it holds or delays; 0: no end
    std::int64_t count{0};        ///< requests it strikes; 0: all
    std::int64_t after_tokens{0}; ///< tokens sent on a stream before it strikes
    std::int64_t factor{1};       ///< of a slow engine
    std::optional<instant> ends{}; ///< set by the board from `span`

    friend bool operator==(ordered_fault const&,
                           ordered_fault const&) = default;
};

/// Reads and checks the body of `POST /faults`; `known` names the kinds that
/// this stand-in has. Faults of the body go to `faults`. Thread safe.
ordered_fault parse_fault(nlohmann::json const& body,
                          std::vector<std::string> const& known,
                          std::vector<config::fault>& faults);

/// The faults in force. Thread safe.
class fault_board
{
public:
    explicit fault_board(clock time);

    /// For every kind but "delay", `span` bounds how long the fault stands.
    void add(ordered_fault fault);

    /// Ends all faults.
    void clear();

    /// Takes one strike of the first fault of this kind; empty if none stands.
    std::optional<ordered_fault> take(std::string_view kind);

    /// The fault without using up a strike.
    std::optional<ordered_fault> look(std::string_view kind);

    /// Grows with each `clear`: whoever waits for one compares.
    std::uint64_t generation() const;

private:
    std::optional<ordered_fault> find(std::string_view kind, bool strike);

    clock time;
    mutable std::mutex mutex;
    std::vector<ordered_fault> standing;
    std::uint64_t cleared{0};
};

} // namespace caperpath::stand_in

#endif
