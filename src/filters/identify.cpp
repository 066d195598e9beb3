#include "filters/request_filters.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/config/keys.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace caperpath::filters
{

namespace
{

constexpr std::size_t max_key_length = 256;
constexpr std::size_t id_length = 32;

std::string sha256_hex(std::string const& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    return config::to_hex({reinterpret_cast<char const*>(digest.data()), size});
}

// Two customers may use the same key. The length prefix distinguishes
// ("a","bc") from ("ab","c").
request_id keyed_id(customer_id const& customer, std::string const& key)
{
    auto const text =
        std::to_string(customer.value.size()) + ":" + customer.value + key;
    return {"k-" + sha256_hex(text).substr(0, id_length)};
}

bool is_valid_key(std::string const& key)
{
    auto const printable = [](unsigned char c)
    {
        return c > 0x20 && c < 0x7f;
    };
    return key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(), printable);
}

request::rejection claim_rejection(request::claim_reply const& reply)
{
    using request::claim_verdict;
    using request::outcome;
    switch (reply.verdict)
    {
    case claim_verdict::in_progress:
        return {http_conflict,
                outcome::unknown,
                reply.retry_after,
                "invalid_request_error",
                "request_in_progress",
                "Idempotency-Key",
                "a request with this key is running; ask again for its answer"};
    case claim_verdict::mismatch:
        return {http_unprocessable,
                outcome::not_run,
                {},
                "invalid_request_error",
                "idempotency_key_reused",
                "Idempotency-Key",
                "this key was used with another request"};
    case claim_verdict::unknown:
        return {http_bad_gateway,
                outcome::unknown,
                reply.retry_after,
                "server_error",
                "outcome_unknown",
                "",
                "this request may have run; it will not be run again"};
    default:
        break;
    }
    // This may be a retry of a request that ran, so "not-run" is not certain.
    return {http_unavailable,
            outcome::unknown,
            reply.retry_after,
            "server_error",
            "claim_undecidable",
            "",
            "the store cannot say whether this request ran before"};
}

std::optional<request::rejection> acquire_claim(context& request)
{
    auto const& in = request.in;
    auto const reply = request.shared.claims.begin(
        {request.id, sha256_hex(in.method + " " + in.path + "\n" + in.body),
         request.idempotent(), request.shared.claim_wait});
    if (reply.verdict == request::claim_verdict::replay)
    {
        request.response = reply.response;
        request.replayed = true;
        return std::nullopt;
    }
    if (reply.verdict != request::claim_verdict::run)
    {
        return claim_rejection(reply);
    }
    request.claim_epoch = reply.epoch;
    request.billed_before = reply.billed;
    request.stores_response = true;
    return std::nullopt;
}

std::optional<request::rejection> enter(context& request)
{
    auto const& key = request.in.idempotency_key;
    if (key.empty())
    {
        request.id = {observe::to_string(request.shared.ids->next_trace_id())};
        return std::nullopt;
    }
    if (!is_valid_key(key))
    {
        return request::invalid_request(
            "Idempotency-Key", "expected at most 256 printable characters");
    }
    request.id = keyed_id(request.customer, key);
    if (!request.shared.claims.begin)
    {
        return std::nullopt;
    }
    auto span = child_span(request, "claim");
    auto rejection = acquire_claim(request);
    finish_span(request, std::move(span));
    return rejection;
}

// The claim is still open here if a later filter rejected the request.
void leave(context& request)
{
    finish_request_claim(request);
}

} // namespace

filter identify_filter()
{
    return {"identify", enter, leave};
}

} // namespace caperpath::filters
