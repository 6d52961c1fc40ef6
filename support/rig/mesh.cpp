#include "rig/mesh.hpp"

#include "rig/free_port.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace sardinepoint::rig
{

using nlohmann::json;

namespace
{

constexpr time_ms poll_interval_ms = 5;

std::string make_work_dir(const std::string& name)
{
    std::string pattern = (std::filesystem::temp_directory_path() / (name + "-XXXXXX")).string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("cannot create a temporary directory for the test processes");
    }
    return pattern;
}

json parse_json_response(const http_result& result)
{
    if (result.outcome != call_outcome::answered)
    {
        return {};
    }
    json body = json::parse(result.response.body, nullptr, false);
    if (body.is_object())
    {
        body["status"] = result.response.status;
    }
    return body.is_discarded() ? json() : body;
}

} // namespace

http_result call(const endpoint& peer, http_call request, std::string_view target)
{
    event_loop_ptr loop = make_event_loop();
    http_client_ptr client = open_http_client(*loop, {});
    request.url = "http://" + to_string(peer) + std::string(target);
    http_result response;
    send_request(*client, std::move(request),
                 [&](http_result result)
                 {
                     response = std::move(result);
                     stop(*loop);
                 });
    run(*loop);
    return response;
}

json get_json(const endpoint& peer, std::string_view target, time_ms timeout)
{
    return parse_json_response(call(peer, {.timeout = timeout}, target));
}

json post_json(const endpoint& peer, std::string_view target, const json& body, time_ms timeout)
{
    return parse_json_response(
        call(peer, {.method = "POST", .body = body.dump(), .timeout = timeout}, target));
}

bool wait_until(time_ms limit, const std::function<bool()>& condition)
{
    const time_ms deadline = steady_now() + limit;
    while (!condition())
    {
        if (steady_now() >= deadline)
        {
            return false;
        }
        pause(poll_interval_ms);
    }
    return true;
}

void pause(time_ms duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

mesh::mesh(mesh_options options)
    : options(std::move(options)), work_dir(make_work_dir(this->options.name))
{
    this->log = std::make_unique<process>(
        this->options.build_dir + "/standin_log",
        std::vector<std::string>{"--retention=" + std::to_string(this->options.retention),
                                 "--appends-per-second=" +
                                     std::to_string(this->options.appends_per_second)},
        this->work_dir + "/log.log");
    if (this->options.relayed)
    {
        this->relay =
            std::make_unique<process>(this->options.build_dir + "/standin_relay",
                                      std::vector<std::string>{}, this->work_dir + "/relay.log");
        this->relayed_log_port = this->add_forward(this->log_endpoint());
    }
}

mesh::~mesh()
{
    this->upstreams.clear();
    this->daemons.clear();
    this->relay.reset();
    this->log.reset();
    if (std::getenv("KEEP_RIG") == nullptr)
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->work_dir, ignored);
    }
}

void mesh::write_settings(daemon_node& daemon) const
{
    std::ofstream file(daemon.settings_file);
    const std::uint16_t log_port =
        this->options.relayed ? this->relayed_log_port : this->log_endpoint().port;
    file << "[daemon]\nid = " << daemon.id << "\nregion = ee-north\ndomain = " << daemon.domain
         << "\naddress = " << daemon.data.address << "\ndata_port = " << daemon.data.port
         << "\ncontrol_port = " << daemon.control.port
         << "\nadvertised_data_port = " << daemon.relayed_data_port
         << "\nadvertised_control_port = " << daemon.relayed_control_port
         << "\nlog_level = " << this->options.log_level
         << "\n[log]\nendpoint = " << this->log_address() << ":" << log_port
         << "\npoll_wait_ms = " << this->options.log_poll_wait
         << "\nsnapshot_interval_ms = " << this->options.snapshot_interval << "\n"
         << this->options.extra_settings << daemon.extra_settings;
}

void mesh::start(daemon_node& daemon)
{
    daemon.child_process = std::make_unique<process>(
        this->options.build_dir + "/sardinepointd",
        std::vector<std::string>{"--config=" + daemon.settings_file}, daemon.log_file);
}

daemon_node& mesh::add_daemon(const std::string& id, const std::string& domain)
{
    daemon_node& daemon = this->daemons.emplace_back();
    daemon.id = id;
    daemon.domain = domain;
    daemon.settings_file = this->work_dir + "/" + id + ".ini";
    daemon.log_file = this->work_dir + "/" + id + ".log";
    const std::string ip = this->address_of(domain);
    daemon.data = {ip, free_port(ip)};
    daemon.control = {ip, free_port(ip)};
    if (this->options.relayed)
    {
        daemon.relayed_data_port = this->add_forward(daemon.data);
        daemon.relayed_control_port = this->add_forward(daemon.control);
    }
    this->write_settings(daemon);
    this->start(daemon);
    return daemon;
}

upstream_node& mesh::add_upstream(const daemon_node& daemon, const upstream_options& options)
{
    upstream_node& upstream = this->upstreams.emplace_back();
    const std::string ip = daemon.data.address;
    upstream.address = {ip, free_port(ip)};
    upstream.log_file =
        this->work_dir + "/upstream-" + std::to_string(upstream.address.port) + ".log";
    upstream.arguments = {"--service=" + options.service,
                          "--version=" + options.version,
                          "--daemon=" + to_string(daemon.control),
                          "--address=" + ip,
                          "--port=" + std::to_string(upstream.address.port),
                          "--slots=" + std::to_string(options.slots),
                          "--connections=" + std::to_string(options.connections),
                          "--work-ms=" + std::to_string(options.processing_time),
                          "--announce-ms=" + std::to_string(options.announce_interval)};
    if (!options.runs_file.empty())
    {
        upstream.arguments.push_back("--runs-file=" + options.runs_file);
    }
    this->restart(upstream);
    return upstream;
}

void mesh::restart(daemon_node& daemon)
{
    daemon.child_process.reset();
    this->write_settings(daemon);
    this->start(daemon);
}

void mesh::restart(upstream_node& upstream)
{
    upstream.child_process.reset();
    upstream.child_process = std::make_unique<process>(
        this->options.build_dir + "/standin_upstream", upstream.arguments, upstream.log_file);
}

endpoint mesh::log_endpoint() const
{
    return {this->log_address(), this->log->port("port")};
}

std::string mesh::log_address() const
{
    return "127.0.0.1";
}

std::string mesh::address_of(const std::string& domain)
{
    auto found = std::find(this->domains.begin(), this->domains.end(), domain);
    if (found == this->domains.end())
    {
        this->domains.push_back(domain);
        found = std::prev(this->domains.end());
    }
    return "127.0." + std::to_string(found - this->domains.begin() + 1) + ".1";
}

std::uint16_t mesh::add_forward(const endpoint& target)
{
    const json response = post_json({"127.0.0.1", this->relay->port("port")}, "/forwards",
                                    {{"target", to_string(target)}});
    return response.at("port").get<std::uint16_t>();
}

void mesh::set_link_faults(const std::vector<link_fault>& link_faults)
{
    json rules = json::array();
    for (const link_fault& fault : link_faults)
    {
        rules.push_back({{"source", fault.source},
                         {"target", fault.target},
                         {"action", fault.action},
                         {"delay_ms", fault.delay}});
    }
    post_json({"127.0.0.1", this->relay->port("port")}, "/rules", rules);
}

void mesh::isolate(const std::string& domain, bool from_log, const std::string& action)
{
    const std::string own_address = this->address_of(domain);
    std::vector<link_fault> link_faults;
    for (const std::string& other : this->domains)
    {
        if (other != domain)
        {
            link_faults.push_back(
                {.source = own_address, .target = this->address_of(other), .action = action});
        }
    }
    if (from_log)
    {
        link_faults.push_back(
            {.source = own_address, .target = this->log_address(), .action = action});
    }
    this->set_link_faults(link_faults);
}

void mesh::set_log_faults(const json& faults)
{
    post_json(this->log_endpoint(), "/faults", faults);
}

json mesh::log_stats()
{
    return get_json(this->log_endpoint(), "/stats");
}

json mesh::submit(const daemon_node& daemon, std::uint64_t base, const json& operations,
                  const std::string& id)
{
    const std::string patch_id =
        id.empty() ? "patch-" + std::to_string(++this->last_patch_number) : id;
    return post_json(daemon.control, "/v1/patches",
                     {{"id", patch_id}, {"base", base}, {"ops", operations}});
}

bool mesh::wait_ready(time_ms limit)
{
    return wait_until(limit,
                      [this]
                      {
                          return std::all_of(this->daemons.begin(), this->daemons.end(),
                                             [](const daemon_node& daemon)
                                             {
                                                 const json status = status_of(daemon);
                                                 return status.is_object() &&
                                                        status.value("ready", false);
                                             });
                      });
}

bool mesh::wait_version(std::uint64_t version, time_ms limit)
{
    return wait_until(limit,
                      [this, version]
                      {
                          return std::all_of(this->daemons.begin(), this->daemons.end(),
                                             [version](const daemon_node& daemon)
                                             {
                                                 const json status = status_of(daemon);
                                                 return status.is_object() &&
                                                        status.value("version", 0ULL) >= version;
                                             });
                      });
}

bool mesh::wait_upstreams(const std::string& service, std::size_t count, time_ms limit)
{
    const auto known = [&](const daemon_node& daemon)
    {
        std::size_t found = 0;
        const json status = status_of(daemon);
        if (!status.is_object())
        {
            return false;
        }
        for (const json& member : status["members"])
        {
            for (const json& upstream : member["upstreams"])
            {
                found += upstream["service"] == service && upstream["state"] == "up" &&
                                 member["state"] == "alive"
                             ? 1
                             : 0;
            }
        }
        return found == count;
    };
    return wait_until(limit, [&]
                      { return std::all_of(this->daemons.begin(), this->daemons.end(), known); });
}

json status_of(const daemon_node& daemon)
{
    return get_json(daemon.control, "/v1/status");
}

bool announce_upstream(const daemon_node& daemon, const endpoint& upstream)
{
    const json body{{"service", "duty-board"}, {"version", "v1"}, {"address", upstream.address},
                    {"port", upstream.port},   {"slots", 15},     {"connections", 130}};
    const json response = post_json(daemon.control, "/v1/announce", body);
    return response.is_object() && response["status"] == 200;
}

json service_operations(const std::string& service, const std::string& version,
                        const std::string& prefix)
{
    return json::array(
        {{{"op", "put_service"}, {"name", service}, {"versions", {{version, 100}}}},
         {{"op", "put_route"}, {"name", service}, {"prefix", prefix}, {"service", service}}});
}

} // namespace sardinepoint::rig
