//! All tunable numbers of vetchmount, each with unit and reason.
//!
//! Nothing here describes a particular deployment: what depends on one is derived from its settings.

/// Bytes. The protocol's limit for a request body, and for what we answer users and workers.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes. A request line with headers; ours and our callers' stay far below.
pub const MAX_HEADER_BYTES: usize = 8 * 1024;
/// Bytes. Largest reply read from the state service or the cloud; watches have no size limit of their own.
pub const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// Bytes. Largest frame between controllers: a forwarded request with its envelope.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 4096;
/// Version of the frames between controllers; a peer of another version is not listened to.
pub const PEER_VERSION: u8 = 2;

/// Milliseconds. Life of the leader's lease: long enough for a starved process to renew it three times, short
/// enough that a crashed leader is replaced within a few seconds.
pub const LEADER_LEASE_MS: u64 = 3_000;
/// Milliseconds between renewals of the leader's lease.
pub const LEADER_RENEW_MS: u64 = 800;
/// Milliseconds between a follower's looks at the leader key; bounds how late a vacancy is noticed.
pub const LEADER_POLL_MS: u64 = 600;
/// Milliseconds between a follower's looks while it knows of no leader.
pub const VACANT_POLL_MS: u64 = 200;
/// Milliseconds a worker's report waits at a node that knows of no leader: less than the second it would lose by
/// trying the next one, which knows of none either.
pub const PENDING_REPORT_MS: u64 = 900;
/// Milliseconds it waits at a leader that has yet to read its records: it would only be sent back here.
pub const PENDING_REPORT_LOADING_MS: u64 = 3_500;
/// Milliseconds between workers sent to a leader that none reaches, to find out whether it is reached again.
pub const PROBE_MS: u64 = 20_000;
/// Milliseconds a report passed on to the leader may take: less than the worker's patience.
pub const REPORT_FORWARD_MS: u64 = 3_500;
/// Milliseconds between looks at them while there is still no leader.
pub const PENDING_REPORTS_CHECK_MS: u64 = 100;
/// Milliseconds without workers, while a peer hears some, after which a leader resigns: two heartbeats of a peer that
/// count as fresh.
pub const WITHOUT_WORKERS_MS: u64 = 2 * PEER_FRESH_MS;
/// Milliseconds until a node whose gateway is busy wakes up at the latest.
pub const GATEWAY_WAKE_MS: u64 = 200;
/// Milliseconds between checks for calls whose deadline has passed.
pub const DEADLINE_CHECK_MS: u64 = 200;
/// Milliseconds until a node with pending reports wakes up at the latest.
pub const PENDING_WAKE_MS: u64 = 200;
/// Milliseconds for which a leader that hears no worker waits for a peer to say that it does, until it makes room anyway:
/// longer than most cuts of all workers.
pub const UNTOLD_MS: u64 = 20_000;
/// Milliseconds between two times that a node gives leadership up without knowing that a peer can do better: where none
/// can, the nodes would take turns.
pub const UNSURE_EVERY_MS: u64 = 600_000;
/// Milliseconds. Spread of the first try at a vacancy, so that two followers seldom collide.
pub const ELECTION_JITTER_MS: u64 = 250;
/// Milliseconds after which a candidate gives an attempt up and starts afresh.
pub const ELECTION_STALE_MS: u64 = 4_000;
/// Milliseconds a leader that gave up its place leaves the election to others.
pub const RESIGN_PAUSE_MS: u64 = 20_000;

/// Milliseconds to wait for the state service before the outcome counts as unknown; it answers within a few
/// hundred at worst, and users wait 2 s for a poll.
pub const STATE_TIMEOUT_MS: u64 = 1_200;
/// Milliseconds a watch is held open by the state service. Short, since only its answer proves that no cancellation up
/// to its sending is unknown, and one whose connection died silently hides them until it times out.
pub const WATCH_HOLD_MS: u64 = 3_000;
/// Milliseconds for which a leader decides and starts things without new proof that it knows all cancellations: one
/// watch that times out and the next one's answer, with some slack.
pub const INFORMED_MS: u64 = 9_000;
/// Milliseconds between two watches: each change ends one, and at many changes a second they would take the rate that
/// users need.
pub const WATCH_EVERY_MS: u64 = 50;
/// Watches that fail in a row until all is read anew, page by page.
pub const WATCH_TRIES: u32 = 4;
/// Milliseconds to wait after an answer of 429 or 503 before asking the state service again.
pub const STATE_RETRY_MS: u64 = 250;
/// Milliseconds without any good answer, the last one bad, after which users are refused at once.
pub const STATE_DOWN_MS: u64 = 1_500;
/// Share of the state service's request rate one node may use at most; nodes share the limit.
pub const STATE_RPS_SHARE: f64 = 0.6;
/// Share of the state service's request rate that all nodes together may spend on questions of users. What is left is
/// for changes, the leader's records, elections and watches.
pub const QUESTION_SHARE: f64 = 0.5;
/// Seconds' worth of its part of that that a node may spend at once.
pub const QUESTION_BURST_S: f64 = 1.0;
/// Share of the state service's request rate that all nodes together may spend on reading what submissions and
/// cancellations need.
pub const CHANGE_READ_SHARE: f64 = 0.2;
/// Seconds' worth of its part of that that a node may spend at once: as for writes, what came up during an outage.
pub const CHANGE_READ_BURST_S: f64 = 2.0;
/// Share of the state service's write rate that the leader's records may use, the rest being for users; it takes less when the
/// rate limit is hit.
pub const STATE_WRITE_SHARE: f64 = 0.75;
/// Share of the state service's write rate one node may spend on its users.
pub const USER_WRITE_SHARE: f64 = 0.3;
/// Seconds' worth of the write rate that one node may spend on its users at once: after an outage the first node that
/// is back gets what all of them had to refuse.
pub const USER_WRITE_BURST: f64 = 0.6;
/// Milliseconds to wait after the state service's rate limit was hit: it lets the next through within less.
pub const RATE_RETRY_MS: u64 = 80;
/// Share of its rate of writes that the leader's records keep each time the rate limit was hit: users' writes come first.
pub const STRAIN_CUT: f64 = 0.9;
/// Share below which it does not fall by that.
pub const STRAIN_LEAST: f64 = 0.5;
/// Share that comes back a second.
pub const STRAIN_EASE: f64 = 0.05;
/// Records of a listing asked for at a time; each page has to be decoded in one go.
pub const LIST_PAGE: u32 = 200;
/// Tasks of a part of a job as the version before the pipelines reads it: some 6 KiB at worst.
pub const CHUNK_TASKS: u32 = 128;
/// Tasks of a part in the dense form: some 400 bytes, 1.5 KiB with names of machines that have nothing in common.
pub const SMALL_TASKS: u32 = 32;
/// Bytes of a page of dense parts at most: each write of it costs its encoding.
pub const PAGE_BYTES: usize = 8 * 1024;
/// Part of a page (one in that many bytes) that may be carried along when it is written anew.
pub const CARRIED_PART: usize = 8;
/// Share of a value that a page of dense parts may take: their sizes are reckoned, not counted.
pub const SMALL_FILL: f64 = 0.94;
/// Milliseconds between looks at which version the other nodes run, until all are known to run this one.
pub const GENERATION_POLL_MS: u64 = 1_500;
/// Milliseconds between looks at the cluster's feature level while no upgrade is under way.
pub const LEVEL_POLL_MS: u64 = 5_000;
/// Milliseconds for which a new process is heard until it must be a build that announces no feature levels: a process that
/// does announces within its first second, unless the state service refuses it.
pub const ANNOUNCE_GRACE_MS: u64 = 10_000;
/// Milliseconds in which restarts of a controller are counted.
pub const RESTART_WINDOW_MS: u64 = 120_000;
/// Restarts of a controller in that time beyond which an upgrade is paused: an upgrade, its rollback and the next upgrade
/// are three.
pub const RESTARTS_IN_WINDOW: usize = 3;
/// Milliseconds without a restart after which what paused an upgrade counts as over.
pub const CALM_MS: u64 = 30_000;
/// Milliseconds that a build leaves the election to newer ones, which need no further restart: two looks of a follower.
pub const ELECTION_DEFER_MS: u64 = 1_200;
/// Milliseconds between looks at the leader key by a successor that was named.
pub const HANDOVER_POLL_MS: u64 = 40;
/// Milliseconds for which it looks so often.
pub const HANDOVER_MS: u64 = 1_500;
/// Milliseconds for which a leader that is to stop waits for its transactions before it hands over.
pub const HANDOVER_DRAIN_MS: u64 = 600;
/// Milliseconds that an orderly stop may take: less than it takes the load balancer to notice, so that what comes
/// meanwhile is refused with `Retry-After` and not cut off.
pub const STOP_MS: u64 = 3_000;
/// Milliseconds between two log lines about an upgrade that waits.
pub const ROLLOUT_LOG_MS: u64 = 60_000;
/// Seconds that a level is active without trouble until it is finalized, unless operators say otherwise.
pub const SOAK_S: f64 = 3_600.0;
/// Seconds without progress after which an upgrade is paused, unless operators say otherwise.
pub const STALL_S: f64 = 3_600.0;
/// Records at most that hold what does not fit into an open job's own; they go with it in one transaction.
pub const MORE_RECORDS: usize = 2;
/// Jobs of a pipeline cancelled in memory in a turn, so that a cascade of any size leaves time for all else.
pub const CASCADE_A_TURN: usize = 64;
/// Final records looked up at a time, for jobs that wait for what was over before this leader came.
pub const LOOKUPS: usize = 8;
/// Milliseconds until a job that was found nowhere is looked for again.
pub const LOOKUP_RETRY_MS: u64 = 500;
/// Bytes (a cautious guess of their JSON form) of records put in one transaction, of the 64 KiB allowed.
pub const TXN_BYTES: usize = 40 * 1024;
/// Transactions of the leader's records in flight at a time.
pub const TXN_PARALLEL: usize = 3;

/// Milliseconds after which a user's request that is still undecided is answered 503; users wait 2 s to 5 s.
pub const USER_DEADLINE_MS: u64 = 1_800;
/// Milliseconds a question about a job waits for others, so that one transaction proves many answers.
pub const PROOF_GATHER_MS: u64 = 40;
/// Milliseconds between two such transactions of one node.
pub const PROOF_EVERY_MS: u64 = 100;
/// Milliseconds between two transactions of one node that find out which of many ids no job has.
pub const UNHEARD_EVERY_MS: u64 = 200;
/// Such transactions that requests may have to wait for; more are refused at once, since they would be late.
pub const UNHEARD_CHECKS: usize = 4;
/// Milliseconds up to which a user's request that the state service's rate limit turned away is tried again.
pub const USER_RETRY_MS: u64 = 900;
/// Versions of open jobs' records kept in memory (some 40 bytes each).
pub const VERSION_CACHE: usize = 8_000;
/// Open jobs in one message between controllers: 30 bytes each stay below a frame.
pub const JOB_UPDATES_MAX: usize = 1_500;
/// Seconds a refused user is told to wait.
pub const RETRY_AFTER_S: u32 = 1;
/// Questions of users in hand at a time, and as many submissions and cancellations; more are refused at once.
pub const USER_INFLIGHT: usize = 256;
/// Final answers kept in memory (an id and a letter each).
pub const FINAL_CACHE: usize = 20_000;

/// Milliseconds a worker waits for the answer to a report; a `launch` sent longer ago is dropped by it.
pub const REPORT_DROP_MS: u64 = 4_000;
/// Factor for the drift between two steady clocks (0.05% each way, doubled for caution).
pub const DRIFT: f64 = 1.002;
/// Milliseconds added to every wait for a lease of another machine to run out.
pub const LEASE_MARGIN_MS: u64 = 1_000;
/// Starts in a row that a worker did not take until answers are held not to reach it.
pub const UNDELIVERED_STARTS_MAX: u32 = 3;
/// Sessions in a row that end sooner than a lease after an answer until answers are held not to reach a worker.
pub const EARLY_EXPIRIES_MAX: u32 = 2;
/// Leases after which an empty machine that answers do not reach is given back: cuts are mostly shorter.
pub const UNREACHABLE_LEASES: u64 = 4;
/// Milliseconds a machine that is gone is remembered, so that late copies of its reports change nothing.
pub const GONE_MS: u64 = 600_000;
/// Orders in one answer to a worker: 400 of at most 120 bytes stay under the body limit.
pub const ORDERS_PER_ANSWER: usize = 400;
/// Milliseconds subtracted when a leader reckons how long it may keep leases alive that tasks of a job cancelled without
/// its knowledge may be under. Clocks' drift is reckoned apart, and its knowledge is dated by when it asked, so this is
/// for timers alone.
pub const KEEPALIVE_MARGIN_MS: u64 = 1_000;
/// Reports answered at a time once the leader has read its records, of those that waited for it: all of a large fleet
/// in one turn would keep users and the lease waiting for seconds.
pub const PENDING_HEARTBEATS_PER_TURN: usize = 16;
/// Milliseconds to wait for a worker's answer to a direct order.
pub const ORDERS_TIMEOUT_MS: u64 = 2_000;
/// Milliseconds between repeats of a `kill` for the same task.
pub const KILL_REPEAT_MS: u64 = 1_000;

/// Tasks on one machine at most: a report of that many, 100 bytes each, stays below the body limit.
pub const TASKS_PER_MACHINE: u32 = 400;
/// Milliseconds before a transaction that the state service calls invalid is tried again.
pub const INVALID_RETRY_MS: u64 = 5_000;

/// Milliseconds of real time one round of decisions may take, its view included; the next goes on where it
/// stopped. A worker waits 4 s for an answer and a load balancer 1 s, so a round may take a fraction of that.
pub const ROUND_BUDGET_MS: u64 = 150;
/// Milliseconds the decisions themselves may take in any case, should the view alone use up the budget.
pub const ROUND_LEAST_MS: u64 = 40;
/// Milliseconds after which decisions are made though nothing has happened: what a job waits for may be a time.
pub const ROUND_AT_LEAST_MS: u64 = 1_500;
/// Milliseconds between two rounds of decisions.
pub const ROUND_EVERY_MS: u64 = 60;
/// Times as long as a round took until the next one starts, if that is longer.
pub const ROUND_REST: u64 = 2;
/// Milliseconds between looks at whether held answers to workers may go, while nothing has been decided.
pub const RELEASE_MS: u64 = 50;
/// Milliseconds between two bookings of what machines cost.
pub const ACCOUNT_MS: u64 = 5_000;
/// Milliseconds the answer to a worker whose tasks have just ended waits for what comes next there: a round, and
/// a transaction. Without it the freed place idles until the worker's next report.
pub const SETTLE_MS: u64 = 1_000;
/// Milliseconds the answer to a worker with room waits for a task, well within the worker's patience of 4 s: a
/// start reaches it at once meanwhile, instead of at its next report.
pub const IDLE_HOLD_MS: u64 = 3_000;
/// Share of a lease for which such an answer may wait where tasks run: it renews the lease, and a leader that is
/// cut off just then costs the worker several seconds more.
pub const HOLD_LEASE_SHARE: f64 = 1.0 / 12.0;
/// Milliseconds a change of a job's record that nobody waits for may wait for one that somebody does.
pub const DEFERRED_WRITE_MS: u64 = 15_000;
/// Milliseconds that it may wait while other changes wait too: meanwhile it rides along where a record has room.
pub const DEFERRED_WRITE_MAX_MS: u64 = 60_000;
/// Records looked at for that in a transaction.
pub const DEFERRED_WRITES_PER_TRANSACTION: usize = 24;
/// Milliseconds between steps of housekeeping (silent machines, fleet size).
pub const HOUSEKEEPING_MS: u64 = 500;

/// Tasks up to which an array is thin and skips sampling (the paper's bypass; value from the design).
pub const THIN_TASKS: u32 = 7;
/// Share of an array's tasks that are pilots (the paper's 5%).
pub const PILOT_SHARE: f64 = 0.05;
/// Number of queues (the paper's 10).
pub const QUEUES: usize = 10;
/// Task-seconds up to which a job is in the first queue (the paper's 10 MB; value from the design).
pub const FIRST_BOUND: f64 = 600.0;
/// Growth of the queues' bounds and fall of their weights (the paper's 10).
pub const QUEUE_GROWTH: f64 = 10.0;

/// Factor from a job's mean task time to the time its longest task takes, for ordering by deadline.
pub const LONGEST_TASK: f64 = 1.4;
/// Seconds between the placing of a task and its first second of work, for ordering by deadline.
pub const START_LAG_S: f64 = 5.0;
/// Seconds after its last aim at which a job that can't meet any is due; later than any that still can, but
/// bounded, so that it does not starve.
pub const HOPELESS_S: f64 = 200.0;

/// Seconds within which a machine must be expected up for a gang to wait for it rather than stop other tasks:
/// saving and freeing room takes about as long.
pub const COMING_S: f64 = 10.0;
/// Factor of a type's boot time after which a machine that is not up is no longer counted on by gangs.
pub const BOOT_OVERDUE: f64 = 1.5;
/// Seconds for which what is left of a team's limit is kept for its gangs, and then not: nothing else of the team may
/// wait for a minute and a half beside free machines.
pub const CLAIM_S: u64 = 55;
/// See above.
pub const CLAIM_PAUSE_S: u64 = 20;
/// Seconds beyond which a running task keeps a gang of its team out by the team's limit, whatever is left to the gang.
pub const LASTING_S: f64 = 55.0;
/// Boots of a type that must have been seen until what is late is told by them.
pub const BOOTS_SEEN: f64 = 10.0;
/// How much worse a machine is for each second until its next report, when a start can first be sent; see `misfit`
/// in `sched` for what it is weighed against.
pub const REACH_COST: f64 = 2.0;
/// How much worse a spot machine is for a task that never saves and takes no GPU: more than to fetch its image anew,
/// since one lost task of many makes its job late.
pub const FRAGILE_COST: f64 = 150.0;
/// Seconds before the latest start that still meets an aim at which a job goes ahead of the weighted sharing.
pub const URGENT_S: f64 = 12.0;
/// Seconds for which room is gathered for a gang, and then not: the largest are to begin within four minutes, and
/// one that does not may need more than there will ever be.
pub const GANG_TRY_S: u64 = 300;
/// Part of the fleet (one in that many machines) that may be kept from filling up for gangs.
pub const RESERVED_PART: usize = 3;
/// Seconds a job waits without a single start until it goes ahead of the queues' weighted sharing, so that the
/// largest jobs begin within minutes however much smaller work arrives.
pub const AGED_S: f64 = 75.0;

/// Seconds that room on a machine without the image counts as worse, when tasks are stopped for it.
pub const FETCH_COST_S: f64 = 40.0;

/// Milliseconds of pause after a job's first failed task, doubled by each further one.
pub const ERROR_PAUSE_MS: u64 = 2_000;
/// Milliseconds a job that goes on failing is left alone at most.
pub const ERROR_PAUSE_MAX_MS: u64 = 60_000;
/// Jobs that must have failed on a machine, with none completing there since, before it is replaced. A job that has
/// failed on more machines than that, with none of its tasks completing since, blames none.
pub const FAULTY_JOBS: usize = 2;
/// Attempts of a job that ended under earlier leaders, with nothing done, from which it is taken for one that fails.
pub const FRUITLESS_ATTEMPTS: u64 = 3;
/// Milliseconds for which a task of a job must have been running to prove that the job does not fail everywhere.
pub const SOUND_RUN_MS: u64 = 10_000;
/// Factor by which a machine's tasks must run over those elsewhere to be called slow.
pub const SLOW_FACTOR: f64 = 1.6;

/// Seconds between two looks at the machine list.
pub const CLOUD_LIST_S: f64 = 5.0;
/// Machines on a page of the machine list (the protocol's limit).
pub const LIST_MAX: usize = 500;
/// Share of the cloud's call rate that the machine list may use.
pub const CLOUD_LIST_SHARE: f64 = 0.2;
/// Seconds between two looks at the machine types once they are known (spot prices move).
pub const CLOUD_TYPES_S: f64 = 60.0;
/// Milliseconds to wait for the cloud.
pub const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// Rental requests under way at a time.
pub const RENTALS_OPEN: usize = 8;
/// Factor of the shortest boot time: room that becomes free within that is waited for instead of rented.
pub const RENT_HORIZON: f64 = 0.4;
/// Machines per rental request (the protocol's limit).
pub const RENT_MAX: u32 = 50;
/// Machines per return request (the protocol's limit).
pub const RETURN_MAX: usize = 100;
/// Milliseconds a type, zone and kind that had no capacity is left alone, doubled by each further refusal.
pub const NO_CAPACITY_MS: u64 = 5_000;
/// Milliseconds such a pause grows to at most.
pub const NO_CAPACITY_MAX_MS: u64 = 10_000;
/// Factor of a type's boot time after which a machine that has not come up is given back.
pub const BOOT_PATIENCE: f64 = 3.0;
/// Seconds added to that.
pub const BOOT_PATIENCE_S: f64 = 15.0;
/// Seconds a machine idles before it is given back where money counts; it is charged 60 s at least.
pub const IDLE_RETURN_S: f64 = 25.0;

/// Leases after which an empty machine that is silent, yet not listed as failed, is given back: cuts and hangs mostly
/// end within two, and a machine that returns has its images.
pub const SILENT_LEASES: f64 = 2.5;
/// Milliseconds after the end of a spot machine's notice, and without a report, at which it is given back: it is gone,
/// or will be within moments, and what it ran can start elsewhere only then.
pub const NOTICE_OVER_MS: u64 = 1_500;
/// Milliseconds beyond its worker's lease after which a silent machine is given back on which tasks may still run, as
/// far as this leader can tell: its return frees them for sure.
pub const SILENT_UNSURE_MS: u64 = 30_000;
/// Machines that may idle that long in any case, and part of the fleet (one in that many) that may besides.
pub const IDLE_LEAST: usize = 4;
/// See above.
pub const IDLE_PART: usize = 24;
/// Milliseconds a machine beyond those idles: its tasks' ends may just not be followed up yet.
pub const IDLE_SURPLUS_MS: u64 = 4_000;
/// Factor on that for spot machines: at a third of the price, room for what comes next is worth keeping.
pub const IDLE_SPOT: f64 = 2.0;
/// Factor on that for ordinary machines.
pub const IDLE_ORDINARY: f64 = 0.6;
/// Seconds between looks for a machine whose tasks fit elsewhere.
pub const CONSOLIDATE_S: f64 = 4.0;
/// Part of the fleet (one in that many machines) that may be emptied so at a time.
pub const CONSOLIDATE_PART: usize = 64;
/// Seconds a machine must still be busy for its emptying to pay: saving, starting and fetching again cost some.
pub const CONSOLIDATE_LEFT_S: f64 = 30.0;

/// Milliseconds between the leader's counts of open jobs to its peers.
pub const COUNTS_MS: u64 = 1_000;
/// Milliseconds between beats to each peer.
pub const PEER_HEARTBEAT_MS: u64 = 500;
/// Milliseconds between two looks at the clock that prove that a node did not run: it is woken for every beat, and even
/// the longest turns of a busy leader take a fraction of the rest.
pub const STANDSTILL_MS: u64 = 2 * PEER_HEARTBEAT_MS;
/// Milliseconds after which a peer's last beat says nothing about now.
pub const PEER_FRESH_MS: u64 = 2_000;
/// Milliseconds without the state service and without any peer after which a node tells the load balancer that it is not
/// ready: longer than a controller takes to restart, since being offered again takes seconds, too.
pub const CUT_OFF_MS: u64 = 4_000;
/// Milliseconds between tries to reach a peer.
pub const PEER_RETRY_MS: u64 = 1_000;
/// Bytes waiting to be sent to a peer at most; more closes the connection.
pub const PEER_BACKLOG: usize = 1024 * 1024;

/// Connections to one address at a time; the state service needs most.
pub const CLIENT_CONNS: usize = 12;
/// Requests waiting for a connection to one address; more fail at once.
pub const CLIENT_QUEUE: usize = 128;
/// Milliseconds to establish a connection.
pub const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Share of the sockets allowed that callers may hold in any case; the rest is for our own calls and peers.
pub const SERVER_SOCKET_SHARE: f64 = 0.8;
/// Sockets kept for our own calls and peers where that is less than the rest of the share: [`CLIENT_CONNS`] each for the
/// state service and the cloud, two a peer, and direct orders, of which the leader sends some 20 a second and whose
/// connections stay for [`IDLE_CLIENT_MS`].
pub const OWN_SOCKETS: usize = 256;
/// Share of the callers' sockets in use from which a worker's connection is closed after each answer, so that more
/// workers than there are sockets take turns instead of some being refused until their leases end.
pub const CROWDED_SHARE: f64 = 0.95;
/// Milliseconds for which sockets count as short after a connection found none: some reports of each worker.
pub const CROWDED_MS: u64 = 10_000;
/// Milliseconds an idle connection of a caller other than a worker is kept when sockets run short: users come
/// back every few seconds and can connect anew, a worker that can't loses its lease.
pub const IDLE_CONN_MS: u64 = 1_000;
/// Milliseconds an idle connection of our own is kept for reuse.
pub const IDLE_CLIENT_MS: u64 = 6_000;
/// Bytes read from a socket at a time.
pub const READ_CHUNK: usize = 16 * 1024;
/// Events taken from the poller in a turn of the main loop, so that no turn is long.
pub const EVENTS_A_TURN: std::num::NonZeroUsize = match std::num::NonZeroUsize::new(256) {
    Some(n) => n,
    None => std::num::NonZeroUsize::MIN,
};
/// Connections accepted in a turn.
pub const ACCEPTS_A_TURN: usize = 64;
/// Milliseconds of a turn that workers' reports may take: users and the leader's lease come first.
pub const REPORTS_A_TURN_MS: u64 = 40;
/// Milliseconds of a turn of the main loop from which it is logged: users and the load balancer waited as long.
pub const SLOW_TURN_MS: u64 = 150;
/// Milliseconds a turn of the main loop waits for events at least while nothing is left to do.
pub const LOOP_MIN_MS: u64 = 1;
/// Milliseconds a turn of the main loop sleeps at most.
pub const LOOP_MAX_MS: u64 = 1_000;

/// Milliseconds for which an owner may answer for its partitions without asking the leader again: some requests of it.
pub const GRANT_MS: u64 = 4_000;
/// Milliseconds between an owner's requests.
pub const GRANT_RENEW_MS: u64 = 1_000;
/// Milliseconds for which an owner whose grant has ended passes reports on, so that a change of leader does not move every
/// worker: an election, and the first grant of the next leader.
pub const OWNER_RELAY_MS: u64 = 4_000;
/// Reports passed on that an owner remembers for the permits that may follow: two for each of 4,000 machines. The excess
/// costs a further report passed on.
pub const PASSED_ON_MAX: usize = 8_192;
/// Permits that an owner gives up in a request; the next request goes on.
pub const RELINQUISHED_A_REQUEST: usize = 500;
/// Half reports that a steady machine may miss until its owner calls it silent: as the leader counts it.
pub const SILENT_HALF_REPORTS: u64 = 5;
/// Milliseconds added to that, for reports on their way.
pub const SILENT_EXTRA_MS: u64 = 500;
/// Reports of a steady machine of which one at least is passed on, so that the leader sees each machine now and then.
pub const STEADY_REPORTS: u64 = 8;
/// Milliseconds for which answers of owners are remembered: many times any lease.
pub const ANSWERS_KEPT_MS: u64 = 600_000;
/// Recalls that fit into a grant's frame, with names of 64 characters.
pub const RECALLS_A_GRANT: usize = 800;
/// Permits in a frame.
pub const PERMITS_A_FRAME: usize = 400;
/// Milliseconds for which permits wait for others: the reports that they are for come seconds later.
pub const PERMITS_WAIT_MS: u64 = 100;
/// Milliseconds between looks at all permits: what matters for safety withdraws them at once.
pub const PERMITS_REVIEW_MS: u64 = 5_000;
/// Milliseconds after which a move of a partition that could not be committed is given up.
pub const MOVE_TIMEOUT_MS: u64 = 10_000;
/// Moves of partitions under way at a time.
pub const MOVES_AT_ONCE: usize = 4;
/// The same for partitions of an owner that is lost.
pub const LOST_MOVES_AT_ONCE: usize = 16;
/// Milliseconds between moves, so that their effect shows before the next.
pub const MOVE_PAUSE_MS: u64 = 2_000;
/// Milliseconds without a request after which an owner is lost: its grant has ended by then.
pub const OWNER_LOST_MS: u64 = 6_000;
/// Milliseconds for which a lost owner gets no partitions; twice as long after each time.
pub const OWNER_PAUSE_MS: u64 = 30_000;
/// Milliseconds up to which that grows.
pub const OWNER_PAUSE_MAX_MS: u64 = 600_000;
/// Weight of the leader's share: it also places, and answers whoever comes.
pub const LEADER_WEIGHT: f64 = 0.1;
/// Busyness in thousandths from which a controller is overloaded.
pub const OVERLOADED_PERMILLE: u16 = 800;
/// Difference in busyness below which controllers are near equal, and nothing moves.
pub const UNEVEN_PERMILLE: u16 = 250;
/// Weight that an overloaded controller loses.
pub const WEIGHT_CUT: f64 = 0.15;
/// Milliseconds between two such cuts: moves, and their effect.
pub const WEIGHT_CUT_EVERY_MS: u64 = 10_000;
/// Weight that a calm controller gets back.
pub const WEIGHT_EASE: f64 = 0.05;
/// Milliseconds between two such steps, and after a cut: slow, or shares would swing.
pub const WEIGHT_EASE_EVERY_MS: u64 = 60_000;
/// Weight that is left in any case.
pub const WEIGHT_LEAST: f64 = 0.2;
/// Workers a second that a leader sends to their owners: each connects anew.
pub const REDIRECTS_A_SECOND: f64 = 50.0;
/// Milliseconds until a worker that came back is sent to its owner again; twice as long after each time.
pub const REDIRECT_PAUSE_MS: u64 = 30_000;
/// Times that this doubles.
pub const REDIRECT_DOUBLINGS: u32 = 4;
/// Milliseconds until a controller that is neither owner nor leader names the owner to the same worker again: one that comes
/// back sooner did not reach it.
pub const RENAME_OWNER_MS: u64 = 30_000;
/// Workers that it remembers for that; the excess is forgotten, and costs a redirect.
pub const REDIRECTED_MAX: usize = 8_192;
/// Workers in a row that came back from an owner, which heard none meanwhile, from which it counts as unreachable.
pub const REDIRECTS_FAILED: u32 = 8;
/// Milliseconds that a grant must run on for workers to be sent to its owner.
pub const REDIRECT_GRANT_MS: u64 = 1_000;
/// Part of a lease (one in that many) after an answer in which a worker may be sent elsewhere.
pub const REDIRECT_LEASE_PART: u64 = 3;
/// Milliseconds between tries to read or write the ownership table.
pub const TABLE_RETRY_MS: u64 = 500;
/// Milliseconds between log lines about partitions.
pub const PARTITIONS_LOG_MS: u64 = 60_000;
