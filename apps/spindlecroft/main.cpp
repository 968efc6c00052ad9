// The controller program: parses the command line, loads the settings, sets up logging and runs the
// controller until it receives SIGINT or SIGTERM.
#include "control/controller.hpp"
#include "settings/settings.hpp"
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

static int run(int argc, char **argv) {
    CLI::App app{"spindlecroft: a cluster scheduler's controller"};
    std::string platform_file, operator_file;
    bool check_only = false;
    app.add_option("--config", platform_file, "the platform's settings (TOML)")->required();
    app.add_option("--operator", operator_file, "the operators' own settings (S-expression)");
    app.add_flag("--check", check_only, "check the settings and exit");
    app.set_version_flag("--version", std::string("spindlecroft ") + SPINDLECROFT_VERSION);
    CLI11_PARSE(app, argc, argv);

    auto logger = spdlog::stderr_logger_st("spindlecroft");
    logger->set_pattern("%L %v");
    spdlog::set_default_logger(logger);
    const char *log_level = std::getenv("LOG_LEVEL");
    std::string level_name = log_level ? log_level : "info";
    spdlog::set_level(level_name == "debug"   ? spdlog::level::debug
                      : level_name == "error" ? spdlog::level::err
                                              : spdlog::level::info);

    spindlecroft::settings::settings settings;
    try {
        settings = spindlecroft::settings::load(platform_file);
        if (!operator_file.empty())
            settings.options = spindlecroft::settings::load_operator_options(operator_file);
    } catch (const std::exception &error) {
        std::cerr << "spindlecroft: " << error.what() << "\n";
        return 2;
    }
    if (check_only) {
        std::cout << "settings are valid\n";
        return 0;
    }
    boost::asio::io_context io(1);
    spindlecroft::control::controller controller(io, settings);
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](auto ec, int) {
        if (ec)
            return;
        spdlog::info("stopping: received SIGINT or SIGTERM");
        controller.stop();
        io.stop();
    });
    controller.start();
    io.run();
    return 0;
}

int main(int argc, char **argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "spindlecroft: %s\n", error.what());
    } catch (...) {
        std::fputs("spindlecroft: unknown error\n", stderr);
    }
    return 1;
}
