#include <caperpath/observe/span_sink.hpp>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <thread>
#include <utility>

namespace caperpath::observe
{

namespace
{

// Appends to a file on a separate thread, so that a full or slow disk does not
// delay a request's tokens. The queue is bounded, because an unbounded one
// could grow until the process is killed; a span that does not fit is dropped
// and counted.
class file_writer
{
public:
    file_writer(std::ofstream file, std::size_t max_queued)
        : file{std::move(file)}, max_queued{max_queued}, worker{
                                                             [this]
                                                             {
                                                                 this->work();
                                                             }}
    {
    }

    ~file_writer()
    {
        {
            std::lock_guard const lock{this->mutex};
            this->stopping = true;
        }
        this->wake.notify_one();
        this->worker.join();
    }

    file_writer(file_writer const&) = delete;
    file_writer& operator=(file_writer const&) = delete;

    void add(span value)
    {
        {
            std::lock_guard const lock{this->mutex};
            if (this->queue.size() >= this->max_queued)
            {
                ++this->drop_count;
                return;
            }
            this->queue.push_back(std::move(value));
        }
        this->wake.notify_one();
    }

    std::uint64_t dropped() const
    {
        return this->drop_count;
    }

    void flush()
    {
        std::unique_lock lock{this->mutex};
        this->written.wait(lock, [this]
                           { return this->queue.empty() && !this->writing; });
    }

private:
    void work()
    {
        std::unique_lock lock{this->mutex};
        while (true)
        {
            this->wake.wait(lock, [this]
                            { return !this->queue.empty() || this->stopping; });
            if (this->queue.empty())
            {
                return;
            }
            auto const batch = std::exchange(this->queue, {});
            this->writing = true;
            lock.unlock();
            this->write(batch);
            lock.lock();
            this->writing = false;
            this->written.notify_all();
        }
    }

    // A failed write (full disk) loses the batch, which is counted as dropped.
    // The stream is reset so that later batches are attempted.
    void write(std::deque<span> const& batch)
    {
        for (auto const& value : batch)
        {
            this->file << to_json_line(value) << '\n';
        }
        this->file.flush();
        if (!this->file)
        {
            this->drop_count += batch.size();
            this->file.clear();
        }
    }

    std::ofstream file;
    std::size_t max_queued;
    std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable written;
    std::deque<span> queue;
    std::atomic<std::uint64_t> drop_count{0};
    bool writing{false};
    bool stopping{false};
    std::thread worker; // last: uses all other members
};

} // namespace

span_buffer::span_buffer(std::size_t capacity) : capacity{capacity}
{
}

void span_buffer::add(span value)
{
    std::lock_guard const lock{this->mutex};
    this->spans.push_back(std::move(value));
    if (this->spans.size() > this->capacity)
    {
        this->spans.pop_front();
        ++this->drop_count;
    }
}

std::vector<span> span_buffer::recent() const
{
    std::lock_guard const lock{this->mutex};
    return {this->spans.begin(), this->spans.end()};
}

std::uint64_t span_buffer::dropped() const
{
    std::lock_guard const lock{this->mutex};
    return this->drop_count;
}

span_sink make_memory_sink(std::shared_ptr<span_buffer> const& buffer)
{
    return {[buffer](span value) { buffer->add(std::move(value)); },
            [buffer] { return buffer->dropped(); },
            [] {
            }};
}

span_sink make_null_sink()
{
    return {[](span const&) {}, [] { return std::uint64_t{0}; },
            [] {
            }};
}

result<span_sink> make_file_sink(std::string const& file,
                                 std::size_t max_queued)
{
    std::ofstream stream{file, std::ios::app};
    if (!stream)
    {
        return fail({error_kind::unavailable, "open spans", file,
                     "cannot be opened for appending"});
    }
    auto const writer =
        std::make_shared<file_writer>(std::move(stream), max_queued);
    return span_sink{[writer](span value) { writer->add(std::move(value)); },
                     [writer] { return writer->dropped(); },
                     [writer]
                     {
                         writer->flush();
                     }};
}

} // namespace caperpath::observe
