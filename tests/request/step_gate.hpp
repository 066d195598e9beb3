#ifndef CAPERPATH_TESTS_REQUEST_STEP_GATE_HPP
#define CAPERPATH_TESTS_REQUEST_STEP_GATE_HPP

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace caperpath::tests
{

/// Runs tasks on separate threads, one at a time: a task runs until it calls
/// `pass`, then the driver picks the next one. The same picks give the same
/// run. Only one thread, the driver, may call the functions other than `pass`.
class step_gate
{
public:
    ~step_gate();

    /// Adds a task that starts at its first `step`.
    void add(std::function<void()> task);

    /// Returns the ids of the tasks that have not ended.
    std::vector<std::size_t> waiting() const;

    /// Lets task `id` run until its next `pass` or its end.
    void step(std::size_t id);

    /// Called by a task: returns control to the driver and waits for the next
    /// `step`.
    void pass();

private:
    static constexpr std::size_t driver = static_cast<std::size_t>(-1);

    void wait_for(std::unique_lock<std::mutex>& lock, std::size_t id);

    std::mutex mutex;
    std::condition_variable changed;
    std::size_t turn{driver};
    std::size_t running{driver};
    std::vector<bool> ended;
    std::vector<std::thread> threads;
};

} // namespace caperpath::tests

#endif
