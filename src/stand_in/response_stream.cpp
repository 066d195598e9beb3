#include "stand_in/response_stream.hpp"

#include "stand_in/response_text.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string_view>
#include <thread>
#include <utility>

namespace caperpath::stand_in
{

namespace
{

// Interval between checks whether the caller disconnected or the process stops.
constexpr duration poll_interval{100};

std::string event(std::string const& data)
{
    return "data: " + data + "\n\n";
}

// Returns the document after the start of its member "caperpath", which sorts
// first. A chunk inserts its offset before this text.
std::string without_mark(nlohmann::json const& head)
{
    constexpr std::string_view mark = R"({"caperpath":{)";
    return "," + head.dump().substr(mark.size());
}

} // namespace

response_stream::response_stream(std::shared_ptr<generation> source,
                                 response_format form)
    : source{std::move(source)}, form{std::move(form)},
      seed{response_seed(this->source->request.prompt)},
      chunk_tail{without_mark(this->head("chat.completion.chunk"))},
      next{this->source->request.first}
{
}

bool response_stream::advance(byte_sink const& sink)
{
    auto const first = this->source->request.first;
    // A response in one piece waits for the last token, a stream for the next.
    auto const awaited =
        this->form.streamed || this->faults.cut >= 0 || this->faults.silent >= 0
            ? this->next
            : this->source->request.last;
    auto const seen = this->source->wait(awaited, poll_interval);
    this->cached_tokens = seen.cached_tokens;
    auto const reached =
        (this->form.streamed ? this->next : seen.produced) - first;
    if (this->reaches(this->faults.cut, reached))
    {
        return false;
    }
    if (this->reaches(this->faults.silent, reached))
    {
        std::this_thread::sleep_for(
            std::chrono::milliseconds{poll_interval.ms});
        return sink.writable();
    }
    if (seen.state == generation_state::cancelled || !sink.writable())
    {
        return false;
    }
    if (this->form.streamed && this->next < seen.produced)
    {
        return this->send_tokens(sink, seen.produced);
    }
    if (!this->form.streamed)
    {
        this->next = seen.produced;
    }
    return seen.state == generation_state::running || this->send_end(sink);
}

bool response_stream::reaches(std::atomic<std::int64_t> const& fault,
                              std::int64_t reached) const
{
    auto const at = fault.load();
    return at >= 0 && reached >= at;
}

bool response_stream::send_tokens(byte_sink const& sink, std::int64_t produced)
{
    while (this->next < produced)
    {
        if (!this->send_token(sink))
        {
            return false;
        }
        auto const sent = this->next - this->source->request.first;
        if (this->reaches(this->faults.cut, sent) ||
            this->reaches(this->faults.silent, sent))
        {
            return true; // the next call applies the fault
        }
    }
    return true;
}

bool response_stream::send_token(byte_sink const& sink)
{
    auto const offset = this->next++;
    auto const sent = offset - this->source->request.first;
    if (sent == this->faults.skip_chunk)
    {
        return true;
    }
    auto const text = response_token(this->seed, offset);
    std::string bytes;
    if (sent == this->faults.wrong_id)
    {
        bytes += event(this->foreign_chunk(offset));
    }
    auto const own = event(this->chunk(offset, text));
    bytes += own;
    if (sent == this->faults.repeat_chunk)
    {
        bytes += own;
    }
    return sink.write(bytes);
}

bool response_stream::send_end(byte_sink const& sink)
{
    if (!this->form.streamed)
    {
        auto const sent = sink.write(this->whole().dump());
        sink.done();
        return sent;
    }
    auto bytes = event(this->end_chunk().dump());
    if (this->form.include_usage)
    {
        auto last = this->head("chat.completion.chunk");
        last["choices"] = nlohmann::json::array();
        last["usage"] = this->usage();
        bytes += event(last.dump());
    }
    bytes += "data: [DONE]\n\n";
    auto const sent = sink.write(bytes);
    sink.done();
    return sent;
}

nlohmann::json response_stream::head(char const* object) const
{
    auto const& request = this->source->request;
    return {{"id", "chatcmpl-" + request.request},
            {"object", object},
            {"created", this->form.created},
            {"model", this->form.model},
            {"caperpath",
             {{"request", request.request}, {"attempt", request.attempt}}}};
}

// Concatenates the chunk: with 1,000 open streams, serialising a JSON document
// for each token would take most of the engine's processor time. A token
// contains nothing that JSON escapes.
std::string response_stream::chunk(std::int64_t offset,
                                   std::string const& text) const
{
    auto const first = offset == this->source->request.first;
    std::string chunk = R"({"choices":[{"delta":{"content":")";
    chunk += text;
    chunk += first ? R"(","role":"assistant"})" : R"("})";
    chunk += R"(,"finish_reason":null,"index":0}],"caperpath":{"offset":)";
    chunk += std::to_string(offset);
    chunk += this->chunk_tail;
    return chunk;
}

std::string response_stream::foreign_chunk(std::int64_t offset) const
{
    auto foreign = nlohmann::json::parse(this->chunk(offset, "foreign "));
    auto const id = "not-" + this->source->request.request;
    foreign["id"] = "chatcmpl-" + id;
    foreign["caperpath"]["request"] = id;
    return foreign.dump();
}

nlohmann::json response_stream::end_chunk() const
{
    auto chunk = this->head("chat.completion.chunk");
    chunk["choices"] = {{{"index", 0},
                         {"delta", nlohmann::json::object()},
                         {"finish_reason", this->form.finish_reason}}};
    chunk["caperpath"]["offset"] = this->source->request.last;
    return chunk;
}

nlohmann::json response_stream::whole() const
{
    auto const& request = this->source->request;
    auto whole = this->head("chat.completion");
    auto const text =
        response_text(request.prompt, request.first, request.last);
    whole["choices"] = {
        {{"index", 0},
         {"message", {{"role", "assistant"}, {"content", text}}},
         {"finish_reason", this->form.finish_reason}}};
    whole["usage"] = this->usage();
    if (this->faults.wrong_id >= 0)
    {
        whole["id"] = "chatcmpl-not-" + request.request;
        whole["caperpath"]["request"] = "not-" + request.request;
    }
    return whole;
}

nlohmann::json response_stream::usage() const
{
    auto const prompt = prompt_tokens(this->source->request.prompt);
    // Counts from token 0 even if resumed: the price of the complete response.
    auto const completion = this->source->request.last;
    return {
        {"prompt_tokens", prompt},
        {"completion_tokens", completion},
        {"total_tokens", prompt + completion},
        {"prompt_tokens_details", {{"cached_tokens", this->cached_tokens}}}};
}

} // namespace caperpath::stand_in
