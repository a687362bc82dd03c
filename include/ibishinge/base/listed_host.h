#pragma once

#include <ibishinge/base/endpoint.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ibishinge {

enum class listed_host_state : std::uint8_t { live, leaving };

/// A service that a host offers, as the host list shows it.
struct listed_service
{
    std::string name;
    endpoint where;
    int slots = 8; ///< requests that run at once
    int connections = 64; ///< requests that run or wait at the target
};

struct listed_host
{
    std::string id;
    std::string address;
    std::string dataCentre;
    std::string rack;
    std::vector<listed_service> services;
    listed_host_state state = listed_host_state::live;
};

/// One version of the platform's host list. A host that an earlier version held and that is absent
/// from this one is gone.
struct host_list_snapshot
{
    std::uint64_t version = 0; ///< increases with each change of the list
    std::vector<listed_host> hosts;
};

} // namespace ibishinge
