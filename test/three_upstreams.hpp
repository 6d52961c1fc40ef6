#pragma once

#include "rig/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <stdexcept>
#include <string_view>

namespace sardinepoint
{

inline constexpr time_ms start_limit_ms = 10000;

/** Three daemons, each with an upstream of the service "board". */
struct three_upstreams : rig::fleet
{
    three_upstreams() : rig::fleet(SARDINEPOINT_BIN_DIR, "sidecar")
    {
        this->publish(1, {"board"});
        for (int i = 0; i < 3; ++i)
        {
            this->add("board");
        }
        BOOST_REQUIRE(this->wait_served("board", start_limit_ms));
        BOOST_REQUIRE(this->wait_members(3, start_limit_ms));
        this->received_requests.clear();
    }

    rig::fleet_daemon& daemon(std::size_t index)
    {
        return *this->daemons[index];
    }

    /** The daemon beside the upstream that ran the call. */
    rig::fleet_daemon& runner_of(std::string_view id)
    {
        for (const rig::received_request& request : this->received_requests)
        {
            for (const auto& daemon : this->daemons)
            {
                if (request.id == id && daemon->upstream->instance == request.instance)
                {
                    return *daemon;
                }
            }
        }
        throw std::runtime_error("the call has not run");
    }
};

} // namespace sardinepoint
