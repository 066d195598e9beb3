#include "capacity/stream_client.hpp"

#include "http/server.hpp"

#include <caperpath/observe/stopwatch.hpp>
#include <caperpath/request/sse.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <string_view>
#include <utility>

namespace caperpath::bench
{

namespace
{

constexpr int longest_read_seconds = 60;
constexpr std::size_t most_kept = 500;

std::string body_of(std::size_t index, std::int64_t tokens)
{
    auto const prompt = "fault log " + std::to_string(index) +
                        " [tokens=" + std::to_string(tokens) + "]";
    return nlohmann::json{
        {"model", "asistente"},
        {"stream", true},
        {"max_tokens", tokens},
        {"messages",
         nlohmann::json::array({{{"role", "user"}, {"content", prompt}}})}}
        .dump();
}

/// The router opens a stream with an event of empty content, which is no token.
bool is_token(std::string const& event)
{
    constexpr std::string_view name = "\"content\":\"";
    auto const at = event.find(name);
    return at != std::string::npos && event[at + name.size()] != '"';
}

} // namespace

stream_callers::stream_callers(stream_load load)
    : load{std::move(load)}, seen(this->load.streams)
{
    for (std::size_t i = 0; i < this->load.streams; ++i)
    {
        this->threads.emplace_back(
            [this, i]
            {
                std::this_thread::sleep_for(this->load.ramp * i /
                                            this->load.streams);
                this->call(i);
            });
    }
}

void stream_callers::call(std::size_t index)
{
    auto& mine = this->seen[index];
    auto const where = http::parse_endpoint(this->load.address);
    httplib::Client client{where.host, where.port};
    client.set_read_timeout(longest_read_seconds);
    client.set_tcp_nodelay(true);
    request::sse_splitter splitter;
    observe::stopwatch const watch;
    double last = 0;
    std::int64_t tokens = 0;
    std::string raw; // the beginning, to report why a stream failed
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body_of(index, this->load.tokens);
    request.set_header("Content-Type", "application/json");
    request.set_header("Authorization", "Bearer " + this->load.key);
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (raw.size() < most_kept)
        {
            raw.append(data, size);
        }
        for (auto const& event : splitter.feed({data, size}))
        {
            if (!is_token(event))
            {
                continue;
            }
            auto const now = static_cast<double>(watch.elapsed_us());
            auto& into = tokens == 0 ? mine.first_token : mine.gaps;
            into.push_back(now - last);
            last = now;
            ++tokens;
            ++this->arrived;
        }
        return true;
    };
    auto const answer = client.send(request);
    mine.failed = tokens == this->load.tokens ? 0 : 1;
    if (mine.failed > 0)
    {
        std::cerr << this->load.address << ": " << tokens << " tokens, "
                  << httplib::to_string(answer.error()) << ", status "
                  << (answer ? answer->status : 0) << ", " << raw << '\n';
    }
}

std::int64_t stream_callers::tokens() const
{
    return this->arrived.load();
}

stream_times stream_callers::join()
{
    stream_times all;
    for (std::size_t i = 0; i < this->threads.size(); ++i)
    {
        this->threads[i].join();
        auto const& one = this->seen[i];
        all.first_token.insert(all.first_token.end(), one.first_token.begin(),
                               one.first_token.end());
        all.gaps.insert(all.gaps.end(), one.gaps.begin(), one.gaps.end());
        all.failed += one.failed;
    }
    return all;
}

} // namespace caperpath::bench
