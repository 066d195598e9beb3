#include "filters/chain.hpp"

namespace caperpath::filters
{

chain::chain(std::vector<filter> const& filters, context& request)
    : filters{filters}, request{request}
{
}

chain::~chain()
{
    if (this->request.state == progress::in_progress)
    {
        this->request.state = progress::abandoned;
    }
    this->leave();
}

bool chain::enter()
{
    for (auto const& stage : this->filters)
    {
        auto rejection = stage.enter(this->request);
        if (rejection)
        {
            this->request.state = progress::rejected;
            this->request.rejection = std::move(rejection);
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
