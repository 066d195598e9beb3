#include "observe/termination.hpp"

#include <pthread.h>

namespace caperpath::observe
{

termination_signal::termination_signal()
{
    sigemptyset(&this->signals);
    sigaddset(&this->signals, SIGTERM);
    sigaddset(&this->signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
}

void termination_signal::wait() const
{
    int received = 0;
    sigwait(&this->signals, &received);
}

} // namespace caperpath::observe
