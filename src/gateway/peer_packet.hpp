#ifndef CAPERPATH_SRC_GATEWAY_PEER_PACKET_HPP
#define CAPERPATH_SRC_GATEWAY_PEER_PACKET_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/budget/transfer.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// What routers tell each other of budgets, one datagram a packet.
namespace caperpath::gateway
{

/// What a router holds of a budget, for its coordinator. A hint.
struct stock_report
{
    budget_id budget;
    token_count free{};
    token_count spent{};
    std::int64_t requests{}; ///< of late, in thousandths

    friend bool operator==(stock_report const&, stock_report const&) = default;
};

/// A request waits for `tokens` more of a budget.
struct token_ask
{
    budget_id budget;
    std::uint64_t number{}; ///< grows with each ask of this sender
    token_count tokens{};

    friend bool operator==(token_ask const&, token_ask const&) = default;
};

/// The answer to an ask that cannot be met.
struct token_denial
{
    budget_id budget;
    std::uint64_t number{};
    std::int64_t retry_ms{}; ///< 0: the paid amount is used up

    friend bool operator==(token_denial const&, token_denial const&) = default;
};

/// A coordinator asks for up to so many tokens that the receiver can spare.
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
    /// Of the receiver, for transfers and confirmations; else empty.
    incarnation_id to;
    std::int64_t all_requests{}; ///< of the sender, of late, in thousandths
    std::vector<budget::transfer> transfers;
    std::vector<std::uint64_t> confirmed; ///< numbers of the receiver's
    std::vector<stock_report> reports;
    std::vector<token_ask> asks;
    std::vector<token_denial> denials;
    std::vector<token_recall> recalls;

    friend bool operator==(peer_packet const&, peer_packet const&) = default;
};

/// So many entries of all kinds fit in one datagram on the usual links.
inline constexpr std::size_t most_packet_entries = 20;

/// The bytes of a packet, and back; error `invalid` when they cannot be read.
/// Thread safe.
std::string encode(peer_packet const& packet);
result<peer_packet> decode_packet(std::string const& bytes);

} // namespace caperpath::gateway

#endif
