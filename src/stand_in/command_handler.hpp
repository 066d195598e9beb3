#ifndef CAPERPATH_STAND_IN_COMMAND_HANDLER_HPP
#define CAPERPATH_STAND_IN_COMMAND_HANDLER_HPP

#include <caperpath/config/json_reader.hpp>

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace caperpath::stand_in
{

/// One call of `POST /orders`. Immutable value.
struct backend_command
{
    std::int64_t fencing{};
    std::string kind;     ///< load_model, unload_model, set_role, leave, stay
    std::string argument; ///< the model or the role, else empty

    friend bool operator==(backend_command const&,
                           backend_command const&) = default;
};

/// Reads and checks the body of `POST /orders`. Thread safe.
backend_command parse_order(nlohmann::json const& body,
                            std::vector<config::fault>& faults);

/// Applies commands to a backend server and keeps their state. Thread safe.
class command_handler
{
public:
    /// @param checks_fencing reject a command whose fencing number is below
    /// the largest received; otherwise apply every command, as engines
    /// without this check do.
    command_handler(bool checks_fencing, std::string model);

    /// Returns false, without effect, if the fencing number is old.
    bool apply(backend_command const& order);

    bool leaving() const;
    bool has_model(std::string const& model) const;
    std::set<std::string> models() const;

    /// Returns the state for `GET /stats`.
    nlohmann::json state() const;

private:
    bool const checks_fencing;
    mutable std::mutex mutex;
    std::set<std::string> loaded;
    std::string role{"mixed"};
    bool draining{false};
    std::int64_t largest_fencing{0};
    std::int64_t applied{0};
    std::int64_t rejected{0};
};

} // namespace caperpath::stand_in

#endif
