#include "soak/packet_filter.hpp"

#include <linux/filter.h>
#include <sys/socket.h>

namespace caperpath::soak
{

void drop_packets(boost::asio::ip::tcp::socket& socket)
{
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    sock_fprog const filter{1, &drop_all};
    // Fails only for a closed socket, which gets no packets.
    static_cast<void>(setsockopt(socket.native_handle(), SOL_SOCKET,
                                 SO_ATTACH_FILTER, &filter, sizeof filter));
}

void take_packets(boost::asio::ip::tcp::socket& socket)
{
    int const unused{};
    static_cast<void>(setsockopt(socket.native_handle(), SOL_SOCKET,
                                 SO_DETACH_FILTER, &unused, sizeof unused));
}

} // namespace caperpath::soak
