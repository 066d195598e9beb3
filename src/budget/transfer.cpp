#include <caperpath/budget/transfer.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::budget
{

namespace
{

constexpr duration first_backoff{60};
constexpr duration max_backoff{2'000};
constexpr int max_doublings = 6;
constexpr int overdue_tries = 3;

duration backoff_after(int tries)
{
    auto const doublings = std::min(tries, max_doublings);
    return std::min(max_backoff,
                    first_backoff * (std::int64_t{1} << doublings));
}

} // namespace

posted_transfer post(outbox sent, incarnation_id const& receiver,
                     budget_id const& budget, token_count tokens, instant now)
{
    auto& transfers = sent.receivers[receiver];
    transfers.last += 1;
    transfer what{transfers.last, budget, tokens};
    transfers.open.emplace(what.number,
                           open_transfer{what, now + backoff_after(0), 1});
    return {std::move(sent), std::move(what)};
}

due_transfers take_due(outbox sent, instant now)
{
    due_transfers found;
    for (auto& [receiver, transfers] : sent.receivers)
    {
        for (auto& [number, one] : transfers.open)
        {
            if (now < one.next_try)
            {
                continue;
            }
            found.due[receiver].push_back(one.what);
            one.next_try = now + backoff_after(one.tries);
            one.tries += 1;
        }
    }
    found.sent = std::move(sent);
    return found;
}

outbox confirmed(outbox sent, incarnation_id const& receiver,
                 std::vector<std::uint64_t> const& numbers)
{
    auto const transfers = sent.receivers.find(receiver);
    if (transfers != sent.receivers.end())
    {
        for (auto const number : numbers)
        {
            transfers->second.open.erase(number);
        }
    }
    return sent;
}

outbox abandoned(outbox sent, incarnation_id const& receiver)
{
    auto const transfers = sent.receivers.find(receiver);
    if (transfers != sent.receivers.end())
    {
        transfers->second.open.clear();
    }
    return sent;
}

bool is_overdue(outbox const& sent, incarnation_id const& receiver)
{
    auto const transfers = sent.receivers.find(receiver);
    return transfers != sent.receivers.end() &&
           std::any_of(transfers->second.open.begin(),
                       transfers->second.open.end(),
                       [](auto const& entry)
                       { return entry.second.tries >= overdue_tries; });
}

taken_transfer take(inbox taken, incarnation_id const& sender,
                    std::uint64_t number)
{
    auto& numbers = taken.senders[sender];
    auto const is_new =
        number > numbers.all_up_to && numbers.beyond.insert(number).second;
    while (numbers.beyond.erase(numbers.all_up_to + 1) > 0)
    {
        numbers.all_up_to += 1;
    }
    return {std::move(taken), is_new};
}

} // namespace caperpath::budget
