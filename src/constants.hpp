// Every constant of the program, each with its unit and the reason for its value.
#pragma once
#include "common/time.hpp"
#include <cstddef>
#include <cstdint>

namespace spindlecroft::constants {

// --- limits of the wire (PROTOCOL) ---
// Bytes of a request's body.
inline constexpr std::size_t max_request_body_bytes = std::size_t{64} * 1024;
// Bytes of a response line.
inline constexpr std::size_t max_heartbeat_answer_bytes = std::size_t{64} * 1024;
// Bytes of an answer to us. The answer to a watch has no bound of its own: this one is ours.
inline constexpr std::size_t max_response_body_bytes = std::size_t{8} * 1024 * 1024;
// Tasks in one job.
inline constexpr std::uint64_t max_tasks_per_job = 100'000;
// The key-value store's largest page.
inline constexpr int key_value_page_size = 1000;
// The cloud's largest page.
inline constexpr int machine_list_page_size = 500;
// Machines in one rental request.
inline constexpr int max_machines_per_rental_request = 50;
// Names in one deletion.
inline constexpr int max_machines_per_deletion = 100;
// Bytes kept free in each value.
inline constexpr std::size_t value_size_margin = 16;
// Bytes of a transaction's operations: 64 KiB less room for its conditions.
inline constexpr std::size_t max_txn_bytes = std::size_t{48} * 1024;

// --- amounts of resources ---
// Amounts are decimal, so sums of them are not exact: comparisons allow for this much.
inline constexpr double resource_tolerance = 1e-9;

// Bytes; kept free in a line for its headers.
inline constexpr std::size_t heartbeat_answer_header_margin = 1024;

// --- clocks ---
// Ratio; how far two steady clocks may drift apart.
inline constexpr double max_clock_drift = 0.0005;
// Covers timer steps and the 100 ms late end of a lease.
inline constexpr seconds lease_slack{0.25};

// --- server and clients ---
// A node without the key-value store and without word from other nodes for so long sends users
// elsewhere.
inline constexpr seconds isolation_timeout{4.0};
// Between counts of tasks, which are for display.
inline constexpr seconds progress_query_interval{2.0};
// Users give up after 5 s, and are answered before that.
inline constexpr seconds user_request_timeout{4.0};
// A quiet keep-alive connection is then closed.
inline constexpr seconds idle_connection_timeout{75};
// A request must arrive whole within this.
inline constexpr seconds server_request_timeout{5.0};
// Answers usually take 10 ms, now and then hundreds.
inline constexpr seconds key_value_timeout{1.5};
// Renting takes longer than reading.
inline constexpr seconds cloud_timeout{6.0};
// A vote is worth little when it comes later.
inline constexpr seconds peer_timeout{0.6};
// A command that takes longer counts as unresolved.
inline constexpr seconds command_timeout{2.5};
// Connections kept open to one host.
inline constexpr std::size_t max_idle_connections_per_host = 4;
// Told to users who get 503.
inline constexpr int retry_after_s = 1;
// Share of the sockets for commands to workers; beyond it they are closed after use.
inline constexpr double command_socket_share = 0.1;
// Share for the other controllers.
inline constexpr double peer_socket_share = 0.04;
// A few for each other controller.
inline constexpr std::size_t min_peer_sockets = 16;
// Sockets to the key-value store, the cloud and other controllers, and the listeners.
inline constexpr std::size_t reserved_sockets = 40;
// Share of the listener's sockets beyond which users are sent away and workers' are not kept.
inline constexpr double crowded_connection_share = 0.85;
// Bytes of a request's header.
inline constexpr std::size_t max_request_header_bytes = std::size_t{16} * 1024;
// Out of sockets, until some may have closed.
inline constexpr seconds accept_retry_delay{0.05};

// Share of the cloud's rate that is used.
inline constexpr double cloud_rate_share = 0.9;
// The cloud permits bursts worth this long.
inline constexpr seconds cloud_burst_duration{2.0};
// Between two looks for room in the cloud's budget.
inline constexpr seconds rate_limit_poll_interval{0.05};
// After a deletion without an answer.
inline constexpr seconds deletion_retry_delay{1.0};
// Between two reads of the machine types at the start.
inline constexpr seconds machine_types_retry_delay{0.5};
// A question waits this long for the shared read.
inline constexpr seconds job_query_read_timeout{1.5};
// Kept of a user's time for the read and the answer.
inline constexpr seconds user_request_reserve{1.5};
// A change is given at least this long.
inline constexpr seconds min_commit_timeout{0.2};

// --- leadership ---
// A new leader's read of the jobs is tried anew then.
inline constexpr seconds failover_read_timeout{1.0};
// A heartbeat waits this long for a new leader's state.
inline constexpr seconds heartbeat_failover_timeout{1.5};
// Between two looks whether it is there.
inline constexpr seconds failover_poll_interval{0.05};
// Least time between two rounds of the leader.
inline constexpr seconds min_control_loop_pause{0.02};
// Most time between them without news.
inline constexpr seconds max_control_loop_pause{0.2};
// Long enough for three renewals, short for failover.
inline constexpr seconds leader_lease_duration{3.0};
// Between renewals and vote rounds.
inline constexpr seconds leader_renew_interval{0.75};
// Length of a vote to a leader.
inline constexpr seconds leader_vote_duration{3.0};
// Length of a vote to a candidate.
inline constexpr seconds candidate_vote_duration{2.0};
// Spreads candidates that saw the same end.
inline constexpr seconds candidacy_jitter{0.35};
// Head start of the candidate that one voted for.
inline constexpr seconds candidacy_yield_delay{0.2};
// Between looks whether one may campaign.
inline constexpr seconds campaign_check_interval{0.2};
// After a campaign without a majority.
inline constexpr seconds min_campaign_pause{0.1};
inline constexpr seconds max_campaign_pause{0.4};
// Between a leadership and the next look at the key.
inline constexpr seconds leader_key_check_delay{0.1};
// Most time between two looks of a leader.
inline constexpr seconds leader_poll_interval{0.1};
// Least time of a wait for news.
inline constexpr seconds min_wait{0.01};
// A leader this long without state steps down to one with it.
inline constexpr seconds step_down_store_silence{4.0};
// A node whose last answer from the key-value store is older can't say that it is served.
inline constexpr seconds store_serving_timeout{2.5};
// A leader steps down only on a report of the key-value store that is no older.
inline constexpr seconds step_down_report_max_age{0.25};
// Users are sent elsewhere on one no older.
inline constexpr seconds readiness_report_max_age{3.0};
// A controller with a heartbeat no older is reached by workers.
inline constexpr seconds peer_heartbeat_max_age{3.0};
// Cancels at hand for the leader; some minutes of them, about 0.5 MB.
inline constexpr std::size_t max_kept_cancels = 4000;
// Cancels; 50 KiB with the longest ids.
inline constexpr std::size_t max_cancels_per_answer = 400;
// A leader this long without heartbeats steps down to one with them.
inline constexpr seconds step_down_heartbeat_silence{8.0};
// It is no candidate for this long.
inline constexpr seconds step_down_campaign_pause{20.0};

// Taken off every vote and lease that we rely on.
inline constexpr seconds authority_margin{0.1};

// Kept back of cancel_s for answers and commands on their way.
inline constexpr seconds cancel_delivery_margin{3.0};
// A leader may be without news of cancels this long at least.
inline constexpr seconds min_cancel_silence{4.0};
// A leader reads the jobs' records at least this often.
inline constexpr seconds leader_max_read_age{2.0};

// --- key-value store ---
// Of the limits; all nodes together plan to use no more.
inline constexpr double key_value_rate_share = 0.9;
// Of the writes; the leader may use no more.
inline constexpr double leader_write_share = 0.85;
// A transaction waits this long for others to join.
inline constexpr seconds commit_batch_delay{0.03};
// Between two shared reads for waiting polls.
inline constexpr seconds shared_read_interval{0.15};
// Between two openings of the leader's long watch.
inline constexpr seconds leader_watch_interval{0.10};
// The same elsewhere: there each poll asks for its own read.
inline constexpr seconds follower_watch_interval{1.0};
// A watch without news returns after this.
inline constexpr int watch_hold_ms = 10'000;
// A change that waited so long is not passed by more urgent ones any more.
inline constexpr seconds write_aging_time{0.4};
// Pause after a refusal or an outage.
inline constexpr seconds key_value_retry_delay{0.25};
// Refusals of changes are counted within it.
inline constexpr seconds write_refusal_window{10.0};
// Refusals in the window; they show that the key-value store has its smaller limit.
inline constexpr int refusals_for_next_limit = 3;
// Waiting changes; beyond it users get 503.
inline constexpr std::size_t max_queued_commits = 4000;
// Tasks of a job in one part of a done record (1 KiB as hex digits).
inline constexpr std::uint64_t tasks_per_done_part = 4096;
// Of the leader's writes; no more goes to placements of arrays.
inline constexpr double placement_write_share = 0.4;
// Share of the largest value that a placement record takes.
inline constexpr double placement_record_fill = 0.9;
// A done record waits this long for more tasks of its job.
inline constexpr seconds done_record_delay{1.5};
// Between two searches for placement records that ended.
inline constexpr seconds record_cleanup_interval{2.0};
// Requests; about 1.5 KiB.
inline constexpr std::size_t max_rentals_per_record = 16;
// Ended jobs whose state is kept at hand.
inline constexpr std::size_t max_cached_ended_jobs = 4000;
// Ids that nobody submitted, kept at hand; about 0.5 MB.
inline constexpr std::size_t max_cached_absent_jobs = 4000;
// Reads under way for questions about single jobs; beyond it users get 503 at once.
inline constexpr std::size_t max_concurrent_ended_reads = 32;

// --- workers ---
// A worker drops an answer that comes later.
inline constexpr seconds worker_answer_timeout{4.0};
// Heartbeats in a row that show nothing of our answers.
inline constexpr int outbound_partition_heartbeats = 2;
// Of the lease; a incarnation that ends so soon after our answer did not get it.
inline constexpr double outbound_partition_lease_share = 0.7;
// Leases; a machine outbound-partitioned for longer is given back: by then it has shown whether it
// hears.
inline constexpr double outbound_partition_max_leases = 1.6;
// Report intervals without a word before a machine is silent.
inline constexpr double silence_heartbeat_intervals = 3.0;
// Added to it, a heartbeat may be retried at another node.
inline constexpr seconds silence_margin{2.0};
// Of the time after which a machine is silent; longer than the longest report interval.
inline constexpr double quiet_silence_share = 0.5;
// Above this share of silent machines we doubt ourselves.
inline constexpr double fleet_cut_off_share = 0.5;
// Above this share of a zone's machines it is cut off.
inline constexpr double zone_cut_off_share = 0.7;
// Beyond their leases, silent machines of a cut zone are kept.
inline constexpr seconds zone_cut_off_grace{30.0};
// After a cut, the time for its machines to heartbeat again.
inline constexpr seconds zone_reconnect_grace{10.0};
// Least time between two raises of the token.
inline constexpr seconds min_token_raise_interval{6.0};

// --- bidding ---
// Added to a bid that would stop other work.
inline constexpr seconds preemption_cost{3.0};
// Between two lines of the log about the fleet.
inline constexpr seconds summary_interval{10.0};
// Most time between two rounds of bids.
inline constexpr seconds max_planning_interval{1.0};
// Least time between two rounds of bids.
inline constexpr seconds min_planning_interval{0.1};
// What is left of running work is worked out anew at least this often.
inline constexpr seconds max_bidder_age{2.0};
// Between two looks over all machines for leases, silence and late cancels.
inline constexpr seconds machine_check_interval{0.3};
// A worker queue holds this much estimated work.
inline constexpr seconds max_queue_time{20.0};
// Tasks; so many wait at most in a worker queue, however short they are.
inline constexpr std::size_t max_queued_tasks = 6;
// Bids; a round stops there and goes on in the next, so that heartbeats are answered between.
inline constexpr int max_bids_per_round = 2000;
// Ratio; after a round the leader answers for as long as the round took.
inline constexpr double control_loop_rest_ratio = 1.0;
// A machine idle for this long has tasks bid again.
inline constexpr seconds min_rebid_interval{1.0};
// Weight of the newest measurement of a machine's speed.
inline constexpr double speed_sample_weight = 0.15;
// Weight of the newest measurement of a class's estimates.
inline constexpr double class_sample_weight = 0.1;
// A machine slower than this counts as this fast.
inline constexpr double min_speed = 0.1;
// A machine slower than this is given back.
inline constexpr double slow_machine_speed = 0.6;
// Tasks; measurements needed before it counts as slow.
inline constexpr int min_speed_samples = 5;
// Where the owner gives no estimate.
inline constexpr seconds default_run_time_estimate{30.0};
// Machines; a job that failed on so many and ran on none is suspect.
inline constexpr std::size_t suspect_job_machines = 2;
// Jobs; a machine on which so many failed that ran nowhere else since counts as faulty.
inline constexpr std::size_t faulty_machine_jobs = 3;
// A machine gets no work while it is open whose fault a failure was.
inline constexpr seconds machine_probation{10.0};
// An attempt that runs for so long has not failed at its start.
inline constexpr seconds min_proof_run_time{2.0};
// Of the longest failed run; beyond it a job works.
inline constexpr double proof_run_time_ratio = 2.0;
// Between two records of the suspect jobs, of which nobody waits for one.
inline constexpr seconds suspects_write_interval{2.0};
// First pause of a job whose tasks fail; doubles.
inline constexpr seconds initial_job_backoff{5.0};
// Longest such pause.
inline constexpr seconds max_job_backoff{60.0};
// Added to a replica's bid for each array task it displaces.
inline constexpr seconds displaced_slot_cost{0.4};
// Guaranteed work that would wait longer stops others.
inline constexpr seconds max_guarantee_wait{6.0};
// A job without deadline or aim should be done by then.
inline constexpr seconds default_due_time{120.0};
// A job that waited so long without a task is served first: users give the largest 240 s.
inline constexpr seconds starvation_threshold{100.0};
// A job past all due times that waited so long has a share of its own.
inline constexpr seconds aging_threshold{150.0};
// Of the slots; for the oldest such job, so that large ones end too.
inline constexpr double aged_job_share = 0.05;
// A start that was refused is tried again after this.
inline constexpr seconds refused_start_pause{3.0};

// Of cancel_s; a machine not proven clean by then is deleted.
inline constexpr double cancel_delete_share = 0.35;
// Ratio; notices may last this much longer than told.
inline constexpr double reclaim_notice_tolerance = 1.5;

// --- dependencies ---
// From the last task of a job to the first of the next: heartbeat, records, commands.
inline constexpr seconds chain_stage_latency{3.0};
// Ratio; the longest of a job's tasks to the usual one.
inline constexpr double chain_run_margin = 1.3;
// Between two reads for predecessors that ended before this process knew of them.
inline constexpr seconds predecessor_read_interval{0.1};

// --- fleet ---
// Spare room is kept for a class seen within it.
inline constexpr seconds service_class_retention{900};
// After a rental request without a clear answer.
inline constexpr seconds rental_retry_delay{1.0};
// Prices move slowly.
inline constexpr seconds machine_types_refresh_interval{45.0};
// Between two lists of the machines.
inline constexpr seconds machine_list_poll_interval{5.0};
// An offer that was refused is not asked for again.
inline constexpr seconds refused_offer_pause{25.0};
// Times startupS; a machine later than this is deleted.
inline constexpr double late_boot_ratio = 3.0;
// Times startupS; a machine later than this is not counted on.
inline constexpr double boot_hedge_ratio = 1.7;
// Waiting work should start within this.
inline constexpr seconds drain_target{8.0};
// Ratio; at most so much longer waits spot work before ordinary machines.
inline constexpr double max_on_demand_wait_ratio = 5.0;
// A machine is used for about so long, which its boot time adds to.
inline constexpr seconds expected_rental_duration{120.0};
// An idle machine is kept at least this long.
inline constexpr seconds min_idle_retention{15.0};
// Boot times; an idle machine is kept as long as its boot cost.
inline constexpr double idle_retention_boot_ratio = 1.2;
// Between two rounds of renting.
inline constexpr seconds scaling_interval{2.0};
// Replicas of the largest service that fit at once, kept warm.
inline constexpr int spare_replicas = 2;
// Machines; a guard against runaway renting, well above the largest fleet in use (4,000).
inline constexpr int fleet_limit = 9000;

} // namespace spindlecroft::constants
