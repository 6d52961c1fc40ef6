#include "sardinepoint/settings.hpp"

#include "sardinepoint/http.hpp"

#include <fmt/format.h>
#include <ini.h>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <limits>
#include <set>
#include <sstream>
#include <utility>

namespace sardinepoint
{

namespace
{

/** Stores a value, or returns a description of the expected value if it is invalid. */
using setter = std::function<std::optional<std::string>(settings&, const std::string&)>;

/** How to describe, require and store one setting. */
struct setting_rule
{
    setting_help help;
    bool required = false;
    setter set;
};

setter text_setter(std::string settings::*member)
{
    return [member](settings& target, const std::string& value) -> std::optional<std::string>
    {
        if (value.empty())
        {
            return "a non-empty text";
        }
        target.*member = value;
        return std::nullopt;
    };
}

setter name_setter(std::string settings::*member)
{
    return [member](settings& target, const std::string& value) -> std::optional<std::string>
    {
        const bool valid =
            !value.empty() && std::all_of(value.begin(), value.end(),
                                          [](unsigned char c)
                                          { return std::isalnum(c) != 0 || c == '-' || c == '_'; });
        if (!valid)
        {
            return "a name of letters, digits, '-' and '_'";
        }
        target.*member = value;
        return std::nullopt;
    };
}

setter sidecar_text_setter(std::string sidecar_settings::*member)
{
    return [member](settings& target, const std::string& value) -> std::optional<std::string>
    {
        target.sidecar.*member = value;
        return std::nullopt;
    };
}

/** Accessor for a member of the sidecar settings, as an owner for the setters below. */
template <typename Value>
auto sidecar_member(Value sidecar_settings::*member)
{
    return [member](settings& target) -> Value&
    {
        return target.sidecar.*member;
    };
}

template <typename Value>
auto intake_member(Value intake_settings::*member)
{
    return [member](settings& target) -> Value&
    {
        return target.intake.*member;
    };
}

/** The owner is a pointer to member or a function that returns a reference to the value. */
template <typename Owner>
setter integer_setter(Owner owner, std::int64_t low, std::int64_t high)
{
    return [=](settings& target, const std::string& value) -> std::optional<std::string>
    {
        const auto number = parse_integer(value);
        if (!number || *number < low || *number > high)
        {
            return "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
        }
        auto& destination = std::invoke(owner, target);
        destination = static_cast<std::remove_reference_t<decltype(destination)>>(*number);
        return std::nullopt;
    };
}

std::optional<std::string> set_address(settings& target, const std::string& value)
{
    in_addr parsed{};
    if (inet_pton(AF_INET, value.c_str(), &parsed) != 1)
    {
        return "an IPv4 address such as 127.0.0.1";
    }
    target.address = value;
    return std::nullopt;
}

/** Parses an endpoint and passes it to `store`. */
template <typename Store>
std::optional<std::string> set_endpoint(const std::string& value, Store store)
{
    const auto parsed = parse_endpoint(value);
    if (!parsed)
    {
        return "an address and a port such as 127.0.0.1:7000";
    }
    store(*parsed);
    return std::nullopt;
}

std::optional<std::string> set_log_endpoint(settings& target, const std::string& value)
{
    return set_endpoint(value, [&](const endpoint& parsed) { target.log = parsed; });
}

/** Setter of an optional endpoint; an empty value removes it. */
setter endpoint_setter(std::optional<endpoint> sidecar_settings::*member)
{
    return [member](settings& target, const std::string& value) -> std::optional<std::string>
    {
        if (value.empty())
        {
            (target.sidecar.*member).reset();
            return std::nullopt;
        }
        return set_endpoint(value,
                            [&](const endpoint& parsed) { target.sidecar.*member = parsed; });
    };
}

template <typename Owner>
setter duration_setter(Owner owner, time_ms low, time_ms high)
{
    return [=](settings& target, const std::string& value) -> std::optional<std::string>
    {
        const auto parsed = parse_duration(value);
        if (!parsed || *parsed < low || *parsed > high)
        {
            return "a time from " + std::to_string(low) + " ms to " + std::to_string(high) +
                   " ms, such as 1500ms or 2.5s";
        }
        std::invoke(owner, target) = *parsed;
        return std::nullopt;
    };
}

setter number_setter(double sidecar_settings::*member, double low, double high)
{
    return [=](settings& target, const std::string& value) -> std::optional<std::string>
    {
        double number = low - 1;
        const auto [end, status] =
            std::from_chars(value.data(), value.data() + value.size(), number);
        const bool is_number = status == std::errc() && end == value.data() + value.size();
        // The comparison is false for NaN, too.
        if (!is_number || !(number >= low && number <= high))
        {
            return fmt::format("a number from {} to {}", low, high);
        }
        target.sidecar.*member = number;
        return std::nullopt;
    };
}

setter boolean_setter(bool settings::*field)
{
    return [field](settings& target, const std::string& value) -> std::optional<std::string>
    {
        if (value != "true" && value != "false")
        {
            return "true or false";
        }
        target.*field = value == "true";
        return std::nullopt;
    };
}

std::optional<std::string> set_seeds(settings& target, const std::string& value)
{
    std::istringstream list(value);
    std::string item;
    target.seeds.clear();
    while (std::getline(list, item, ','))
    {
        std::erase(item, ' ');
        const auto parsed = parse_endpoint(item);
        if (!parsed)
        {
            return "a comma-separated list of address:port";
        }
        target.seeds.push_back(*parsed);
    }
    return std::nullopt;
}

std::optional<std::string> set_level(settings& target, const std::string& value)
{
    constexpr std::array<std::pair<std::string_view, log_level>, 4> levels{
        {{"debug", log_level::debug},
         {"info", log_level::info},
         {"warning", log_level::warning},
         {"error", log_level::error}}};
    for (const auto& [name, level] : levels)
    {
        if (name == value)
        {
            target.level = level;
            return std::nullopt;
        }
    }
    return "one of debug, info, warning, error";
}

const std::vector<setting_rule>& rules()
{
    constexpr std::int64_t max_port = 65535;
    constexpr std::int64_t hour_ms = 3'600'000;
    constexpr std::int64_t max_count = 100'000;
    constexpr std::int64_t max_retry_extra = 1'000'000;
    constexpr int max_cold_excess = 100;
    constexpr int max_cold_slack = 10'000;
    static const std::vector<setting_rule> all{
        {{"daemon", "id", "", "", "unique name of this daemon"}, true, name_setter(&settings::id)},
        {{"daemon", "region", "", "", "region of the VM"}, true, name_setter(&settings::region)},
        {{"daemon", "domain", "", "", "failure domain of the VM"},
         true,
         name_setter(&settings::domain)},
        {{"daemon", "address", "", "127.0.0.1", "IPv4 address to listen on and to announce"},
         false,
         set_address},
        {{"daemon", "data_port", "", "0", "port for calls; 0 takes a free one"},
         false,
         integer_setter(&settings::data_port, 0, max_port)},
        {{"daemon", "control_port", "", "0", "port for peers and operators; 0 takes a free one"},
         false,
         integer_setter(&settings::control_port, 0, max_port)},
        {{"daemon", "advertised_data_port", "", "0",
          "data port advertised to peers if they connect through a forwarder; 0: data_port"},
         false,
         integer_setter(&settings::advertised_data_port, 0, max_port)},
        {{"daemon", "advertised_control_port", "", "0",
          "control port advertised to peers if they connect through a forwarder; 0: control_port"},
         false,
         integer_setter(&settings::advertised_control_port, 0, max_port)},
        {{"daemon", "shutdown_timeout_ms", "ms", "10000",
          "longest time that a graceful shutdown waits for calls in progress"},
         false,
         duration_setter(&settings::shutdown_timeout, 0, hour_ms)},
        {{"daemon", "memory_mb", "MB", "256", "memory that the process may use"},
         false,
         integer_setter(&settings::memory_mb, 16, 1 << 20)},
        {{"daemon", "platform", "", "standin", "adapter to the platform that the daemon runs on"},
         false,
         text_setter(&settings::platform)},
        {{"daemon", "log_level", "", "info", "lowest level written: debug, info, warning, error"},
         false,
         set_level},
        {{"log", "endpoint", "", "", "address:port of the platform's log service"},
         true,
         set_log_endpoint},
        {{"log", "poll_wait_ms", "ms", "2000", "how long one read waits for new records"},
         false,
         integer_setter(&settings::log_poll_wait, 10, 60000)},
        {{"log", "timeout_ms", "ms", "3000", "time limit of one request to the log"},
         false,
         integer_setter(&settings::log_timeout, 10, 60000)},
        {{"log", "read_pause_ms", "ms", "0",
          "pause after a read that returned records, so that one read covers a series of changes"},
         false,
         integer_setter(&settings::log_read_pause, 0, 60000)},
        {{"log", "told_pause_ms", "ms", "0",
          "the same pause, from the start of a read, for daemons that read the log when a reader "
          "advertises records"},
         false,
         integer_setter(&settings::log_advertised_read_pause, 0, 60000)},
        {{"log", "readers", "", "2",
          "daemons of a failure domain, or of each of its localities, that poll the log; the "
          "others learn of records from them"},
         false,
         integer_setter(&settings::log_readers, 1, max_count)},
        {{"log", "push_records", "", "true",
          "whether readers push new records to the others; false: they advertise them and the "
          "others read the log, which suits large records and a log with low latency"},
         false,
         boolean_setter(&settings::log_push_records)},
        {{"log", "snapshot_interval_ms", "ms", "300000",
          "age of the newest snapshot after which a reader writes one; keep it well below the "
          "log's retention"},
         false,
         integer_setter(&settings::snapshot_interval, 100, 24 * hour_ms)},
        {{"peers", "seeds", "", "",
          "control endpoints of other daemons, tried when the log is unavailable"},
         false,
         set_seeds},
        {{"peers", "lone_domain", "", "false", "whether there are no other failure domains"},
         false,
         boolean_setter(&settings::single_domain)},
        {{"upstream", "lease_ms", "ms", "2000", "lease of an announced upstream"},
         false,
         integer_setter(&settings::lease, 100, hour_ms)},
        {{"upstream", "max_slots", "calls", "1000", "upper bound on announced slots"},
         false,
         integer_setter(&settings::max_slots, 1, max_count)},
        {{"upstream", "max_connections", "connections", "1000",
          "upper bound on announced connections"},
         false,
         integer_setter(&settings::max_connections, 1, max_count)},
        {{"calls", "queue_wait_ms", "ms", "200", "longest wait for a free slot of an upstream"},
         false,
         integer_setter(&settings::queue_wait, 0, 60000)},
        {{"calls", "balancing", "", "least_loaded", "balancing policy"},
         false,
         text_setter(&settings::balancing)},
        {{"sidecar", "outbound", "", "", "address:port for the calls that start on this VM"},
         false,
         endpoint_setter(&sidecar_settings::outbound)},
        {{"sidecar", "readiness", "", "", "address:port for readiness checks"},
         false,
         endpoint_setter(&sidecar_settings::readiness)},
        {{"sidecar", "announcements", "", "",
          "address:port at which the upstream of this VM announces itself"},
         false,
         endpoint_setter(&sidecar_settings::announcements)},
        {{"sidecar", "upstream", "", "", "address:port of the upstream of this VM"},
         false,
         endpoint_setter(&sidecar_settings::upstream)},
        {{"sidecar", "service", "", "", "service of the upstream of this VM"},
         false,
         sidecar_text_setter(&sidecar_settings::service)},
        {{"sidecar", "locality", "", "",
          "locality within the failure domain; upstreams in the same one are preferred"},
         false,
         sidecar_text_setter(&sidecar_settings::locality)},
        {{"sidecar", "local_fraction", "", "0",
          "an upstream of the own locality gets a call if its answer is expected within this part "
          "of the time until the latency target; 0 compares all localities"},
         false,
         number_setter(&sidecar_settings::local_fraction, 0, 1)},
        {{"sidecar", "announce_interval", "time", "1500ms",
          "interval between announcements of the upstream"},
         false,
         duration_setter(sidecar_member(&sidecar_settings::announce_interval), 10, hour_ms)},
        {{"sidecar", "retry_ratio", "", "0.2",
          "retries of a service's calls as a part of its calls in a window"},
         false,
         number_setter(&sidecar_settings::retry_ratio, 0, 1)},
        {{"sidecar", "retry_window", "time", "10s", "window of the retry budget"},
         false,
         duration_setter(sidecar_member(&sidecar_settings::retry_window), 1000, hour_ms)},
        {{"sidecar", "retry_extra", "calls", "64",
          "retries that all daemons together may add to the ratio in a window"},
         false,
         integer_setter(sidecar_member(&sidecar_settings::retry_extra), 0, max_retry_extra)},
        {{"sidecar", "cold_excess", "", "1.5",
          "factor on a service's cold rate that a cold upstream may get in any second"},
         false,
         number_setter(&sidecar_settings::cold_excess, 1, max_cold_excess)},
        {{"sidecar", "cold_slack", "calls", "8",
          "calls that a cold upstream may get beyond that in any second"},
         false,
         number_setter(&sidecar_settings::cold_slack, 0, max_cold_slack)},
        {{"sidecar", "hedge_ratio", "", "0",
          "second attempts for slow answers as a part of a service's calls; 0: none"},
         false,
         number_setter(&sidecar_settings::hedge_ratio, 0, 0.5)},
        {{"sidecar", "hedge_percentile", "", "0.95",
          "percentile of a route's answer times after which a call gets a second attempt"},
         false,
         number_setter(&sidecar_settings::hedge_percentile, 0.5, 0.999)},
        {{"intake", "memory_percent", "%", "25",
          "part of memory_mb that clients may make the process hold; at least one body of the "
          "largest size fits"},
         false,
         integer_setter(intake_member(&intake_settings::memory_percent), 5, 75)},
        {{"intake", "max_descriptors", "", "4096",
          "descriptors of the VM, which the listeners share; the process's own limit applies too"},
         false,
         integer_setter(intake_member(&intake_settings::max_descriptors), 128, 1 << 20)},
        {{"intake", "max_fields", "", "1024", "header fields of a request"},
         false,
         integer_setter(intake_member(&intake_settings::max_fields), 32, 65536)},
        {{"intake", "control_body_kb", "KB", "16384", "body of a request to the control port"},
         false,
         integer_setter(intake_member(&intake_settings::control_body_kb), 256, 1 << 20)},
        {{"intake", "platform_body_kb", "KB", "64", "body of an announcement or a readiness check"},
         false,
         integer_setter(intake_member(&intake_settings::platform_body_kb), 1, 65536)},
        {{"intake", "slow_grace", "time", "30s",
          "time that the transfer of any body or response may take"},
         false,
         duration_setter(intake_member(&intake_settings::slow_grace), 1000, hour_ms)},
        {{"intake", "min_bytes_per_s", "B/s", "4096",
          "mean rate at which a body or response may take longer than slow_grace"},
         false,
         integer_setter(intake_member(&intake_settings::min_bytes_per_s), 1, 1 << 30)},
        {{"intake", "stall_timeout", "time", "15s",
          "longest pause in the transfer of a body or response"},
         false,
         duration_setter(intake_member(&intake_settings::stall_timeout), 1000, hour_ms)},
    };
    return all;
}

/** State of one parse; only the first error is reported. */
struct parse_context
{
    settings result;
    error* reason = nullptr;
    std::set<std::pair<std::string, std::string>> seen;
    bool failed = false;
};

void fail(parse_context& context, std::string message, std::string remedy)
{
    if (!context.failed)
    {
        context.failed = true;
        *context.reason = {error_kind::invalid_settings, std::move(message), std::move(remedy)};
    }
}

std::string known_keys(std::string_view section)
{
    std::string keys;
    for (const setting_rule& rule : rules())
    {
        if (rule.help.section == section)
        {
            keys += (keys.empty() ? "" : ", ") + rule.help.key;
        }
    }
    return keys;
}

void apply_setting(parse_context& context, const std::string& section, const std::string& key,
                   const std::string& value)
{
    const std::string name = "setting '" + key + "' in section [" + section + "]";
    if (!context.seen.emplace(section, key).second)
    {
        fail(context, name + " is given twice", "remove one of the two lines");
        return;
    }
    for (const setting_rule& rule : rules())
    {
        if (rule.help.section != section || rule.help.key != key)
        {
            continue;
        }
        if (const auto expected = rule.set(context.result, value))
        {
            fail(context, fmt::format("{} has the value '{}'", name, value), "give " + *expected);
        }
        return;
    }
    const std::string keys = known_keys(section);
    if (keys.empty())
    {
        fail(context, "section [" + section + "] is unknown",
             "use one of: [daemon], [log], [peers], [upstream], [calls], [sidecar], [intake]");
        return;
    }
    fail(context, name + " is unknown", "remove it or use one of: " + keys);
}

int handle_line(void* user, const char* section, const char* name, const char* value)
{
    apply_setting(*static_cast<parse_context*>(user), section, name == nullptr ? "" : name,
                  value == nullptr ? "" : value);
    return 1;
}

void check_required(parse_context& context)
{
    for (const setting_rule& rule : rules())
    {
        if (rule.required && !context.seen.contains({rule.help.section, rule.help.key}))
        {
            fail(context,
                 "setting '" + rule.help.key + "' in section [" + rule.help.section +
                     "] is missing",
                 "add a line '" + rule.help.key + " = ...': " + rule.help.description);
        }
    }
}

} // namespace

std::optional<settings> parse_settings(std::string_view text, error& reason)
{
    parse_context context;
    context.reason = &reason;
    const int line = ini_parse_string(std::string(text).c_str(), &handle_line, &context);
    if (line > 0)
    {
        fail(context, "line " + std::to_string(line) + " is not valid INI",
             "write [section] or key = value");
    }
    check_required(context);
    if (context.failed)
    {
        return std::nullopt;
    }
    return context.result;
}

std::optional<settings> load_settings(const std::string& path, error& reason)
{
    std::ifstream file(path);
    if (!file)
    {
        reason = {error_kind::invalid_settings, "can't read the settings file '" + path + "'",
                  "check the path and its permissions"};
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str(), reason);
}

std::vector<setting_help> list_settings()
{
    std::vector<setting_help> all;
    for (const setting_rule& rule : rules())
    {
        all.push_back(rule.help);
        if (rule.required)
        {
            all.back().default_value = "(required)";
        }
    }
    return all;
}

std::optional<time_ms> parse_duration(std::string_view text)
{
    constexpr double ms_per_second = 1000;
    if (const auto plain = parse_integer(text))
    {
        return plain;
    }
    const bool in_ms = text.ends_with("ms");
    if (!in_ms && !text.ends_with("s"))
    {
        return std::nullopt;
    }
    text.remove_suffix(in_ms ? 2 : 1);
    double number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc() || end != text.data() + text.size() || !(number >= 0))
    {
        return std::nullopt;
    }
    return static_cast<time_ms>(in_ms ? number : number * ms_per_second);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string address(text.substr(0, colon));
    const auto port = parse_integer(text.substr(colon + 1));
    in_addr parsed{};
    if (!port || *port < 1 || *port > std::numeric_limits<std::uint16_t>::max() ||
        inet_pton(AF_INET, address.c_str(), &parsed) != 1)
    {
        return std::nullopt;
    }
    return endpoint{address, static_cast<std::uint16_t>(*port)};
}

std::string to_string(const endpoint& value)
{
    return value.address + ":" + std::to_string(value.port);
}

} // namespace sardinepoint
