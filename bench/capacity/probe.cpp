#include "capacity/probe.hpp"

#include <malloc.h>
#include <unistd.h>

#include <ctime>
#include <fstream>
#include <string>

namespace caperpath::bench
{

namespace
{

constexpr double us_per_second = 1e6;
constexpr double ns_per_us = 1e3;

double read_clock(clockid_t which)
{
    timespec now{};
    clock_gettime(which, &now);
    return static_cast<double>(now.tv_sec) * us_per_second +
           static_cast<double>(now.tv_nsec) / ns_per_us;
}

} // namespace

double allocated_bytes()
{
    auto const all = mallinfo2();
    return static_cast<double>(all.uordblks + all.hblkhd);
}

double thread_us()
{
    return read_clock(CLOCK_THREAD_CPUTIME_ID);
}

double process_us(pid_t process)
{
    clockid_t which{};
    return clock_getcpuclockid(process, &which) == 0 ? read_clock(which) : 0;
}

double resident_bytes(pid_t process)
{
    std::ifstream file{"/proc/" + std::to_string(process) + "/statm"};
    double whole = 0;
    double resident = 0;
    file >> whole >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double time_call(std::size_t rounds, std::size_t calls,
                 std::function<void(std::size_t)> const& work)
{
    std::vector<double> times;
    for (std::size_t round = 0; round < rounds; ++round)
    {
        auto const start = thread_us();
        for (std::size_t call = 0; call < calls; ++call)
        {
            work(round * calls + call);
        }
        times.push_back((thread_us() - start) / static_cast<double>(calls));
    }
    return median(std::move(times));
}

} // namespace caperpath::bench
