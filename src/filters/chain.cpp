#include "filters/chain.hpp"

namespace caperpath::filters
{

chain::chain(std::vector<filter> const& filters, context& request)
    : filters{filters}, request{request}
{
}

chain::~chain()
{
    if (this->request.state == progress::open)
    {
        this->request.state = progress::abandoned;
    }
    this->leave();
}

bool chain::enter()
{
    for (auto const& next : this->filters)
    {
        auto refused = next.enter(this->request);
        if (refused)
        {
            this->request.state = progress::refused;
            this->request.refusal = std::move(refused);
            return false;
        }
        ++this->entered;
    }
    return true;
}

void chain::leave()
{
    while (this->entered > 0)
    {
        --this->entered;
        this->filters[this->entered].leave(this->request);
    }
}

} // namespace caperpath::filters
