#ifndef CAPERPATH_SRC_STORE_STAND_IN_HPP
#define CAPERPATH_SRC_STORE_STAND_IN_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/config/json_reader.hpp>
#include <caperpath/store/table.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperpath::store
{

/// Settings of `caperpath-platform`. Immutable value.
struct stand_in_settings
{
    std::string listen{"127.0.0.1:0"}; ///< "IP:port", port 0: any free one
    std::int64_t writes_per_second{300};
    std::int64_t reads_per_second{2'000};
    duration list_lag{}; ///< how old the VM list is that callers see
    std::vector<listed_vm> vms;

    friend bool operator==(stand_in_settings const&,
                           stand_in_settings const&) = default;
};

/// Adds every fault of `value`. Thread safe.
stand_in_settings read_stand_in_settings(nlohmann::json const& value,
                                         std::vector<config::fault>& faults);

/// A fake of the platform for trials and tests: serves a `memory_table` as in
/// wire.hpp, and besides
///
///     POST   /faults     plans a fault (see http/fault_plan.hpp)
///     DELETE /faults     clears them all
///     POST   /vms        adds a VM to the list or replaces it
///     DELETE /vms/NAME   removes one
///     GET    /stats      counts writes, reads, rows written, refused by rate
///
/// Not thread safe itself; the served calls are.
class stand_in
{
public:
    /// `now` drives the rate limits, the outages and the list's lag.
    explicit stand_in(stand_in_settings const& settings,
                      caperpath::clock const& now = clock::monotonic());
    ~stand_in();

    stand_in(stand_in const&) = delete;
    stand_in& operator=(stand_in const&) = delete;

    /// Serves on threads of its own. Returns "IP:port" as bound, or an empty
    /// text when the address cannot be bound.
    std::string start();

    /// Ends silent and delayed calls, then the server. Idempotent.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace caperpath::store

#endif
