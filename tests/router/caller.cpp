#include "router/caller.hpp"

#include "http/server.hpp"

#include <caperpath/request/sse.hpp>

#include <httplib.h>

#include <algorithm>
#include <chrono>

namespace caperpath::tests
{

namespace
{

httplib::Request
request_of(std::string const& key, std::string const& method,
           std::string const& path, std::string const& body,
           std::vector<std::pair<std::string, std::string>> const& headers)
{
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.set_header("Content-Type", "application/json");
    request.set_header("Authorization", "Bearer " + key);
    for (auto const& [name, value] : headers)
    {
        request.set_header(name, value);
    }
    return request;
}

httplib::Client client_for(std::string const& address, int timeout_ms)
{
    auto const where = http::parse_endpoint(address);
    httplib::Client client{where.host, where.port};
    client.set_read_timeout(std::chrono::milliseconds{timeout_ms});
    return client;
}

reply reply_of(httplib::Response const& response)
{
    reply got;
    got.status = response.status;
    got.outcome = response.get_header_value("Caperpath-Outcome");
    got.retry_after = response.get_header_value("Retry-After");
    got.request_id = response.get_header_value("X-Request-Id");
    got.raw = response.body;
    got.body = nlohmann::json::parse(response.body, nullptr, false);
    return got;
}

void add_event(reply& got, std::string const& data)
{
    if (data == "[DONE]")
    {
        got.done = true;
        return;
    }
    auto const event = nlohmann::json::parse(data);
    if (event.contains("error"))
    {
        got.stream_error = event["error"]["code"];
        return;
    }
    if (event.contains("usage"))
    {
        got.body["usage"] = event["usage"];
    }
    for (auto const& choice : event["choices"])
    {
        auto const token = choice["delta"].value("content", "");
        if (!token.empty())
        {
            got.token_times.push_back(clock::monotonic().now());
        }
        got.text += token;
        if (choice["finish_reason"].is_string())
        {
            got.finish_reason = choice["finish_reason"];
        }
    }
}

reply stream(std::string const& router, httplib::Request request,
             call_options const& options)
{
    reply got;
    request::sse_splitter splitter;
    std::int64_t tokens = 0;
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        for (auto const& event : splitter.feed({data, size}))
        {
            add_event(got, event);
            ++tokens;
        }
        return options.disconnect_after < 0 ||
               tokens < options.disconnect_after;
    };
    auto client = client_for(router, options.timeout_ms);
    httplib::Response response;
    auto error = httplib::Error::Success;
    client.send(request, response, error);
    auto head = reply_of(response);
    got.status = head.status;
    got.outcome = head.outcome;
    got.request_id = head.request_id;
    return got;
}

} // namespace

reply chat(std::string const& router, std::string const& key,
           std::string const& prompt, call_options const& options)
{
    nlohmann::json body{
        {"model", "asistente"},
        {"stream", options.stream},
        {"messages",
         nlohmann::json::array({{{"role", "user"}, {"content", prompt}}})}};
    if (options.max_tokens > 0)
    {
        body["max_tokens"] = options.max_tokens;
    }
    if (!options.stream)
    {
        auto got = call(router, key, "POST", "/v1/chat/completions",
                        body.dump(), options.headers, options.timeout_ms);
        if (got.status == 200)
        {
            auto const& choice = got.body["choices"][0];
            got.text = choice["message"]["content"];
            got.finish_reason = choice["finish_reason"];
        }
        return got;
    }
    body["stream_options"] = {{"include_usage", true}};
    return stream(router,
                  request_of(key, "POST", "/v1/chat/completions", body.dump(),
                             options.headers),
                  options);
}

reply post_chat(std::string const& router, std::string const& key,
                std::string const& body)
{
    return call(router, key, "POST", "/v1/chat/completions", body);
}

reply call(std::string const& router, std::string const& key,
           std::string const& method, std::string const& path,
           std::string const& body,
           std::vector<std::pair<std::string, std::string>> const& headers,
           int timeout_ms)
{
    auto client = client_for(router, timeout_ms);
    auto request = request_of(key, method, path, body, headers);
    httplib::Response response;
    auto error = httplib::Error::Success;
    bool const received = client.send(request, response, error);
    return received ? reply_of(response) : reply{};
}

reply order(std::string const& router, std::string const& key,
            std::string const& idempotency_key, std::string const& body,
            int timeout_ms)
{
    return call(router, key, "POST", "/services/taller-app/parts", body,
                {{"Idempotency-Key", idempotency_key}}, timeout_ms);
}

std::string expected_text(std::string const& prompt, std::int64_t most)
{
    auto const text = stand_in::prompt_text(
        nlohmann::json::array({{{"role", "user"}, {"content", prompt}}}));
    auto const length = std::min(stand_in::response_length(text), most);
    return stand_in::response_text(text, 0, length);
}

} // namespace caperpath::tests
