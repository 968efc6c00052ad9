// Every constant of the program, each with its unit and, where needed, the reason for its value.
#pragma once
#include "common/time.hpp"
#include <cstddef>
#include <cstdint>

namespace spindlecroft::constants {

// --- limits of the wire protocols ---
/// Largest body of a request to a controller; bytes.
inline constexpr std::size_t max_request_body_bytes = std::size_t{64} * 1024;
/// Largest answer to a worker's heartbeat, with its header; bytes.
inline constexpr std::size_t max_heartbeat_answer_bytes = std::size_t{64} * 1024;
/// Largest body of an answer to one of our requests; bytes. The protocol doesn't bound the answer
/// to a watch of the key-value store; this limit does.
inline constexpr std::size_t max_response_body_bytes = std::size_t{8} * 1024 * 1024;
/// Most tasks in one job.
inline constexpr std::uint64_t max_tasks_per_job = 100'000;
/// Keys in one page of a read; the most that the key-value store allows.
inline constexpr int key_value_page_size = 1000;
/// Machines in one page of the cloud's list; the most that the cloud allows.
inline constexpr int machine_list_page_size = 500;
/// Most machines in one rental request.
inline constexpr int max_machines_per_rental_request = 50;
/// Most machines in one deletion.
inline constexpr int max_machines_per_deletion = 100;
/// Bytes left free below the key-value store's limit in each value.
inline constexpr std::size_t value_size_margin = 16;
/// Most bytes of a transaction's operations: 64 KiB less space for its conditions.
inline constexpr std::size_t max_txn_bytes = std::size_t{48} * 1024;

// --- amounts of resources ---
/// Tolerance in comparisons of resource amounts: they are decimal numbers, so that sums of them are
/// not exact.
inline constexpr double resource_tolerance = 1e-9;

/// Bytes of a heartbeat's answer that are left free for the header.
inline constexpr std::size_t heartbeat_answer_header_margin = 1024;

// --- clocks ---
/// Most relative drift between the steady clocks of two machines.
inline constexpr double max_clock_drift = 0.0005;
/// Added to a worker's lease: covers timer steps and leases that end up to 100 ms late.
inline constexpr seconds lease_slack{0.25};

// --- server and clients ---
/// A controller without an answer from the key-value store for longer than this reports that it is
/// not ready if the store answers a peer, or if no peer was heard from for this long either.
inline constexpr seconds isolation_timeout{4.0};
/// Least time between two requests to the leader for task counts, which are only displayed.
inline constexpr seconds progress_query_interval{2.0};
/// Time limit for the answer to a user, who gives up after 5 s.
inline constexpr seconds user_request_timeout{4.0};
/// A keep-alive connection without requests is closed after this.
inline constexpr seconds idle_connection_timeout{75};
/// A request must have arrived whole, and its answer must have been sent, within this.
inline constexpr seconds server_request_timeout{5.0};
/// Timeout of a request to the key-value store. Answers usually take 10 ms, sometimes hundreds.
inline constexpr seconds key_value_timeout{1.5};
/// Timeout of a request to the cloud; renting machines takes longer than reading.
inline constexpr seconds cloud_timeout{6.0};
/// Timeout of a request to another controller; short, because a vote counts from the moment at
/// which it was requested.
inline constexpr seconds peer_timeout{0.6};
/// A command without an answer for this long has an unknown outcome.
inline constexpr seconds command_timeout{2.5};
/// Most idle connections kept open to one host.
inline constexpr std::size_t max_idle_connections_per_host = 4;
/// Retry-After header of 503 answers to users; seconds.
inline constexpr int retry_after_s = 1;
/// Share of the sockets for commands to workers; beyond it their connections are closed after use.
inline constexpr double command_socket_share = 0.1;
/// Share of the sockets for connections from other controllers.
inline constexpr double peer_socket_share = 0.04;
/// Least number of sockets for connections from other controllers; some for each of them.
inline constexpr std::size_t min_peer_sockets = 16;
/// Sockets for connections to the key-value store, the cloud and other controllers, and for the
/// listeners.
inline constexpr std::size_t reserved_sockets = 40;
/// Share of a listener's sockets above which users get 503 and workers' connections are closed
/// after the answer.
inline constexpr double crowded_connection_share = 0.85;
/// Largest header of a request to a controller; bytes.
inline constexpr std::size_t max_request_header_bytes = std::size_t{16} * 1024;
/// Pause of a listener that failed to accept a connection because no socket is free.
inline constexpr seconds accept_retry_delay{0.05};

/// Share of the cloud's request rate that a controller uses.
inline constexpr double cloud_rate_share = 0.9;
/// Length of a burst at the full rate that the cloud permits.
inline constexpr seconds cloud_burst_duration{2.0};
/// Time between two checks whether the cloud's request rate permits another request.
inline constexpr seconds rate_limit_poll_interval{0.05};
/// Pause after a deletion that was not answered.
inline constexpr seconds deletion_retry_delay{1.0};
/// Pause between two attempts to read the machine types at the start.
inline constexpr seconds machine_types_retry_delay{0.5};
/// Most time that a user's query about a job waits for the read of the jobs that it shares with
/// other queries.
inline constexpr seconds job_query_read_timeout{1.5};
/// Part of the time limit of a user's request that is reserved for a read and the answer.
inline constexpr seconds user_request_reserve{1.5};
/// Least time limit of a write, however little is left of the user's request.
inline constexpr seconds min_commit_timeout{0.2};

// --- leadership ---
/// Time limit of a new leader's read of the jobs, after which it is retried.
inline constexpr seconds failover_read_timeout{1.0};
/// Most time that a heartbeat waits until a new leader has loaded its state.
inline constexpr seconds heartbeat_failover_timeout{1.5};
/// Time between two checks whether the new leader's state is loaded.
inline constexpr seconds failover_poll_interval{0.05};
/// Least time between two rounds of the leader's control loop.
inline constexpr seconds min_control_loop_pause{0.02};
/// Most time between two rounds of the control loop when nothing happens.
inline constexpr seconds max_control_loop_pause{0.2};
/// Duration of the leader's lease at the key-value store: long enough for three renewals, short
/// enough for a quick failover.
inline constexpr seconds leader_lease_duration{3.0};
/// Time between two renewals of the leader's lease and votes.
inline constexpr seconds leader_renew_interval{0.75};
/// Duration of a vote for a leader.
inline constexpr seconds leader_vote_duration{3.0};
/// Duration of a vote for a candidate.
inline constexpr seconds candidate_vote_duration{2.0};
/// Most random delay of a campaign: spreads the candidates that saw the same leadership end.
inline constexpr seconds candidacy_jitter{0.35};
/// Further delay of a controller that voted for another candidate, so that the other goes first.
inline constexpr seconds candidacy_yield_delay{0.2};
/// Time between two checks whether this controller may campaign.
inline constexpr seconds campaign_check_interval{0.2};
/// Least and most time of the random pause after a campaign without a majority.
inline constexpr seconds min_campaign_pause{0.1};
inline constexpr seconds max_campaign_pause{0.4};
/// Pause between the end of a leadership and the next read of the leader key.
inline constexpr seconds leader_key_check_delay{0.1};
/// Most time between two rounds of a leader's duties (votes, lease, token).
inline constexpr seconds leader_poll_interval{0.1};
/// Least time of a wait for a notification.
inline constexpr seconds min_wait{0.01};
/// A leader without the key-value store for this long steps down if another controller reaches it.
inline constexpr seconds step_down_store_silence{4.0};
/// A controller counts as served by the key-value store if its last answer is no older.
inline constexpr seconds store_serving_timeout{2.5};
/// Greatest age of a peer's report of the key-value store on which a leader steps down.
inline constexpr seconds step_down_report_max_age{0.25};
/// Greatest age of a peer's report of the key-value store that makes this controller not ready.
inline constexpr seconds readiness_report_max_age{3.0};
/// A peer whose latest heartbeat is no older is reached by the workers.
inline constexpr seconds peer_heartbeat_max_age{3.0};
/// Cancels that a controller keeps in memory for the leader: those of some minutes, about 0.5 MB.
inline constexpr std::size_t max_kept_cancels = 4000;
/// Cancels in one answer to the leader; 50 KiB with the longest job ids.
inline constexpr std::size_t max_cancels_per_answer = 400;
/// A leader without heartbeats for this long steps down if another controller receives them.
inline constexpr seconds step_down_heartbeat_silence{8.0};
/// Time after stepping down in which a controller does not campaign.
inline constexpr seconds step_down_campaign_pause{20.0};

/// Subtracted from every vote and lease that a leader relies on.
inline constexpr seconds authority_margin{0.1};

/// Part of the cancel deadline (cancel_s) reserved for answers and commands in transit.
inline constexpr seconds cancel_delivery_margin{3.0};
/// Least time that a leader goes on renewing workers' leases without knowing the newest cancels.
inline constexpr seconds min_cancel_silence{4.0};
/// The leader reads the jobs' records again when its last read is older.
inline constexpr seconds leader_max_read_age{2.0};

// --- key-value store ---
/// Share of the key-value store's rate limits that all controllers together use.
inline constexpr double key_value_rate_share = 0.9;
/// Share of the permitted writes that the leader may use.
inline constexpr double leader_write_share = 0.85;
/// Time that a transaction waits for further writes to join it.
inline constexpr seconds commit_batch_delay{0.03};
/// Time between two reads that are shared by waiting requests.
inline constexpr seconds shared_read_interval{0.15};
/// Time between two openings of the watch on jobs at the leader.
inline constexpr seconds leader_watch_interval{0.10};
/// The same at the other controllers, where each query requests a read of its own.
inline constexpr seconds follower_watch_interval{1.0};
/// A watch without events returns after this; milliseconds.
inline constexpr int watch_hold_ms = 10'000;
/// A write that has waited for this long is no longer overtaken by more urgent ones.
inline constexpr seconds write_aging_time{0.4};
/// Pause after a refusal or an outage of the key-value store.
inline constexpr seconds key_value_retry_delay{0.25};
/// Window in which refused writes are counted.
inline constexpr seconds write_refusal_window{10.0};
/// Refusals within the window that show that the key-value store's announced smaller limit is in
/// force.
inline constexpr int refusals_for_next_limit = 3;
/// Most waiting writes; beyond it users get 503.
inline constexpr std::size_t max_queued_commits = 4000;
/// Tasks of a job in one part of a done record (1 KiB as hex digits).
inline constexpr std::uint64_t tasks_per_done_part = 4096;
/// Share of the leader's writes that placements of arrays may use.
inline constexpr double placement_write_share = 0.4;
/// Share of the largest value that a placement record may fill.
inline constexpr double placement_record_fill = 0.9;
/// Time that a done record waits for more finished tasks before it is written.
inline constexpr seconds done_record_delay{1.5};
/// Time between two searches for placement records that are no longer needed.
inline constexpr seconds record_cleanup_interval{2.0};
/// Most rental requests in one record; about 1.5 KiB.
inline constexpr std::size_t max_rentals_per_record = 16;
/// Most ended jobs whose state is kept in memory.
inline constexpr std::size_t max_cached_ended_jobs = 4000;
/// Most ids of jobs that don't exist that are kept in memory; about 0.5 MB.
inline constexpr std::size_t max_cached_absent_jobs = 4000;
/// Most concurrent reads of single ended jobs for users; beyond it they get 503 at once.
inline constexpr std::size_t max_concurrent_ended_reads = 32;

// --- workers ---
/// A worker drops the answer to a heartbeat that arrives later.
inline constexpr seconds worker_answer_timeout{4.0};
/// Consecutive heartbeats without a sign of our answers that suggest an outbound partition.
inline constexpr int outbound_partition_heartbeats = 2;
/// Share of the lease: an agent incarnation that ends so soon after our answer did not receive it.
inline constexpr double outbound_partition_lease_share = 0.7;
/// A machine in an outbound partition for longer than this multiple of the lease is returned: by
/// then it would have shown that it receives our answers.
inline constexpr double outbound_partition_max_leases = 1.6;
/// Heartbeat intervals without a heartbeat after which a machine is silent.
inline constexpr double silence_heartbeat_intervals = 3.0;
/// Added to that time, because a worker may retry a heartbeat at another controller.
inline constexpr seconds silence_margin{2.0};
/// Share of the time until a machine is silent after which it counts as quiet; longer than the
/// longest heartbeat interval.
inline constexpr double quiet_silence_share = 0.5;
/// Share of quiet machines above which the fault is assumed on our side: silent machines are then
/// not deleted.
inline constexpr double fleet_cut_off_share = 0.5;
/// Share of a zone's quiet machines above which the zone counts as cut off.
inline constexpr double zone_cut_off_share = 0.7;
/// Time after the end of their leases for which silent machines of a zone that is cut off are kept.
inline constexpr seconds zone_cut_off_grace{30.0};
/// Time that the machines of a zone have for their next heartbeat after it was cut off.
inline constexpr seconds zone_reconnect_grace{10.0};
/// Least time between two raises of the fencing token.
inline constexpr seconds min_token_raise_interval{6.0};
/// Most heartbeats per second caused by raises that only let records of exited tasks be removed:
/// every worker that sees a higher token sends one.
inline constexpr double max_raise_heartbeat_rate = 20.0;
/// Longest time between two such raises, however large the fleet is.
inline constexpr seconds max_record_removal_interval{30.0};
/// Most records of exited tasks that one machine keeps until the next raise; they count toward the
/// size of its heartbeats.
inline constexpr std::size_t max_records_awaiting_removal = 50;

// --- bidding ---
/// Added to a bid that would preempt other work.
inline constexpr seconds preemption_cost{3.0};
/// Time between two summaries of the fleet in the log, and idle time after which connections to
/// workers are closed.
inline constexpr seconds summary_interval{10.0};
/// Most time between two planning rounds.
inline constexpr seconds max_planning_interval{1.0};
/// Least time between two planning rounds.
inline constexpr seconds min_planning_interval{0.1};
/// A machine's remaining work is recomputed when its last estimate is older.
inline constexpr seconds max_bidder_age{2.0};
/// Time between two checks of all machines for leases, silence and late cancels.
inline constexpr seconds machine_check_interval{0.3};
/// Most estimated work in a worker's queue.
inline constexpr seconds max_queue_time{20.0};
/// Most tasks in a worker's queue, however short they are.
inline constexpr std::size_t max_queued_tasks = 6;
/// Bids after which a planning round is continued in the next one, so that heartbeats are answered
/// in between.
inline constexpr int max_bids_per_round = 2000;
/// Pause of the control loop as a multiple of its last round: the leader answers requests
/// meanwhile.
inline constexpr double control_loop_rest_ratio = 1.0;
/// Least time between two rounds of new bids for queued tasks, which idle machines trigger.
inline constexpr seconds min_rebid_interval{1.0};
/// Weight of the newest sample in a machine's moving average of speed.
inline constexpr double speed_sample_weight = 0.15;
/// Weight of the newest sample in a job class's moving average of the error of its estimates.
inline constexpr double class_sample_weight = 0.1;
/// Least speed of a machine in estimates; slower ones count as this fast.
inline constexpr double min_speed = 0.1;
/// A machine slower than this is returned.
inline constexpr double slow_machine_speed = 0.6;
/// Samples needed before a machine can count as slow; tasks.
inline constexpr int min_speed_samples = 5;
/// Run time of a task whose user gives no estimate.
inline constexpr seconds default_run_time_estimate{30.0};
/// Machines on which a job that has run on none must have failed to be suspect.
inline constexpr std::size_t suspect_job_machines = 2;
/// Jobs that failed on a machine, and have run nowhere else since, after which it counts as faulty.
inline constexpr std::size_t faulty_machine_jobs = 3;
/// Time without new work for a machine while it is undecided whether it or the job caused a
/// failure.
inline constexpr seconds machine_probation{10.0};
/// An attempt that runs for this long at least has not failed at its start.
inline constexpr seconds min_proof_run_time{2.0};
/// A job counts as working once it has run for this multiple of its longest failed run.
inline constexpr double proof_run_time_ratio = 2.0;
/// Least time between two writes of the record of suspect jobs, for which nothing waits.
inline constexpr seconds suspects_write_interval{2.0};
/// First backoff of a job whose tasks fail; doubles with each failure.
inline constexpr seconds initial_job_backoff{5.0};
/// Longest backoff of such a job.
inline constexpr seconds max_job_backoff{60.0};
/// Added to a service replica's bid for each array task that it displaces.
inline constexpr seconds displaced_slot_cost{0.4};
/// Work within a team's guarantee that would wait longer preempts other work.
inline constexpr seconds max_guarantee_wait{6.0};
/// Due time of a job without a deadline or objective, from the moment at which it is ready.
inline constexpr seconds default_due_time{120.0};
/// A job that has waited for longer without any task is served first; users give even the largest
/// job 240 s.
inline constexpr seconds starvation_threshold{100.0};
/// A late job that has waited for longer gets a share of its own.
inline constexpr seconds aging_threshold{150.0};
/// Share of the slots for the late job that has waited longest, so that large jobs end too.
inline constexpr double aged_job_share = 0.05;
/// Pause after a worker refused to start a task.
inline constexpr seconds refused_start_pause{3.0};

/// Share of the cancel deadline (cancel_s) after which a machine that is not proven free of the
/// job's tasks is deleted.
inline constexpr double cancel_delete_share = 0.35;
/// Factor by which a reclaim notice may last longer than announced.
inline constexpr double reclaim_notice_tolerance = 1.5;

// --- dependencies ---
/// Time from the last task of a job to the first of its dependent: heartbeat, records, commands.
inline constexpr seconds chain_stage_latency{3.0};
/// Ratio of the longest run time among a job's tasks to the expected one.
inline constexpr double chain_run_margin = 1.3;
/// Time between two reads of predecessors that ended before this process watched them.
inline constexpr seconds predecessor_read_interval{0.1};

// --- fleet ---
/// Time after its last job for which spare capacity is kept for a class of services.
inline constexpr seconds service_class_retention{900};
/// Pause after a rental request without a clear answer.
inline constexpr seconds rental_retry_delay{1.0};
/// Time between two reads of the machine types; prices change slowly.
inline constexpr seconds machine_types_refresh_interval{45.0};
/// Time between two reads of the list of machines.
inline constexpr seconds machine_list_poll_interval{5.0};
/// Time for which an offer that the cloud refused is not requested again.
inline constexpr seconds refused_offer_pause{25.0};
/// A machine that has been booting for longer than this multiple of its boot time is deleted.
inline constexpr double late_boot_ratio = 3.0;
/// A machine that has been booting for longer than this multiple of its boot time gets no bids.
inline constexpr double boot_hedge_ratio = 1.7;
/// Time within which waiting work should start.
inline constexpr seconds drain_target{8.0};
/// Greatest factor by which work that may use spot machines waits longer than other work before
/// on-demand machines are rented for it.
inline constexpr double max_on_demand_wait_ratio = 5.0;
/// Expected duration of a rental, to which the boot time is added in comparisons of prices.
inline constexpr seconds expected_rental_duration{120.0};
/// Least time for which an idle machine is kept.
inline constexpr seconds min_idle_retention{15.0};
/// An idle machine is kept for at least this multiple of its boot time.
inline constexpr double idle_retention_boot_ratio = 1.2;
/// Time between two rounds of scaling out and in.
inline constexpr seconds scaling_interval{2.0};
/// Replicas of the largest service for which idle capacity is kept.
inline constexpr int spare_replicas = 2;
/// Most machines: guards against unbounded renting, well above the largest fleet in use (4,000).
inline constexpr int fleet_limit = 9000;

} // namespace spindlecroft::constants
