#include "load/caller.hpp"

#include "http/server.hpp"
#include "load/attempt.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <thread>
#include <utility>

namespace caperpath::load
{

namespace
{

using nlohmann::json;

constexpr std::int64_t us_per_ms = 1'000;
constexpr std::int64_t ms_per_second = 1'000;
constexpr std::chrono::seconds connect_timeout{2};

// A larger body cannot be a response to a planned request.
constexpr std::size_t max_body_bytes = 16 * 1024 * 1024;

duration read_retry_after(httplib::Response const& response)
{
    auto const text = response.get_header_value("Retry-After");
    std::int64_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return {seconds * ms_per_second};
}

void read_head(httplib::Response const& response, attempt& received)
{
    received.status = response.status;
    received.request_id = response.get_header_value("X-Request-Id");
    received.outcome = response.get_header_value("Caperpath-Outcome");
    received.retry_after = read_retry_after(response);
}

httplib::Request make_request(customer_load const& sender,
                              planned_request const& planned, std::string path,
                              json const& body)
{
    httplib::Request request;
    request.method = "POST";
    request.path = std::move(path);
    request.headers = {{"Authorization", "Bearer " + sender.key},
                       {"Content-Type", "application/json"},
                       {"Idempotency-Key", planned.key}};
    request.body = body.dump();
    return request;
}

httplib::Request make_chat(customer_load const& sender,
                           planned_request const& planned)
{
    json body{{"model", sender.model},
              {"max_tokens", planned.max_tokens},
              {"messages",
               json::array({{{"role", "user"}, {"content", planned.prompt}}})}};
    if (sender.kind == request_kind::stream)
    {
        body["stream"] = true;
        body["stream_options"] = {{"include_usage", true}};
    }
    return make_request(sender, planned, "/v1/chat/completions", body);
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

caller::caller(scenario const& plan, observe::stopwatch watch)
    : plan{plan}, watch{watch}, clients(plan.routers.size())
{
}

caller::~caller() = default;

record caller::run(planned_request const& planned)
{
    record result;
    result.index = planned.index;
    result.customer = planned.customer;
    result.key = planned.key;
    result.start_lag_us = this->watch.elapsed_us() - planned.start_us;
    while (result.attempts < this->plan.retries.max_attempts)
    {
        auto const turn = static_cast<std::size_t>(result.attempts);
        auto const router =
            (planned.first_router + turn) % this->plan.routers.size();
        auto const received = this->send(planned, router);
        result = with_attempt(std::move(result), received);
        if (!may_retry(received) ||
            result.attempts == this->plan.retries.max_attempts)
        {
            break;
        }
        auto const wait = backoff_before(
            result.attempts + 1, received.retry_after, this->plan.retries);
        std::this_thread::sleep_for(std::chrono::milliseconds{wait.ms});
    }
    if (result.first_token_us >= 0)
    {
        result.first_token_us -= planned.start_us;
    }
    result.total_us = this->watch.elapsed_us() - planned.start_us;
    return result;
}

attempt caller::send(planned_request const& planned, std::size_t router)
{
    auto const kind = this->plan.customers[planned.customer].kind;
    return kind == request_kind::order ? this->order(planned, router)
                                       : this->chat(planned, router);
}

attempt caller::chat(planned_request const& planned, std::size_t router)
{
    auto const& sender = this->plan.customers[planned.customer];
    auto const streamed = sender.kind == request_kind::stream;
    auto const deadline_us =
        this->watch.elapsed_us() + this->plan.request_timeout.ms * us_per_ms;
    attempt received;
    stream_reader reader;
    std::string body;
    auto request = make_chat(sender, planned);
    request.response_handler = [&](httplib::Response const& response)
    {
        read_head(response, received);
        return true;
    };
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        auto const now_us = this->watch.elapsed_us();
        if (streamed && is_success(received.status))
        {
            reader.feed({data, size}, now_us);
        }
        else
        {
            body.append(data, size);
        }
        return now_us < deadline_us && body.size() <= max_body_bytes;
    };
    this->client(router).send(request);
    if (!is_success(received.status))
    {
        received.code = error_code(body);
    }
    else
    {
        received.answer = streamed
                              ? reader.response()
                              : read_complete(body, this->watch.elapsed_us());
        received.code = received.answer.error_code;
        // The head of a stream is sent before its outcome is known, so the
        // outcome is in an error event.
        received.outcome = received.answer.error_outcome;
    }
    received.end = classify_chat(planned, received);
    return received;
}

attempt caller::order(planned_request const& planned, std::size_t router)
{
    auto const& sender = this->plan.customers[planned.customer];
    auto const path = "/services/" + sender.service + sender.path;
    auto const request =
        make_request(sender, planned, path, {{"order", planned.key}});
    auto const result = this->client(router).send(request);
    attempt received;
    if (!result)
    {
        return received;
    }
    read_head(*result, received);
    if (is_success(received.status))
    {
        received.end = ending::completed;
        return received;
    }
    received.end = ending::refused;
    received.code = error_code(result->body);
    return received;
}

httplib::Client& caller::client(std::size_t router)
{
    auto& made = this->clients[router];
    if (!made)
    {
        auto const where = http::parse_endpoint(this->plan.routers[router]);
        std::chrono::milliseconds const timeout{this->plan.request_timeout.ms};
        made = std::make_unique<httplib::Client>(where.host, where.port);
        made->set_keep_alive(true);
        made->set_tcp_nodelay(true);
        made->set_connection_timeout(connect_timeout);
        made->set_read_timeout(timeout);
        made->set_write_timeout(timeout);
    }
    return *made;
}

} // namespace caperpath::load
