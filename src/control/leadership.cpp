#include "control/leadership.hpp"
#include "store/keys.hpp"

namespace spindlecroft::control {

leadership::leadership(net::asio::io_context &io, store::key_value_client &store,
                       const settings::settings &settings, membership::member &member)
    : placement_writer(io, store, settings, "leader"),
      completion_writer(io, store, settings, "records"), work_available(io), member_(member) {
    for (auto *writer : {&placement_writer, &completion_writer}) {
        writer->fence = [this]() -> std::optional<txn_condition> {
            if (!may_act())
                return std::nullopt;
            return txn_condition{store::keys::leader, member_.token()};
        };
        writer->on_fence_failed = [this] { member_.request_leader_key_check(); };
    }
}

void leadership::end() {
    ended_ = true;
    placement_writer.stop();
    completion_writer.stop();
    work_available.notify();
}

void leadership::activate(std::unique_ptr<scheduler> new_scheduler, time_point now) {
    for (auto &[job, notice] : cancels_)
        new_scheduler->on_cancel(notice, now);
    scheduler_ = std::move(new_scheduler);
}

void leadership::apply_cancel(const cancel_notice &notice) {
    cancels_[notice.job] = notice;
    if (!scheduler_)
        return;
    scheduler_->on_cancel(notice, net::steady_now());
    work_available.notify();
}

void leadership::on_job(const std::string &id, const wire::job_record &record,
                        std::uint64_t revision) {
    if (!scheduler_)
        return;
    auto now = net::steady_now();
    scheduler_->on_job_record(id, record, revision, now);
    auto found = cancels_.find(id);
    if (found != cancels_.end() && revision >= found->second.revision)
        cancels_.erase(found);
    else if (found != cancels_.end())
        scheduler_->on_cancel(found->second, now);
    work_available.notify();
}

void leadership::drop_cancels_through(std::uint64_t revision) {
    std::erase_if(cancels_, [&](const auto &entry) { return entry.second.revision <= revision; });
}

} // namespace spindlecroft::control
