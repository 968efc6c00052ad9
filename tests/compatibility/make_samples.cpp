// Writes one sample of every record and of every message between controllers with the encoders of
// the version it is compiled against. See README.md for how the kept samples were made.
#include "wire/codec.hpp"
#include <fmt/format.h>
#include <fstream>
#include <iostream>

using namespace spindlecroft;

namespace {

std::string folder;

void keep_record(const std::string &name, const std::string &value) {
    std::ofstream(folder + "/records/" + name + ".json") << value << "\n";
}

void keep_message(const std::string &name, const wire::peer_message &message) {
    std::ofstream out(folder + "/messages/" + name + ".hex");
    for (unsigned char byte : wire::encode_peer(message))
        out << fmt::format("{:02x}", byte);
    out << "\n";
}

job_spec array_spec() {
    job_spec spec;
    spec.id = "job-000412";
    spec.job_class = "train";
    spec.team = "vision";
    spec.rank = priority::high;
    spec.tasks = 16;
    spec.cpus = 8;
    spec.gpus = 1;
    spec.memory_gb = 64.5;
    spec.image = "img-07";
    spec.image_gb = 6.2;
    spec.types = {"g8", "g16"};
    spec.zone = "aqaba";
    spec.one_zone = true;
    spec.spot = true;
    spec.estimate_s = 240;
    spec.checkpoint_s = 30;
    spec.save_s = 4;
    spec.deadline_s = 900;
    return spec;
}

job_spec service_spec() {
    job_spec spec;
    spec.id = "job-000398";
    spec.job_class = "serve";
    spec.team = "vision";
    spec.shape = job_shape::service;
    spec.rank = priority::critical;
    spec.tasks = 9;
    spec.cpus = 2;
    spec.memory_gb = 13;
    spec.image = "img-02";
    spec.image_gb = 1.8;
    spec.spread = true;
    return spec;
}

void keep_records() {
    keep_record("job_array", wire::encode_job_record({false, 1764668400.25, 0, array_spec()}));
    keep_record("job_service", wire::encode_job_record({false, 1764668401.5, 0, service_spec()}));
    keep_record("job_cancelled",
                wire::encode_job_record({true, 1764668400.25, 1764668460.75, array_spec()}));
    keep_record("ended_done", wire::encode_ended({job_stage::done, 16}));
    keep_record("ended_cancelled", wire::encode_ended({job_stage::cancelled, 3}));
    keep_record("placed", wire::encode_placed({{"job-000412", 0, (41ull << 20) + 1, "i-000231"},
                                               {"job-000412", 15, (41ull << 20) + 2, "i-000232"},
                                               {"job-000398", 8, (41ull << 20) + 3, "i-000231"}}));
    keep_record("done", wire::encode_done({{"job-000412", 0, {true, false, false, true, true}},
                                           {"job-000398", 2, {false, true}}}));
    keep_record("rentals", wire::encode_rental_record({{{"r-41-1", "g8", "aqaba", true, 12},
                                                        {"r-41-2", "g16", "amman", false, 50}},
                                                       1764668402.125}));
    keep_record("suspects", wire::encode_suspects({"job-000007", "job-000011"}));
    keep_record("leader", wire::encode_leader({"spindle-2", "spindle-2#0badcafe", 3}));
    machine_type type;
    type.name = "g8";
    type.cpus = 96;
    type.gpus = 8;
    type.memory_gb = 768;
    type.cache_gb = 200;
    type.fetch_gb_per_s = 1;
    type.price = 12;
    type.spot_price = 4.5;
    type.boot_s = 45;
    type.zones = {"aqaba", "amman"};
    keep_record("types", wire::encode_types({type}));
}

// The fields are those that membership::member and control::controller fill in.
void keep_messages() {
    wire::peer_message question;
    question.texts = {{"kind", "promise"},
                      {"from", "spindle-2"},
                      {"as", "spindle-2#0badcafe#1"},
                      {"role", "leader"},
                      {"cancels_run", "spindle-1#00c0ffee"}};
    question.numbers = {{"state_ok", 1},
                        {"ms", 3000},
                        {"wants_word", 0},
                        {"cancels_after", 17},
                        {"cancels_revision", 9123}};
    keep_message("promise_question", question);
    wire::peer_message answer;
    answer.texts = {{"cancels_run", "spindle-1#00c0ffee"}, {"holder", "spindle-2#0badcafe#1"}};
    answer.numbers = {{"granted", 1},          {"state_ok", 1},      {"reports_age_ms", 250},
                      {"cancels_after", 17},   {"cancels_upto", 18}, {"cancels_newest", 18},
                      {"cancels_given_up", 0}, {"loaded", 1},        {"read_age_ms", 120}};
    answer.cancels = {{"job-000412", 9124, 1764668460.75}};
    keep_message("promise_answer", answer);
    wire::peer_message release;
    release.texts = {{"kind", "release"}, {"from", "spindle-2"}, {"as", "spindle-2#0badcafe#1"}};
    keep_message("release", release);
    wire::peer_message progress;
    progress.texts = {{"kind", "progress"}};
    keep_message("progress_question", progress);
    wire::peer_message told;
    told.numbers = {{":leading", 1}, {"job-000412", (5ull << 32) | 3}};
    keep_message("progress_answer", told);
}

} // namespace

int main(int argc, char **argv) {
    if (argc != 2) {
        std::cerr << "usage: make_samples FOLDER\n";
        return 2;
    }
    folder = argv[1];
    keep_records();
    keep_messages();
    return 0;
}
