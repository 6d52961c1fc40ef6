#include "sardinepoint/settings.hpp"

#include "sardinepoint/http.hpp"

#include <fmt/format.h>
#include <ini.h>

#include <arpa/inet.h>

#include <algorithm>
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

/** Stores one value, or says what kind of value is expected. */
using setter = std::function<std::optional<std::string>(settings&, const std::string&)>;

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

template <typename Integer>
setter integer_setter(Integer settings::*member, std::int64_t low, std::int64_t high)
{
    return [=](settings& target, const std::string& value) -> std::optional<std::string>
    {
        const auto number = parse_integer(value);
        if (!number || *number < low || *number > high)
        {
            return "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
        }
        target.*member = static_cast<Integer>(*number);
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

std::optional<std::string> set_log_endpoint(settings& target, const std::string& value)
{
    const auto parsed = parse_endpoint(value);
    if (!parsed)
    {
        return "an address and a port such as 127.0.0.1:7000";
    }
    target.log = *parsed;
    return std::nullopt;
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
    constexpr std::int64_t highest_port = 65535;
    constexpr std::int64_t hour_ms = 3'600'000;
    constexpr std::int64_t most = 100'000;
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
         integer_setter(&settings::data_port, 0, highest_port)},
        {{"daemon", "control_port", "", "0", "port for peers and operators; 0 takes a free one"},
         false,
         integer_setter(&settings::control_port, 0, highest_port)},
        {{"daemon", "advertised_data_port", "", "0",
          "data port told to peers if they reach this daemon through a forwarder; 0: data_port"},
         false,
         integer_setter(&settings::advertised_data_port, 0, highest_port)},
        {{"daemon", "advertised_control_port", "", "0",
          "control port told to peers if they reach this daemon through a forwarder; 0: "
          "control_port"},
         false,
         integer_setter(&settings::advertised_control_port, 0, highest_port)},
        {{"daemon", "shutdown_timeout_ms", "ms", "10000",
          "longest time that a graceful shutdown waits for calls in progress"},
         false,
         integer_setter(&settings::shutdown_timeout, 0, hour_ms)},
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
        {{"log", "snapshot_interval_ms", "ms", "300000",
          "age of the newest snapshot after which a reader writes one; keep it well below the "
          "log's retention"},
         false,
         integer_setter(&settings::snapshot_interval, 100, 24 * hour_ms)},
        {{"peers", "seeds", "", "",
          "control endpoints of other daemons, tried when the log is out"},
         false,
         set_seeds},
        {{"upstream", "lease_ms", "ms", "2000", "lease of an announced upstream"},
         false,
         integer_setter(&settings::lease, 100, hour_ms)},
        {{"upstream", "max_slots", "calls", "1000", "upper bound on announced slots"},
         false,
         integer_setter(&settings::max_slots, 1, most)},
        {{"upstream", "max_connections", "connections", "1000",
          "upper bound on announced connections"},
         false,
         integer_setter(&settings::max_connections, 1, most)},
        {{"calls", "queue_wait_ms", "ms", "200", "longest wait for a free slot of an upstream"},
         false,
         integer_setter(&settings::queue_wait, 0, 60000)},
        {{"calls", "balancing", "", "least_loaded", "balancing policy"},
         false,
         text_setter(&settings::balancing)},
    };
    return all;
}

/** State of one parse; the first failure is kept. */
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
             "use one of: [daemon], [log], [peers], [upstream], [calls]");
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
                 "add a line '" + rule.help.key + " = ...': " + rule.help.meaning);
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
