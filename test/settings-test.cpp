#define BOOST_TEST_MODULE settings
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "sardinepoint/settings.hpp"

#include <ostream>
#include <string>
#include <vector>

using namespace sardinepoint;

namespace
{

const std::string valid = "[daemon]\nid = vm-1\nregion = ee-north\ndomain = tallinn-a\n"
                          "[log]\nendpoint = 127.0.0.1:7000\n";

/** Invalid settings and the text that the error message must contain. */
struct bad_settings
{
    std::string text;
    std::string expected_text;
};

std::ostream& operator<<(std::ostream& out, const bad_settings& value)
{
    return out << value.expected_text;
}

const std::vector<bad_settings> bad_cases{
    {valid + "colour = red\n", "'colour' in section [log]"},
    {valid + "[cache]\nsize = 1\n", "section [cache]"},
    {valid + "[daemon]\nid = vm-2\n", "'id' in section [daemon] is given twice"},
    {valid + "timeout_ms = soon\n", "'soon'"},
    {valid + "timeout_ms = -1\n", "'-1'"},
    {valid + "[daemon]\ndata_port = 65536\n", "'65536'"},
    {valid + "[daemon]\naddress = host.example\n", "'host.example'"},
    {valid + "[daemon]\nlog_level = loud\n", "'loud'"},
    {valid + "[peers]\nseeds = 127.0.0.1:1, here\n", "'127.0.0.1:1, here'"},
    {"[daemon]\nid = vm-1\nregion = r\ndomain = d\n", "'endpoint' in section [log] is missing"},
    {"[daemon]\nid = vm 1\nregion = r\ndomain = d\n[log]\nendpoint = 127.0.0.1:1\n", "'vm 1'"},
    {valid + "[sidecar]\ncold_excess = 0.5\n", "'0.5'"},
    {valid + "[sidecar]\ncold_excess = nan\n", "'nan'"},
    {valid + "[sidecar]\ncold_slack = -1\n", "'-1'"},
    {valid + "[sidecar]\nretry_ratio = 1.5\n", "'1.5'"},
    {valid + "what is this\n", "not valid INI"},
};

} // namespace

// Guards against valid settings that are rejected or stored in the wrong member.
BOOST_AUTO_TEST_CASE(valid_settings_are_read)
{
    error reason;
    const auto config = parse_settings(
        valid + "[upstream]\nlease_ms = 1500\n[sidecar]\ncold_excess = 1.25\ncold_slack = 3\n",
        reason);
    BOOST_REQUIRE_MESSAGE(config, describe(reason));
    BOOST_TEST(config->id == "vm-1");
    BOOST_TEST(to_string(config->log) == "127.0.0.1:7000");
    BOOST_TEST(config->lease == 1500);
    BOOST_TEST(config->sidecar.cold_excess == 1.25);
    BOOST_TEST(config->sidecar.cold_slack == 3);
}

// Guards against a daemon that starts with a misspelled or out-of-range setting, and against an
// error that doesn't name the setting or a remedy.
BOOST_DATA_TEST_CASE(bad_settings_are_named_with_a_remedy, boost::unit_test::data::make(bad_cases),
                     sample)
{
    error reason;
    BOOST_TEST(!parse_settings(sample.text, reason));
    BOOST_TEST((reason.kind == error_kind::invalid_settings));
    BOOST_TEST(reason.message.find(sample.expected_text) != std::string::npos, reason.message);
    BOOST_TEST(!reason.remedy.empty());
}
