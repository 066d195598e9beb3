#ifndef CAPERPATH_SRC_STORE_STORE_EMULATOR_HPP
#define CAPERPATH_SRC_STORE_STORE_EMULATOR_HPP

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
struct store_emulator_settings
{
    std::string listen{"127.0.0.1:0"}; ///< "IP:port"; port 0: any free port
    std::int64_t writes_per_second{300};
    std::int64_t reads_per_second{2'000};
    duration list_lag{}; ///< age of the VM list that callers see
    std::vector<listed_vm> vms;

    friend bool operator==(store_emulator_settings const&,
                           store_emulator_settings const&) = default;
};

/// Reads the settings and adds every fault of `value`. Thread safe.
store_emulator_settings
read_store_emulator_settings(nlohmann::json const& value,
                             std::vector<config::fault>& faults);

/// An emulator of the platform for trials and tests. It serves a `memory_table`
/// as described in wire.hpp, and also
///
///     POST   /faults     plans a fault (see http/fault_plan.hpp)
///     DELETE /faults     clears all planned faults
///     POST   /vms        adds a VM to the list or replaces it
///     DELETE /vms/NAME   removes a VM
///     GET    /stats      counts writes, reads, rows written, rate rejections
///
/// Not thread safe itself; the calls that it serves are.
class store_emulator
{
public:
    /// `now` is the clock of the rate limits, the outages and the list's lag.
    explicit store_emulator(store_emulator_settings const& settings,
                            caperpath::clock const& now = clock::monotonic());
    ~store_emulator();

    store_emulator(store_emulator const&) = delete;
    store_emulator& operator=(store_emulator const&) = delete;

    /// Starts serving on its own threads. Returns "IP:port" as bound, or an
    /// empty string if the address cannot be bound.
    std::string start();

    /// Ends silent and delayed calls, then stops the server. Idempotent.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace caperpath::store

#endif
