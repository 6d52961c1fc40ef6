#pragma once

#include "node.hpp"

namespace sardinepoint
{

/** Handles a request of a client, operator or peer on the control listener. */
void handle_control_request(node& self, request_id id, const http_request& request);

} // namespace sardinepoint
