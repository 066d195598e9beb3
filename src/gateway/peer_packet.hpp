#ifndef CAPERPATH_SRC_GATEWAY_PEER_PACKET_HPP
#define CAPERPATH_SRC_GATEWAY_PEER_PACKET_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/budget/transfer.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Messages about budgets between routers, one datagram per packet.
namespace caperpath::gateway
{

/// What a router holds of a budget, for its coordinator. A hint: it may be out
/// of date.
struct stock_report
{
    budget_id budget;
    token_count free{};
    token_count spent{};
    std::int64_t requests{}; ///< recent count, in thousandths

    friend bool operator==(stock_report const&, stock_report const&) = default;
};

/// Requests `tokens` more of a budget, for callers that wait.
struct token_request
{
    budget_id budget;
    std::uint64_t number{}; ///< increases with each request of this sender
    token_count tokens{};

    friend bool operator==(token_request const&,
                           token_request const&) = default;
};

/// Rejects a token request that cannot be met.
struct token_rejection
{
    budget_id budget;
    std::uint64_t number{};
    std::int64_t retry_ms{}; ///< 0: the paid amount is used up

    friend bool operator==(token_rejection const&,
                           token_rejection const&) = default;
};

/// Asks the receiver to return up to `tokens` that it can spare, to the
/// coordinator.
struct token_recall
{
    budget_id budget;
    token_count tokens{};

    friend bool operator==(token_recall const&, token_recall const&) = default;
};

/// One datagram.
struct peer_packet
{
    incarnation_id from;
    /// Incarnation of the receiver, empty if unknown. Another incarnation
    /// ignores the transfers and confirmations.
    incarnation_id to;
    std::int64_t all_requests{}; ///< recent count of the sender, in thousandths
    std::vector<budget::transfer> transfers;
    std::vector<std::uint64_t> confirmed; ///< transfer numbers of the receiver
    std::vector<stock_report> reports;
    std::vector<token_request> token_requests;
    std::vector<token_rejection> token_rejections;
    std::vector<token_recall> recalls;

    friend bool operator==(peer_packet const&, peer_packet const&) = default;
};

/// This many entries of all kinds fit in one datagram on usual links.
inline constexpr std::size_t most_packet_entries = 20;

/// Encode and decode a packet; decoding fails with error `invalid` if the bytes
/// are malformed. Thread safe.
std::string encode(peer_packet const& packet);
result<peer_packet> decode_packet(std::string const& bytes);

} // namespace caperpath::gateway

#endif
