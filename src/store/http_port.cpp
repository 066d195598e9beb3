#include <caperpath/store/http_port.hpp>

#include <caperpath/store/wire.hpp>

#include "store/connection_pool.hpp"

#include <csignal>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

namespace caperpath::store
{

namespace
{

constexpr int first_failure_status = 400;
constexpr int ok_status = 200;
constexpr char json_type[] = "application/json";

httplib::Request make_request(char const* method, std::string path)
{
    httplib::Request request;
    request.method = method;
    request.path = std::move(path);
    return request;
}

httplib::Request make_request(char const* method, std::string path,
                              std::string body, char const* content_type)
{
    auto request = make_request(method, std::move(path));
    request.body = std::move(body);
    request.set_header("Content-Type", content_type);
    return request;
}

std::optional<wire::rejection> rejection_of(exchange const& done)
{
    if (done.state != exchange_state::complete ||
        done.status < first_failure_status)
    {
        return std::nullopt;
    }
    // The status alone proves nothing: a balancer also responds 503 if the
    // platform died after the write. Only a body from the platform itself
    // counts; otherwise a caller would treat a written bill as rejected and
    // write it again.
    auto const decoded =
        value_or_error([&] { return wire::decode_rejection(done.body); });
    auto const* why = std::get_if<wire::rejection>(&decoded);
    return why == nullptr ? std::nullopt : std::optional{*why};
}

// Returns the error of an exchange that was neither a success nor a rejection.
error failure_of(exchange const& done, char const* step,
                 std::string const& peer)
{
    switch (done.state)
    {
    case exchange_state::unsent:
        return {error_kind::unavailable, step, peer, done.detail};
    case exchange_state::lost:
        return {error_kind::timeout, step, peer, done.detail};
    case exchange_state::complete:
        break;
    }
    return {error_kind::timeout, step, peer,
            "unexpected response, status " + std::to_string(done.status)};
}

commit_result write(connection_pool& pool, char const* step,
                    httplib::Request request)
{
    auto const& peer = pool.peer();
    auto const done = pool.send(std::move(request));
    if (done.state == exchange_state::complete && done.status == ok_status &&
        wire::is_applied(done.body))
    {
        return {commit_outcome::applied, {}, {}};
    }
    if (auto const why = rejection_of(done))
    {
        return {commit_outcome::rejected,
                why->failed,
                {why->kind, step, peer, why->detail}};
    }
    auto const outcome = done.state == exchange_state::unsent
                             ? commit_outcome::rejected
                             : commit_outcome::unknown;
    return {outcome, {}, failure_of(done, step, peer)};
}

commit_result commit(connection_pool& pool, transaction const& txn)
{
    constexpr auto step = "commit";
    auto const body = value_or_error([&] { return wire::encode(txn); });
    if (auto const* fault = std::get_if<error>(&body))
    {
        return {commit_outcome::rejected,
                {},
                {fault->kind, step, pool.peer(), fault->detail}};
    }
    return write(pool, step,
                 make_request("POST", wire::commit_path,
                              std::get<std::string>(body), json_type));
}

result<std::string> query(connection_pool& pool, char const* step,
                          httplib::Request request)
{
    auto const& peer = pool.peer();
    auto done = pool.send(std::move(request));
    if (done.state == exchange_state::complete && done.status == ok_status)
    {
        return std::move(done.body);
    }
    if (auto const why = rejection_of(done))
    {
        return fail({why->kind, step, peer, why->detail});
    }
    return fail(failure_of(done, step, peer));
}

// Adds the step and peer of the call to an error of the codec.
template <class Value>
result<Value> with_call_site(std::variant<Value, error> outcome,
                             char const* step, std::string const& peer)
{
    if (auto const* fault = std::get_if<error>(&outcome))
    {
        return fail({fault->kind, step, peer, fault->detail});
    }
    return std::get<Value>(std::move(outcome));
}

// A query with a JSON response.
template <class Decode>
auto query_json(connection_pool& pool, char const* step,
                httplib::Request request, Decode decode)
    -> decltype(decode(std::string{}))
{
    auto response = query(pool, step, std::move(request));
    if (!response)
    {
        return response.error();
    }
    return with_call_site(value_or_error([&] { return decode(*response); }),
                          step, pool.peer());
}

// A query with a JSON body and a JSON response.
template <class Encode, class Decode>
auto query_json(connection_pool& pool, char const* step, char const* path,
                Encode encode, Decode decode) -> decltype(decode(std::string{}))
{
    auto body = with_call_site(value_or_error(encode), step, pool.peer());
    if (!body)
    {
        return body.error();
    }
    return query_json(pool, step,
                      make_request("POST", path, std::move(*body), json_type),
                      decode);
}

} // namespace

port make_http_port(http_port_options const& options)
{
    // httplib's client writes without MSG_NOSIGNAL. If the platform closes a
    // connection between the library's check and its write, SIGPIPE would end
    // the process without a message; ignored, it is an ordinary lost exchange.
    std::signal(SIGPIPE, SIG_IGN);
    auto const pool = std::make_shared<connection_pool>(options);
    port made;
    made.commit = [pool](transaction const& txn)
    {
        return commit(*pool, txn);
    };
    made.read = [pool](std::vector<std::string> const& keys)
    {
        return query_json(
            *pool, "read", wire::read_path,
            [&] { return wire::encode_keys(keys); }, wire::decode_rows);
    };
    made.scan = [pool](std::string const& prefix, std::string const& after,
                       std::size_t limit)
    {
        wire::scan_request const wanted{prefix, after, limit};
        return query_json(
            *pool, "scan", wire::scan_path,
            [&] { return wire::encode(wanted); }, wire::decode_rows);
    };
    made.put_object =
        [pool](std::string const& name, std::string const& content)
    {
        return write(*pool, "put object",
                     make_request("PUT", wire::object_path(name), content,
                                  "application/octet-stream"));
    };
    made.get_object = [pool](std::string const& name)
    {
        return query(*pool, "get object",
                     make_request("GET", wire::object_path(name)));
    };
    made.list_vms = [pool]
    {
        return query_json(*pool, "list vms",
                          make_request("GET", wire::vms_path),
                          wire::decode_vms);
    };
    return made;
}

} // namespace caperpath::store
