// A stand-in for the cloud, as PROTOCOL describes it.
#pragma once
#include "net/async.hpp"
#include "net/http.hpp"
#include "settings/settings.hpp"
#include "stand_ins/state_service.hpp"
#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

class world;

class cloud {
  public:
    struct machine {
        std::string name, frame, zone, address;
        bool spot = false;
        std::string stage = "starting";
        time_point rented_at;
    };
    explicit cloud(world &around);
    /// Opens the door of the next controller and returns its address.
    spindlecroft::settings::address open_door();
    /// Called for each request: the controller, its method, path and body.
    std::function<void(std::size_t, const net::request &)> on_request;
    /// Puts a machine up at once, as one that was rented before the day.
    void add_running(const std::string &frame, const std::string &zone, bool spot = false);

    /// The machine stops on its own, with all that is on it. It appears as running for about 30 s,
    /// then as failed.
    void die(const std::string &name);

    std::size_t most_machines = 32; // beyond this: no capacity
    /// Of one type; beyond this: no capacity for that type.
    std::map<std::string, std::size_t> most_of_type;
    seconds boot_time{2}; // "at times machines are up within a second or two"
    bool outage = false;
    std::map<std::string, machine> machines; // by name; deleted ones are removed
    std::size_t rentals = 0, refusals = 0, deletions = 0;

  private:
    struct listing {
        time_point at;
        std::map<std::string, machine> machines;
    };
    awaitable<net::response> serve(std::size_t door, net::request received);
    net::response rent(const json::object &request);
    net::response remove(const json::object &request);
    net::response list(const std::string &target);
    [[nodiscard]] bool has_capacity(const std::string &frame) const;
    void snapshot();
    awaitable<void> boot(std::string name);
    awaitable<void> fail_later(std::string name);
    std::string create(const std::string &frame, const std::string &zone, bool spot);

    world &world_;
    std::vector<std::unique_ptr<net::server>> doors_;
    std::map<std::string, json::array> answered_; // by hire
    std::deque<listing> history_;
    rate_bucket requests_;
    std::uint64_t count_ = 0;
};

} // namespace review
