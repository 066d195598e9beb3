#ifndef CAPERPATH_BUDGET_TRANSFER_HPP
#define CAPERPATH_BUDGET_TRANSFER_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

/// Transfers of tokens from the share of one router to that of another by
/// datagrams, which may be lost, delayed, duplicated or reordered.
///
/// The sender counts the tokens as spent before it sends the first datagram,
/// and retries until the receiver confirms. The receiver accepts each number of
/// a sender once. So tokens may be lost if either dies in between, but are
/// never duplicated. Sender and receiver are identified by incarnation: a
/// receiver's successor does not know what its predecessor accepted.
namespace caperpath::budget
{

/// One transfer of tokens. Immutable value.
struct transfer
{
    std::uint64_t number{}; ///< counts from 1 for each receiver
    budget_id budget;
    token_count tokens{};

    friend bool operator==(transfer const&, transfer const&) = default;
};

/// A transfer that its receiver has not confirmed yet.
struct open_transfer
{
    transfer what;
    instant next_try{};
    int tries{};

    friend bool operator==(open_transfer const&,
                           open_transfer const&) = default;
};

/// The transfers to one receiver.
struct receiver_transfers
{
    std::uint64_t last{};
    std::map<std::uint64_t, open_transfer> open;

    friend bool operator==(receiver_transfers const&,
                           receiver_transfers const&) = default;
};

/// All transfers that this router sent. Value type.
struct outbox
{
    std::map<incarnation_id, receiver_transfers> receivers;

    friend bool operator==(outbox const&, outbox const&) = default;
};

/// The transfer numbers received from one sender.
struct taken_numbers
{
    std::uint64_t all_up_to{};
    std::set<std::uint64_t> beyond;

    friend bool operator==(taken_numbers const&,
                           taken_numbers const&) = default;
};

/// All transfers that this router accepted. Senders are never removed: one that
/// was disconnected for long may still retry old transfers. Value type.
struct inbox
{
    std::map<incarnation_id, taken_numbers> senders;

    friend bool operator==(inbox const&, inbox const&) = default;
};

struct posted_transfer
{
    outbox sent;
    transfer what; ///< to send now
};

/// Adds a transfer to `receiver`. @pre `tokens` were permanently removed from
/// the own share. Thread safe.
posted_transfer post(outbox sent, incarnation_id const& receiver,
                     budget_id const& budget, token_count tokens, instant now);

/// The transfers that are due, each to be sent once. Their next retry is
/// already scheduled.
struct due_transfers
{
    outbox sent;
    std::map<incarnation_id, std::vector<transfer>> due;
};

/// Takes the transfers that are due at `now`. Thread safe.
due_transfers take_due(outbox sent, instant now);

/// Removes the transfers that `receiver` has confirmed. Thread safe.
outbox confirmed(outbox sent, incarnation_id const& receiver,
                 std::vector<std::uint64_t> const& numbers);

/// Removes all open transfers to `receiver`, which is dead and will not
/// confirm. It is unknown whether it received the tokens, so they count as
/// spent. Thread safe.
outbox abandoned(outbox sent, incarnation_id const& receiver);

/// True if `receiver` has not confirmed a transfer after several tries: further
/// transfers to it would be delayed as well. Thread safe.
bool is_overdue(outbox const& sent, incarnation_id const& receiver);

struct taken_transfer
{
    inbox taken;
    bool is_new{}; ///< not a duplicate: its tokens are this router's now
};

/// Records that transfer `number` was received from `sender`. Thread safe.
taken_transfer take(inbox taken, incarnation_id const& sender,
                    std::uint64_t number);

} // namespace caperpath::budget

#endif
