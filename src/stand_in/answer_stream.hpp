#ifndef CAPERPATH_STAND_IN_ANSWER_STREAM_HPP
#define CAPERPATH_STAND_IN_ANSWER_STREAM_HPP

#include "stand_in/scheduler.hpp"

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace caperpath::stand_in
{

/// Where on a stream a fault strikes, in tokens sent; -1: nowhere. The atomic
/// ones can also be set while the stream is open.
struct stream_faults
{
    std::atomic<std::int64_t> cut{-1};
    std::atomic<std::int64_t> silent{-1};
    std::int64_t wrong_id{-1};
    std::int64_t repeat_chunk{-1};
    std::int64_t skip_chunk{-1};
};

/// What the caller asked for besides the tokens. Immutable value.
struct answer_form
{
    std::string model;
    std::int64_t created{}; ///< seconds since the Unix epoch
    bool streamed{false};
    bool include_usage{false};
    std::string finish_reason{"stop"};

    friend bool operator==(answer_form const&, answer_form const&) = default;
};

/// The two ends of a connection that a stream needs.
struct byte_sink
{
    std::function<bool(std::string const&)> write; ///< false: caller is gone
    std::function<bool()> writable;                ///< false: caller is gone
    std::function<void()> done;                    ///< the answer is whole
};

/// Writes one generation to one connection as an OpenAI answer. Only one
/// thread may call `advance`; `faults` may be set from any.
class answer_stream
{
public:
    answer_stream(std::shared_ptr<generation> source, answer_form form);

    /// Waits a short while for tokens and writes what there is. Returns false
    /// when the connection must be closed without an end of the answer.
    bool advance(byte_sink const& sink);

    stream_faults faults;

private:
    bool send_tokens(byte_sink const& sink, std::int64_t produced);
    bool send_token(byte_sink const& sink);
    bool send_end(byte_sink const& sink);
    bool strikes(std::atomic<std::int64_t> const& fault,
                 std::int64_t reached) const;
    std::string chunk(std::int64_t offset, std::string const& text) const;
    std::string foreign_chunk(std::int64_t offset) const;
    nlohmann::json end_chunk() const;
    nlohmann::json whole() const;
    nlohmann::json usage() const;
    nlohmann::json head(char const* object) const;

    std::shared_ptr<generation> const source;
    answer_form const form;
    std::uint64_t const seed;
    std::string const chunk_tail; // what all chunks end in
    std::int64_t next;
    std::int64_t cached_tokens{0};
};

} // namespace caperpath::stand_in

#endif
