#ifndef CAPERPATH_BENCH_CAPACITY_PROBE_HPP
#define CAPERPATH_BENCH_CAPACITY_PROBE_HPP

#include "capacity/series.hpp"

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <vector>

/// Memory and processor time of this process and of others.
namespace caperpath::bench
{

/// Bytes that this process has allocated and not freed, of all threads.
/// Thread safe.
double allocated_bytes();

/// Processor time that the calling thread has used, in microseconds.
double thread_us();

/// Processor time that another process has used, in microseconds, of all its
/// threads. Thread safe. Returns 0 if there is no such process.
double process_us(pid_t process);

/// Resident memory of a process in bytes. Thread safe. Returns 0 if there is no
/// such process.
double resident_bytes(pid_t process);

/// Median processor time of one call of `work` in microseconds. Calls it in
/// rounds, so that clock reads cost little. @pre rounds, calls > 0
double time_call(std::size_t rounds, std::size_t calls,
                 std::function<void(std::size_t)> const& work);

} // namespace caperpath::bench

#endif
