#ifndef CAPERPATH_SRC_LOAD_ANSWER_READER_HPP
#define CAPERPATH_SRC_LOAD_ANSWER_READER_HPP

#include <caperpath/request/sse.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::load
{

/// What has been read of one chat answer.
struct chat_answer
{
    std::string text;
    std::string finish_reason;
    bool done{false};          ///< the last event, or a whole body, came
    std::string error_code;    ///< of an error event in the stream
    std::string error_outcome; ///< as told in that event
    std::int64_t prompt_tokens{};
    std::int64_t completion_tokens{};
    std::int64_t first_token_us{-1};
    std::int64_t last_token_us{-1};
    std::vector<std::int64_t> gap_us;

    friend bool operator==(chat_answer const&, chat_answer const&) = default;
};

/// Reads a streamed answer piece by piece. Not thread safe.
class stream_reader
{
public:
    /// `now_us` is when `piece` came.
    void feed(std::string_view piece, std::int64_t now_us);

    chat_answer const& answer() const;

private:
    void take(std::string_view event, std::int64_t now_us);

    request::sse_splitter splitter;
    chat_answer read;
};

/// Thread safe. The answer in one piece, which came at `now_us`.
chat_answer read_whole(std::string_view body, std::int64_t now_us);

/// Thread safe. The code of an OpenAI error object, else its type, else empty.
std::string error_code(std::string_view body);

enum class verdict
{
    whole, ///< exactly the stand-in engine's answer
    cut,   ///< its beginning
    wrong  ///< another text: a token twice, missing or of another request
};

/// Thread safe. Judges a text against the pure answer function of the stand-in
/// engine, for a request with `prompt` in one user message.
verdict judge(std::string const& prompt, std::int64_t max_tokens,
              chat_answer const& answer);

} // namespace caperpath::load

#endif
