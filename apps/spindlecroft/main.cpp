// The controller program: command line, settings, logging; the rest is the library's.
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
    std::string config, operator_file;
    bool check = false;
    app.add_option("--config", config, "the platform's settings (TOML)")->required();
    app.add_option("--operator", operator_file, "the operators' own settings (S-expression)");
    app.add_flag("--check", check, "check the settings and exit");
    app.set_version_flag("--version", std::string("spindlecroft ") + SPINDLECROFT_VERSION);
    CLI11_PARSE(app, argc, argv);

    auto logger = spdlog::stderr_logger_st("spindlecroft");
    logger->set_pattern("%L %v");
    spdlog::set_default_logger(logger);
    const char *level = std::getenv("LOG_LEVEL");
    std::string wanted = level ? level : "info";
    spdlog::set_level(wanted == "debug"   ? spdlog::level::debug
                      : wanted == "error" ? spdlog::level::err
                                          : spdlog::level::info);

    spindlecroft::settings::settings settings;
    try {
        settings = spindlecroft::settings::load(config);
        if (!operator_file.empty())
            settings.options = spindlecroft::settings::load_operator_options(operator_file);
    } catch (const std::exception &e) {
        std::cerr << "spindlecroft: " << e.what() << "\n";
        return 2;
    }
    if (check) {
        std::cout << "settings are valid\n";
        return 0;
    }
    boost::asio::io_context io(1);
    spindlecroft::control::controller controller(io, settings);
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](auto ec, int) {
        if (ec)
            return;
        spdlog::info("stopping");
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
    } catch (const std::exception &e) {
        std::fprintf(stderr, "spindlecroft: %s\n", e.what());
    } catch (...) {
        std::fputs("spindlecroft: unknown error\n", stderr);
    }
    return 1;
}
