#pragma once

#include "node.hpp"

namespace sardinepoint
{

/** Handles a request on the control listener. */
void handle_control_request(node& self, request_id id, const http_request& request);

} // namespace sardinepoint
