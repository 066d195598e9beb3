#ifndef CAPERPATH_SRC_GATEWAY_RUN_PART_HPP
#define CAPERPATH_SRC_GATEWAY_RUN_PART_HPP

#include "gateway/decision_log.hpp"

#include <exception>
#include <string_view>

namespace caperpath::gateway
{

/// Calls `part`, one of several that do not depend on each other. An exception
/// is logged as `step=exception` with `name` and ends this part only; the
/// function then returns false. Loop thread only.
template <class Part>
bool run_part(decision_log& log, std::string_view name,
              Part const& part) noexcept
{
    try
    {
        part();
        return true;
    }
    catch (...)
    {
        log.write_exception(name, std::current_exception());
        return false;
    }
}

} // namespace caperpath::gateway

#endif
