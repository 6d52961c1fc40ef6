// TCP relay between processes under test. It can hold, delay or close the traffic between two
// addresses, which simulates a network partition between their failure domains.

#include "rig/relay.hpp"

#include "sardinepoint/event_loop.hpp"
#include "sardinepoint/http_server.hpp"
#include "sardinepoint/logging.hpp"
#include "sardinepoint/settings.hpp"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <string>
#include <vector>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

constexpr const char* usage = R"(TCP relay that can block and delay traffic.

Usage:
  standin_relay [--port=N]

Options:
  --port=N    Port of the HTTP control interface; 0 selects a free port [default: 0].
)";

/** A relay and its HTTP control interface. */
struct controlled_relay
{
    rig::relay relay;
    http_server_ptr control;
};

rig::relay_action parse_action(const std::string& name)
{
    if (name == "close")
    {
        return rig::relay_action::close;
    }
    return name == "delay" ? rig::relay_action::delay : rig::relay_action::hold;
}

std::vector<rig::relay_rule> parse_rules(const json& values)
{
    std::vector<rig::relay_rule> rules;
    rules.reserve(values.size());
    for (const json& value : values)
    {
        rules.push_back({.source = value.value("source", ""),
                         .target = value.value("target", ""),
                         .action = parse_action(value.value("action", "hold")),
                         .delay = value.value("delay_ms", 0)});
    }
    return rules;
}

void handle(controlled_relay& self, request_id id, const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    const std::string_view path = path_of(request.target);
    if (path == "/forwards" && body.is_object())
    {
        const auto target = parse_endpoint(body.value("target", ""));
        const json response{{"port", target ? rig::add_forward(self.relay, *target) : 0}};
        send_response(*self.control, id, json_response(200, response.dump()));
        return;
    }
    if (path == "/rules" && body.is_array())
    {
        rig::apply_rules(self.relay, parse_rules(body));
        send_response(*self.control, id, json_response(200, "{}"));
        return;
    }
    send_response(*self.control, id, json_response(400, "{}"));
}

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    set_up_logging(log_level::info, "standin_relay");
    event_loop_ptr loop = make_event_loop();
    controlled_relay self{.relay = rig::relay(*loop), .control = {}};
    error reason;
    self.control =
        open_http_server(*loop, {.port = static_cast<std::uint16_t>(args["--port"].asLong())},
                         {.on_request = [&](request_id id, const http_request& request)
                          { handle(self, id, request); },
                          .on_cancelled = {}},
                         reason);
    if (!self.control)
    {
        std::cerr << describe(reason) << "\n";
        return 1;
    }
    on_terminate(*loop, [&] { stop(*loop); });
    std::cout << "port=" << bound_port(*self.control) << std::endl;
    run(*loop);
    self.control.reset();
    return 0;
}
