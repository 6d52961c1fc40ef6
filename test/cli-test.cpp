#define BOOST_TEST_MODULE cli
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "rig/broken_responses.hpp"
#include "rig/mesh.hpp"
#include "rig/raw_http.hpp"

#include "sardinepoint/http_server.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <ostream>
#include <sstream>
#include <thread>

using namespace sardinepoint;
using nlohmann::json;

namespace
{

const std::string programs = SARDINEPOINT_BIN_DIR;
constexpr time_ms start_limit_ms = 15000;

struct program_run
{
    int status = -1;
    std::string out;
    std::string err;
};

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** A temporary directory for the files of this test; removed at the end. */
struct temp_directory
{
    std::string path;

    temp_directory()
    {
        path = (std::filesystem::temp_directory_path() / "cli-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(path.data()) != nullptr);
    }
    ~temp_directory()
    {
        std::filesystem::remove_all(path);
    }
    std::string write(const std::string& text) const
    {
        static std::atomic<int> count = 0;
        std::string file = path + "/" + std::to_string(++count);
        std::ofstream(file) << text;
        return file;
    }
};

temp_directory& temp_files()
{
    static temp_directory directory;
    return directory;
}

/** Runs a program of the build directory and waits for it; the arguments are shell text. */
program_run run_program(const std::string& name, const std::string& arguments)
{
    const std::string out = temp_files().write("");
    const std::string err = temp_files().write("");
    const std::string command = "unset SARDINEPOINT_DAEMON; '" + programs + "/" + name + "' " +
                                arguments + " >" + out + " 2>" + err;
    const int status = std::system(command.c_str()); // NOLINT
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, read_file(out), read_file(err)};
}

program_run run_tool(const std::string& arguments)
{
    return run_program("sardinepoint", arguments);
}

/** A mesh of one daemon with a published service. */
struct single_daemon_mesh
{
    rig::mesh mesh{{.build_dir = programs, .log_poll_wait = 200, .name = "cli"}};

    single_daemon_mesh()
    {
        mesh.add_daemon("vm-1", "tallinn-a");
        BOOST_REQUIRE(mesh.wait_ready(start_limit_ms));
        const json response =
            mesh.submit(daemon(), 0, rig::service_operations("duty-board", "v1", "/duty"));
        BOOST_REQUIRE_MESSAGE(response["status"] == 200, response.dump());
    }
    rig::daemon_node& daemon()
    {
        return mesh.daemons.front();
    }
    std::string daemon_option()
    {
        return " --daemon=" + to_string(daemon().control) + " ";
    }
    std::uint64_t next_config_offset()
    {
        return mesh.log_stats()["next"].value("config", std::uint64_t{0});
    }
};

/** Owns the mesh that the test cases share. */
struct mesh_fixture
{
    static std::unique_ptr<single_daemon_mesh> current;
    mesh_fixture()
    {
        current = std::make_unique<single_daemon_mesh>();
    }
    ~mesh_fixture()
    {
        current.reset();
    }
};
std::unique_ptr<single_daemon_mesh> mesh_fixture::current;

single_daemon_mesh& shared_mesh()
{
    return *mesh_fixture::current;
}

std::string patch_text(const std::string& operation)
{
    return R"({"base": 1, "ops": [)" + operation + "]}";
}

const std::string start_move_prefix =
    R"({"op": "start_move", "id": "m", "service": "duty-board", "from": "v1", "to": "v2", )";

/** An invalid patch with extra options, and the texts that the error must contain. */
struct bad_patch
{
    std::string text;
    int status = 0;
    std::string kind;
    std::vector<std::string> expected_texts;
    std::string options;
};

std::ostream& operator<<(std::ostream& out, const bad_patch& value)
{
    return out << value.text << value.options;
}

const std::string valid_operation =
    R"({"op": "put_service", "name": "depot", "versions": {"v1": 100}})";

// Parsing itself is covered by fold-test; these cases cover the path from the command line.
const std::vector<bad_patch> bad_patches{
    {patch_text(R"({"op": "remove_route", "name": "duty", "colour": 7})"),
     4,
     "invalid_patch",
     {"'colour'", "7", "remove it"}},
    {patch_text(R"({"op": "remove_route", "name": 5})"),
     4,
     "invalid_patch",
     {"'name'", "5", "give a non-empty string"}},
    {patch_text(R"({"op": "put_service", "name": "d", "versions": {"v1": 101}})"),
     4,
     "invalid_patch",
     {"'versions'", "101", "whole number from 0 to 100"}},
    {patch_text(R"({"op": "put_service", "name": "d", "versions": {"v1": "all"}})"),
     4,
     "invalid_patch",
     {"'versions'", "all", "whole number from 0 to 100"}},
    {patch_text(start_move_prefix + R"("deadline_ms": 1000})"),
     4,
     "invalid_patch",
     {"'deadline_ms'", "1000", "future"}},
    {patch_text(start_move_prefix + R"("deadline_in_s": 0})"),
     4,
     "invalid_patch",
     {"'deadline_in_s'", "0", "seconds from now"}},
    {patch_text(start_move_prefix + R"("deadline_in_s": "soon"})"),
     4,
     "invalid_patch",
     {"'deadline_in_s'", "soon", "seconds from now"}},
    {patch_text(start_move_prefix + R"("deadline_in_s": 60, "deadline_ms": 1000})"),
     4,
     "invalid_patch",
     {"'deadline_in_s'", "60", "one of the two"}},
    {patch_text(R"({"op": "remove_service", "name": "depot"})"),
     6,
     "unknown_service",
     {"'depot'", "put_service"}},
    {patch_text(R"({"op": "put_route", "name": "r", "prefix": "/r", "service": "depot"})"),
     6,
     "unknown_service",
     {"'depot'", "add the service"}},
    {patch_text(R"({"op": "rename", "name": "x"})"),
     4,
     "invalid_patch",
     {"'op'", "rename", "put_route"}},
    {R"({"base": 0, "ops": [)" + valid_operation + "]}",
     5,
     "stale_version",
     {"'base'", "0", "current version is 1"}},
    {R"({"base": "one", "ops": [)" + valid_operation + "]}",
     4,
     "invalid_patch",
     {"'base'", "one", "whole number"}},
    {"{\"base\": 1,\n \"ops\": [}", 4, "invalid_patch", {"line 2, column 10", "brackets"}},
    {"[]", 4, "invalid_patch", {"not a JSON object", "write it as"}},
    {patch_text(valid_operation),
     2,
     "invalid_argument",
     {"'--base'", "'x'", "whole number"},
     "--base=x"},
    {patch_text(valid_operation),
     2,
     "invalid_argument",
     {"'--timeout-ms'", "'0'", "from 1"},
     "--timeout-ms=0"},
    {patch_text(valid_operation),
     2,
     "invalid_argument",
     {"'--colour=red'", "--help"},
     "--colour=red"},
};

/** A command line that fails before it submits a patch; DAEMON stands for the --daemon option. */
struct bad_command
{
    std::string arguments;
    int status = 0;
    std::vector<std::string> expected_texts;
};

std::ostream& operator<<(std::ostream& out, const bad_command& value)
{
    return out << value.arguments;
}

const std::vector<bad_command> bad_commands{
    {"", 2, {"no command", "use patch"}},
    {"publish", 2, {"'publish'", "use patch"}},
    {"status", 2, {"no daemon", "SARDINEPOINT_DAEMON"}},
    {"status --daemon=here", 2, {"'--daemon'", "'here'", "address:port"}},
    {"status --daemon=127.0.0.1:1,127.0.0.2:1", 11, {"127.0.0.1:1", "127.0.0.2:1", "--daemon"}},
    {"watch DAEMON", 2, {"'watch'", "sardinepoint watch --help"}},
    {"patch no-such-file DAEMON", 2, {"'no-such-file'", "check the path"}},
    {"watch no-such-move DAEMON", 7, {"'no-such-move'", "sardinepoint status"}},
    {"drain vm-9 DAEMON", 7, {"'vm-9'", "sardinepoint status"}},
};

void check_error(const program_run& run, int status, const std::vector<std::string>& expected_texts)
{
    BOOST_TEST(run.status == status, run.err);
    BOOST_TEST(run.out.empty(), run.out);
    BOOST_TEST(std::count(run.err.begin(), run.err.end(), '\n') == 1, run.err);
    for (const std::string& text : expected_texts)
    {
        BOOST_TEST(run.err.find(text) != std::string::npos, run.err << " lacks " << text);
    }
}

std::string with_daemon(std::string arguments)
{
    const std::size_t found = arguments.find("DAEMON");
    const bool placeholder = found != std::string::npos;
    return placeholder ? arguments.replace(found, 6, shared_mesh().daemon_option()) : arguments;
}

/** Responds to each GET with the next of the views, like a daemon to /v1/watch during a move. */
class scripted_daemon
{
public:
    explicit scripted_daemon(std::vector<json> views) : views(std::move(views))
    {
        std::promise<std::uint16_t> opened;
        auto future = opened.get_future();
        this->thread = std::thread(
            [this, &opened]
            {
                event_loop_ptr loop = make_event_loop();
                error reason;
                http_server_ptr server;
                server = open_http_server(
                    *loop, {},
                    {.on_request =
                         [&](request_id id, const http_request& request)
                     {
                         if (request.method == "POST")
                         {
                             send_response(*server, id, json_response(200, "{}"));
                             run_after(*loop, 1, [&] { stop(*loop); });
                             return;
                         }
                         const std::size_t now = std::min(this->next++, this->views.size() - 1);
                         const json view = this->views[now];
                         const int status = view.contains("error") ? 503 : 200;
                         send_response(*server, id, json_response(status, view.dump()));
                     },
                     .on_cancelled = {}},
                    reason);
                opened.set_value(server ? bound_port(*server) : 0);
                if (server)
                {
                    run(*loop);
                }
            });
        this->address = {"127.0.0.1", future.get()};
    }
    ~scripted_daemon()
    {
        rig::post_json(this->address, "/stop", json::object());
        this->thread.join();
    }
    bool was_contacted() const
    {
        return this->next > 0;
    }
    endpoint address;

private:
    std::vector<json> views;
    std::atomic<std::size_t> next = 0;
    std::thread thread;
};

json make_view(const std::string& state, double share)
{
    return {{"move", "m"},
            {"state", state},
            {"share", share},
            {"reason", state == "withdrawn" ? "errors" : ""},
            {"change", state + std::to_string(share)}};
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(mesh_fixture);

// Guards against an invalid patch that is published or whose error names neither fault nor remedy.
BOOST_DATA_TEST_CASE(bad_patch_is_named_and_not_published,
                     boost::unit_test::data::make(bad_patches), sample)
{
    const std::uint64_t before = shared_mesh().next_config_offset();
    const std::string arguments =
        "patch " + temp_files().write(sample.text) + shared_mesh().daemon_option() + sample.options;
    check_error(run_tool(arguments), sample.status, sample.expected_texts);
    const program_run as_json = run_tool(arguments + " --json");
    BOOST_TEST(as_json.status == sample.status);
    BOOST_TEST(json::parse(as_json.out)["error"]["kind"] == sample.kind);
    BOOST_TEST(shared_mesh().next_config_offset() == before);
}

// Guards against a command line error that exits with status 0 or reports no remedy.
BOOST_DATA_TEST_CASE(bad_command_is_named, boost::unit_test::data::make(bad_commands), sample)
{
    check_error(run_tool(with_daemon(sample.arguments)), sample.status, sample.expected_texts);
}

// Guards against a command without help text.
BOOST_AUTO_TEST_CASE(each_command_has_help)
{
    const std::string general = run_tool("--help").out;
    for (const std::string name : {"patch", "status", "get", "watch", "drain"})
    {
        const program_run run = run_tool(name + " --help");
        BOOST_TEST(run.status == 0);
        BOOST_TEST(run.out.find("sardinepoint " + name) != std::string::npos, run.out);
        BOOST_TEST(run.out.find("--timeout-ms") != std::string::npos);
        BOOST_TEST(general.find("sardinepoint " + name) != std::string::npos);
    }
}

// Guards against a dry run that publishes, and against one that accepts what publishing would
// reject.
BOOST_AUTO_TEST_CASE(dry_run_publishes_nothing)
{
    const std::uint64_t before = shared_mesh().next_config_offset();
    const std::string good = temp_files().write(patch_text(valid_operation));
    const program_run valid = run_tool("patch --dry-run " + good + shared_mesh().daemon_option());
    BOOST_TEST(valid.status == 0, valid.err);
    BOOST_TEST(valid.out.find("valid against version 1") == 0U, valid.out);
    BOOST_TEST(
        run_tool("patch --dry-run --base=2 " + good + shared_mesh().daemon_option()).status == 5);
    const json invalid_dry_run =
        rig::post_json(shared_mesh().daemon().control, "/v1/patches?dry_run=yes",
                       json::parse(patch_text(valid_operation)));
    BOOST_TEST(invalid_dry_run["status"] == 400);
    BOOST_TEST(shared_mesh().next_config_offset() == before);
}

// Guards against a tool that fails although another listed daemon responds, and against a relative
// deadline that is converted wrongly.
BOOST_AUTO_TEST_CASE(next_daemon_is_tried_and_deadline_is_filled_in)
{
    single_daemon_mesh own;
    const std::string daemons = " --daemon=127.0.0.1:1," + to_string(own.daemon().control) + " ";
    const std::string file =
        temp_files().write(patch_text(start_move_prefix + R"("deadline_in_s": 3600})"));
    const time_ms before = wall_now();
    const program_run run = run_tool("patch --json " + file + daemons);
    const time_ms after = wall_now();
    BOOST_TEST(run.status == 0, run.out);
    const json config = json::parse(run_tool("get --json" + daemons).out);
    const time_ms deadline = config["moves"][0]["spec"]["deadline_ms"];
    BOOST_TEST(deadline >= before + 3600'000);
    BOOST_TEST(deadline <= after + 3600'000);
}

// Guards against a broken response that is taken for a daemon's answer: the patch may be published.
BOOST_DATA_TEST_CASE(broken_response_of_a_daemon_is_no_answer,
                     boost::unit_test::data::make(rig::broken_responses()), broken)
{
    const std::string response =
        rig::to_text(broken, {}, R"({"result":"accepted","id":"p","version":1,"offset":0})");
    rig::raw_server daemon({"127.0.0.1", 0},
                           [&](int fd, const std::string&, int) { rig::write_text(fd, response); });
    const std::string option = " --daemon=" + to_string(daemon.where);
    check_error(run_tool("patch " + temp_files().write(patch_text(valid_operation)) + option +
                         " --timeout-ms=300"),
                10, {"did not respond"});
    const program_run status =
        run_tool("status" + option + shared_mesh().daemon_option().replace(0, 10, ","));
    BOOST_TEST(status.status == 0, status.err);
    BOOST_TEST(status.out.find("vm-1") != std::string::npos, status.out);
}

// Guards against a drain that the tool reports although it isn't in effect or can't be undone.
BOOST_AUTO_TEST_CASE(drain_and_undo_are_shown)
{
    BOOST_TEST(run_tool("drain vm-1" + shared_mesh().daemon_option()).out == "vm-1: draining\n");
    BOOST_TEST(run_tool("drain vm-1 --undo" + shared_mesh().daemon_option()).out == "vm-1: up\n");
}

// Guards against a patch during a log outage that fails with another status than log_unavailable or
// without the id to submit it again.
BOOST_AUTO_TEST_CASE(log_outage_has_its_own_status)
{
    shared_mesh().mesh.set_log_faults({{"mode", "refuse"}});
    const program_run run = run_tool("patch " + temp_files().write(patch_text(valid_operation)) +
                                     shared_mesh().daemon_option() + "--timeout-ms=500");
    shared_mesh().mesh.set_log_faults({{"mode", "up"}});
    check_error(run, 9, {"log", "--id="});
}

// Guards against a watch that misses a withdrawal or a change, or ends when a daemon restarts.
BOOST_AUTO_TEST_CASE(watch_prints_changes_and_ends_with_the_move)
{
    scripted_daemon done({make_view("running", 1),
                          make_view("running", 1),
                          make_view("running", 50),
                          {{"error", {{"kind", "not_ready"}, {"message", "starting"}}}},
                          make_view("done", 100)});
    const program_run good = run_tool("watch m --daemon=" + to_string(done.address));
    BOOST_TEST(good.status == 0, good.err);
    BOOST_TEST(good.out == "move m: running share 1.0%\nmove m: running share 50.0%\n"
                           "move m: done share 100.0%\n");
    scripted_daemon bad({make_view("running", 1), make_view("withdrawn", 0)});
    const program_run withdrawn =
        run_tool("watch m --daemon=127.0.0.1:1," + to_string(bad.address));
    BOOST_TEST(withdrawn.status == 13, withdrawn.err);
    BOOST_TEST(withdrawn.out.find("withdrawn share 0.0% (errors)") != std::string::npos,
               withdrawn.out);
}

// Guards against a watch that ends when the daemon that it polled first stops.
BOOST_AUTO_TEST_CASE(watch_goes_on_when_a_daemon_goes_away)
{
    auto first = std::make_unique<scripted_daemon>(std::vector{make_view("running", 1)});
    scripted_daemon second({make_view("running", 50), make_view("done", 100)});
    const std::string daemons = to_string(first->address) + "," + to_string(second.address);
    auto watching = std::async(std::launch::async, run_tool, "watch m --daemon=" + daemons);
    BOOST_TEST(rig::wait_until(start_limit_ms, [&] { return first->was_contacted(); }));
    first.reset();
    const program_run run = watching.get();
    BOOST_TEST(run.status == 0, run.err);
    BOOST_TEST(run.out == "move m: running share 1.0%\nmove m: running share 50.0%\n"
                          "move m: done share 100.0%\n");
}

// Guards against a daemon that starts with invalid settings or with a port that is in use.
BOOST_AUTO_TEST_CASE(daemon_names_bad_settings_and_a_taken_port)
{
    const std::string settings = read_file(shared_mesh().daemon().settings_file);
    const std::string file = temp_files().write(settings + "colour = red\n");
    for (const std::string& arguments : {"--config=" + file, "--check --config=" + file})
    {
        const program_run run = run_program("sardinepointd", arguments);
        check_error(run, 3, {"'colour'", "[log]", "remove it"});
    }
    const std::string same_settings = "--config=" + shared_mesh().daemon().settings_file;
    BOOST_TEST(run_program("sardinepointd", same_settings + " --check").status == 0);
    const program_run port_in_use = run_program("sardinepointd", same_settings);
    BOOST_TEST(port_in_use.status == 1);
    const std::string port = std::to_string(shared_mesh().daemon().control.port);
    BOOST_TEST(port_in_use.err.find(port) != std::string::npos, port_in_use.err);
    BOOST_TEST(port_in_use.err.find("choose a free port") != std::string::npos, port_in_use.err);
}

// Guards against health, readiness and metrics responses that monitoring can't use, and against a
// graceful shutdown that exits with an error status.
BOOST_AUTO_TEST_CASE(pages_reflect_the_daemon_state_and_sigterm_exits_cleanly)
{
    single_daemon_mesh own;
    rig::daemon_node& daemon = own.daemon();
    const auto page = [&](std::string_view target)
    {
        return rig::call(daemon.control, {.timeout = 2000}, target).response;
    };
    BOOST_TEST(page("/healthz").body == "ok\n");
    BOOST_TEST(page("/readyz").status == 200);
    BOOST_TEST(page("/metrics").body.find("sardinepoint_version 1\n") != std::string::npos);
    BOOST_TEST(page("/nothing").status == 404);
    own.mesh.set_log_faults({{"mode", "refuse"}});
    own.mesh.restart(daemon);
    const http_response unready = page("/readyz");
    BOOST_TEST(unready.status == 503);
    BOOST_TEST(unready.body.size() > 1U);
    daemon.child_process->signal(SIGTERM);
    BOOST_TEST(daemon.child_process->wait() == 0);
}
