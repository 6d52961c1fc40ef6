#pragma once

#include "node.hpp"

#include <cstdint>
#include <string_view>

namespace sardinepoint
{

/**
 * Counts the crash of an upstream of this VM against a request that it ran, and tells the failure
 * domain; not if the request was answered here lately.
 */
void record_request_crash(node& self, std::uint64_t fingerprint, std::string_view upstream);

/** Notes that an upstream of this VM answered the request, which ends its quarantine. */
void record_request_success(node& self, std::uint64_t fingerprint);

} // namespace sardinepoint
