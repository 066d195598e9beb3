#ifndef CAPERPATH_BUDGET_TRANSFER_HPP
#define CAPERPATH_BUDGET_TRANSFER_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

/// Tokens that move from the share of one router to that of another by
/// datagrams, which may be lost, late, doubled or overtake each other.
///
/// The sender counts them as spent before the first datagram goes out, and
/// sends again until the receiver confirms. The receiver takes each number of a
/// sender once. So tokens may be lost, when either dies in between, and never
/// doubled. Both are meant by their incarnation: a router that comes after the
/// receiver does not know what that one had taken.
namespace caperpath::budget
{

/// Immutable value.
struct transfer
{
    std::uint64_t number{}; ///< counts from 1 for each receiver
    budget_id budget;
    token_count tokens{};

    friend bool operator==(transfer const&, transfer const&) = default;
};

/// A transfer that its receiver did not confirm yet.
struct open_transfer
{
    transfer what;
    instant next_try{};
    int tries{};

    friend bool operator==(open_transfer const&,
                           open_transfer const&) = default;
};

/// What was sent to one receiver.
struct transfer_lane
{
    std::uint64_t last{};
    std::map<std::uint64_t, open_transfer> open;

    friend bool operator==(transfer_lane const&,
                           transfer_lane const&) = default;
};

/// All that this router sent. Value type.
struct outbox
{
    std::map<incarnation_id, transfer_lane> lanes;

    friend bool operator==(outbox const&, outbox const&) = default;
};

/// The numbers that came from one sender.
struct taken_numbers
{
    std::uint64_t all_up_to{};
    std::set<std::uint64_t> beyond;

    friend bool operator==(taken_numbers const&,
                           taken_numbers const&) = default;
};

/// All that this router took. A sender is never forgotten: one that was cut off
/// for long may send again what it sent before. Value type.
struct inbox
{
    std::map<incarnation_id, taken_numbers> senders;

    friend bool operator==(inbox const&, inbox const&) = default;
};

struct posted_transfer
{
    outbox sent;
    transfer what; ///< to be sent now
};

/// Adds a transfer to `receiver`. @pre `tokens` was taken out of the own share
/// for good. Thread safe.
posted_transfer post(outbox sent, incarnation_id const& receiver,
                     budget_id const& budget, token_count tokens, instant now);

/// The transfers that are due, each to be sent once; their next try is set.
struct due_transfers
{
    outbox sent;
    std::map<incarnation_id, std::vector<transfer>> due;
};

/// Thread safe.
due_transfers take_due(outbox sent, instant now);

/// `receiver` has these. Thread safe.
outbox confirmed(outbox sent, incarnation_id const& receiver,
                 std::vector<std::uint64_t> const& numbers);

/// Nobody will confirm: `receiver` is dead. Whether it had the tokens is not
/// known, so they count as spent. Thread safe.
outbox abandoned(outbox sent, incarnation_id const& receiver);

/// True when `receiver` did not confirm a transfer that was sent several times:
/// what else is sent to it would wait as well. Thread safe.
bool is_overdue(outbox const& sent, incarnation_id const& receiver);

struct taken_transfer
{
    inbox taken;
    bool is_new{}; ///< its tokens are this router's now
};

/// `number` came from `sender`. Thread safe.
taken_transfer take(inbox taken, incarnation_id const& sender,
                    std::uint64_t number);

} // namespace caperpath::budget

#endif
